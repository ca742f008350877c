"""Tests of parsing bytes into requests of limited size."""

import unittest
from unittest.mock import Mock, patch

from hypothesis import given, strategies

from bramleylug.web.heads import BadRequest
from bramleylug.web.limits import WebLimits
from bramleylug.web.reader import Message, MessageReader, SendContinue, Step

LIMITS = WebLimits(head_bytes=200, body_bytes=10)
HOST = b'Host: x\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'


def read(raw: bytes, *, piece_bytes: int = 1000) -> list[Step]:
    """Parse bytes in pieces; return all steps up to the first error."""
    reader = MessageReader(LIMITS)
    steps: list[Step] = []
    for start in range(0, len(raw), piece_bytes):
        reader.feed(raw[start : start + piece_bytes])
        for step in iter(reader.advance, None):
            steps.append(step)
            if isinstance(step, BadRequest):
                return steps
    return steps


def post(headers: bytes, body: bytes) -> bytes:
    return b'POST /a HTTP/1.1\r\n%s%s\r\n%s' % (HOST, headers, body)


CHUNK_PARTS = (
    b'1\r\nx\r\n',
    b'3;a=b\r\nxyz\r\n',
    b'00002 \r\n\r\n\r\n',
    b'1\r\nxy\r\n',
    b'f\r\n',
    b'2;' + b'x' * 250 + b'\r\nxy\r\n',
    b'1;' + b'x' * 300 + b'\r\nx\r\n',
    b'g\r\n',
    b'1\nx\n',
    b'0\r\n\r\n',
    b'0\r\nX: y\r\n\r\n',
)


class TestValidRequests(unittest.TestCase):
    """Valid requests are parsed, however the bytes are split."""

    def test_pipelined_requests_keep_their_order(self) -> None:
        """Each request keeps its own body."""
        raw = post(b'Content-Length: 3\r\n', b'one') + post(
            CHUNKED, b'2\r\ntw\r\n1;x=y\r\no\r\n0\r\n\r\n'
        )

        bodies = [step.body for step in read(raw)]

        self.assertEqual(bodies, [b'one', b'two'])

    @given(strategies.integers(min_value=1, max_value=60))
    def test_pieces_of_any_size_give_the_same_request(self, size: int) -> None:
        """It does not matter where two reads split a request."""
        raw = post(CHUNKED, b'4\r\nbody\r\n0\r\nX-Trailer: y\r\n\r\n')

        steps = read(raw * 2, piece_bytes=size)

        self.assertEqual([step.body for step in steps], [b'body', b'body'])

    @given(strategies.lists(strategies.sampled_from(CHUNK_PARTS)))
    def test_chunks_are_the_same_at_once_and_in_bytes(
        self, parts: list[bytes]
    ) -> None:
        """Whole chunks are read in one pass, others part by part."""
        raw = post(CHUNKED, b''.join(parts))

        self.assertEqual(
            read(raw, piece_bytes=len(raw)), read(raw, piece_bytes=1)
        )

    def test_tiny_chunks_are_read_in_one_pass(self) -> None:
        """Guards against callers starved by a body in tiny chunks."""
        reader = MessageReader(WebLimits())
        reader.feed(post(CHUNKED, b'1\r\nx\r\n' * 2000))
        part = Mock(wraps=reader._read_chunk_part)
        with patch.object(reader, '_read_chunk_part', part):
            reader.advance()

        self.assertEqual(len(reader.body), 2000)
        self.assertLess(part.call_count, 10)

    def test_continue_is_requested_before_the_body(self) -> None:
        """A client that expects 100 Continue gets it once."""
        raw = post(b'Expect: 100-continue\r\nContent-Length: 2\r\n', b'')

        self.assertEqual(read(raw), [SendContinue()])

    def test_backslashes_are_kept(self) -> None:
        """An escaped line end in a header does not start another one."""
        steps = read(b'GET /a HTTP/1.1\r\n%sX: a\x5cr\x5cnY: b\r\n\r\n' % HOST)

        self.assertIsInstance(steps[0], Message)
        self.assertEqual(steps[0].head.headers['X'], 'a\x5cr\x5cnY: b')


class TestRefusals(unittest.TestCase):
    """Malformed or too large input is refused."""

    def test_refused_input(self) -> None:
        """Each error has its status."""
        cases = {
            b'\x16\x03\x01\r\n\r\n': 400,
            b'GET /a HTTP/1.1\n\n' + b'x' * 300: 431,
            b'GET /a HTTP/1.1\r\n\r\n': 400,
            b'GET  /a HTTP/1.1\r\n%s\r\n' % HOST: 400,
            b'GET /a HTTP/3.0\r\n%s\r\n' % HOST: 505,
            b'BREW /a HTTP/1.1\r\n%s\r\n' % HOST: 501,
            b'GET //a HTTP/1.1\r\n%s\r\n' % HOST: 400,
            b'GET http://x/a HTTP/1.1\r\n%s\r\n' % HOST: 400,
            b'GET /a/%%2e./b HTTP/1.1\r\n%s\r\n' % HOST: 400,
            b'GET /a HTTP/1.1\r\n%sX : y\r\n\r\n' % HOST: 400,
            b'GET /a HTTP/1.1\r\n%s folded\r\n\r\n' % HOST: 400,
            b'GET /a HTTP/1.1\r\n%sX: \x00\r\n\r\n' % HOST: 400,
            b'GET /a HTTP/1.1\r\n%s%s\r\n' % (HOST, HOST): 400,
            post(b'Content-Length: -1\r\n', b''): 400,
            post(b'Content-Length: 1\r\nContent-Length: 1\r\n', b'x'): 400,
            post(b'Content-Length: 1\r\n' + CHUNKED, b'x'): 400,
            post(b'Transfer-Encoding: gzip\r\n', b'x'): 501,
            post(b'Content-Length: 11\r\n', b''): 413,
            post(CHUNKED, b'6\r\nsixsix\r\n5\r\n'): 413,
            post(CHUNKED, b'zz\r\n'): 400,
            post(CHUNKED, b'1\r\nab\r\n'): 400,
            post(CHUNKED, b'1' * 300): 400,
        }
        statuses = {
            raw: [int(step.status) for step in read(raw)] for raw in cases
        }

        self.assertEqual(
            statuses, {raw: [status] for raw, status in cases.items()}
        )

    @given(strategies.binary(max_size=400))
    def test_any_bytes_hold_bounded_memory(self, raw: bytes) -> None:
        """Nothing raises, and the body stays within its limit."""
        reader = MessageReader(LIMITS)
        reader.feed(raw)
        step = reader.advance()
        while isinstance(step, Message | SendContinue):
            step = reader.advance()

        self.assertLessEqual(len(reader.body), 10)
