"""Fuzzing of a server on loopback, with a fixed seed."""

import re
import socket
import unittest
from random import Random
from threading import Thread

from bramleylug.web.exchange import Exchange
from bramleylug.web.limits import WebLimits
from bramleylug.web.memory import MemoryLedger
from bramleylug.web.server import WebServer

SEED = 6
ROUNDS = 300
RESPONSE_TIMEOUT_S = 30
BODY = b'body of this request'
VALID = (
    b'POST /echo/%d HTTP/1.1\r\nHost: x\r\nContent-Length: 20\r\n\r\n' + BODY,
    b'POST /echo/%d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n'
    b'\r\n14\r\n' + BODY + b'\r\n0\r\n\r\n',
    b'GET /echo/%d?q=%%2f HTTP/1.1\r\nHost: x:y\r\nCookie: =;\x5cr\r\n\r\n',
)
TOKENS = (
    b'\r\n',
    b'\r\n\r\n',
    b'\x00',
    b'\x5c',
    b'%2f..',
    b'//',
    b'Content-Length: 99999999999\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Expect: 100-continue\r\n',
    b'\xff' * 9,
    b'x' * 5000,
)
STATUS_LINE = re.compile(rb'HTTP/1\.1 (\d{3}) ')


def echo(exchange: Exchange) -> None:
    """Respond with the path, so that a mixed-up response is detected."""
    exchange.reply(200, exchange.path.encode())


def mutate(raw: bytes, random: Random) -> bytes:
    """Return bytes with parts removed, inserted or repeated."""
    for _ in range(random.randint(1, 4)):
        at = random.randint(0, len(raw))
        match random.randrange(3):
            case 0:
                raw = raw[:at] + raw[at + random.randint(1, 9) :]
            case 1:
                raw = raw[:at] + random.choice(TOKENS) + raw[at:]
            case _:
                raw = raw[:at] + raw[at // 2 :]
    return raw


class TestServer(unittest.TestCase):
    """No input stops the server or mixes up its responses."""

    def setUp(self) -> None:
        """Start a server on a free port."""
        self.ledger = MemoryLedger(10**6)
        self.server = WebServer(
            '127.0.0.1:0',
            echo,
            limits=WebLimits(head_bytes=4096, body_bytes=4096),
            ledger=self.ledger,
        )
        self.thread = Thread(target=self.server.run, daemon=True)
        self.thread.start()

    def tearDown(self) -> None:
        self.server.stop()
        self.thread.join(RESPONSE_TIMEOUT_S)

    def exchange(
        self, pieces: list[bytes], *, half_close: bool = True
    ) -> bytes:
        """Send pieces, close the sending side and return all received."""
        address = (self.server.host, self.server.port)
        answer = b''
        with socket.create_connection(address, RESPONSE_TIMEOUT_S) as sock:
            try:
                for piece in pieces:
                    sock.sendall(piece)
                if half_close:
                    sock.shutdown(socket.SHUT_WR)
                while received := sock.recv(65536):
                    answer += received
            except ConnectionError:
                return answer
        return answer

    def test_mutated_requests(self) -> None:
        """After malformed and truncated input, valid requests are served."""
        random = Random(SEED)
        for number in range(ROUNDS):
            raw = b''.join(
                mutate(random.choice(VALID) % number, random)
                for _ in range(random.randint(1, 3))
            )
            size = random.choice((1, 7, 100, 10**6))
            pieces = [raw[at : at + size] for at in range(0, len(raw), size)]
            answer = self.exchange(pieces[:200])
            self.assertTrue(not answer or STATUS_LINE.match(answer), answer)
        healthy = self.exchange(
            [b'GET /echo/last HTTP/1.0\r\n\r\n'], half_close=False
        )

        self.assertTrue(healthy.endswith(b'/echo/last'))
        self.assertEqual(self.ledger.held_bytes, 0)

    def test_pipelined_responses_keep_their_order(self) -> None:
        """Twenty requests are sent in pieces of 33 bytes."""
        raw = b''.join(VALID[number % 3] % number for number in range(20))
        raw += b'GET /end HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
        pieces = [raw[at : at + 33] for at in range(0, len(raw), 33)]
        answer = self.exchange(pieces, half_close=False)
        paths = re.findall(rb'\r\n\r\n(/[a-z]+/?\d*)', answer)

        expected = [b'/echo/%d' % number for number in range(20)]
        self.assertEqual(paths, [*expected, b'/end'])

    def test_input_above_the_limits_is_refused(self) -> None:
        """The client keeps sending, and still gets the error response."""
        huge = b'x' * 2_000_000
        cases = {
            b'GET / HTTP/1.1\r\nX: ': b'431',
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000'
            b'\r\n\r\n': b'413',
            b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked'
            b'\r\n\r\n1e8480\r\n': b'413',
        }
        for head, status in cases.items():
            answer = self.exchange([head, huge], half_close=False)
            self.assertEqual(STATUS_LINE.match(answer)[1], status)
            self.assertIn(b'"run": "not_run"', answer)

    def test_continue_is_sent_before_the_body_is_received(self) -> None:
        """The client gets 100 Continue, then the response."""
        head = (
            b'POST /e HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n'
            b'Connection: close\r\nContent-Length: 2\r\n\r\n'
        )
        address = (self.server.host, self.server.port)
        with socket.create_connection(address, RESPONSE_TIMEOUT_S) as sock:
            sock.sendall(head)
            interim = sock.recv(100)
            sock.sendall(b'hi')
            answer = b''
            while received := sock.recv(65536):
                answer += received

        self.assertEqual(interim, b'HTTP/1.1 100 Continue\r\n\r\n')
        self.assertTrue(answer.endswith(b'/e'))
