"""Finds out when this process stood still.

A process that was suspended reads late what arrived meanwhile: the time of
reading then says little about when it was sent.
"""

from collections.abc import Callable
from typing import NamedTuple, final

from bramleylug.node.ticks import sleep_until_tick
from bramleylug.observability.events import LogEvent, emit

TICK_INTERVAL_S = 0.1
# Shorter stalls of the event loop are covered by the allowances for lag.
MIN_PAUSE_S = 0.25
# What arrived during a pause is read over several passes of the event loop.
BACKLOG_S = 0.5
MAX_PAUSES = 16


class Pause(NamedTuple):
    """A time in which this process stood still.

    :ivar start_s: the last moment at which it is known to have run.
    """

    start_s: float
    end_s: float


@final
class ProcessPauses:
    """Pauses of this process, found by a timer that fires late.

    The answers include a pause that the timer has not noticed yet, as sockets
    may be read first afterwards. Without any tick no pause is known.

    :ivar ticked_s: when the timer fired last.
    :ivar pauses: the latest pauses, in order.
    """

    def __init__(self) -> None:
        self.ticked_s = float('inf')
        self.pauses: tuple[Pause, ...] = ()

    def tick(self, now_s: float) -> Pause | None:
        """Record that the process runs; return the pause that ends here."""
        pause = self._unnoticed(now_s)
        if pause is not None:
            self.pauses = (*self.pauses, pause)[-MAX_PAUSES:]
        self.ticked_s = now_s
        return pause

    def paused_s(self, since_s: float, now_s: float) -> float:
        """Return for how long the process stood still since a moment."""
        return sum(
            max(0.0, pause.end_s - max(pause.start_s, since_s))
            for pause in self._until(now_s)
        )

    def earliest_arrival_s(self, now_s: float) -> float:
        """Return when something that is read now can have arrived first."""
        arrival_s = now_s
        for pause in reversed(self._until(now_s)):
            if arrival_s > pause.end_s + BACKLOG_S:
                break
            arrival_s = pause.start_s
        return arrival_s

    def _until(self, now_s: float) -> tuple[Pause, ...]:
        unnoticed = self._unnoticed(now_s)
        return self.pauses if unnoticed is None else (*self.pauses, unnoticed)

    def _unnoticed(self, now_s: float) -> Pause | None:
        if now_s - self.ticked_s <= TICK_INTERVAL_S + MIN_PAUSE_S:
            return None
        return Pause(self.ticked_s, now_s)


async def watch_pauses(
    pauses: ProcessPauses, clock: Callable[[], float]
) -> None:
    """Tick until cancelled; log each pause."""
    while True:
        pause = pauses.tick(clock())
        if pause is not None:
            emit(
                LogEvent.process_paused,
                for_s=round(pause.end_s - pause.start_s, 2),
            )
        await sleep_until_tick(TICK_INTERVAL_S)
