"""A caller port with a stand-in for its sockets and a virtual clock."""

from collections.abc import Callable
from socket import socket
from typing import Any, cast

from bramleylug.web.exchange import Exchange
from bramleylug.web.limits import WebLimits
from bramleylug.web.memory import MemoryLedger
from bramleylug.web.port import Port, PortContext

REQUEST = b'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi'


class FakeSocket:
    """Takes as many bytes as it is told to."""

    def __init__(self) -> None:
        self.room = 10**9
        self.sent = b''

    def send(self, piece: bytes) -> int:
        """Take what there is room for."""
        if not self.room:
            raise BlockingIOError
        taken = piece[: self.room]
        self.room -= len(taken)
        self.sent += taken
        return len(taken)

    def setsockopt(self, *option: Any) -> None:
        """Ignore options."""

    def shutdown(self, how: int) -> None:
        """Ignore the half close."""


class FakeTransport:
    """Notes what became of the sockets."""

    def __init__(self) -> None:
        self.ended: list[str] = []

    def write_when_ready(self, sock: socket) -> None:
        """Writable is told by hand."""

    def pause(self, sock: socket) -> None:
        """Note the pause."""
        self.ended.append('paused')

    def resume(self, sock: socket) -> None:
        """Note the end of the pause."""
        self.ended.append('resumed')

    def drop(self, sock: socket) -> None:
        """Note the close."""
        self.ended.append('closed')

    def reset(self, sock: socket) -> None:
        """Note the reset."""
        self.ended.append('reset')


class PortHarness:
    """A port whose events and clock are driven by hand."""

    def __init__(
        self,
        serve: Callable[[Exchange], None] | None = None,
        *,
        memory_bytes: int = 1_000_000,
        **limits: Any,
    ) -> None:
        self.now_s = 0.0
        self.served: list[Exchange] = []
        self.transport = FakeTransport()
        self.ledger = MemoryLedger(memory_bytes)
        self.port = Port(
            PortContext(
                WebLimits(**limits),
                self.ledger,
                serve or self.served.append,
                self.call,
                lambda: self.now_s,
            ),
            self.transport,
        )

    def call(self, action: Callable[[], None]) -> None:
        """Run an action at once, as the loop does."""
        action()
        self.port.flush()

    def connect(self) -> FakeSocket:
        """Return the socket of a new caller."""
        sock = FakeSocket()
        self.port.accepted(cast(socket, sock))
        return sock

    def receive(self, sock: FakeSocket, raw: bytes) -> None:
        """Bring bytes of a caller."""
        self.port.received(cast(socket, sock), raw)

    def drain(self, sock: FakeSocket, room: int) -> None:
        """Let a caller read some bytes."""
        sock.room = room
        self.port.writable(cast(socket, sock))

    def pass_time(self, seconds: float) -> None:
        """Let time pass and look for what is too slow."""
        self.now_s += seconds
        self.port.sweep()
