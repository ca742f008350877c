"""HTTP/1.1 client connections on asyncio; h11 implements the protocol."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from http import HTTPStatus
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

from bramleylug.web.descriptors import DescriptorLease
from bramleylug.web.read_turns import ReadAllowance, ReadTurns, running_turns

# Linux closes the connection if sent bytes stay unacknowledged for this long.
USER_TIMEOUT_MS = 3000
# Keep-alive probes detect an unreachable peer of an idle connection within
# some seconds.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Reading from the socket pauses while more bytes than this wait to be parsed.
MAX_READ_AHEAD_BYTES = 65536
MAX_HEAD_BYTES = 65536
# Pieces of a body that have arrived are joined up to about this size.
JOINED_BYTES = 16384
# Interim responses (status 1xx) before an answer.
MAX_INTERIM_RESPONSES = 8
MAX_STATUS = 599


class ConnectionBroken(Exception):
    """The connection ended or was reset before the answer was complete."""


class MalformedAnswer(Exception):
    """The peer sent bytes that are not a valid HTTP response."""


class AnswerTooLarge(MalformedAnswer):
    """The body of an answer is larger than the caller reads."""


class ClientRequest(NamedTuple):
    """A request to send.

    :ivar target: path and query, sent as they are.
    :ivar headers: name and value pairs, with ``Host`` and without
        ``Content-Length``, which is added when the request is sent.
    """

    method: str
    target: str
    headers: Iterable[tuple[str, str]]
    body: bytes = b''


class AnswerHead(NamedTuple):
    """Status and headers of an answer.

    :ivar headers: values by lower-case name; the last of a repeated header.
    :ivar pairs: all headers in the order received, repeated ones included.
    """

    status: int
    headers: Mapping[str, str]
    pairs: tuple[tuple[str, str], ...]


@final
class ClientConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    :ivar active: whether a request was sent whose answer has not ended.
    :ivar answered_count: answers that were read to their end.
    :ivar must_close: whether bytes were received that belong to no request, or
        the protocol does not allow another request.
    :ivar lease: counts its descriptor, and is released when it has closed.
    :ivar on_input: called when bytes of an answer are received.
    :ivar needs_data: whether the parser has no complete part left.
    :ivar parsed: a part of the answer, or the error found in it, that follows
        the pieces that were returned last.
    :ivar turns: turns of the event loop, in which it reads.
    """

    def __init__(self, lease: DescriptorLease | None = None) -> None:
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.lease = lease
        self.transport: Any = None
        self.input_changed = asyncio.Event()
        self.unread_data: bytes | bytearray = b''
        self.needs_data = False
        self.parsed: Any = None
        self.turns: ReadTurns | None = None
        self.allowance: ReadAllowance | None = None
        self.ended = False
        self.failure: Exception | None = None
        self.active = False
        self.paused = False
        self.must_close = False
        self.answered_count = 0
        self.on_input: Callable[[], None] = _ignore

    @classmethod
    async def open(
        cls,
        address: str,
        *,
        timeout_s: float,
        lease: DescriptorLease | None = None,
    ) -> 'ClientConnection':
        """Connect to ``host:port``.

        :param lease: taken over by the connection; if none is made, it stays
            with the caller.
        :raises OSError: when the connection is not made in time, or nothing
            can be reached at such an address.
        """
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, protocol = await loop.create_connection(
                    lambda: cls(lease), host, int(port)
                )
        except (ValueError, OverflowError) as error:
            raise OSError(f'{address} is no address: {error}') from error
        return protocol

    @property
    def reusable(self) -> bool:
        if self.ended or self.must_close or self.active:
            return False
        unsent_bytes = self.transport.get_write_buffer_size()
        return not (self.unread_data or unsent_bytes)

    @property
    def has_input(self) -> bool:
        """Whether bytes were received that have not been read."""
        return bool(self.unread_data)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        _set_keepalive(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Buffer bytes until they are read; pause reading at the limit."""
        if not self.active:
            self.must_close = True
            self.transport.abort()
            return
        self.on_input()
        self._buffer(data)
        if len(self.unread_data) > MAX_READ_AHEAD_BYTES and not self.paused:
            self.paused = True
            self.transport.pause_reading()
        self.input_changed.set()

    def eof_received(self) -> bool:
        """Record the end of input; the transport closes itself."""
        self.ended = True
        self.input_changed.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True
        self.failure = exc
        self._release_descriptor()
        self.input_changed.set()

    def send(self, request: ClientRequest) -> None:
        """Send a request with its body.

        :raises ConnectionBroken: when the connection cannot be reused; then
            nothing was sent.
        """
        if not self.reusable:
            raise ConnectionBroken(
                'connection had ended before the request was sent'
            )
        headers = [
            (name.encode('latin-1'), text.encode('latin-1'))
            for name, text in request.headers
        ]
        headers.append((b'Content-Length', b'%d' % len(request.body)))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        raw = [self.http.send(head)]
        if request.body:
            raw.append(self.http.send(h11.Data(data=request.body)))
        self.http.send(h11.EndOfMessage())
        self.needs_data = True
        self.active = True
        self.transport.write(b''.join(part for part in raw if part))

    async def read_head(self) -> AnswerHead:
        """Return the head of the answer.

        :raises ConnectionBroken: when the connection ended before it.
        :raises MalformedAnswer: when the bytes received are not valid HTTP.
        """
        interim_count = 0
        while interim_count <= MAX_INTERIM_RESPONSES:
            event = await self._next_event()
            match event:
                case h11.InformationalResponse():
                    interim_count += 1
                case h11.Response():
                    return _answer_head(event)
                case _:
                    raise ConnectionBroken('connection ended before an answer')
        raise MalformedAnswer('too many interim responses')

    async def read_piece(self) -> bytes:
        """Return the next bytes of the body; empty at its end.

        :raises ConnectionBroken: when the connection ended inside the body.
        :raises MalformedAnswer: when the framing of the body is invalid.
        """
        event = await self._next_event()
        match event:
            case h11.Data():
                return self._join(bytes(event.data))
            case h11.EndOfMessage():
                self._finish()
                return b''
        raise ConnectionBroken('connection ended inside an answer')

    async def wait_for_input(self) -> None:
        """Wait for bytes or the end of the connection; read nothing."""
        while not (self.unread_data or self.ended):
            self.input_changed.clear()
            await self.input_changed.wait()

    def close(self) -> None:
        """Abort the connection; unsent bytes are discarded."""
        self.ended = True
        self._release_descriptor()
        if self.transport is not None:
            self.transport.abort()

    def _buffer(self, data: bytes) -> None:
        if not self.unread_data:
            self.unread_data = data
            return
        if isinstance(self.unread_data, bytes):
            self.unread_data = bytearray(self.unread_data)
        self.unread_data += data

    def _release_descriptor(self) -> None:
        if self.lease is not None:
            self.lease.release()

    def _finish(self) -> None:
        self.active = False
        self.answered_count += 1
        trailing, _ = self.http.trailing_data
        if trailing or self.http.their_state is not h11.DONE:
            self.must_close = True
            return
        with suppress(h11.ProtocolError):
            self.http.start_next_cycle()
            return
        self.must_close = True

    async def _next_event(self) -> Any:
        """Return the next part of the answer, once it is this one's turn.

        The peer decides how many parts its bytes make, and would otherwise
        keep the event loop for as long as any are left.
        """
        while self.parsed is None:
            if self.needs_data:
                await self._receive_more()
            turns, allowance = self._use_turns()
            if not turns.try_take(allowance):
                await turns.take(allowance)
            self.parsed = self._parse()
        parsed = self.parsed
        if isinstance(parsed, Exception):
            raise parsed
        self.parsed = None
        return parsed

    def _join(self, piece: bytes) -> bytes:
        """Return a piece of the body with those that follow it.

        Only what has arrived, and may be read in this turn, is joined.
        """
        if len(piece) >= JOINED_BYTES:
            return piece
        turns, allowance = self._use_turns()
        joined = bytearray(piece)
        while len(joined) < JOINED_BYTES and turns.try_take(allowance):
            parsed = self._parse()
            if not isinstance(parsed, h11.Data):
                self.parsed = parsed
                break
            joined += parsed.data
        return bytes(joined)

    def _parse(self) -> Any:
        """Return the next part, or the error found in it.

        :returns: ``None`` if more bytes are needed.
        """
        try:
            event = self.http.next_event()
        except h11.RemoteProtocolError as error:
            return self._translate_error(error)
        self.needs_data = event is h11.NEED_DATA
        return None if self.needs_data else event

    def _use_turns(self) -> tuple[ReadTurns, ReadAllowance]:
        if self.turns is None or self.allowance is None:
            self.turns = running_turns()
            self.allowance = self.turns.allowance()
        return self.turns, self.allowance

    async def _receive_more(self) -> None:
        await self.wait_for_input()
        if self.unread_data:
            turns, allowance = self._use_turns()
            turns.charge_bytes(allowance, len(self.unread_data))
            self.http.receive_data(bytes(self.unread_data))
            self.unread_data = b''
            self.needs_data = False
            if self.paused and not self.ended:
                self.paused = False
                self.transport.resume_reading()
            return
        if self.failure is not None:
            raise ConnectionBroken(f'connection failed: {self.failure}')
        self.http.receive_data(b'')
        self.needs_data = False

    def _translate_error(self, error: Exception) -> Exception:
        if self.ended and not self.unread_data:
            return ConnectionBroken(str(error))
        return MalformedAnswer(str(error))


def is_final_status(status: int) -> bool:
    """Return whether a number is the status of a final answer.

    Parsers accept others, as any of three digits (RFC 9110, 15).
    """
    return HTTPStatus.OK <= status <= MAX_STATUS


def _ignore() -> None:
    """Do nothing."""


def _answer_head(event: Any) -> AnswerHead:
    """Return the head of a final answer.

    :raises MalformedAnswer: when its status is none of such an answer.
    """
    if not is_final_status(event.status_code):
        raise MalformedAnswer(f'{event.status_code} is no status of an answer')
    pairs = tuple(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in event.headers.raw_items()
    )
    lowered = {name.lower(): text for name, text in pairs}
    return AnswerHead(int(event.status_code), lowered, pairs)


def _set_keepalive(sock: socket | None) -> None:
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
    """Send a request and return the head and body of its answer."""
    connection.send(request)
    head = await connection.read_head()
    return head, await read_body(connection)


async def read_body(
    connection: ClientConnection, max_bytes: int | None = None
) -> bytes:
    """Return the rest of the body, up to its end.

    :param max_bytes: largest body; ``None`` for no limit.
    :raises AnswerTooLarge: when the body is larger.
    """
    pieces = []
    received_bytes = 0
    while piece := await connection.read_piece():
        pieces.append(piece)
        received_bytes += len(piece)
        if max_bytes is not None and received_bytes > max_bytes:
            raise AnswerTooLarge(f'body has more than {max_bytes} bytes')
    return b''.join(pieces)
