"""HTTP server on circuits whose every answer is written under flow control.

circuits.web pulls a streamed body as fast as events run and buffers it
without bound. Here a request becomes an :class:`Exchange`, whose owner
sends the next piece when the socket has taken the last; input is bounded
in bytes and time before it is parsed.
"""

import time
from collections import deque
from collections.abc import Callable

from circuits import BaseComponent, Event, Timer, handler

from bramleylug.web.exchange import Exchange
from bramleylug.web.limits import DEFAULT_LIMITS, WebLimits
from bramleylug.web.memory import UNBOUNDED_BYTES, MemoryLedger
from bramleylug.web.port import Port, PortContext
from bramleylug.web.sockets import SocketServer

__all__ = ('Exchange', 'WebServer')

SWEEP_S = 0.25


class invoke(Event):  # noqa: N801
    """Run what was handed to the loop that owns the sockets."""


class sweep(Event):  # noqa: N801
    """Time to look for connections that are too slow."""


class WebServer(BaseComponent):
    """HTTP server that hands each request to a callable as an exchange.

    :param bind: address as ``host:port``; port 0 lets the kernel choose.
    :param serve: called on the loop with each exchange.
    :param limits: what the port accepts.
    :param ledger: counts the bytes of requests that are held.
    :param clock: seconds that only rise.
    """

    channel = 'web'

    def __init__(
        self,
        bind: str,
        serve: Callable[[Exchange], None],
        *,
        limits: WebLimits = DEFAULT_LIMITS,
        ledger: MemoryLedger | None = None,
        clock: Callable[[], float] = time.monotonic,
        channel: str = 'web',
    ) -> None:
        super().__init__(channel=channel)
        self.ledger = ledger or MemoryLedger(UNBOUNDED_BYTES)
        self.actions: deque[Callable[[], None]] = deque()
        self.woken = False
        host, _, port = bind.rpartition(':')
        self.tcp = SocketServer((host, int(port)), channel)
        self.connections = Port(
            PortContext(limits, self.ledger, serve, self.call, clock),
            self.tcp,
        )
        self.tcp.owner = self.connections
        self.tcp.register(self)
        Timer(SWEEP_S, sweep(), channel, persist=True).register(self)

    @property
    def host(self) -> str:
        """Address the server listens on."""
        return str(self.tcp.host)

    @property
    def port(self) -> int:
        """Port the server listens on."""
        return int(self.tcp.port)

    @property
    def address(self) -> str:
        """Address as ``host:port``."""
        return f'{self.host}:{self.port}'

    @property
    def busy(self) -> bool:
        """Whether a request has begun to arrive or is not yet answered."""
        return bool(self.actions) or self.connections.busy

    def apply_limits(self, limits: WebLimits) -> None:
        """Put other limits in force, for open connections too."""
        self.call(lambda: self.connections.apply_limits(limits))

    def start_draining(self) -> None:
        """Close idle connections now, others after their answer."""
        self.connections.draining = True
        self.call(self.connections.start_draining)

    def call(self, action: Callable[[], None]) -> None:
        """Run a callable on the loop; may be called from any thread.

        What is handed over while the loop is awake costs no event.
        """
        self.actions.append(action)
        if not self.woken:
            self.woken = True
            self.fire(invoke(), self.channel)

    @handler('invoke')
    def _on_invoke(self) -> None:
        self.woken = False
        while self.actions:
            self.actions.popleft()()
        self.connections.flush()

    @handler('sweep')
    def _on_sweep(self) -> None:
        self.connections.sweep()
