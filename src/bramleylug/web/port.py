"""The connections of one server: input, output, errors and time limits."""

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
from bramleylug.web.connection_admission import ConnectionAdmission
from bramleylug.web.connection import (
    DRAINING,
    IDLE,
    MEMORY_FULL,
    REQUEST_TIMEOUT,
    REQUEST_TRUNCATED,
    TOO_MANY_CONNECTIONS,
    Connection,
    TimeoutKind,
    Transport,
)
from bramleylug.web.descriptors import DescriptorShare
from bramleylug.web.exchange import Exchange
from bramleylug.web.heads import BadRequest
from bramleylug.web.limits import WebLimits
from bramleylug.web.memory import MemoryLedger
from bramleylug.web.reader import Message, SendContinue

CLOSE_NOTICES = frozenset((IDLE, DRAINING))
RETRYABLE = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.REQUEST_TIMEOUT)
)
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class PortContext(NamedTuple):
    """Limits and callbacks of a port.

    :ivar serve: called on the loop with each exchange.
    :ivar call: runs a callable on the loop; thread-safe.
    :ivar clock: returns monotonic time in seconds.
    :ivar descriptors: limits the connections of all ports together.
    """

    limits: WebLimits
    ledger: MemoryLedger
    serve: Callable[[Exchange], None]
    call: Callable[[Callable[[], None]], None]
    clock: Callable[[], float]
    descriptors: DescriptorShare


