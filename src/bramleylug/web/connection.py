"""State of one caller's connection."""

from enum import Enum, unique
from fcntl import ioctl
from http import HTTPStatus
from socket import socket
from struct import Struct
from typing import TYPE_CHECKING, Protocol, final

from bramleylug.observability.metrics import BAD_INPUT, count
from bramleylug.web.heads import BadRequest
from bramleylug.web.limits import WebLimits
from bramleylug.web.reader import MessageReader, Phase

if TYPE_CHECKING:
    from bramleylug.web.exchange import Exchange
    from bramleylug.web.memory import MemoryLedger

# Linux: bytes of a socket that were not sent yet.
SIOCOUTQNSD = 0x894B
INT = Struct('i')
LINGER_S = 2.0
NEW_CONNECTION_S = 2.0
LINGER_BYTES = 4 * 1024 * 1024


class Transport(Protocol):
    """What watches the sockets."""

    def write_when_ready(self, sock: socket) -> None:
        """Ask to be told when a socket takes bytes again."""

    def pause(self, sock: socket) -> None:
        """Read no more from a socket for now."""

    def resume(self, sock: socket) -> None:
        """Read from a socket again."""

    def drop(self, sock: socket) -> None:
        """Close a socket."""

    def reset(self, sock: socket) -> None:
        """Close a socket so that its peer sees an error, not an end."""


@final
@unique
class Expiry(Enum):
    """What a connection has been too slow for."""

    idle = 'idle'
    request = 'request'
    stalled = 'stalled'
    linger = 'linger'


@final
class Connection:
    """Input, output and time limits of one socket; does no input or output.

    :ivar out: pieces the socket has not taken.
    :ivar exchange: the request that is being answered.
    :ivar closing: whether the connection ends once all was sent.
    :ivar lingering: whether all was sent and what still comes is dropped.
    :ivar held_bytes: bytes of input counted in the server's ledger.
    :ivar paused: whether reading stopped because too much input waits.
    """

    def __init__(self, sock: socket, limits: WebLimits, now_s: float) -> None:
        self.sock = sock
        self.limits = limits
        self.reader = MessageReader(limits)
        self.out: list[bytes | memoryview] = []
        self.out_bytes = 0
        self.exchange: Exchange | None = None
        self.closing = False
        self.lingering = False
        self.paused = False
        self.held_bytes = 0
        self.dropped_bytes = 0
        self.accepted_s = now_s
        self.input_since_s = now_s
        self.output_since_s = now_s
        self.awaits_body = False

    @property
    def busy(self) -> bool:
        """Whether a request has begun to arrive or is not yet answered."""
        if self.lingering:
            return False
        return (
            self.exchange is not None
            or bool(self.out)
            or not self.reader.between_messages
        )

    @property
    def wanted_bytes(self) -> int:
        """Bytes of input that are held now."""
        held_bytes = self.reader.held_bytes
        if self.exchange is not None:
            held_bytes += len(self.exchange.payload)
            held_bytes += self.exchange.head.size_bytes
        return held_bytes

    def may_bring_request(self, now_s: float) -> bool:
        """Tell whether a request may be on its way on a new connection."""
        young = now_s - self.accepted_s < NEW_CONNECTION_S
        return young and not self.lingering

    def note_input(self, now_s: float) -> None:
        """Start the clock of a request at its first byte and its body."""
        if self.reader.between_messages:
            self.input_since_s = now_s

    def note_progress(self, now_s: float) -> None:
        """Give the body of a request its own time."""
        in_body = self.reader.phase is not Phase.head
        if in_body and not self.awaits_body:
            self.input_since_s = now_s
        self.awaits_body = in_body

    def queue(self, piece: bytes, now_s: float) -> None:
        """Add output; its time to be taken starts where none waited."""
        if not self.out:
            self.output_since_s = now_s
        self.out.append(piece)
        self.out_bytes += len(piece)

    def send(self, now_s: float) -> None:
        """Give the socket what it takes.

        :raises OSError: when the connection is broken.
        """
        if not self.out:
            return
        piece = self.out[0] if len(self.out) == 1 else b''.join(self.out)
        sent = _send_some(self.sock, piece, self.limits.send_buffer_bytes)
        if sent and not self._is_ending():
            self.output_since_s = now_s
        self.out = [memoryview(piece)[sent:]] if sent < len(piece) else []
        self.out_bytes = len(piece) - sent

    def expired(self, now_s: float) -> Expiry | None:
        """Tell what the connection has been too slow for."""
        if self.lingering:
            late = now_s - self.output_since_s > LINGER_S
            return Expiry.linger if late else None
        if self.out:
            late = now_s - self.output_since_s > self.limits.stall_timeout_s
            return Expiry.stalled if late else None
        if self.exchange is not None:
            return None
        kind, limit_s = Expiry.idle, self.limits.idle_timeout_s
        if not self.reader.between_messages:
            kind, limit_s = Expiry.request, self.limits.head_timeout_s
            if self.reader.phase is not Phase.head:
                limit_s = self.limits.body_timeout_s
        return kind if now_s - self.input_since_s > limit_s else None

    def input_is_full(self) -> bool:
        """Tell whether enough of later requests is kept."""
        return (
            self.exchange is not None
            and self.reader.held_bytes >= self.limits.head_bytes
        )

    def pause(self, transport: Transport) -> None:
        """Read no more for now."""
        if not self.paused:
            self.paused = True
            transport.pause(self.sock)

    def resume(self, transport: Transport) -> None:
        """Read again."""
        if self.paused:
            self.paused = False
            transport.resume(self.sock)

    def hold(self, held_bytes: int, ledger: 'MemoryLedger') -> bool:
        """Count the input that is held; ``False`` where it does not fit."""
        if not ledger.reserve(held_bytes - self.held_bytes):
            return False
        self.held_bytes = held_bytes
        return True

    def mark_stalled(self) -> None:
        """Note that the caller stopped reading."""
        count(BAD_INPUT, kind='slow_reader')
        if self.exchange is not None:
            self.exchange.stalled = True

    def count_dropped(self, count: int) -> bool:
        """Count input that is dropped; ``False`` once it is too much."""
        self.dropped_bytes += count
        return self.dropped_bytes <= LINGER_BYTES

    def _is_ending(self) -> bool:
        """Tell whether nothing more is added to what waits to be sent."""
        if self.exchange is None:
            return self.closing
        return self.exchange.finished


