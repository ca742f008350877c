"""Buffers, state and time limits of one server connection."""

from enum import Enum, unique
from http import HTTPStatus
from socket import socket
from typing import TYPE_CHECKING, Protocol, final

from bramleylug.observability.metrics import BAD_INPUT, count
from bramleylug.web.heads import BadRequest
from bramleylug.web.limits import WebLimits
from bramleylug.web.output import Output
from bramleylug.web.reader import MessageReader, Phase

if TYPE_CHECKING:
    from bramleylug.web.exchange import Exchange
    from bramleylug.web.memory import MemoryLedger

# After its last response, a connection discards input for this long at most,
# then it is closed.
LINGER_S = 2.0
# While the server drains, a connection counts as busy for this long after a
# request was known to be on its way: after it was accepted, or input was seen
# in its socket.
REQUEST_WAIT_S = 2.0
# A lingering connection that sends more input than this is closed at once.
MAX_LINGER_BYTES = 4 * 1024 * 1024


class Transport(Protocol):
    """Operations on the sockets of a server."""

    def write_when_ready(self, sock: socket) -> None:
        """Report once when a socket accepts bytes again."""

    def pause(self, sock: socket) -> None:
        """Stop reading from a socket until it is resumed."""

    def resume(self, sock: socket) -> None:
        """Start reading from a paused socket again."""

    def has_input(self, sock: socket) -> bool:
        """Return whether a socket holds bytes; leave them unread."""

    def drop(self, sock: socket) -> None:
        """Close a socket."""

    def reset(self, sock: socket) -> None:
        """Close a socket with a TCP reset, which its peer sees as an error."""


@final
@unique
class TimeoutKind(Enum):
    """Which time limit a connection has exceeded."""

    idle = 'idle'
    drained = 'drained'
    request = 'request'
    stalled = 'stalled'
    linger = 'linger'


