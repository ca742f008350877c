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
class RejectionLog:
    """Counts rejected values, and logs some of them.

    :param clock: seconds.
    :ivar logged_s: when each key was logged last.
    :ivar unlogged: rejections since then, by key.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.logged_s: dict[str, float] = {}
        self.unlogged: dict[str, int] = {}

    def record(self, key: str, error: str) -> None:
        """Count a rejection; log it unless its key was logged a while ago."""
        count(BAD_INPUT, kind='store_value')
        known = key in self.logged_s or len(self.logged_s) < MAX_KEYS
        name = key if known else OTHER_KEYS
        now_s = self.clock()
        due_s = self.logged_s.get(name, float('-inf')) + LOG_INTERVAL_S
        if now_s < due_s:
            self.unlogged[name] = self.unlogged.get(name, 0) + 1
            return
        self._forget_old(now_s)
        self.logged_s[name] = now_s
        emit(
            LogEvent.value_unreadable,
            key=name.encode('ascii', 'backslashreplace').decode(),
            error=error,
            repeated=self.unlogged.pop(name, 0),
        )

    def _forget_old(self, now_s: float) -> None:
        for name, logged_s in tuple(self.logged_s.items()):
            if now_s - logged_s > 2 * LOG_INTERVAL_S:
                self.logged_s.pop(name)
                self.unlogged.pop(name, None)
