"""When a home is so quiet or so slow that another host takes over."""

from collections.abc import Iterable
from typing import final

from bramleylug.weights.homes import Homes
from bramleylug.weights.limits import DEFAULT_LIMITS, TransferLimits
from bramleylug.weights.peers import Peer

LATE_FACTOR = 4
MIN_WINDOW = 8
WINDOWS = 8


@final
class TakeOver:
    """Judges homes by their progress, and by the time this host took.

    An origin that is slow for all makes nobody take over. Duties open in the
    order of the chunks, a window at a time, as chunks before them become
    known to be held: if all homes read at once, they would share the
    origin's link and all end at the same late moment, and until then no
    peer would have anything to pass on.

    :ivar opened_s: when each duty opened.
    :ivar own_chunk_s: seconds each of this host's own duties took, once all
        are done.
    """

    def __init__(
        self, started_s: float, limits: TransferLimits = DEFAULT_LIMITS
    ) -> None:
        self.limits = limits
        self.started_s = started_s
        self.own_chunk_s: float | None = None
        self.opened_s: dict[int, float] = {}

    def is_open(self, index: int, known: int, count: int, now_s: float) -> bool:
        """Tell whether a chunk's homes may read it yet.

        :param known: chunks that are known to be held by some host.
        :param count: chunks of the version.
        """
        if index in self.opened_s:
            return True
        window = max(MIN_WINDOW, count // WINDOWS)
        windows = 1 + (now_s - self.started_s) / self.limits.window_s
        if index >= known + window * windows:
            return False
        self.opened_s[index] = now_s
        return True

    def record_own_pace(
        self, left: Iterable[int], homes: Homes, now_s: float
    ) -> None:
        """Note the duties that are left."""
        if self.own_chunk_s is not None:
            return
        own = sum(not home_rank for home_rank in homes.home_ranks.values())
        if own and all(homes.home_ranks[index] for index in left):
            self.own_chunk_s = (now_s - self.started_s) / own

    def is_due(
        self, index: int, earlier_homes: list[Peer], homes: Homes, now_s: float
    ) -> bool:
        """Tell whether the homes before this host are quiet or late.

        :param index: an open chunk.
        :param better: the homes before this host.
        """
        home_rank = homes.home_ranks[index]
        silence_s = home_rank * self.limits.take_over_s
        waited_s = now_s - self.opened_s[index]
        if waited_s >= silence_s and are_stalled(
            earlier_homes, silence_s, now_s
        ):
            return True
        if self.own_chunk_s is None:
            return False
        expected_s = (
            self.own_chunk_s
            * len(homes.local_rankings)
            / homes.local_host_count
        )
        limit_s = LATE_FACTOR * expected_s + self.limits.take_over_s
        return now_s - self.started_s >= home_rank * limit_s


def are_stalled(homes: list[Peer], limit_s: float, now_s: float) -> bool:
    """Tell whether no home made progress for a while."""
    return all(now_s - home.home_progress_s >= limit_s for home in homes)
