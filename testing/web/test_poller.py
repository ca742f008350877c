"""Tests of the poller with real sockets."""

import socket
import unittest
from threading import Thread
from types import SimpleNamespace
from typing import Any

from circuits import BaseComponent, handler

from bramleylug.node.udp import DatagramServer
from bramleylug.web.poller import Poller
from bramleylug.web.server import WebServer
from testing.web.descriptors import high_descriptors

TIMEOUT_S = 5.0
REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'


class DatagramEcho(BaseComponent):
    """Sends each datagram back to where it came from."""

    channel = 'echo'

    def __init__(self) -> None:
        super().__init__()
        self.udp = DatagramServer(('127.0.0.1', 0), channel='echo')
        self.udp.register(self)

    @handler('read')
    def _on_read(self, address: tuple[str, int], raw: bytes) -> None:
        self.udp.write(address, raw)


def run_in_thread(test: unittest.TestCase, component: Any) -> None:
    """Run a component until the end of a test."""
    thread = Thread(target=component.run, daemon=True)
    thread.start()
    test.addCleanup(thread.join, TIMEOUT_S)
    test.addCleanup(component.stop)


def connect(test: unittest.TestCase, server: WebServer) -> socket.socket:
    address = (server.host, server.port)
    client = socket.create_connection(address, TIMEOUT_S)
    test.addCleanup(client.close)
    return client


class TestHighDescriptors(unittest.TestCase):
    """Descriptors from 1,024 on, which select(2) does not take, are served."""

    def setUp(self) -> None:
        self.enterContext(high_descriptors())

    def test_new_connections_are_served(self) -> None:
        """They were accepted and never read, while the process was idle."""
        server = WebServer('127.0.0.1:0', lambda one: one.reply(200, b'served'))
        run_in_thread(self, server)
        client = connect(self, server)
        client.sendall(REQUEST)
        self.assertIn(b'served', client.recv(4096))

    def test_kept_connections_are_still_served(self) -> None:
        """One failing select(2) call took other sockets out, too."""
        server = WebServer('127.0.0.1:0', lambda one: one.reply(200, b'served'))
        run_in_thread(self, server)
        clients = [connect(self, server) for _ in range(3)]
        for client in (*clients, *clients):
            client.sendall(REQUEST)
            self.assertIn(b'served', client.recv(4096))

    def test_datagrams_are_received(self) -> None:
        """Gossip shares its loop with the HTTP port."""
        echo = DatagramEcho()
        run_in_thread(self, echo)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
            client.settimeout(TIMEOUT_S)
            client.sendto(b'ping', (echo.udp.host, echo.udp.port))
            self.assertEqual(client.recv(16), b'ping')


class PollerHarness:
    """A poller with one socket pair, and the events that it reports.

    :ivar sock: the socket that is watched.
    :ivar peer: the other end.
    """

    def __init__(self, test: unittest.TestCase) -> None:
        self.poller = Poller()
        self.fired: list[str] = []
        self.poller.fire = lambda event, *_: self.fired.append(event.name)
        self.source = SimpleNamespace(channel='test')
        pair = socket.socketpair()
        self.sock = pair[0]
        self.peer = pair[1]
        test.addCleanup(self.sock.close)
        test.addCleanup(self.peer.close)
        test.addCleanup(self.poller.selector.close)

    def poll(self) -> list[str]:
        """Return the names of the events that one poll reports."""
        self.fired.clear()
        event = SimpleNamespace(time_left=0)
        self.poller._generate_events(event)  # noqa: SLF001
        return sorted(self.fired)


class TestPoller(unittest.TestCase):
    """What is reported of a socket follows from what is awaited from it."""

    def reuse_descriptor(
        self, sock: socket.socket
    ) -> tuple[socket.socket, socket.socket]:
        """Close a socket; return one with its descriptor, and its peer."""
        descriptor = sock.fileno()
        sock.close()
        other, peer = socket.socketpair()
        self.addCleanup(peer.close)
        self.addCleanup(other.close)
        self.assertEqual(other.fileno(), descriptor)
        return other, peer

    def test_socket_added_twice_is_removed_at_once(self) -> None:
        """It stayed in the list of the poller and was read while paused."""
        harness = PollerHarness(self)
        harness.peer.send(b'x')
        harness.poller.addReader(harness.source, harness.sock)
        harness.poller.addReader(harness.source, harness.sock)
        self.assertEqual(harness.poll(), ['_read'])

        harness.poller.removeReader(harness.sock)
        self.assertFalse(harness.poller.isReading(harness.sock))
        self.assertEqual(harness.poll(), [])

    def test_hang_up_of_a_paused_socket_does_not_wake_the_loop(self) -> None:
        """Level-triggered, it would be reported without end."""
        harness = PollerHarness(self)
        harness.poller.addReader(harness.source, harness.sock)
        harness.poller.removeReader(harness.sock)
        harness.peer.close()
        self.assertEqual(harness.poll(), [])

        harness.poller.addReader(harness.source, harness.sock)
        self.assertEqual(harness.poll(), ['_read'])

    def test_hang_up_is_reported_to_a_waiting_writer(self) -> None:
        """Reading is paused, so only the next write can fail."""
        harness = PollerHarness(self)
        harness.poller.addWriter(harness.source, harness.sock)
        harness.peer.close()
        self.assertEqual(harness.poll(), ['_write'])

    def test_socket_closed_before_its_removal_leaves_nothing(self) -> None:
        """Its descriptor is used again for the next connection."""
        harness = PollerHarness(self)
        harness.poller.addReader(harness.source, harness.sock)
        other, peer = self.reuse_descriptor(harness.sock)
        harness.poller.discard(harness.sock)
        harness.poller.addReader(harness.source, other)

        peer.send(b'x')
        self.assertEqual(harness.poll(), ['_read'])

    def test_descriptor_is_used_again_before_the_removal(self) -> None:
        """The new socket would never be read."""
        harness = PollerHarness(self)
        harness.poller.addReader(harness.source, harness.sock)
        other, peer = self.reuse_descriptor(harness.sock)
        harness.poller.addReader(harness.source, other)
        harness.poller.discard(harness.sock)

        peer.send(b'x')
        self.assertEqual(harness.poll(), ['_read'])

    def test_wake_ups_without_a_poll_do_not_block(self) -> None:
        """A loop that hangs must not stop the threads that call it."""
        harness = PollerHarness(self)
        harness.poller.waiting = True
        for _ in range(100_000):
            harness.poller.resume()
        self.assertEqual(harness.poll(), [])


class TestOnePoller(unittest.TestCase):
    """All servers of a loop, of TCP and UDP, have the project's poller."""

    def test_servers_share_it(self) -> None:
        root = BaseComponent()
        servers = [
            WebServer('127.0.0.1:0', lambda _: None, channel=name).register(
                root
            )
            for name in ('first', 'second')
        ]
        udp = DatagramServer(('127.0.0.1', 0), channel='udp').register(root)
        while len(root):
            root.flush()
        pollers = {
            one._poller  # noqa: SLF001
            for one in (udp, *(server.tcp for server in servers))
        }
        self.assertEqual([type(one) for one in pollers], [Poller])
