"""Tells when the engine of this host has become slow, or is fast again."""

from typing import final

from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import ENGINE_PACE

# A pace that differs by this factor from the one told last is told at once.
CHANGE_FACTOR = 1.4
# Heartbeats to all relays for changes of the pace are at least so far apart.
MIN_INTERVAL_S = 1.0


@final
class PaceWatch:
    """Compares the paces that an engine reports.

    :ivar told: the pace that relays were told of last.
    :ivar told_s: when that was.
    """

    def __init__(self) -> None:
        self.told = 1.0
        self.told_s = float('-inf')

    def record(self, pace: float, now_s: float) -> bool:
        """Record a reported pace; return whether relays must know at once."""
        ENGINE_PACE.set({}, pace)
        lower, higher = sorted((pace, self.told))
        if higher < CHANGE_FACTOR * lower:
            return False
        if now_s - self.told_s < MIN_INTERVAL_S:
            return False
        emit(LogEvent.pace_changed, pace=round(pace, 2), before=self.told)
        self.told = round(pace, 2)
        self.told_s = now_s
        return True
