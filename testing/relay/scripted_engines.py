"""Engines with scripted answers, a fake dialect and recording exchanges."""

import asyncio
import struct
from collections.abc import Callable
from socket import SO_LINGER, SOL_SOCKET
from typing import Any

from bramleylug.relay.dialect import (
    AnswerMetadata,
    CallerRequest,
    RequestMetadata,
)
from bramleylug.web.client_connection import AnswerHead
from testing.relay.builders import build_caller_request

OK_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n'
)
LAST_CHUNK = b'0\r\n\r\n'
# Head of an answer that ends with its connection.
UNFRAMED_HEAD = b'HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\n'
# Resets the connection in place of a part of an answer.
RESET = object()
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def chunk(raw: bytes) -> bytes:
    """Return bytes as one chunk of HTTP chunked encoding."""
    return b'%x\r\n%s\r\n' % (len(raw), raw)


def event(number: int) -> bytes:
    """Return one server-sent event as a chunk."""
    return chunk(plain_event(number))


def plain_event(number: int) -> bytes:
    """Return one server-sent event without framing."""
    return b'id: %d\ndata: t%d\n\n' % (number, number)


def complete_answer(
    body: bytes, status: int = 200, headers: bytes = b''
) -> bytes:
    """Return a signed answer with a Content-Length."""
    return (
        b'HTTP/1.1 %d X\r\nX-Signature: s\r\n%sContent-Length: %d\r\n\r\n%s'
        % (
            status,
            headers,
            len(body),
            body,
        )
    )


# Answer to the prepared request, also on a connection with an earlier one.
WHOLE_ANSWER = complete_answer(b'whole', headers=b'X-Id: request-1\r\n')


class ScriptedEngine:
    """Answers each request with the next of the given answers.

    An answer is bytes, ``None``, which closes the connection, or ``RESET``,
    or a list of these and of numbers, which are pauses in seconds.

    :ivar heads: request heads in order of arrival.
    :ivar closed: set when a caller has closed its connection.
    """

    def __init__(self, *answers: Any) -> None:
        self.answers = list(answers)
        self.heads: list[str] = []
        self.bodies: list[bytes] = []
        self.closed = asyncio.Event()
        self.server: Any = None
        self.address = ''

    async def open(self) -> 'ScriptedEngine':
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self

    async def close(self) -> None:
        self.server.close()

    async def _serve(self, reader: Any, writer: Any) -> None:
        try:
            is_open = True
            while is_open:
                is_open = await self._answer(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.set()
        except asyncio.CancelledError:
            # The test has ended.
            return
        finally:
            writer.close()

    async def _answer(self, reader: Any, writer: Any) -> bool:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        length = 0
        for line in head.lower().split('\r\n'):
            if line.startswith('content-length:'):
                length = int(line.partition(':')[2])
        self.bodies.append(await reader.readexactly(length))
        self.heads.append(head)
        answer = self.answers.pop(0) if self.answers else None
        for part in answer if isinstance(answer, list) else [answer]:
            if not await self._play(reader, writer, part):
                return False
        return True

    async def _play(self, reader: Any, writer: Any, part: Any) -> bool:
        """Play a part of an answer; return whether the next one follows."""
        if part is None:
            return False
        if part is RESET:
            _reset(writer)
            return False
        if isinstance(part, bytes):
            writer.write(part)
            await writer.drain()
            return True
        return not await self._is_closed_within(reader, part)

    async def _is_closed_within(self, reader: Any, pause_s: float) -> bool:
        """Pause; return whether the caller closed the connection."""
        try:
            async with asyncio.timeout(pause_s):
                closed = not await reader.read(1)
        except TimeoutError:
            return False
        if closed:
            self.closed.set()
        return closed


class FakeDialect:
    """Dialect with the headers that the tests use."""

    def __init__(self) -> None:
        self.request = build_caller_request()

    def read_request(self, exchange: Any) -> CallerRequest:
        """Return the prepared request."""
        return self.request

    def write_request(
        self, request: CallerRequest, metadata: RequestMetadata
    ) -> list[tuple[str, str]]:
        """Return headers with the metadata that the tests check."""
        return [
            *request.forwarded_headers,
            ('X-Engine', metadata.upstream_id),
            ('X-After', metadata.resume_after),
            ('X-Left', f'{metadata.deadline_s:.3f}'),
            ('X-Version', str(metadata.version)),
        ]

    def read_answer(self, head: AnswerHead) -> AnswerMetadata:
        headers = head.headers
        return AnswerMetadata(
            request_id=headers.get('x-id', ''),
            not_run='x-not-run' in headers,
            signed='x-signature' in headers,
            encoded='content-encoding' in headers,
            keep_alive_s=10.0,
            closes_connection=headers.get('connection') == 'close',
            cold_for_s=0.0,
            leaving='x-leaving' in headers,
            pause_s=float(headers.get('x-pause', 0)),
        )

    def write_answer(self, head: AnswerHead) -> list[tuple[str, str]]:
        return [('X-Signature', head.headers.get('x-signature', ''))]


class RecordingExchange:
    """An exchange that records its answer.

    :ivar ended: how the answer ended: ``whole``, ``cut``, ``own`` for an
        error response of the relay, or empty before.
    """

    def __init__(self) -> None:
        self.request_id = 'request-1'
        self.closed = False
        self.pending_bytes = 0
        self.status = 0
        self.headers_sent: dict[str, str] = {}
        self.sent = b''
        self.ended = ''
        self.on_drained: Callable[[], None] = _ignore
        self.on_closed: Callable[[], None] = _ignore

    def start(self, status: int, headers: Any, length: int | None) -> None:
        self.status = status
        self.headers_sent = dict(headers)

    def send(self, piece: bytes) -> None:
        self.sent += piece

    def finish(self) -> None:
        self.ended = 'whole'

    def abort(self) -> None:
        self.ended = 'cut'

    def reply_json(self, status: int, document: Any, headers: Any) -> None:
        self.status = status
        self.headers_sent = headers
        self.ended = 'own'

    def disconnect(self) -> None:
        """Close the caller's connection."""
        self.closed = True
        self.on_closed()


def _reset(writer: Any) -> None:
    sock = writer.get_extra_info('socket')
    sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


def _ignore() -> None:
    """Do nothing."""