@final
class Port:
    """Handles the socket events of all connections of a listening port.

    :ivar to_flush: connections that the next flush processes.
    :ivar draining: whether each connection closes after its next response.
    """

    def __init__(self, context: PortContext, transport: Transport) -> None:
        self.context = context
        self.limits = context.limits
        self.transport = transport
        self.connections: dict[socket, Connection] = {}
        self.to_flush: dict[Connection, None] = {}
        self.draining = False
        self.admission = ConnectionAdmission(context.descriptors)

    @property
    def busy(self) -> bool:
        """Whether a request is being received or answered, or may arrive."""
        now_s = self.context.clock()
        return any(
            connection.busy
            or (self.draining and connection.may_receive_request(now_s))
            for connection in tuple(self.connections.values())
        )

    def write(self, connection: Connection, piece: bytes) -> None:
        """Queue output; the next flush sends all of it in one write."""
        connection.output.add(piece, self.context.clock())
        self.to_flush[connection] = None

    def schedule_flush(self, connection: Connection) -> None:
        """Have the next flush send output or close the connection."""
        self.to_flush[connection] = None

    def reset(self, connection: Connection) -> None:
        """Close a connection with a TCP reset, which the client sees."""
        if connection.sock in self.connections:
            self._drop(connection, self.transport.reset)

    def apply_limits(self, limits: WebLimits) -> None:
        """Replace the limits.

        A request that has begun to arrive, and a wait for one, keep the
        limits that they began with where the new ones are lower.
        """
        self.limits = limits
        for connection in self.connections.values():
            connection.apply_limits(limits)

    def start_draining(self) -> None:
        """Close idle connections now, others after their response.

        An idle connection gets a final response, which says that nothing ran,
        so that a request already on its way has an answer. Where such
        responses are switched off, the connection stays open while a request
        is known to be on its way.
        """
        self.draining = True
        for connection in self.connections.values():
            if connection.unused:
                self._refuse(connection, DRAINING)

    def accepted(self, sock: socket) -> None:
        """Add a connection; refuse it if there are too many."""
        with contextlib.suppress(OSError):
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            if self.limits.send_buffer_bytes:
                _limit_send_buffer(sock, self.limits.send_buffer_bytes)
        connection = Connection(sock, self.limits, self.context.clock())
        self.connections[sock] = connection
        if self.admission.admit(connection, self.limits.connections):
            return
        if self.admission.hold_rejected(connection, self._drop):
            self._refuse(connection, TOO_MANY_CONNECTIONS)
            self.flush()
        else:
            self.reset(connection)

    def readable(self, sock: socket) -> bool:
        """Return whether to read from a socket that has input or has ended.

        Input of a connection that was closed without a response stays unread:
        the kernel then resets the connection, which tells the client that its
        request was not read. The reset waits for the end of the lingering, as
        it would discard what the client has not received yet.
        """
        connection = self.connections.get(sock)
        if connection is None or connection.reads_input:
            return True
        if self.transport.has_input(sock):
            connection.pause(self.transport)
        else:
            self._drop(connection)
        return False

    def received(self, sock: socket, raw: bytes) -> None:
        """Process received bytes; none mean the end of input."""
        connection = self.connections.get(sock)
        if connection is None:
            return
        if connection.lingering or connection.closing:
            if not raw or not connection.count_discarded(len(raw)):
                self._drop(connection)
            return
        if raw:
            connection.record_input(self.context.clock(), self.limits)
            connection.reader.feed(raw)
            self._advance(connection)
        elif connection.exchange is None and connection.busy:
            self._refuse(connection, REQUEST_TRUNCATED)
        else:
            self._drop(connection)
        self.flush()

    def writable(self, sock: socket) -> None:
        """Send more output: the socket accepts bytes again."""
        connection = self.connections.get(sock)
        if connection is not None:
            self.schedule_flush(connection)
            self.flush()

    def disconnected(self, sock: socket) -> None:
        """Close a socket that is broken, or whose server closes."""
        connection = self.connections.get(sock)
        if connection is not None:
            self._drop(connection)

    def sweep(self) -> None:
        """Close the connections that have exceeded a time limit."""
        now_s = self.context.clock()
        for connection in tuple(self.connections.values()):
            match connection.find_timeout(now_s, draining=self.draining):
                case TimeoutKind.request:
                    self._refuse(connection, REQUEST_TIMEOUT)
                case TimeoutKind.stalled:
                    connection.mark_stalled()
                    self.reset(connection)
                case TimeoutKind.idle:
                    self._refuse(connection, IDLE)
                case TimeoutKind.drained:
                    self._refuse(connection, DRAINING)
                case TimeoutKind.linger:
                    self._drop(connection)
        self.flush()

    def flush(self) -> None:
        """Send queued output, and close or reuse finished connections."""
        while self.to_flush:
            connection, _ = self.to_flush.popitem()
            if connection.sock in self.connections:
                self._flush(connection)

    def _advance(self, connection: Connection) -> None:
        while connection.exchange is None and not connection.closing:
            step = connection.reader.advance()
            match step:
                case Message():
                    self._start_exchange(connection, step)
                case SendContinue():
                    self.write(connection, CONTINUE)
                case BadRequest():
                    self._refuse(connection, step)
                case None:
                    break
        connection.update_phase(self.context.clock())
        self._count_input(connection)
        if connection.is_input_full():
            connection.pause(self.transport)

    def _start_exchange(self, connection: Connection, message: Message) -> None:
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
        if connection.reserve_input(
            connection.input_bytes, self.context.ledger
        ):
            return
        if connection.exchange is not None:
            connection.pause(self.transport)
        elif not connection.closing:
            self._refuse(connection, MEMORY_FULL)

    def _refuse(self, connection: Connection, reason: BadRequest) -> None:
        """Send an error response, unless switched off, and close."""
        if reason not in CLOSE_NOTICES:
            count(BAD_INPUT, kind=reason.kind)
        elif not self.limits.respond_before_close:
            connection.close_unused(
                self.transport, self.context.clock(), draining=self.draining
            )
            self.schedule_flush(connection)
            return
        self.write(connection, _render_error(reason))
        connection.closing = True

    def _flush(self, connection: Connection) -> None:
        try:
            connection.send(self.context.clock())
        except OSError:
            self._drop(connection)
            return
        exchange = connection.exchange
        if exchange is not None:
            exchange.on_drained()
        if connection.output.pieces:
            self.transport.write_when_ready(connection.sock)
        elif connection.closing:
            self._linger(connection)
        elif exchange is not None and exchange.finished:
            self._end_exchange(connection, exchange)

    def _end_exchange(self, connection: Connection, exchange: Exchange) -> None:
        connection.exchange = None
        exchange.on_ended()
        if exchange.close_after_response:
            connection.closing = True
            self._linger(connection)
            return
        connection.begin_wait(self.context.clock(), self.limits)
        connection.resume(self.transport)
        if self.draining and connection.reader.is_between_messages:
            self._refuse(connection, DRAINING)
        self._advance(connection)

    def _linger(self, connection: Connection) -> None:
        """Close the sending side and discard input for a while.

        If the socket were closed with unread input, the kernel would send a
        reset, which could reach the client before the response does. Input of
        a connection that is closed without a response is not even read.
        """
        if connection.lingering:
            return
        connection.lingering = True
        connection.output.since_s = self.context.clock()
        connection.reserve_input(0, self.context.ledger)
        connection.resume(self.transport)
        with contextlib.suppress(OSError):
            connection.sock.shutdown(SHUT_WR)

    def _drop(
        self,
        connection: Connection,
        close: Callable[[socket], None] | None = None,
    ) -> None:
        """Close a connection and release what belongs to it.

        :param close: closes its socket; by default without a reset.
        """
        connection.output.close(close or self.transport.drop)
        if self.connections.pop(connection.sock, None) is None:
            return
        connection.closing = True
        connection.reserve_input(0, self.context.ledger)
        self.admission.release(connection)
        exchange = connection.exchange
        connection.exchange = None
        if exchange is not None:
            exchange.socket_closed()


def _limit_send_buffer(sock: socket, limit_bytes: int) -> None:
    """Have the kernel report a socket as writable only below a limit."""
    sock.setsockopt(IPPROTO_TCP, TCP_NOTSENT_LOWAT, limit_bytes)
    sock.setsockopt(SOL_SOCKET, SO_SNDBUF, 2 * limit_bytes)


def _render_error(reason: BadRequest) -> bytes:
    code = 'bad_request'
    if reason.kind.endswith('_size'):
        code = 'too_large'
    if reason.status == HTTPStatus.SERVICE_UNAVAILABLE:
        code = 'leaving' if reason is DRAINING else 'overloaded'
    document = {'code': code, 'message': reason.message, 'run': 'not_run'}
    body = json.dumps(document)
    # A request that is malformed or too large fails again if it is repeated.
    retry = ('Retry-After: 1',) if reason.status in RETRYABLE else ()
    lines = (
        f'HTTP/1.1 {int(reason.status)} {reason.status.phrase}',
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