def _send_some(
    sock: socket, piece: bytes | memoryview, unsent_limit: int
) -> int:
    """Send what a socket takes and return how many bytes that was.

    The kernel looks at the room in a send buffer only before it starts a
    new segment, and appends to one that waits without looking. So what it
    has not sent is asked for first.

    :param unsent_limit: bytes that may wait in the kernel; 0 for any.
    """
    if unsent_limit:
        if _unsent_bytes(sock) >= unsent_limit:
            return 0
        piece = piece[:unsent_limit]
    try:
        return sock.send(piece)
    except BlockingIOError:
        return 0


def _unsent_bytes(sock: socket) -> int:
    answer = ioctl(sock, SIOCOUTQNSD, bytes(INT.size))
    return int(INT.unpack(answer)[0])


REQUEST_TIMEOUT = BadRequest(
    HTTPStatus.REQUEST_TIMEOUT,
    'slow_sender',
    'request was not finished in time',
)
REQUEST_CUT = BadRequest(
    HTTPStatus.BAD_REQUEST, 'cut', 'request ended before it was whole'
)
TOO_MANY_CONNECTIONS = BadRequest(
    HTTPStatus.SERVICE_UNAVAILABLE, 'connections', 'too many connections'
)
IDLE = BadRequest(
    HTTPStatus.REQUEST_TIMEOUT, 'idle', 'no request came for long'
)
LEAVING = BadRequest(
    HTTPStatus.SERVICE_UNAVAILABLE, 'leaving', 'host is leaving'
)
MEMORY_FULL = BadRequest(
    HTTPStatus.SERVICE_UNAVAILABLE, 'memory', 'no memory for the request'
)
