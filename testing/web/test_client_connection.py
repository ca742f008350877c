"""Tests of client connections against peers that break the protocol."""

import asyncio
import struct
import unittest
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from socket import SO_LINGER, SOL_SOCKET
from unittest.mock import Mock

from bramleylug.web.client_connection import (
    ClientConnection,
    ClientRequest,
    ConnectionBroken,
    MalformedAnswer,
    call,
)
from bramleylug.web.read_turns import SLICE_PIECES, TURN_PIECES

Peer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
REQUEST = ClientRequest('GET', '/x', [('Host', 'a')])


def answering(*raws: bytes, reset: bool = False) -> Peer:
    """Return a peer that sends the next of these bytes on each request."""

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

    async def serve(reader, writer):
        try:
            await peer(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError):
            # The test has ended; asyncio would log a traceback.
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    connection = await ClientConnection.open(f'{host}:{port}', timeout_s=5)
    try:
        yield connection
    finally:
        connection.close()
        server.close()


async def most_read_in_a_turn(raw: bytes) -> int:
    """Return the most body bytes that are read in one turn of the loop."""
    connection = ClientConnection()
    connection.connection_made(
        Mock(
            get_write_buffer_size=Mock(return_value=0),
            get_extra_info=Mock(return_value=None),
        )
    )
    connection.send(REQUEST)
    connection.data_received(
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    )
    await connection.read_head()
    read: list[int] = []

    async def read_on() -> None:
        while True:
            read.append(len(await connection.read_piece()))

    reading = asyncio.create_task(read_on())
    connection.data_received(raw)
    most = 0
    for _ in range(50):
        read.clear()
        await asyncio.sleep(0)
        most = max(most, sum(read))
    reading.cancel()
    return most


class TestClientConnection(unittest.IsolatedAsyncioTestCase):
    """A response is complete, or an error is raised."""

    async def test_two_requests_share_a_connection(self) -> None:
        """A connection is reusable after a response read to its end."""
        raw = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi'
        async with connected(answering(raw, raw)) as connection:
            first = await call(connection, REQUEST)
            second = await call(connection, REQUEST)

        self.assertEqual([first[1], second[1]], [b'hi', b'hi'])

    async def test_number_that_is_no_final_status_raises(self) -> None:
        """Peers are the store, the origin, loaders and engines."""
        for status in (b'000', b'099', b'600', b'777', b'999', b'1000'):
            raw = b'HTTP/1.1 %s OK\r\nContent-Length: 2\r\n\r\nhi' % status
            async with connected(answering(raw)) as connection:
                answered = call(connection, REQUEST)
                with self.subTest(status=status):
                    await self.assert_malformed(answered)

    async def assert_malformed(self, answered) -> None:
        with self.assertRaises(MalformedAnswer):
            await answered

    async def test_truncated_body_raises(self) -> None:
        """The connection ends before the announced length."""
        raw = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi'
        async with connected(answering(raw)) as connection:
            with self.assertRaises(ConnectionBroken):
                await call(connection, REQUEST)

    async def test_missing_last_chunk_raises(self) -> None:
        """The connection ends inside a chunked body."""
        raw = (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n'
        )
        async with connected(answering(raw)) as connection:
            with self.assertRaises(ConnectionBroken):
                await call(connection, REQUEST)

    async def test_body_without_length_ends_with_the_connection(self) -> None:
        """A regular close ends the body; the connection is used up."""
        raw = b'HTTP/1.1 200 OK\r\n\r\nhi'
        async with connected(answering(raw)) as connection:
            _, body = await call(connection, REQUEST)
            reusable = connection.reusable

        self.assertEqual(body, b'hi')
        self.assertFalse(reusable)

    async def test_reset_of_a_body_without_length_raises(self) -> None:
        """A reset is not a regular end."""
        raw = b'HTTP/1.1 200 OK\r\n\r\nhi'
        async with connected(answering(raw, reset=True)) as connection:
            with self.assertRaises(ConnectionBroken):
                await call(connection, REQUEST)

    async def test_invalid_bytes_raise(self) -> None:
        """The peer does not speak HTTP."""
        async with connected(
            answering(b'\x00\x01nonsense\r\n\r\n')
        ) as connection:
            with self.assertRaises((MalformedAnswer, ConnectionBroken)):
                await call(connection, REQUEST)

    async def test_connection_with_bytes_after_a_response_is_not_reused(
        self,
    ) -> None:
        """They would be read as the response to the next request."""
        raw = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi'
        async with connected(answering(raw + raw)) as connection:
            _, body = await call(connection, REQUEST)

            self.assertEqual(body, b'hi')
            self.assertFalse(connection.reusable)
            with self.assertRaises(ConnectionBroken):
                connection.send(REQUEST)

    async def test_response_sent_before_the_body_was_read_is_returned(
        self,
    ) -> None:
        """An engine may refuse a large request early."""
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

    async def test_unread_input_pauses_reading(self) -> None:
        """A peer that sends faster than it is read is slowed down."""
        raw = b'HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n'
        async with connected(answering(raw + b'x' * 9_000_000)) as connection:
            connection.send(REQUEST)
            await connection.read_head()
            await asyncio.sleep(0.2)

            held_bytes = len(connection.unread_data)

        self.assertLess(held_bytes, 1_000_000)

    async def test_small_pieces_leave_the_loop_to_others(self) -> None:
        """Guards against callers starved by answers in tiny chunks."""
        for size in (1, 4, 16, 256):
            raw = (b'%x\r\n%s\r\n' % (size, b'x' * size)) * 5000
            with self.subTest(size):
                self.assertLessEqual(
                    await most_read_in_a_turn(raw) // size,
                    TURN_PIECES + SLICE_PIECES,
                )

    async def test_kernel_detects_an_unresponsive_peer(self) -> None:
        """Keep-alive probes and a limit on unacknowledged bytes are set."""
        async with connected(answering(b'')) as connection:
            sock = connection.transport.get_extra_info('socket')
            options = [sock.getsockopt(6, option) for option in (4, 5, 6, 18)]

        self.assertEqual(options, [2, 1, 2, 3000])
