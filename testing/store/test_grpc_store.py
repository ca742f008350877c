"""Tests of the gRPC client against the fake store."""

import unittest
from socket import create_connection, create_server, socket
from threading import Thread

from bramleylug.fakes.store import FakeStoreServer
from bramleylug.store.grpc_store import GrpcStore
from bramleylug.store.store import (
    StoredValue,
    Swapped,
    Unavailable,
    Uncertain,
)
from bramleylug.wire.platform_pb2 import StoreFaults

PIECE_BYTES = 65536
SHORT_S = 0.3
LONG_S = 10


class TcpProxy:
    """Forwards connections until told to discard the data of open ones."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(':')
        self.target = (host, int(port))
        self.listener = create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'
        self.discarding: set[socket] = set()
        self.open: list[socket] = []
        Thread(target=self._accept, daemon=True).start()

    def discard_open(self) -> None:
        """Forward nothing more on the connections that are open now."""
        self.discarding.update(self.open)

    def close(self) -> None:
        for sock in (self.listener, *self.open):
            sock.close()

    def _accept(self) -> None:
        while self.listener.fileno() != -1:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            server = create_connection(self.target)
            self.open.extend((client, server))
            for source, sink in ((client, server), (server, client)):
                Thread(
                    target=self._forward, args=(source, sink), daemon=True
                ).start()

    def _forward(self, source: socket, sink: socket) -> None:
        try:
            while piece := source.recv(PIECE_BYTES):
                if source not in self.discarding:
                    sink.sendall(piece)
        except OSError:
            return


class TestGrpcStore(unittest.TestCase):
    """Each failure of a call is reported as the outcome that it leaves."""

    def setUp(self) -> None:
        """Serve a store behind a proxy."""
        self.server = FakeStoreServer()
        self.server.start()
        self.addCleanup(self.server.stop)
        self.proxy = TcpProxy(self.server.address)
        self.addCleanup(self.proxy.close)
        self.store = GrpcStore.from_address(self.proxy.address)

    def write(self, timeout_s: float = LONG_S) -> object:
        return self.store.compare_and_swap('key', 0, b'v', timeout_s=timeout_s)

    def test_vanished_connection_is_replaced(self) -> None:
        """Calls after the first unanswered one reach the store."""
        self.assertEqual(self.write(), Swapped(1))
        self.proxy.discard_open()
        lost = self.store.read('key', timeout_s=SHORT_S)
        self.assertIsInstance(lost, Unavailable)

        found = self.store.read('key', timeout_s=LONG_S)

        self.assertEqual(found, StoredValue(b'v', 1))

    def test_write_without_answer_is_uncertain(self) -> None:
        """The write may have reached the store."""
        self.store.read('key', timeout_s=LONG_S)
        self.proxy.discard_open()

        self.assertIsInstance(self.write(SHORT_S), Uncertain)

    def test_refused_write_is_unavailable(self) -> None:
        """The status code says that nothing was written."""
        self.server.store.SetFaults(StoreFaults(fail_before=1), None)

        self.assertEqual(self.write(), Unavailable('refused by fault'))
