"""All connections of one port: input, output, refusals and time limits."""

import contextlib
import json
import uuid
from collections.abc import Callable
from http import HTTPStatus
from socket import (
    IPPROTO_TCP,
    SHUT_WR,
    SO_SNDBUF,
    SOL_SOCKET,
    TCP_NODELAY,
    TCP_NOTSENT_LOWAT,
    socket,
)
from typing import NamedTuple, final

from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import BAD_INPUT, count
from bramleylug.web.connection import (
    IDLE,
    LEAVING,
    MEMORY_FULL,
    REQUEST_CUT,
    REQUEST_TIMEOUT,
    TOO_MANY_CONNECTIONS,
    Connection,
    Expiry,
    Transport,
)
from bramleylug.web.exchange import Exchange
from bramleylug.web.heads import BadRequest
from bramleylug.web.limits import WebLimits
from bramleylug.web.memory import MemoryLedger
from bramleylug.web.reader import Message, SendContinue

CLOSINGS = frozenset((IDLE, LEAVING))
RETRIED = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.REQUEST_TIMEOUT)
)
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class PortContext(NamedTuple):
    """What a port works with.

    :ivar serve: called on the loop with each exchange.
    :ivar call: runs a callable on the loop; for any thread.
    :ivar clock: seconds that only rise.
    """

    limits: WebLimits
    ledger: MemoryLedger
    serve: Callable[[Exchange], None]
    call: Callable[[Callable[[], None]], None]
    clock: Callable[[], float]


