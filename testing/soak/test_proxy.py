"""Tests that a proxy shows each side what the other one did."""

import asyncio
import struct
import unittest
from socket import SO_LINGER, SOL_SOCKET

from bramleylug.soak.addresses import free_address
from bramleylug.soak.proxy import Proxy

RESET_ON_CLOSE = struct.pack('ii', 1, 0)
TIMEOUT_S = 2.0


class TestPorts(unittest.IsolatedAsyncioTestCase):
    """A proxy takes no port that a process is about to bind."""

    async def test_proxy_listens_at_a_port_of_its_own(self) -> None:
        """An engine never started, and its name led to another one."""
        given = {free_address() for _ in range(2000)}
        taken = set()
        for _ in range(60):
            proxy = Proxy('127.0.0.1:1')
            await proxy.open()
            self.addCleanup(proxy.server.close)
            taken.add(proxy.address)

        self.assertEqual(given & taken, set())


class TestProxy(unittest.IsolatedAsyncioTestCase):
    """A connection through a proxy ends as the one to the server did."""

    async def read_to_end(self, *, reset: bool) -> bytes:
        """Read from a server that sends some bytes and then closes."""

        async def serve(reader, writer):
            writer.write(b'part')
            await writer.drain()
            await asyncio.sleep(0.05)
            if reset:
                sock = writer.get_extra_info('socket')
                sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
                writer.transport.abort()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        proxy = Proxy(f'{host}:{port}')
        await proxy.open()
        self.addCleanup(proxy.server.close)
        host, _, port = proxy.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        async with asyncio.timeout(TIMEOUT_S):
            return await reader.read()

    async def test_regular_end_is_passed_on(self) -> None:
        self.assertEqual(await self.read_to_end(reset=False), b'part')

    async def test_reset_is_passed_on_as_a_reset(self) -> None:
        """Neither swallowed nor turned into a regular end."""
        with self.assertRaises(ConnectionResetError):
            await self.read_to_end(reset=True)
