"""Tests that only complete answers to the request itself are passed on."""

import time
import unittest
from socket import SO_RCVBUF, SOL_SOCKET
from typing import Any

from bramleylug.agent.bounded_connection import RECEIVE_BUFFER_BYTES
from bramleylug.agent.upstream import Upstream
from bramleylug.outcomes import NotRun, Ran, Reason, Unknown
from testing.agent.canned_upstream import HEAD, CannedUpstream
from testing.builders import build_request


class TestAnswers(unittest.TestCase):
    """Answers of an upstream and their outcome."""

    def call(self, answer: bytes) -> list[Any]:
        """Return the parts that the call yields for an answer."""
        canned = CannedUpstream(answer)
        self.addCleanup(canned.close)
        self.canned = canned
        call = Upstream(canned.address).call(time.monotonic() + 5)
        return list(call.run(build_request(priority=3)))

    def test_answer_of_the_announced_length_is_complete(self) -> None:
        """All bytes arrived."""
        parts = self.call(HEAD + b'Content-Length: 2\r\n\r\nok')

        self.assertEqual(parts[1:], [b'ok', Ran(200)])

    def test_receive_buffer_of_the_kernel_is_bounded(self) -> None:
        """An unbounded buffer let 200 paused readers keep an engine busy."""
        canned = CannedUpstream(HEAD + b'Content-Length: 2\r\n\r\nok')
        self.addCleanup(canned.close)
        call = Upstream(canned.address).call(time.monotonic() + 5)
        parts = call.run(build_request())
        next(parts)

        buffer_bytes = call.connection.sock.getsockopt(SOL_SOCKET, SO_RCVBUF)

        # The kernel doubles the requested size, for its own bookkeeping.
        self.assertEqual(buffer_bytes, 2 * RECEIVE_BUFFER_BYTES)
        self.assertEqual(list(parts)[-1], Ran(200))

    def test_answer_shorter_than_its_length_is_cut(self) -> None:
        """Bytes are missing."""
        parts = self.call(HEAD + b'Content-Length: 3\r\n\r\nok')

        self.assertEqual(parts[-1].reason, Reason.answer_cut)

    def test_chunked_answer_with_last_chunk_is_complete(self) -> None:
        """The empty chunk that marks the end arrived."""
        parts = self.call(
            HEAD
            + b'Transfer-Encoding: chunked\r\n\r\n'
            + b'2\r\nok\r\n0\r\n\r\n'
        )

        self.assertEqual(parts[1:], [b'ok', Ran(200)])

    def test_chunked_answer_without_last_chunk_is_cut(self) -> None:
        """The connection closed between two chunks."""
        parts = self.call(
            HEAD + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n'
        )

        self.assertEqual(parts[-1].reason, Reason.answer_cut)

    def test_number_that_is_no_final_status_is_no_answer(self) -> None:
        """An engine in trouble may send any; whether it ran is unknown."""
        for status in (b'000', b'099', b'103', b'600', b'777', b'999', b'1000'):
            with self.subTest(status=status):
                parts = self.call(
                    b'HTTP/1.1 %s OK\r\nContent-Length: 2\r\n\r\nok' % status
                )

                self.assertIsInstance(parts[0], Unknown)
                self.assertEqual(len(parts), 1)

    def test_answer_without_length_or_chunks_is_incomplete(self) -> None:
        """Its end cannot be distinguished from a cut."""
        parts = self.call(HEAD + b'\r\nok')

        self.assertEqual(parts[-1].complete, False)

    def test_answer_to_another_request_is_rejected(self) -> None:
        """The echoed request id differs."""
        parts = self.call(
            HEAD + b'X-Request-Id: other\r\nContent-Length: 2\r\n\r\nok'
        )

        self.assertIsInstance(parts[0], Unknown)
        self.assertEqual(len(parts), 1)

    def test_second_answer_on_a_connection_is_dropped(self) -> None:
        """Only the first one answers the request."""
        answer = HEAD + b'Content-Length: 2\r\n\r\nok'

        self.assertEqual(self.call(answer * 2)[1:], [b'ok', Ran(200)])

    def test_connection_lost_before_an_answer_is_unknown(self) -> None:
        """The request may have run."""
        parts = self.call(b'')

        self.assertEqual(parts[0].reason, Reason.upstream_crashed)

    def test_priority_and_request_id_are_passed(self) -> None:
        """The engine may schedule by priority."""
        self.call(HEAD + b'Content-Length: 0\r\n\r\n')

        self.assertIn(b'X-Priority: 3\r\n', self.canned.received)
        self.assertIn(b'X-Request-Id: request-1\r\n', self.canned.received)


class TestNotSent(unittest.TestCase):
    """Requests that never reached an upstream."""

    def test_refused_connection_is_not_run(self) -> None:
        """Nothing listens on the port."""
        canned = CannedUpstream(b'')
        canned.close()
        call = Upstream(canned.address).call(time.monotonic() + 5)

        parts = list(call.run(build_request()))

        self.assertIsInstance(parts[0], NotRun)

    def test_call_cancelled_before_its_start_is_not_run(self) -> None:
        """The caller disconnected while the request was queued."""
        call = Upstream('127.0.0.1:1').call(time.monotonic() + 5)
        call.cancel()

        parts = list(call.run(build_request()))

        self.assertEqual(parts[0].reason, Reason.deadline)
