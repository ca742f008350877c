"""An engine in its own process that answers every request without end."""

import asyncio
import sys
from collections.abc import Callable
from typing import Any

from testing.relay.scripted_engines import chunk

BLOCK_BYTES = 65536


def letters(size: int) -> bytes:
    return b'x' * size


STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Response-Signature: e.s\r\n'
    b'Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n'
)
CHUNKED_HEAD = STREAM_HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
REFUSAL_HEAD = (
    b'HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n'
)
FAILURE_HEAD = (
    b'HTTP/1.1 500 X\r\nX-Response-Signature: e.s\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
FORMS: dict[str, tuple[bytes, Callable[[int], bytes]]] = {
    'no line end': (b'', letters),
    'headers': (
        b'HTTP/1.1 200 OK\r\n',
        lambda size: b'x: %s\r\n' % letters(size),
    ),
    'interim': (
        b'',
        lambda size: b'HTTP/1.1 100 X\r\nx: %s\r\n\r\n' % letters(size),
    ),
    'empty lines': (b'', lambda size: b'\r\n' * size),
    'empty lines in chunks': (CHUNKED_HEAD, lambda size: chunk(b'\n' * size)),
    'trailers': (
        CHUNKED_HEAD + b'0\r\n',
        lambda size: b'x: %s\r\n' % letters(size),
    ),
    'chunk size': (CHUNKED_HEAD, lambda size: b'0' * size),
    'chunk extension': (CHUNKED_HEAD + b'5;', letters),
    'refusal': (REFUSAL_HEAD, lambda size: chunk(letters(size))),
    'failure': (FAILURE_HEAD, lambda size: chunk(letters(size))),
    'event': (
        CHUNKED_HEAD + chunk(b'data: '),
        lambda size: chunk(letters(size)),
    ),
    'comments': (
        CHUNKED_HEAD,
        lambda size: chunk(b':%s\n\n' % letters(max(1, size - 3))),
    ),
    'unframed': (STREAM_HEAD + b'\r\n', letters),
}


async def serve(form: str, size: int, binds: list[str]) -> None:
    """Serve on some addresses for ever.

    :param form: one of :data:`FORMS`.
    :param size: bytes of each piece.
    """
    head, build = FORMS[form]
    piece = build(size)
    block = piece * max(1, BLOCK_BYTES // len(piece))

    async def answer(reader: Any, writer: Any) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(head)
            while True:
                writer.write(block)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    servers = []
    for bind in binds:
        host, _, port = bind.rpartition(':')
        servers.append(await asyncio.start_server(answer, host, int(port)))
    await asyncio.gather(*(server.serve_forever() for server in servers))


if __name__ == '__main__':
    asyncio.run(serve(sys.argv[1], int(sys.argv[2]), sys.argv[3:]))