@final
class Connection:
    """Buffered input and output, state and time limits of one socket.

    :ivar exchange: the request that is being answered.
    :ivar closing: whether the connection closes once all output was sent.
    :ivar lingering: whether all output was sent and the sending side closed.
    :ivar reads_input: whether input is read, even if only to be discarded;
        off after a close without a response.
    :ivar held_bytes: bytes of input reserved in the server's ledger.
    :ivar discarded_bytes: bytes of input discarded while lingering.
    :ivar paused: whether reading is paused because too much input waits.
    :ivar request_until_s: until when a request is known to be on its way.
    :ivar input_since_s: when the present wait for input began.
    :ivar was_in_body: whether the reader was past a head at the last update.
    """

    def __init__(self, sock: socket, limits: WebLimits, now_s: float) -> None:
        self.sock = sock
        self.limits = limits
        self.reader = MessageReader(limits)
        self.output = Output(sock, limits.send_buffer_bytes, now_s)
        self.exchange: Exchange | None = None
        self.closing = False
        self.lingering = False
        self.reads_input = True
        self.paused = False
        self.held_bytes = 0
        self.discarded_bytes = 0
        self.request_until_s = now_s + REQUEST_WAIT_S
        self.input_since_s = now_s
        self.was_in_body = False

    @property
    def busy(self) -> bool:
        """Whether a request is being received or answered."""
        if self.lingering:
            return False
        return (
            self.exchange is not None
            or bool(self.output.pieces)
            or not self.reader.is_between_messages
        )

    @property
    def unused(self) -> bool:
        """Whether it is open and no request is received or answered."""
        return not (self.busy or self.closing)

    @property
    def input_bytes(self) -> int:
        """Bytes of input in memory, those of the answered request included."""
        held_bytes = self.reader.held_bytes
        if self.exchange is not None:
            held_bytes += len(self.exchange.payload)
            held_bytes += self.exchange.head.size_bytes
        return held_bytes

    def may_receive_request(self, now_s: float) -> bool:
        """Return whether a request is known to be on its way."""
        return now_s < self.request_until_s and not self.lingering

    def close_unused(
        self, transport: Transport, now_s: float, *, draining: bool
    ) -> None:
        """Close without a response, unless a request is on its way.

        It could not be answered any more. One that crosses the close stays
        unread, so that the client learns that it did not run.
        """
        if transport.has_input(self.sock):
            self.request_until_s = now_s + REQUEST_WAIT_S
        elif not (draining and self.may_receive_request(now_s)):
            self.closing = True
            self.reads_input = False

    def apply_limits(self, limits: WebLimits) -> None:
        """Apply new limits, lower ones not to what has already begun."""
        self._use_limits(self.limits.raised_to(limits))

    def record_input(self, now_s: float, limits: WebLimits) -> None:
        """Start the time limit of a request head at its first byte.

        :param limits: those in force, which apply to the request.
        """
        self.request_until_s = now_s
        if self.reader.is_between_messages:
            self.input_since_s = now_s
            self._use_limits(limits)

    def begin_wait(self, now_s: float, limits: WebLimits) -> None:
        """Start the time limit of the wait for the next request.

        :param limits: those in force, which apply to the wait.
        """
        self.input_since_s = now_s
        if self.reader.is_between_messages:
            self._use_limits(limits)

    def update_phase(self, now_s: float) -> None:
        """Start the time limit of a request body when its head has ended."""
        in_body = self.reader.phase is not Phase.head
        if in_body and not self.was_in_body:
            self.input_since_s = now_s
        self.was_in_body = in_body

    def send(self, now_s: float) -> None:
        """Write as much output as the socket accepts.

        :raises OSError: when the connection is broken.
        """
        self.output.send(
            now_s,
            None if self.exchange is None else self.exchange.progress,
            is_last=self._is_output_complete(),
        )

    def find_timeout(
        self, now_s: float, *, draining: bool
    ) -> TimeoutKind | None:
        """Return the time limit that is exceeded, if any.

        :param draining: whether unused connections are to be closed.
        """
        if self.lingering:
            late = now_s - self.output.since_s > LINGER_S
            return TimeoutKind.linger if late else None
        if self.output.pieces:
            late = now_s - self.output.since_s > self.limits.stall_timeout_s
            return TimeoutKind.stalled if late else None
        if self.exchange is not None:
            return None
        if draining and self.unused and not self.may_receive_request(now_s):
            return TimeoutKind.drained
        kind, limit_s = TimeoutKind.idle, self.limits.idle_timeout_s
        if not self.reader.is_between_messages:
            kind, limit_s = TimeoutKind.request, self.limits.head_timeout_s
            if self.reader.phase is not Phase.head:
                limit_s = self.limits.body_timeout_s
        return kind if now_s - self.input_since_s > limit_s else None

    def is_input_full(self) -> bool:
        """Return whether the limit of pipelined input has been reached."""
        return (
            self.exchange is not None
            and self.reader.held_bytes >= self.limits.head_bytes
        )

    def pause(self, transport: Transport) -> None:
        if not self.paused:
            self.paused = True
            transport.pause(self.sock)

    def resume(self, transport: Transport) -> None:
        if self.paused:
            self.paused = False
            transport.resume(self.sock)

    def reserve_input(self, held_bytes: int, ledger: 'MemoryLedger') -> bool:
        """Adjust the reservation; return ``False`` if memory is full."""
        if not ledger.reserve(held_bytes - self.held_bytes):
            return False
        self.held_bytes = held_bytes
        return True

    def mark_stalled(self) -> None:
        """Record that the client stopped reading."""
        count(BAD_INPUT, kind='slow_reader')
        if self.exchange is not None:
            self.exchange.stalled = True

    def count_discarded(self, count: int) -> bool:
        """Count discarded input; return ``False`` above the limit."""
        self.discarded_bytes += count
        return self.discarded_bytes <= MAX_LINGER_BYTES

    def _use_limits(self, limits: WebLimits) -> None:
        self.limits = limits
        self.reader.limits = limits
        self.output.limit_bytes = limits.send_buffer_bytes

    def _is_output_complete(self) -> bool:
        """Return whether no more output will be added."""
        if self.exchange is None:
            return self.closing
        return self.exchange.finished


REQUEST_TIMEOUT = BadRequest(
    HTTPStatus.REQUEST_TIMEOUT,
    'slow_sender',
    'request was not received in time',
)
REQUEST_TRUNCATED = BadRequest(
    HTTPStatus.BAD_REQUEST, 'cut', 'connection ended inside the request'
)
TOO_MANY_CONNECTIONS = BadRequest(
    HTTPStatus.SERVICE_UNAVAILABLE, 'connections', 'too many connections'
)
IDLE = BadRequest(
    HTTPStatus.REQUEST_TIMEOUT, 'idle', 'no request within the idle time'
)
DRAINING = BadRequest(
    HTTPStatus.SERVICE_UNAVAILABLE, 'leaving', 'host is leaving'
)
MEMORY_FULL = BadRequest(
    HTTPStatus.SERVICE_UNAVAILABLE,
    'memory',
    'not enough memory for the request',
)
