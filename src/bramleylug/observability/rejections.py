"""Limits the log lines about values that are rejected again and again."""

from collections.abc import Callable
from typing import final

from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import BAD_INPUT, count

# Rejections of one key are logged at most once in this time. A writer that
# repeats a value with every heartbeat would fill the log otherwise.
LOG_INTERVAL_S = 600.0
# Keys that are told apart; further ones share a line.
MAX_KEYS = 64
OTHER_KEYS = 'further keys'


@final
class LineLimit:
    """Decides which of many events with one key get a line in the log.

    :param interval_s: least time between two lines about one key.
    :ivar logged_s: when each key was logged last.
    :ivar unlogged: events since then, by key.
    """

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.logged_s: dict[str, float] = {}
        self.unlogged: dict[str, int] = {}

    def record(self, key: str, now_s: float) -> int | None:
        """Record an event; return how many had no line if it is due one."""
        due_s = self.logged_s.get(key, float('-inf')) + self.interval_s
        if now_s < due_s:
            self.unlogged[key] = self.unlogged.get(key, 0) + 1
            return None
        repeated = self.unlogged.pop(key, 0)
        self._forget_old(now_s)
        self.logged_s[key] = now_s
        return repeated

    def _forget_old(self, now_s: float) -> None:
        for key, logged_s in tuple(self.logged_s.items()):
            if now_s - logged_s > 2 * self.interval_s:
                self.logged_s.pop(key)
                self.unlogged.pop(key, None)


@final
class RejectionLog:
    """Counts rejected values, and logs some of them.

    :param clock: seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.limit = LineLimit(LOG_INTERVAL_S)

    def record(self, key: str, error: str) -> None:
        """Count a rejection; log it unless its key was logged a while ago."""
        count(BAD_INPUT, kind='store_value')
        keys = self.limit.logged_s
        name = key if key in keys or len(keys) < MAX_KEYS else OTHER_KEYS
        repeated = self.limit.record(name, self.clock())
        if repeated is None:
            return
        emit(
            LogEvent.value_unreadable,
            key=name.encode('ascii', 'backslashreplace').decode(),
            error=error,
            repeated=repeated,
        )
