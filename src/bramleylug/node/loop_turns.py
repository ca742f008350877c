"""Measures how long the turns of an event loop take.

All connections of a process wait while one turn runs.
"""

import time
from collections.abc import Callable
from selectors import DefaultSelector
from typing import Any, NamedTuple, final

from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import LONG_TURNS, count

# A longer turn delays the tokens of all streams noticeably.
LONG_TURN_S = 0.034
# While callbacks are ready, files are looked at no more often than this: each
# look is a call of the kernel, and most callbacks only lead to the next one.
LOOK_INTERVAL_S = 0.002
# How old a reading of the processor times may be when a turn begins: each one
# is two calls of the kernel.
MAX_READING_AGE_S = 0.02
# Turns from this length on are logged, with this interval at least.
LOGGED_TURN_S = 0.2
LOG_INTERVAL_S = 10.0


class Turn(NamedTuple):
    """One turn of an event loop, from the end of a wait to the next wait.

    :ivar processor_s: processor time of the thread in it, and in up to
        :data:`MAX_READING_AGE_S` before it.
    :ivar others_s: processor time of the other threads of the process.
    """

    took_s: float
    processor_s: float
    others_s: float = 0


@final
class TurnRecord:
    """Counts long turns and tells which ones to log.

    :ivar logged_s: when one was logged last.
    """

    def __init__(self) -> None:
        self.logged_s = float('-inf')

    def record(self, turn: Turn, now_s: float) -> bool:
        """Record a turn; return whether it is to be logged."""
        if turn.took_s < LONG_TURN_S:
            return False
        count(LONG_TURNS)
        if turn.took_s < LOGGED_TURN_S:
            return False
        if now_s - self.logged_s < LOG_INTERVAL_S:
            return False
        self.logged_s = now_s
        return True


@final
class TurnSelector(DefaultSelector):
    """A selector that measures the time between its waits.

    :ivar woke_s: when the last wait ended; ``None`` before.
    :ivar read_s: when the processor times were read, then or just before.
    :ivar used_s: processor time of the thread until then.
    :ivar process_s: processor time of the process until then.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        thread_clock: Callable[[], float] = time.thread_time,
        process_clock: Callable[[], float] = time.process_time,
    ) -> None:
        super().__init__()
        self.clock = clock
        self.thread_clock = thread_clock
        self.process_clock = process_clock
        self.turns = TurnRecord()
        self.woke_s: float | None = None
        self.read_s = float('-inf')
        self.used_s = 0.0
        self.process_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Wait as the base class does; record the turn that ends here.

        Without a wait, files that were looked at just before are not reported
        again; the turn goes on.
        """
        now_s = self.clock()
        if timeout is not None and timeout <= 0 and self._has_looked(now_s):
            return []
        self._end_turn(now_s)
        ready = super().select(timeout)
        self.woke_s = self.clock()
        if self.woke_s - self.read_s > MAX_READING_AGE_S:
            self.read_s = self.woke_s
            self.used_s = self.thread_clock()
            self.process_s = self.process_clock()
        return ready

    def _has_looked(self, now_s: float) -> bool:
        return self.woke_s is not None and now_s - self.woke_s < LOOK_INTERVAL_S

    def _end_turn(self, now_s: float) -> None:
        if self.woke_s is None or now_s - self.woke_s < LONG_TURN_S:
            return
        used_s = self.thread_clock() - self.used_s
        others_s = self.process_clock() - self.process_s - used_s
        turn = Turn(now_s - self.woke_s, used_s, others_s)
        if self.turns.record(turn, now_s):
            emit(
                LogEvent.long_turn,
                took_s=round(turn.took_s, 3),
                processor_s=round(turn.processor_s, 3),
                others_s=round(turn.others_s, 3),
            )
