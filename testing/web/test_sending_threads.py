"""Tests of responses that another thread than that of the loop sends."""

import unittest
from collections.abc import Iterable
from http.client import HTTPConnection, HTTPException
from random import Random
from socket import SO_LINGER, SOL_SOCKET
from threading import Thread
from typing import Any

from bramleylug.web.exchange import Exchange
from bramleylug.web.server import WebServer
from bramleylug.web.sockets import RESET_ON_CLOSE
from testing.web.ports import REQUEST, PortHarness

SENDERS = 8
ROUNDS = 60
PIECES = 40
TIMEOUT_S = 20.0


class SendingCase(unittest.TestCase):
    """Base of tests with one exchange and a loop that the test runs."""

    def setUp(self) -> None:
        self.harness = PortHarness()
        self.sock = self.harness.connect()
        self.harness.receive(self.sock, REQUEST)
        self.exchange = self.harness.served[0]
        self.harness.deferred = True

    def start(self) -> None:
        """Start a response of ten bytes; forget its head."""
        self.exchange.start(200, {}, 10)
        self.harness.run_calls()
        self.sock.sent = b''


class TestPiecesSentAtOnce(SendingCase):
    """A piece that nothing precedes does not wake the loop."""

    def test_piece_of_a_started_response_wakes_no_loop(self) -> None:
        self.start()
        self.exchange.send(b'12345')
        self.exchange.send(b'67890')

        self.assertEqual(self.sock.sent, b'1234567890')
        self.assertEqual(self.harness.calls, [])
        self.assertEqual(self.exchange.pending_bytes, 0)

    def test_pieces_stay_behind_what_the_loop_has_not_run(self) -> None:
        self.exchange.start(200, {}, 10)
        self.exchange.send(b'12345')
        self.exchange.send(b'67890')
        before = self.sock.sent
        self.harness.run_calls()

        self.assertEqual(before, b'')
        self.assertTrue(self.sock.sent.endswith(b'\r\n\r\n1234567890'))

    def test_pieces_stay_behind_what_the_socket_did_not_accept(self) -> None:
        self.start()
        self.sock.capacity = 2
        self.exchange.send(b'12345')
        self.exchange.send(b'67890')
        pending = self.exchange.pending_bytes
        self.harness.run_calls()
        self.harness.drain(self.sock, 100)

        self.assertEqual(pending, 8)
        self.assertEqual(self.sock.sent, b'1234567890')
        self.assertEqual(self.exchange.pending_bytes, 0)

    def test_pieces_stay_behind_one_that_waits_for_the_loop(self) -> None:
        """The socket may have accepted what was before that one."""
        self.start()
        self.sock.capacity = 1
        self.exchange.send(b'12')
        self.exchange.send(b'345')
        self.harness.drain(self.sock, 100)
        self.exchange.send(b'67890')
        self.harness.run_calls()

        self.assertEqual(self.sock.sent, b'1234567890')

    def test_response_ends_after_its_last_piece(self) -> None:
        self.start()
        self.exchange.send(b'1234567890')
        self.exchange.finish()
        self.harness.run_calls()

        self.assertIsNone(self.harness.port.connections[self.sock].exchange)
        self.assertEqual(self.harness.transport.events, [])

    def test_broken_connection_is_closed_by_the_loop(self) -> None:
        self.start()
        self.sock.broken = True
        self.exchange.send(b'12345')
        closed_before = self.exchange.closed
        self.harness.run_calls()

        self.assertFalse(closed_before)
        self.assertTrue(self.exchange.closed)
        self.assertEqual(self.harness.transport.events, ['closed'])

    def test_nothing_is_sent_once_the_connection_is_reset(self) -> None:
        """Its descriptor may be that of another connection by then."""
        self.start()
        self.harness.port.reset(self.exchange.connection)
        # What the sender saw before the reset.
        self.exchange.closed = False
        self.exchange.send(b'12345')

        self.assertEqual(self.sock.sent, b'')

    def test_nothing_is_sent_once_the_socket_has_failed(self) -> None:
        self.start()
        self.harness.port.disconnected(self.sock)
        self.exchange.closed = False
        self.exchange.send(b'12345')

        self.assertEqual(self.sock.sent, b'')

    def test_sender_is_told_that_its_piece_was_accepted(self) -> None:
        self.start()
        told = []
        self.exchange.on_drained = lambda: told.append(
            self.exchange.pending_bytes
        )
        self.exchange.send(b'12345')

        self.assertEqual(told, [0])


class Senders:
    """Answers each request on a thread of its own, piece by piece.

    Some connections are reset meanwhile, as their request says.
    """

    def __init__(self) -> None:
        self.server = WebServer('127.0.0.1:0', self.serve)
        self.loop = Thread(target=self.server.run, daemon=True)
        self.loop.start()

    def serve(self, exchange: Exchange) -> None:
        Thread(target=self.send, args=(exchange,), daemon=True).start()

    def send(self, exchange: Exchange) -> None:
        name, _, end = exchange.path.strip('/').partition('/')
        exchange.start(200, {}, None if end == 'chunked' else body_bytes(name))
        for piece in pieces(name):
            exchange.send(piece)
            if end == 'abort' and piece.endswith(b'-20.'):
                exchange.abort()
        exchange.finish()


def pieces(name: str) -> Iterable[bytes]:
    """Return the pieces of a body, which name the request."""
    return (f'{name}-{number}.'.encode() for number in range(PIECES))


def body_bytes(name: str) -> int:
    return sum(map(len, pieces(name)))


class TestSendingThreads(unittest.TestCase):
    """Many threads send beside the loop, which closes connections."""

    def test_no_caller_gets_a_piece_of_another_answer(self) -> None:
        senders = Senders()
        self.addCleanup(senders.server.stop)
        found: list[Any] = []
        threads = [
            Thread(target=self.ask, args=(senders.server, number, found))
            for number in range(SENDERS)
        ]
        for thread in threads:
            thread.start()
        for started in threads:
            started.join(TIMEOUT_S)

        self.assertEqual(found, [])
        self.assertFalse(any(one.is_alive() for one in threads))

    def ask(self, server: WebServer, number: int, found: list[Any]) -> None:
        """Ask for many answers; note those that differ."""
        random = Random(number)
        for turn in range(ROUNDS):
            name = f'{number}x{turn}'
            end = random.choice(('whole', 'chunked', 'abort', 'leave'))
            connection = HTTPConnection(
                server.host, server.port, timeout=TIMEOUT_S
            )
            connection.request('GET', f'/{name}/{end}')
            whole = b''.join(pieces(name))
            if end == 'leave':
                connection.sock.setsockopt(
                    SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE
                )
                connection.close()
                continue
            got = _read(connection)
            connection.close()
            is_right = whole.startswith(got) if end == 'abort' else got == whole
            if not is_right:
                found.append((name, end, got))


def _read(connection: HTTPConnection) -> bytes:
    """Return what arrived of the body before its end or a reset."""
    read = b''
    try:
        response = connection.getresponse()
        while piece := response.read1():
            read += piece
    except (ConnectionError, HTTPException):
        return read
    return read
