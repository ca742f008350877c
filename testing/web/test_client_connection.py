"""Tests of client connections against peers that misbehave."""

import asyncio
import struct
import unittest
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from socket import SO_LINGER, SOL_SOCKET

from bramleylug.web.client_connection import (
    ClientConnection,
    ClientRequest,
    ConnectionBroken,
    MalformedAnswer,
    call,
)

Peer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
REQUEST = ClientRequest('GET', '/x', [('Host', 'a')])


def answering(*raws: bytes, reset: bool = False) -> Peer:
    """Return a peer that answers each request with some bytes."""

    async def serve(reader, writer):
        for raw in raws:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(raw)
            await writer.drain()
        if reset:
            sock = writer.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(SOL_SOCKET, SO_LINGER, linger)
        writer.close()

    return serve


@asynccontextmanager
async def connected(peer: Peer):
    """Yield a connection to a peer."""

    async def serve(reader, writer):
        try:
            await peer(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError):
            # The test is over, and asyncio would log a traceback.
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    connection = await ClientConnection.open(f'{host}:{port}', timeout_s=5)
    try:
        yield connection
    finally:
        connection.close()
        server.close()


class TestClientConnection(unittest.IsolatedAsyncioTestCase):
    """An answer is whole, or its fault is told."""

    async def test_two_requests_share_a_connection(self) -> None:
        """A connection whose answer was read to its end is kept."""
        raw = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi'
        async with connected(answering(raw, raw)) as connection:
            first = await call(connection, REQUEST)
            second = await call(connection, REQUEST)

        self.assertEqual([first[1], second[1]], [b'hi', b'hi'])

    async def test_body_that_ends_early_is_broken(self) -> None:
        """A truncated answer is never taken for a whole one."""
        raw = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi'
        async with connected(answering(raw)) as connection:
            with self.assertRaises(ConnectionBroken):
                await call(connection, REQUEST)

    async def test_chunks_without_an_end_are_broken(self) -> None:
        """The last chunk is missing."""
        raw = (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n'
        )
        async with connected(answering(raw)) as connection:
            with self.assertRaises(ConnectionBroken):
                await call(connection, REQUEST)

    async def test_answer_without_length_ends_with_its_connection(self) -> None:
        """A clean end is the end of the body."""
        raw = b'HTTP/1.1 200 OK\r\n\r\nhi'
        async with connected(answering(raw)) as connection:
            _, body = await call(connection, REQUEST)
            reusable = connection.reusable

        self.assertEqual(body, b'hi')
        self.assertFalse(reusable)

    async def test_answer_without_length_that_is_reset_is_broken(self) -> None:
        """A reset is no end."""
        raw = b'HTTP/1.1 200 OK\r\n\r\nhi'
        async with connected(answering(raw, reset=True)) as connection:
            with self.assertRaises(ConnectionBroken):
                await call(connection, REQUEST)

    async def test_garbage_is_malformed(self) -> None:
        """Bytes that are no answer are told as such."""
        async with connected(answering(b'\x00\x01nonsense\r\n\r\n')) as one:
            with self.assertRaises((MalformedAnswer, ConnectionBroken)):
                await call(one, REQUEST)

    async def test_bytes_after_an_answer_spoil_the_connection(self) -> None:
        """They would be taken for the answer to the next request."""
        raw = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi'
        async with connected(answering(raw + raw)) as connection:
            _, body = await call(connection, REQUEST)

            self.assertEqual(body, b'hi')
            self.assertFalse(connection.reusable)
            with self.assertRaises(ConnectionBroken):
                connection.send(REQUEST)

    async def test_answer_before_the_body_was_taken_is_read(self) -> None:
        """An engine may refuse a long request early."""
        body = b'x' * 40_000_000
        raw = b'HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n'
        request = ClientRequest('POST', '/x', [('Host', 'a')], body)

        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(raw)
            await asyncio.sleep(0.2)
            writer.close()

        async with connected(serve) as connection:
            connection.send(request)
            head = await connection.read_head()
            await connection.read_piece()

            self.assertEqual(head.status, 400)
            self.assertFalse(connection.reusable)

    async def test_unread_answers_stop_the_reading(self) -> None:
        """A peer that sends more than is read is held back."""
        raw = b'HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n'
        async with connected(answering(raw + b'x' * 9_000_000)) as connection:
            connection.send(REQUEST)
            await connection.read_head()
            await asyncio.sleep(0.2)

            held_bytes = sum(map(len, connection.waiting_bytes))

        self.assertLess(held_bytes, 1_000_000)

    async def test_silent_peer_is_noticed_by_the_kernel(self) -> None:
        """Keep-alive probes and a bound on unacknowledged bytes are set."""
        async with connected(answering(b'')) as connection:
            sock = connection.transport.get_extra_info('socket')
            options = [sock.getsockopt(6, option) for option in (4, 5, 6, 18)]

        self.assertEqual(options, [2, 1, 2, 3000])
