"""When a home is so quiet or so slow that another host takes over."""

from collections.abc import Iterable
from typing import final

from bramleylug.weights.homes import Homes
from bramleylug.weights.peers import Peer

TAKE_OVER_S = 4.0
LATE_FACTOR = 4


@final
class TakeOver:
    """Judges homes by their progress, and by the time this host took.

    An origin that is slow for all makes nobody take over.

    :ivar own_chunk_s: seconds each of this host's own duties took, once all
        are done.
    """

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.own_chunk_s: float | None = None

    def note_left(
        self, left: Iterable[int], homes: Homes, now_s: float
    ) -> None:
        """Note the duties that are left."""
        if self.own_chunk_s is not None:
            return
        own = sum(not place for place in homes.duties.values())
        if own and all(homes.duties[index] for index in left):
            self.own_chunk_s = (now_s - self.started_s) / own

    def is_due(
        self, place: int, better: list[Peer], homes: Homes, now_s: float
    ) -> bool:
        """Tell whether the homes before a place are quiet or late."""
        if are_quiet(better, place * TAKE_OVER_S, now_s):
            return True
        if self.own_chunk_s is None:
            return False
        fair_s = self.own_chunk_s * len(homes.local) / homes.local_count
        limit_s = LATE_FACTOR * fair_s + TAKE_OVER_S
        return now_s - self.started_s >= place * limit_s


def are_quiet(homes: list[Peer], limit_s: float, now_s: float) -> bool:
    """Tell whether no home made progress for a while."""
    return all(now_s - home.duty_s >= limit_s for home in homes)
