"""Tests of reading chunks from an origin that misbehaves."""

import unittest
from socket import create_server
from threading import Thread

from bramleylug.weights.chunk_clients import FailedRead, OriginClient
from bramleylug.weights.peers import FailureReason
from bramleylug.weights.rate_limiter import LinkRateLimiter
from testing.builders import build_manifest

UNREACHABLE = FailedRead(FailureReason.unreachable)


class TestOriginClient(unittest.TestCase):
    """A read that fails is not taken for corrupt weights."""

    def read(self, answer: bytes) -> bytes | FailedRead:
        """Return the first chunk from an origin with this answer."""
        server = create_server(('127.0.0.1', 0))
        self.addCleanup(server.close)

        def serve():
            connection, _ = server.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(answer)

        Thread(target=serve, daemon=True).start()
        host, port = server.getsockname()
        client = OriginClient(f'{host}:{port}', LinkRateLimiter(1e9))
        return client.chunk(build_manifest(), 0, lambda size_bytes: None)

    def test_body_that_ends_early_is_no_chunk(self) -> None:
        """The origin was cut off; its weights are not corrupt."""
        answer = b'HTTP/1.1 206 X\r\nContent-Length: 8\r\n\r\nhalf'

        self.assertEqual(self.read(answer), UNREACHABLE)

    def test_body_of_an_error_is_no_chunk(self) -> None:
        """The origin is overloaded."""
        answer = b'HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy'

        self.assertEqual(self.read(answer), UNREACHABLE)

    def test_whole_body_is_returned(self) -> None:
        answer = b'HTTP/1.1 206 X\r\nContent-Length: 4\r\n\r\ndata'

        self.assertEqual(self.read(answer), b'data')
