"""A server that sends its answer byte by byte."""

import asyncio
from contextlib import suppress


class PacedServer:
    """Sends the same answer to every request, with a pause after each byte.

    :ivar stops_after: bytes after which it sends no more.
    """

    def __init__(self, answer: bytes, pause_s: float) -> None:
        self.answer = answer
        self.pause_s = pause_s
        self.stops_after = len(answer)

    async def open(self) -> 'PacedServer':
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return self

    async def close(self) -> None:
        self.server.close()

    @property
    def address(self) -> str:
        host, port = self.server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        with suppress(ConnectionError, asyncio.CancelledError):
            for byte in self.answer[: self.stops_after]:
                writer.write(bytes((byte,)))
                await writer.drain()
                await asyncio.sleep(self.pause_s)
            await reader.read()
        writer.close()
