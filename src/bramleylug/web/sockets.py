"""Listening sockets of circuits that report events by direct calls."""

import struct
from contextlib import suppress
from socket import MSG_PEEK, SHUT_RDWR, SO_LINGER, SOL_SOCKET, socket
from typing import Protocol, final

from circuits import Event, handler
from circuits.net.events import closed
from circuits.net.sockets import TCPServer

from bramleylug.web.exhaustion import (
    EXHAUSTION_ERRORS,
    ExhaustionLog,
    SpareDescriptor,
)
from bramleylug.web.poller import PolledServer

READ_BYTES = 16384
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class SocketOwner(Protocol):
    """Handler of the events of a server's sockets."""

    def accepted(self, sock: socket) -> None:
        """Add a connection."""

    def readable(self, sock: socket) -> bool:
        """Return whether to read from a socket that has input or has ended."""

    def received(self, sock: socket, raw: bytes) -> None:
        """Process received bytes; none mean the end of input."""

    def writable(self, sock: socket) -> None:
        """Send more output: the socket accepts bytes again."""

    def disconnected(self, sock: socket) -> None:
        """Close a socket that is broken, or whose server closes."""


@final
class SocketServer(PolledServer, TCPServer):
    """Calls its owner for socket events instead of firing circuits events.

    :ivar owner: set before the first connection.
    :ivar accepted: sockets of open connections.
    :ivar accepting: whether connections are accepted at present.
    """

    def __init__(self, bind: tuple[str, int], channel: str) -> None:
        super().__init__(bind, channel=channel)
        self.owner: SocketOwner
        self.accepted: set[socket] = set()
        self.accepting = True
        self.spare = SpareDescriptor()
        self.exhaustion_log = ExhaustionLog(f'connections on {channel}')

    def write_when_ready(self, sock: socket) -> None:
        """Report once when a socket accepts bytes again."""
        if sock in self.accepted:
            self._poller.addWriter(self, sock)

    def pause(self, sock: socket) -> None:
        """Stop reading from a socket until it is resumed."""
        self._poller.removeReader(sock)

    def resume(self, sock: socket) -> None:
        """Start reading from a paused socket again."""
        if sock in self.accepted:
            self._poller.addReader(self, sock)

    def has_input(self, sock: socket) -> bool:
        """Return whether a socket holds bytes; leave them unread."""
        try:
            return bool(sock.recv(1, MSG_PEEK))
        except OSError:
            # Nothing has arrived, or the connection is broken.
            return False

    def continue_accepting(self) -> None:
        """Accept connections again after a pause for want of descriptors."""
        self.spare.reopen()
        if not self.accepting:
            self.accepting = True
            self._poller.addReader(self, self._sock)

    def drop(self, sock: socket) -> None:
        """Close a socket."""
        self._forget(sock)
        with suppress(OSError):
            sock.shutdown(SHUT_RDWR)
        sock.close()

    def reset(self, sock: socket) -> None:
        """Close a socket with a TCP reset, which its peer sees as an error.

        It isn't shut down first: the peer would read that as a regular end.
        """
        with suppress(OSError):
            sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
        self._forget(sock)
        sock.close()

    @handler('close')
    def close(self) -> None:
        """Close all sockets; the loop stops."""
        for sock in tuple(self.accepted):
            self.owner.disconnected(sock)
        if self._poller is not None:
            self._poller.discard(self._sock)
        self._sock.close()
        self.spare.release()
        self.fire(closed())

    def _forget(self, sock: socket) -> None:
        self._poller.discard(sock)
        self.accepted.discard(sock)

    @handler('_read', priority=1)
    def _on_read(self, sock: socket) -> None:
        if sock is self._sock:
            self._accept()
        elif sock in self.accepted:
            self._read(sock)

    def _accept(self) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError as error:
            if error.errno in EXHAUSTION_ERRORS:
                self.exhaustion_log.record(str(error))
                self._reject()
            return
        sock.setblocking(False)
        self.accepted.add(sock)
        self._poller.addReader(self, sock)
        self.owner.accepted(sock)

    def _reject(self) -> None:
        """Reset the next connection, for which no descriptor is free.

        If it can't be accepted even so, the listening socket is left alone for
        a while: it would be reported as readable without end.
        """
        self.spare.release()
        try:
            sock, _ = self._sock.accept()
        except OSError:
            self.accepting = False
            self._poller.removeReader(self._sock)
        else:
            self.reset(sock)
        self.spare.reopen()

    def _read(self, sock: socket) -> None:
        if not self.owner.readable(sock):
            return
        try:
            raw = sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.owner.disconnected(sock)
            return
        self.owner.received(sock, raw)

    @handler('_write', priority=2)
    def _on_writable(self, event: Event, sock: socket) -> None:
        event.stop()
        if self._poller.isWriting(sock):
            self._poller.removeWriter(sock)
            self.owner.writable(sock)
