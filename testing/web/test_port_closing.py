"""Tests of what happens to requests beside new limits and closing."""

import errno
import socket
import time
import unittest
from threading import Thread
from typing import Any

from bramleylug.web.exchange import Exchange
from bramleylug.web.limits import WebLimits
from bramleylug.web.server import WebServer
from testing.web.ports import REQUEST, FakeSocket, PortHarness

CHUNKED = (
    b'POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'8\r\nabcdefgh\r\n0\r\n\r\n'
)
TIMEOUT_S = 10.0
POLL_S = 0.02


def build_harness(**limits: Any) -> PortHarness:
    """Return a port that closes idle connections without a response."""
    return PortHarness(respond_before_close=False, **limits)


def open_idle(harness: PortHarness) -> FakeSocket:
    """Return a connection that has been idle since its first response."""
    sock = harness.connect()
    harness.receive(sock, REQUEST)
    harness.served[0].reply(200, b'first')
    return sock


class TestNewLimits(unittest.TestCase):
    """A wait or a request keeps the limits that it began with."""

    def test_request_on_a_connection_idle_since_before_a_lower_limit(
        self,
    ) -> None:
        """It was read and discarded, without an answer or a refusal."""
        harness = build_harness(idle_timeout_s=10)
        sock = open_idle(harness)
        harness.pass_time(4)
        harness.port.apply_limits(WebLimits(idle_timeout_s=3))
        harness.pass_time(0)
        harness.receive(sock, REQUEST)

        self.assertEqual(len(harness.served), 2)

    def test_lowered_idle_limit_applies_to_the_next_wait(self) -> None:
        harness = build_harness(idle_timeout_s=10)
        sock = open_idle(harness)
        harness.port.apply_limits(
            WebLimits(idle_timeout_s=3, respond_before_close=False)
        )
        harness.receive(sock, REQUEST)
        harness.served[-1].reply(200, b'second')
        harness.pass_time(4)
        harness.pass_time(3)

        self.assertEqual(harness.transport.events, ['closed'])

    def test_idle_limit_it_began_with_closes_the_connection(self) -> None:
        harness = build_harness(idle_timeout_s=10)
        open_idle(harness)
        harness.port.apply_limits(
            WebLimits(idle_timeout_s=3, respond_before_close=False)
        )
        harness.pass_time(11)
        harness.pass_time(3)

        self.assertEqual(harness.transport.events, ['closed'])

    def test_raised_idle_limit_applies_at_once(self) -> None:
        harness = build_harness(idle_timeout_s=3)
        sock = open_idle(harness)
        harness.port.apply_limits(WebLimits(idle_timeout_s=10))
        harness.pass_time(4)
        harness.receive(sock, REQUEST)

        self.assertEqual(len(harness.served), 2)

    def test_partly_received_request_is_not_held_to_shorter_timeouts(
        self,
    ) -> None:
        """Neither its head nor its body is cut off by new limits."""
        for received_bytes in (9, len(REQUEST) - 1):
            with self.subTest(received_bytes):
                harness = build_harness(head_timeout_s=10, body_timeout_s=10)
                sock = harness.connect()
                harness.receive(sock, REQUEST[:received_bytes])
                harness.port.apply_limits(
                    WebLimits(head_timeout_s=1, body_timeout_s=1)
                )
                harness.pass_time(2)
                harness.receive(sock, REQUEST[received_bytes:])

                self.assertEqual((len(harness.served), sock.sent), (1, b''))

    def test_partly_received_request_is_not_held_to_smaller_sizes(
        self,
    ) -> None:
        for received_bytes in (9, len(CHUNKED) - 9):
            with self.subTest(received_bytes):
                harness = build_harness()
                sock = harness.connect()
                harness.receive(sock, CHUNKED[:received_bytes])
                harness.port.apply_limits(WebLimits(head_bytes=8, body_bytes=4))
                harness.receive(sock, CHUNKED[received_bytes:])

                self.assertEqual((len(harness.served), sock.sent), (1, b''))

    def test_later_request_is_held_to_smaller_sizes(self) -> None:
        harness = build_harness()
        sock = open_idle(harness)
        harness.port.apply_limits(WebLimits(body_bytes=1))
        harness.receive(sock, REQUEST)

        self.assertIn(b' 413 ', sock.sent)


