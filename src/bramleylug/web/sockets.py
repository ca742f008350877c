"""Listening sockets of circuits that report events by direct calls."""

import struct
from contextlib import suppress
from socket import MSG_PEEK, SO_LINGER, SOL_SOCKET, socket
from typing import Protocol, final

from circuits import Event, handler
from circuits.net.sockets import TCPServer

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
        """Release what belongs to a closed socket."""


@final
class SocketServer(TCPServer):
    """Calls its owner for socket events instead of firing circuits events.

    :ivar owner: set before the first connection.
    """

    def __init__(self, bind: tuple[str, int], channel: str) -> None:
        super().__init__(bind, channel=channel)
        self.owner: SocketOwner

    def write_when_ready(self, sock: socket) -> None:
        """Report once when a socket accepts bytes again."""
        if not self._poller.isWriting(sock):
            self._poller.addWriter(self, sock)

    def pause(self, sock: socket) -> None:
        self._poller.removeReader(sock)

    def resume(self, sock: socket) -> None:
        self._poller.addReader(self, sock)

    def has_input(self, sock: socket) -> bool:
        """Return whether a socket holds bytes; leave them unread."""
        try:
            return bool(sock.recv(1, MSG_PEEK))
        except OSError:
            # Nothing has arrived, or the connection is broken.
            return False

    def drop(self, sock: socket) -> None:
        self._close(sock)

    def reset(self, sock: socket) -> None:
        """Close a socket with a TCP reset, which its peer sees as an error.

        It isn't shut down first: the peer would read that as a regular end.
        """
        with suppress(OSError):
            sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
        self._poller.discard(sock)
        self._buffers.pop(sock, None)
        if sock in self._clients:
            self._clients.remove(sock)
        sock.close()

    def _on_accept_done(
        self, sock: socket, fire_connect_event: bool = True
    ) -> None:
        sock.setblocking(False)
        self._poller.addReader(self, sock)
        self._clients.append(sock)
        self.owner.accepted(sock)

    def _read(self, sock: socket) -> None:
        if not self.owner.readable(sock):
            return
        try:
            raw = sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._close(sock)
            return
        self.owner.received(sock, raw)

    @handler('_write', priority=2)
    def _on_writable(self, event: Event, sock: socket) -> None:
        event.stop()
        if self._poller.isWriting(sock):
            self._poller.removeWriter(sock)
        self.owner.writable(sock)

    @handler('disconnect')
    def _on_disconnected(self, sock: socket) -> None:
        self.owner.disconnected(sock)
