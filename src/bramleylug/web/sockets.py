"""Listening sockets of circuits, whose events go straight to their owner."""

import struct
from contextlib import suppress
from socket import SO_LINGER, SOL_SOCKET, socket
from typing import Protocol, final

from circuits import Event, handler
from circuits.net.sockets import TCPServer

READ_BYTES = 16384
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class SocketOwner(Protocol):
    """Whoever acts on the sockets' events."""

    def accepted(self, sock: socket) -> None:
        """Take in a new connection."""

    def received(self, sock: socket, raw: bytes) -> None:
        """Take in bytes of a connection; none mean its end."""

    def writable(self, sock: socket) -> None:
        """Send on, now that a socket takes bytes again."""

    def disconnected(self, sock: socket) -> None:
        """Note that a socket has been closed."""


@final
class SocketServer(TCPServer):
    """Hands the sockets' events to the server instead of firing them on."""

    def __init__(self, bind: tuple[str, int], channel: str) -> None:
        super().__init__(bind, channel=channel)
        self.owner: SocketOwner

    def write_when_ready(self, sock: socket) -> None:
        """Ask to be told when a socket takes bytes again."""
        if not self._poller.isWriting(sock):
            self._poller.addWriter(self, sock)

    def pause(self, sock: socket) -> None:
        """Read no more from a socket for now."""
        self._poller.removeReader(sock)

    def resume(self, sock: socket) -> None:
        """Read from a socket again."""
        self._poller.addReader(self, sock)

    def drop(self, sock: socket) -> None:
        """Close a socket."""
        self._close(sock)

    def reset(self, sock: socket) -> None:
        """Close a socket so that its peer sees an error, not an end.

        Without a shutdown before: its peer would take that for the end.
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