class TestRequestOnItsWay(unittest.TestCase):
    """A connection with a request in its socket is not closed as idle."""

    def test_request_in_the_socket_is_served_though_the_limit_passed(
        self,
    ) -> None:
        """After a pause of the process the sweep came before the input."""
        harness = build_harness(idle_timeout_s=5)
        sock = open_idle(harness)
        harness.transport.unread.add(sock)
        harness.pass_time(6)
        harness.receive(sock, REQUEST)

        self.assertEqual(len(harness.served), 2)

    def test_request_in_the_socket_is_answered_while_draining(
        self,
    ) -> None:
        harness = build_harness()
        sock = open_idle(harness)
        harness.pass_time(3)
        harness.transport.unread.add(sock)
        harness.call(harness.port.start_draining)
        busy = harness.port.busy
        harness.receive(sock, REQUEST)

        self.assertTrue(busy)
        self.assertEqual(len(harness.served), 2)

    def test_request_in_the_socket_after_a_response_is_answered(
        self,
    ) -> None:
        """A response begun before draining did not announce the close."""
        harness = build_harness()
        sock = harness.connect()
        harness.receive(sock, REQUEST)
        harness.served[0].start(200, {}, 0)
        harness.port.start_draining()
        harness.transport.unread.add(sock)
        harness.served[0].finish()
        harness.receive(sock, REQUEST)

        self.assertEqual(len(harness.served), 2)

    def test_first_request_of_a_connection_drained_is_answered(
        self,
    ) -> None:
        """A connection just accepted was closed before its first request."""
        harness = build_harness()
        sock = harness.connect()
        harness.pass_time(0.5)
        harness.call(harness.port.start_draining)
        harness.receive(sock, REQUEST)

        self.assertEqual(len(harness.served), 1)

    def test_silent_new_connection_is_closed_while_draining(
        self,
    ) -> None:
        harness = build_harness()
        harness.connect()
        harness.call(harness.port.start_draining)
        harness.pass_time(2.1)
        harness.pass_time(2.1)

        self.assertEqual(harness.transport.events, ['closed'])
        self.assertFalse(harness.port.busy)


class TestCrossingRequest(unittest.TestCase):
    """A request that crosses the close of an idle connection, on loopback."""

    def setUp(self) -> None:
        """Start a server whose clock the test moves."""
        self.now_s = 0.0
        self.server = WebServer(
            '127.0.0.1:0',
            answer,
            limits=WebLimits(idle_timeout_s=5, respond_before_close=False),
            clock=lambda: self.now_s,
        )
        thread = Thread(target=self.server.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, TIMEOUT_S)
        self.addCleanup(self.server.stop)
        address = (self.server.host, self.server.port)
        self.client = socket.create_connection(address, TIMEOUT_S)
        self.addCleanup(self.client.close)

    def close_idle(self) -> None:
        """Have one request answered, then the connection closed as idle."""
        self.client.sendall(REQUEST)
        self.client.recv(1024)
        while self.server.busy:
            time.sleep(POLL_S)
        self.now_s = 6.0
        self.assertEqual(self.client.recv(1024), b'')

    def wait_for_error(self) -> int:
        """Return the pending error of the client's socket; 0 for none."""
        deadline_s = time.monotonic() + TIMEOUT_S / 4
        error = 0
        while not error and time.monotonic() < deadline_s:
            time.sleep(POLL_S)
            error = self.client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return error

    def test_it_stays_unread_and_is_reset(self) -> None:
        """It was read and dropped, so the client could not know it not run."""
        self.close_idle()
        self.client.sendall(REQUEST)
        time.sleep(10 * POLL_S)  # until it is in the server's socket
        self.now_s = 9.0

        self.assertIn(self.wait_for_error(), (errno.EPIPE, errno.ECONNRESET))

    def test_client_that_closes_too_is_forgotten_at_once(self) -> None:
        self.close_idle()
        self.client.close()
        deadline_s = time.monotonic() + TIMEOUT_S
        while self.server.connections.connections:
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(POLL_S)


def answer(exchange: Exchange) -> None:
    """Respond with a short body."""
    exchange.reply(200, b'done')
