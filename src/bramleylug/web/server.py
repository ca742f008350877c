"""HTTP server on circuits with flow control and limits for every request.

circuits.web reads a streamed body as fast as its event loop runs and buffers
it without limit. Here each request becomes an :class:`Exchange`, whose owner
sends the next piece once the socket has accepted the previous one; input is
limited in size and time before it is parsed.
"""

import time
from collections import deque
from collections.abc import Callable
from typing import Any, final

from circuits import BaseComponent, Event, Timer, handler

from bramleylug.web.descriptors import DescriptorShare, unlimited_share
from bramleylug.web.exchange import Exchange
from bramleylug.web.limits import DEFAULT_LIMITS, WebLimits
from bramleylug.web.memory import UNBOUNDED_BYTES, MemoryLedger
from bramleylug.web.port import Port, PortContext
from bramleylug.web.sockets import SocketServer

__all__ = ('Exchange', 'WebServer')

SWEEP_INTERVAL_S = 0.25
# Channel of the sweeps of all servers of a loop.
SWEEP_CHANNEL = 'sweeps'


class invoke(Event):  # noqa: N801
    """Runs the queued callables on the loop that owns the sockets."""


class sweep(Event):  # noqa: N801
    """Periodic check for connections that exceeded a time limit."""


@final
class SweepTimer(Timer):
    """Starts the sweeps of all servers of a loop.

    A loop examines each of its timers in every turn.
    """


class WebServer(BaseComponent):
    """HTTP server that passes each request to a callable as an exchange.

    :param bind: address as ``host:port``; port 0 lets the kernel choose.
    :param serve: called on the loop with each exchange.
    :param ledger: limits the memory of all requests together; by default
        there is no limit.
    :param clock: returns monotonic time in seconds.
    :param descriptors: limits the connections of all servers together; by
        default there is no limit.
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
        descriptors: DescriptorShare | None = None,
    ) -> None:
        super().__init__(channel=channel)
        self.ledger = ledger or MemoryLedger(UNBOUNDED_BYTES)
        self.actions: deque[Callable[[], None]] = deque()
        self.invoke_pending = False
        host, _, port = bind.rpartition(':')
        self.tcp = SocketServer((host, int(port)), channel)
        self.connections = Port(
            PortContext(
                limits,
                self.ledger,
                serve,
                self.call,
                clock,
                descriptors or unlimited_share(),
            ),
            self.tcp,
        )
        self.tcp.owner = self.connections
        self.tcp.register(self)

    @property
    def host(self) -> str:
        return str(self.tcp.host)

    @property
    def port(self) -> int:
        return int(self.tcp.port)

    @property
    def address(self) -> str:
        """Address that the server listens on, as ``host:port``."""
        return f'{self.host}:{self.port}'

    @property
    def busy(self) -> bool:
        """Whether a request is being received or answered, or may arrive."""
        return bool(self.actions) or self.connections.busy

    def apply_limits(self, limits: WebLimits) -> None:
        """Replace the limits, for open connections too; thread-safe."""
        self.call(lambda: self.connections.apply_limits(limits))

    def start_draining(self) -> None:
        """Close idle connections now, others after their response."""
        self.connections.draining = True
        self.call(self.connections.start_draining)

    def call(self, action: Callable[[], None]) -> None:
        """Run a callable on the loop; thread-safe.

        Callables that are queued before the loop runs share one event.
        """
        self.actions.append(action)
        if not self.invoke_pending:
            self.invoke_pending = True
            self.fire(invoke(), self.channel)

    @handler('registered', 'started', channel='*')
    def _on_registered_or_started(
        self, component: Any, manager: Any = None
    ) -> None:
        # A server that is itself the root is started without registering.
        if component is self:
            _start_sweeps(self.root)

    @handler('invoke')
    def _on_invoke(self) -> None:
        self.invoke_pending = False
        while self.actions:
            self.actions.popleft()()
        self.connections.flush()

    @handler('sweep', channel=SWEEP_CHANNEL)
    def _on_sweep(self) -> None:
        self.tcp.continue_accepting()
        self.connections.sweep()


def _start_sweeps(root: Any) -> None:
    """Start the sweeps of a loop unless they have been started."""
    if any(isinstance(one, SweepTimer) for one in root.components):
        return
    timer = SweepTimer(SWEEP_INTERVAL_S, sweep(), SWEEP_CHANNEL, persist=True)
    timer.register(root)
