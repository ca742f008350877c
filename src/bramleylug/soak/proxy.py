"""Loopback TCP proxies that can delay, reset or block their connections."""

import asyncio
from dataclasses import dataclass
from enum import Enum, unique
from socket import SO_LINGER, SOL_SOCKET
from typing import Any, final

from bramleylug.soak.addresses import free_address
from bramleylug.web.sockets import RESET_ON_CLOSE

READ_BYTES = 65536


@final
@unique
class LinkFault(Enum):
    """Fault of a network link.

    :cvar reset: open connections are reset, and new ones on accept.
    :cvar silent: no data passes in either direction.
    :cvar one_way: no data passes from server to client.
    :cvar delay: each piece of data is delayed.
    """

    none = 'none'
    reset = 'reset'
    silent = 'silent'
    one_way = 'one_way'
    delay = 'delay'


@final
@dataclass(slots=True)
class ProxiedConnection:
    """The two sides of a connection through a proxy."""

    client: asyncio.StreamWriter
    server: asyncio.StreamWriter | None = None


@final
class Proxy:
    """Forwards connections to one address.

    :param delay_s: delay of each piece of data under :attr:`LinkFault.delay`,
        and polling interval while data is blocked.
    :ivar address: listening address, ``host:port``.
    """

    def __init__(self, target: str, delay_s: float = 0.15) -> None:
        self.target = target
        self.delay_s = delay_s
        self.fault = LinkFault.none
        self.connections: dict[int, ProxiedConnection] = {}
        self.address = ''
        self.server: Any = None

    async def open(self) -> None:
        """Listen on a free port of loopback.

        The kernel would choose one that a process has been given.
        """
        self.address = free_address()
        host, _, port = self.address.rpartition(':')
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def apply_fault(self, fault: LinkFault) -> None:
        """Start a fault, or end it with :attr:`LinkFault.none`."""
        self.fault = fault
        if fault is LinkFault.reset:
            for connection in tuple(self.connections.values()):
                _reset(connection.client)
                if connection.server is not None:
                    _reset(connection.server)

    async def _serve(self, reader: Any, writer: Any) -> None:
        connection = ProxiedConnection(writer)
        self.connections[id(connection)] = connection
        try:
            await self._connect(connection, reader)
        except OSError:
            # Either end closed the connection, as injected faults make it do.
            writer.close()
        finally:
            self.connections.pop(id(connection), None)

    async def _connect(
        self, connection: ProxiedConnection, reader: Any
    ) -> None:
        if self.fault is LinkFault.reset:
            _reset(connection.client)
            return
        host, _, port = self.target.rpartition(':')
        server_reader, server = await asyncio.open_connection(host, int(port))
        connection.server = server
        await asyncio.gather(
            self._forward(reader, server, from_server=False),
            self._forward(server_reader, connection.client, from_server=True),
            return_exceptions=True,
        )
        connection.client.close()
        server.close()

    async def _forward(
        self, reader: Any, writer: Any, *, from_server: bool
    ) -> None:
        try:
            while piece := await reader.read(READ_BYTES):
                await self._hold_back(from_server=from_server)
                writer.write(piece)
                await writer.drain()
        except OSError:
            # The other side must not take a reset for a regular end.
            _reset(writer)
        else:
            writer.close()

    async def _hold_back(self, *, from_server: bool) -> None:
        while self._is_blocked(from_server=from_server):
            await asyncio.sleep(self.delay_s)
        if self.fault is LinkFault.delay:
            await asyncio.sleep(self.delay_s)

    def _is_blocked(self, *, from_server: bool) -> bool:
        if self.fault is LinkFault.silent:
            return True
        return from_server and self.fault is LinkFault.one_way


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
