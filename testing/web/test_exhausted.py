"""Tests of servers whose process has no file descriptor left."""

import os
import socket
import time
import unittest
from threading import Thread

from bramleylug.web.server import WebServer
from testing.web.descriptors import no_free_descriptor

TIMEOUT_S = 5.0
REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
# Of a core, while nothing is asked for.
IDLE_SHARE = 0.2


class TestNoFreeDescriptor(unittest.TestCase):
    """New connections are rejected at once; nothing else changes."""

    def setUp(self) -> None:
        self.server = WebServer(
            '127.0.0.1:0', lambda one: one.reply(200, b'served')
        )
        self.thread = Thread(target=self.server.run, daemon=True)
        self.thread.start()
        self.addCleanup(self.thread.join, TIMEOUT_S)
        self.addCleanup(self.server.stop)
        self.kept = self._new_socket()
        self._connect(self.kept)
        self.late = [self._new_socket() for _ in range(3)]

    def test_new_connections_are_reset(self) -> None:
        """They stayed open in silence, readiness included."""
        with no_free_descriptor():
            for client in self.late:
                with self.assertRaises(ConnectionError):
                    self._connect(client)

    def test_kept_connection_is_served(self) -> None:
        with no_free_descriptor():
            with self.assertRaises(ConnectionError):
                self._connect(self.late[0])
            self.assertIn(b'served', self._request(self.kept))

    def test_loop_does_not_spin(self) -> None:
        """A connection that can't be accepted is reported without end."""
        clock = time.pthread_getcpuclockid(self.thread.ident or 0)
        with no_free_descriptor():
            # Another thread has taken the descriptor kept for rejecting.
            self.server.tcp.spare.release()
            taken = os.dup(self.kept.fileno())
            self.late[0].connect((self.server.host, self.server.port))
            before_s = time.clock_gettime(clock)
            time.sleep(1)
            spent_s = time.clock_gettime(clock) - before_s
            os.close(taken)
        self.assertLess(spent_s, IDLE_SHARE)
        self.assertIn(b'served', self._request(self.late[0]))

    def test_new_connections_are_served_afterwards(self) -> None:
        with no_free_descriptor(), self.assertRaises(ConnectionError):
            self._connect(self.late[0])
        self._connect(self.late[1])

    def _new_socket(self) -> socket.socket:
        client = socket.socket()
        client.settimeout(TIMEOUT_S)
        self.addCleanup(client.close)
        return client

    def _connect(self, client: socket.socket) -> None:
        """Connect and have a request served."""
        client.connect((self.server.host, self.server.port))
        self.assertIn(b'served', self._request(client))

    def _request(self, client: socket.socket) -> bytes:
        client.sendall(REQUEST)
        answer = client.recv(4096)
        if not answer:
            raise ConnectionError('connection was closed')
        return answer
