"""HTTP/1.1 client connections on asyncio; h11 reads and writes the protocol."""

import asyncio
from collections.abc import Iterable, Mapping
from contextlib import suppress
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
    socket,
)
from typing import Any, NamedTuple, final

import h11

# Linux: unacknowledged bytes after this time mean that the peer is gone.
USER_TIMEOUT_MS = 3000
# An idle connection is probed so that a silent one is found in some seconds.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Bytes received and not yet read at which the socket is read no more.
READ_AHEAD_BYTES = 65536
HEAD_BYTES = 65536


class ConnectionBroken(Exception):
    """The connection ended or was reset before the answer was whole."""


class MalformedAnswer(Exception):
    """The peer sent bytes that are no answer to the request."""


class ClientRequest(NamedTuple):
    """One request.

    :ivar target: path with its query, as it is sent.
    :ivar headers: pairs without framing; ``Host`` must be among them.
    """

    method: str
    target: str
    headers: Iterable[tuple[str, str]]
    body: bytes = b''


class AnswerHead(NamedTuple):
    """Status and headers of an answer.

    :ivar headers: by lower-case name; the last of a repeated one.
    """

    status: int
    headers: Mapping[str, str]
    pairs: tuple[tuple[str, str], ...]


@final
class ClientConnection(asyncio.Protocol):
    """One connection that carries a request at a time.

    :ivar spoiled: whether bytes came that belong to no request.
    """

    def __init__(self) -> None:
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEAD_BYTES
        )
        self.transport: Any = None
        self.arrived = asyncio.Event()
        self.waiting_bytes: list[bytes] = []
        self.ended = False
        self.failure: Exception | None = None
        self.active = False
        self.paused = False
        self.spoiled = False

    @classmethod
    async def open(
        cls, address: str, *, timeout_s: float
    ) -> 'ClientConnection':
        """Connect to ``host:port``.

        :raises OSError: when nobody answers in time.
        """
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        _, protocol = await asyncio.wait_for(
            loop.create_connection(cls, host, int(port)), timeout_s
        )
        return protocol

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent."""
        if self.ended or self.spoiled or self.active:
            return False
        unsent_bytes = self.transport.get_write_buffer_size()
        return not (self.waiting_bytes or unsent_bytes)

    def connection_made(self, transport: Any) -> None:
        """Note the connection and bound how long it may stay silent."""
        self.transport = transport
        _bound_silence(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Keep bytes until they are asked for."""
        if not self.active:
            self.spoiled = True
            self.transport.abort()
            return
        self.waiting_bytes.append(data)
        if sum(map(len, self.waiting_bytes)) > READ_AHEAD_BYTES:
            self.paused = True
            self.transport.pause_reading()
        self.arrived.set()

    def eof_received(self) -> bool:
        """Note that the peer sends no more."""
        self.ended = True
        self.arrived.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection."""
        self.ended = True
        self.failure = exc
        self.arrived.set()

    def send(self, request: ClientRequest) -> None:
        """Send a whole request.

        :raises ConnectionBroken: when the connection had already ended;
            then nothing was sent.
        """
        if not self.reusable:
            raise ConnectionBroken('connection had ended')
        headers = [
            *request.headers,
            ('Content-Length', str(len(request.body))),
        ]
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        raw = [self.http.send(head)]
        if request.body:
            raw.append(self.http.send(h11.Data(data=request.body)))
        self.http.send(h11.EndOfMessage())
        self.active = True
        self.transport.write(b''.join(part for part in raw if part))

    async def read_head(self) -> AnswerHead:
        """Return the head of the answer.

        :raises ConnectionBroken: when the connection ended before.
        :raises MalformedAnswer: when something else came.
        """
        while True:
            event = await self._next_event()
            match event:
                case h11.InformationalResponse():
                    continue
                case h11.Response():
                    return _answer_head(event)
            raise ConnectionBroken('connection ended before an answer')

    async def read_piece(self) -> bytes:
        """Return the next bytes of the body; none at its end.

        :raises ConnectionBroken: when the body is not whole.
        :raises MalformedAnswer: when the framing is broken.
        """
        event = await self._next_event()
        match event:
            case h11.Data():
                return bytes(event.data)
            case h11.EndOfMessage():
                self._finish()
                return b''
        raise ConnectionBroken('connection ended inside an answer')

    def close(self) -> None:
        """End the connection at once."""
        self.ended = True
        if self.transport is not None:
            self.transport.abort()

    def _finish(self) -> None:
        self.active = False
        trailing, _ = self.http.trailing_data
        if trailing or self.http.their_state is not h11.DONE:
            self.spoiled = True
            return
        with suppress(h11.ProtocolError):
            self.http.start_next_cycle()
            return
        self.spoiled = True

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise self._fault(error) from error
            if event is not h11.NEED_DATA:
                return event
            await self._feed()

    async def _feed(self) -> None:
        while not (self.waiting_bytes or self.ended):
            self.arrived.clear()
            await self.arrived.wait()
        if self.waiting_bytes:
            raw = b''.join(self.waiting_bytes)
            self.waiting_bytes.clear()
            self.http.receive_data(raw)
            if self.paused and not self.ended:
                self.paused = False
                self.transport.resume_reading()
            return
        if self.failure is not None:
            raise ConnectionBroken(f'connection failed: {self.failure}')
        self.http.receive_data(b'')

    def _fault(self, error: Exception) -> Exception:
        if self.ended and not self.waiting_bytes:
            return ConnectionBroken(str(error))
        return MalformedAnswer(str(error))


def _answer_head(event: Any) -> AnswerHead:
    pairs = tuple(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in event.headers.raw_items()
    )
    lowered = {name.lower(): text for name, text in pairs}
    return AnswerHead(int(event.status_code), lowered, pairs)


def _bound_silence(sock: socket | None) -> None:
    if sock is None:
        return
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


async def call(
    connection: ClientConnection, request: ClientRequest
) -> tuple[AnswerHead, bytes]:
    """Send a request and return its whole answer."""
    connection.send(request)
    head = await connection.read_head()
    return head, await read_body(connection)


async def read_body(connection: ClientConnection) -> bytes:
    """Return what is left of a body."""
    pieces = []
    while piece := await connection.read_piece():
        pieces.append(piece)
    return b''.join(pieces)