@final
class Port:
    """Acts on the events of a port's sockets.

    :ivar transport: set before the first event.
    :ivar leaving: whether each connection closes after its next answer.
    """

    def __init__(self, context: PortContext, transport: Transport) -> None:
        self.context = context
        self.limits = context.limits
        self.transport = transport
        self.connections: dict[socket, Connection] = {}
        self.dirty: dict[Connection, None] = {}
        self.draining = False

    @property
    def busy(self) -> bool:
        """Whether a request has begun to arrive or is not yet answered."""
        now_s = self.context.clock()
        return any(
            connection.busy
            or (self.draining and connection.may_bring_request(now_s))
            for connection in tuple(self.connections.values())
        )

    def write(self, connection: Connection, piece: bytes) -> None:
        """Queue output; it is sent together with what follows soon."""
        connection.queue(piece, self.context.clock())
        self.dirty[connection] = None

    def mark_dirty(self, connection: Connection) -> None:
        """Look at a connection again at the end of this turn."""
        self.dirty[connection] = None

    def reset(self, connection: Connection) -> None:
        """Close a connection so that its caller sees it was cut."""
        if connection.sock in self.connections:
            self.transport.reset(connection.sock)
            self.disconnected(connection.sock)

    def apply_limits(self, limits: WebLimits) -> None:
        """Put other limits in force, for open connections too."""
        self.limits = limits
        for connection in self.connections.values():
            connection.limits = limits
            connection.reader.limits = limits

    def start_draining(self) -> None:
        """Close idle connections now, others after their answer.

        An idle connection is told that nothing ran before it is closed, so
        that a request that crosses the close has its answer.
        """
        self.draining = True
        for connection in self.connections.values():
            if not (connection.busy or connection.lingering):
                self._refuse(connection, LEAVING)

    def accepted(self, sock: socket) -> None:
        """Take in a new connection."""
        with contextlib.suppress(OSError):
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            if self.limits.send_buffer_bytes:
                _bound_output(sock, self.limits.send_buffer_bytes)
        connection = Connection(sock, self.limits, self.context.clock())
        self.connections[sock] = connection
        if len(self.connections) > self.limits.connections:
            self._refuse(connection, TOO_MANY_CONNECTIONS)
            self.flush()

    def received(self, sock: socket, raw: bytes) -> None:
        """Take in bytes of a connection; none mean its end."""
        connection = self.connections.get(sock)
        if connection is None:
            return
        if connection.lingering or connection.closing:
            if not raw or not connection.count_dropped(len(raw)):
                self._drop(connection)
            return
        if raw:
            connection.note_input(self.context.clock())
            connection.reader.feed(raw)
            self._advance(connection)
        elif connection.exchange is None and connection.busy:
            self._refuse(connection, REQUEST_CUT)
        else:
            self._drop(connection)
        self.flush()

    def writable(self, sock: socket) -> None:
        """Send on, now that a socket takes bytes again."""
        connection = self.connections.get(sock)
        if connection is not None:
            self.mark_dirty(connection)
            self.flush()

    def disconnected(self, sock: socket) -> None:
        """Forget a socket that has been closed."""
        connection = self.connections.pop(sock, None)
        if connection is None:
            return
        connection.closing = True
        connection.hold(0, self.context.ledger)
        exchange = connection.exchange
        connection.exchange = None
        if exchange is not None:
            exchange.socket_closed()

    def sweep(self) -> None:
        """Close or refuse what has been too slow."""
        now_s = self.context.clock()
        for connection in tuple(self.connections.values()):
            match connection.expired(now_s):
                case Expiry.request:
                    self._refuse(connection, REQUEST_TIMEOUT)
                case Expiry.stalled:
                    connection.mark_stalled()
                    self.reset(connection)
                case Expiry.idle:
                    self._refuse(connection, IDLE)
                case Expiry.linger:
                    self._drop(connection)
        self.flush()

    def flush(self) -> None:
        """Send what was queued in this turn."""
        while self.dirty:
            connection, _ = self.dirty.popitem()
            if connection.sock in self.connections:
                self._flush(connection)

    def _advance(self, connection: Connection) -> None:
        while connection.exchange is None and not connection.closing:
            step = connection.reader.advance()
            match step:
                case Message():
                    self._begin(connection, step)
                case SendContinue():
                    self.write(connection, CONTINUE)
                case BadRequest():
                    self._refuse(connection, step)
                case None:
                    break
        connection.note_progress(self.context.clock())
        self._count_input(connection)
        if connection.input_is_full():
            connection.pause(self.transport)

    def _begin(self, connection: Connection, message: Message) -> None:
        exchange = Exchange(self, connection, message)
        connection.exchange = exchange
        if self.draining:
            exchange.disable_keep_alive()
        try:
            self.context.serve(exchange)
        except Exception as error:  # noqa: BLE001
            emit(LogEvent.worker_failed, work='serve', error=repr(error))
            self.reset(connection)

    def _count_input(self, connection: Connection) -> None:
        if connection.hold(connection.wanted_bytes, self.context.ledger):
            return
        if connection.exchange is not None:
            connection.pause(self.transport)
        elif not connection.closing:
            self._refuse(connection, MEMORY_FULL)

    def _refuse(self, connection: Connection, fault: BadRequest) -> None:
        """Answer input that is no acceptable request, and close."""
        if fault not in CLOSINGS:
            count(BAD_INPUT, kind=fault.kind)
        if self.limits.respond_before_close or fault not in CLOSINGS:
            self.write(connection, _error_answer(fault))
        else:
            self.mark_dirty(connection)
        connection.closing = True

    def _flush(self, connection: Connection) -> None:
        try:
            connection.send(self.context.clock())
        except OSError:
            self._drop(connection)
            return
        exchange = connection.exchange
        if exchange is not None:
            exchange.socket_took(connection.out_bytes)
        if connection.out:
            self.transport.write_when_ready(connection.sock)
        elif connection.closing:
            self._linger(connection)
        elif exchange is not None and exchange.finished:
            self._end(connection, exchange)

    def _end(self, connection: Connection, exchange: Exchange) -> None:
        connection.exchange = None
        exchange.on_ended()
        if exchange.close_after:
            connection.closing = True
            self._linger(connection)
            return
        if self.draining and connection.reader.between_messages:
            self._refuse(connection, LEAVING)
            return
        connection.input_since_s = self.context.clock()
        connection.resume(self.transport)
        self._advance(connection)

    def _linger(self, connection: Connection) -> None:
        """Send the end and drop input, so that no reset outruns the answer."""
        if connection.lingering:
            return
        connection.lingering = True
        connection.output_since_s = self.context.clock()
        connection.hold(0, self.context.ledger)
        connection.resume(self.transport)
        with contextlib.suppress(OSError):
            connection.sock.shutdown(SHUT_WR)

    def _drop(self, connection: Connection) -> None:
        self.transport.drop(connection.sock)
        self.disconnected(connection.sock)


def _bound_output(sock: socket, limit_bytes: int) -> None:
    """Let the kernel tell of room only below a bound of unsent bytes."""
    sock.setsockopt(IPPROTO_TCP, TCP_NOTSENT_LOWAT, limit_bytes)
    sock.setsockopt(SOL_SOCKET, SO_SNDBUF, 2 * limit_bytes)


def _error_answer(fault: BadRequest) -> bytes:
    code = 'bad_request'
    if fault.kind.endswith('_size'):
        code = 'too_large'
    if fault.status == HTTPStatus.SERVICE_UNAVAILABLE:
        code = 'leaving' if fault is LEAVING else 'overloaded'
    document = {'code': code, 'message': fault.message, 'run': 'not_run'}
    body = json.dumps(document)
    # What was malformed or too large stays so, however late it is sent.
    retry = ('Retry-After: 1',) if fault.status in RETRIED else ()
    lines = (
        f'HTTP/1.1 {int(fault.status)} {fault.status.phrase}',
        f'X-Request-Id: {uuid.uuid4().hex}',
        'X-Run: not_run',
        *retry,
        'Content-Type: application/json',
        f'Content-Length: {len(body)}',
        'Connection: close',
        '',
        body,
    )
    return '\r\n'.join(lines).encode()
