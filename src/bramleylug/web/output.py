"""Output of one server connection that its socket has not accepted yet."""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from fcntl import ioctl
from socket import socket
from struct import Struct
from threading import Lock
from typing import final

# Linux ioctl: returns the bytes in a socket's buffer that were never sent.
SIOCOUTQNSD = 0x894B
INT = Struct('i')


@final
@dataclass(slots=True)
class SendProgress:
    """Byte counters of one response body; they only increase.

    :ivar submitted: bytes that the owner passed to :meth:`Exchange.send`.
    :ivar queued: bytes that are among the output, or were.
    :ivar written: bytes that the socket has accepted.
    """

    submitted: int = 0
    queued: int = 0
    written: int = 0

    def record_unsent(self, unsent_bytes: int) -> None:
        """Record how many queued bytes the socket has not accepted yet."""
        self.written = self.queued - min(self.queued, unsent_bytes)


@final
class Output:
    """Pieces that wait for the socket, in order; thread-safe.

    The thread of the loop sends what waits and closes the socket. The thread
    that answers a request sends pieces that nothing precedes.

    :ivar lock: held while pieces are added or sent, and while the socket is
        closed: its descriptor may be that of another connection afterwards.
    :ivar open: whether the socket has not been closed.
    :ivar pieces: what the socket has not accepted yet.
    :ivar unsent_bytes: size of the pieces.
    :ivar since_s: when they made progress last; when all output was sent, if
        the connection lingers.
    :ivar limit_bytes: most unsent bytes in the kernel; 0 for no limit.
    """

    def __init__(self, sock: socket, limit_bytes: int, now_s: float) -> None:
        self.sock = sock
        self.limit_bytes = limit_bytes
        self.lock = Lock()
        self.open = True
        self.pieces: list[bytes | memoryview] = []
        self.unsent_bytes = 0
        self.since_s = now_s

    def add(self, piece: bytes, now_s: float) -> None:
        """Add a piece; if none waited, the stall time limit starts."""
        with self.lock:
            self._add(piece, now_s)

    def send(
        self, now_s: float, progress: SendProgress | None, *, is_last: bool
    ) -> None:
        """Write as much as the socket accepts.

        :param progress: counters of the response that is sent.
        :param is_last: whether no more output follows. It has one stall time
            limit in all: sent bytes don't extend it, or a client could read a
            byte at a time for ever.
        :raises OSError: when the connection is broken.
        """
        with self.lock:
            self._send(now_s, is_last=is_last)
            if progress is not None:
                progress.record_unsent(self.unsent_bytes)

    def send_at_once(
        self,
        piece: bytes,
        body_bytes: int,
        progress: SendProgress,
        now_s: float,
    ) -> bool:
        """Write a piece unless others precede it.

        What the socket does not accept waits, and all of the piece if the
        connection is broken: the next one to send is told.

        :param body_bytes: bytes of the body in the piece.
        :returns: whether the piece was taken.
        """
        with self.lock:
            if self.pieces or not self.open:
                return False
            progress.queued += body_bytes
            self._add(piece, now_s)
            with suppress(OSError):
                self._send(now_s, is_last=False)
            progress.record_unsent(self.unsent_bytes)
        return True

    def close(self, close: Callable[[socket], None]) -> None:
        """Close the socket; nothing is sent from then on."""
        with self.lock:
            self.open = False
            close(self.sock)

    def _add(self, piece: bytes, now_s: float) -> None:
        if not self.pieces:
            self.since_s = now_s
        self.pieces.append(piece)
        self.unsent_bytes += len(piece)

    def _send(self, now_s: float, *, is_last: bool) -> None:
        if not self.pieces:
            return
        piece = (
            self.pieces[0] if len(self.pieces) == 1 else b''.join(self.pieces)
        )
        sent = _send_some(self.sock, piece, self.limit_bytes)
        if sent and not is_last:
            self.since_s = now_s
        self.pieces = [memoryview(piece)[sent:]] if sent < len(piece) else []
        self.unsent_bytes = len(piece) - sent


def _send_some(
    sock: socket, piece: bytes | memoryview, unsent_limit: int
) -> int:
    """Write to a socket and return the number of bytes it accepted.

    The kernel checks for free space in a send buffer only before it starts a
    new segment, and appends to a waiting one without a check. Therefore its
    unsent bytes are read first.

    :param unsent_limit: most unsent bytes in the kernel; 0 for no limit.
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
    result = ioctl(sock, SIOCOUTQNSD, bytes(INT.size))
    return int(INT.unpack(result)[0])
