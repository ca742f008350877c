"""Tests of upstreams that stop inside the head of an answer and close."""

import time
import unittest
from typing import Any

from bramleylug.agent.upstream import Upstream
from bramleylug.outcomes import Ran
from testing.agent.canned_upstream import CannedUpstream
from testing.builders import build_request, prefixes

HEADERS = b'X-Weights-Digest: d1\r\nX-Boot-Id: b1\r\n'
# Answers that end with their head, and ones with a body.
WITHOUT_BODY = (
    b'HTTP/1.1 204 No Content\r\n',
    b'HTTP/1.1 304 Not Modified\r\n',
    b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n',
)
WITH_BODY = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n',
    b'HTTP/1.0 200 OK\r\n',
)


class TestCutHeads(unittest.TestCase):
    """An answer whose head is cut is never passed on as whole."""

    def call(self, answer: bytes) -> list[Any]:
        """Return the parts that the call yields for an answer."""
        canned = CannedUpstream(answer)
        try:
            call = Upstream(canned.address).call(time.monotonic() + 5)
            return list(call.run(build_request()))
        finally:
            canned.close()

    def assert_never_whole(self, head: bytes) -> None:
        """Cut an answer after each byte of its head."""
        for cut in prefixes(head):
            with self.subTest(cut=cut):
                parts = self.call(cut)
                self.assertEqual(len(parts), 1)
                self.assertNotIsInstance(parts[0], Ran)

    def test_answer_without_a_body(self) -> None:
        """Callers got its status, and not all of its headers, as whole."""
        for start in WITHOUT_BODY:
            self.assert_never_whole(start + HEADERS + b'\r\n')

    def test_answer_with_a_body(self) -> None:
        """Callers got a 200 with an empty body."""
        for start in WITH_BODY:
            self.assert_never_whole(start + HEADERS + b'\r\n')

    def test_length_after_other_headers(self) -> None:
        head = b'HTTP/1.1 200 OK\r\n' + HEADERS + b'Content-Length: 100\r\n\r\n'

        self.assert_never_whole(head)

    def test_size_of_a_chunk(self) -> None:
        """Cut after its first digit, it was taken for that of the last one."""
        chunked = WITH_BODY[1] + HEADERS + b'\r\n'
        body = b'0005\r\nwhole\r\n0000\r\n\r\n'
        for cut in prefixes(body):
            with self.subTest(cut=cut):
                self.assertFalse(self.call(chunked + cut)[-1].complete)
        self.assertTrue(self.call(chunked + body)[-1].complete)

    def test_whole_head_without_a_body_is_whole(self) -> None:
        for start in WITHOUT_BODY:
            parts = self.call(start + HEADERS + b'\r\n')
            self.assertTrue(parts[-1].complete)
