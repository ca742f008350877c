"""Counts of requests by window and workspace."""

from collections import Counter
from collections.abc import Iterable, Mapping
from math import ceil, floor
from typing import NamedTuple, final

# Windows that are kept after the report of one is due.
SPARE_WINDOWS = 2
MAX_WORKSPACES = 4096


@final
class Windows(NamedTuple):
    """How time is divided.

    :ivar duration_s: of a window; window k begins k times that after the start
        of 1970.
    :ivar late_s: time from the end of a window until its report is due.
    """

    duration_s: float
    late_s: float

    def at(self, agreed_s: float) -> int:
        """Return the window that a moment belongs to."""
        return floor(agreed_s / self.duration_s)

    def begin_s(self, window: int) -> float:
        return window * self.duration_s

    def end_s(self, window: int) -> float:
        return (window + 1) * self.duration_s

    def is_late(self, window: int, agreed_s: float) -> bool:
        """Return whether a report of a window would come too late."""
        return agreed_s > self.end_s(window) + self.late_s

    def first_in_time(self, agreed_s: float) -> int:
        """Return the first window whose report would not come too late."""
        return ceil((agreed_s - self.late_s) / self.duration_s) - 1

    def first_kept(self, agreed_s: float) -> int:
        """Return the first window whose counts are still of use."""
        return self.at(agreed_s - self.late_s) - SPARE_WINDOWS


@final
class UsageMeter:
    """Requests that began at this relay.

    :ivar windows: requests by workspace, by window.
    """

    def __init__(self) -> None:
        self.windows: dict[int, Counter[str]] = {}

    def record(self, workspace: str, window: int) -> None:
        self.windows.setdefault(window, Counter())[workspace] += 1

    def forget_before(self, window: int) -> None:
        for number in tuple(self.windows):
            if number < window:
                self.windows.pop(number)


@final
class UsageTally:
    """What the holder has received.

    Counts of a relay only rise; a datagram that comes late, twice or not at
    all changes nothing in the end.

    :ivar windows: requests by workspace, by the relays' runs, by window.
    :ivar covered_s: agreed time up to which each relay has told everything.
    :ivar heard_s: when each run was heard last.
    """

    def __init__(self) -> None:
        self.windows: dict[int, dict[int, Counter[str]]] = {}
        self.covered_s: dict[str, float] = {}
        self.heard_s: dict[int, float] = {}

    def record(self, window: int, run: int, counts: Mapping[str, int]) -> int:
        """Record counts of a run; return how many requests it has told."""
        known = self.windows.setdefault(window, {}).setdefault(run, Counter())
        for workspace, requests in counts.items():
            if workspace in known or len(known) < MAX_WORKSPACES:
                known[workspace] = max(known[workspace], requests)
        return known.total()

    def record_covered(self, relay: str, agreed_s: float) -> None:
        before_s = self.covered_s.get(relay, agreed_s)
        self.covered_s[relay] = max(before_s, agreed_s)

    def unheard(
        self, window: int, since_s: float
    ) -> dict[int, Mapping[str, int]]:
        """Return counts of a window by those runs that are silent since."""
        return {
            run: counts
            for run, counts in self.windows.get(window, {}).items()
            if self.heard_s.get(run, since_s) <= since_s
        }

    def missing(self, end_s: float, relays: Iterable[str]) -> list[str]:
        """Return the relays that have not told everything up to a moment."""
        return [
            relay for relay in relays if self.covered_s.get(relay, 0) < end_s
        ]

    def total(self, window: int) -> dict[str, int]:
        """Return the requests by workspace, over all relays."""
        total: Counter[str] = Counter()
        for counts in self.windows.get(window, {}).values():
            total.update(counts)
        return dict(sorted(total.items()))

    def forget_before(self, window: int) -> None:
        for number in tuple(self.windows):
            if number < window:
                self.windows.pop(number)
        runs: set[int] = set().union(*self.windows.values())
        self.heard_s = {
            run: heard_s for run, heard_s in self.heard_s.items() if run in runs
        }
