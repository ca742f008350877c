"""A server port with fake sockets and a clock that tests control."""

from collections.abc import Callable
from socket import socket
from typing import Any, cast

from bramleylug.web.descriptors import DescriptorShare, unlimited_share
from bramleylug.web.exchange import Exchange
from bramleylug.web.limits import WebLimits
from bramleylug.web.memory import MemoryLedger
from bramleylug.web.port import Port, PortContext

REQUEST = b'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi'


class FakeSocket:
    """Accepts as many bytes as its capacity allows, unless it is broken."""

    def __init__(self) -> None:
        self.capacity = 10**9
        self.sent = b''
        self.broken = False

    def send(self, piece: bytes) -> int:
        if self.broken:
            raise ConnectionResetError
        if not self.capacity:
            raise BlockingIOError
        accepted = piece[: self.capacity]
        self.capacity -= len(accepted)
        self.sent += accepted
        return len(accepted)

    def setsockopt(self, *option: Any) -> None:
        """Ignore socket options."""

    def shutdown(self, how: int) -> None:
        """Ignore that the sending side was closed."""


class FakeTransport:
    """Records what the port does with its sockets.

    :ivar unread: sockets with input that has not been delivered yet.
    """

    def __init__(self) -> None:
        self.events: list[str] = []
        self.unread: set[FakeSocket] = set()

    def write_when_ready(self, sock: socket) -> None:
        """Do nothing: tests report writable sockets themselves."""

    def pause(self, sock: socket) -> None:
        self.events.append('paused')

    def resume(self, sock: socket) -> None:
        self.events.append('resumed')

    def has_input(self, sock: socket) -> bool:
        return sock in self.unread

    def drop(self, sock: socket) -> None:
        self.events.append('closed')

    def reset(self, sock: socket) -> None:
        self.events.append('reset')


class PortHarness:
    """A port whose events and clock are controlled by the test.

    :ivar deferred: whether calls wait for :meth:`run_calls`.
    :ivar calls: those that wait.
    """

    def __init__(
        self,
        serve: Callable[[Exchange], None] | None = None,
        *,
        memory_bytes: int = 1_000_000,
        descriptors: DescriptorShare | None = None,
        **limits: Any,
    ) -> None:
        self.now_s = 0.0
        self.deferred = False
        self.calls: list[Callable[[], None]] = []
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
                descriptors or unlimited_share(),
            ),
            self.transport,
        )

    def call(self, action: Callable[[], None]) -> None:
        """Run a callable at once; on a server, the loop would run it."""
        if self.deferred:
            self.calls.append(action)
            return
        action()
        self.port.flush()

    def run_calls(self) -> None:
        """Run the calls that wait, as the loop does when it wakes."""
        while self.calls:
            self.calls.pop(0)()
        self.port.flush()

    def connect(self) -> FakeSocket:
        """Open a connection and return its socket."""
        sock = FakeSocket()
        self.port.accepted(cast(socket, sock))
        return sock

    def receive(self, sock: FakeSocket, raw: bytes) -> None:
        """Deliver bytes from a client, if the port reads them."""
        if self.port.readable(cast(socket, sock)):
            self.transport.unread.discard(sock)
            self.port.received(cast(socket, sock), raw)

    def drain(self, sock: FakeSocket, capacity: int) -> None:
        """Let the socket accept some bytes."""
        sock.capacity = capacity
        self.port.writable(cast(socket, sock))

    def pass_time(self, seconds: float) -> None:
        """Advance the clock and apply the time limits."""
        self.now_s += seconds
        self.port.sweep()
