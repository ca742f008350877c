"""When another home fetches a chunk because the first is stalled or slow."""

from collections.abc import Iterable
from typing import final

from bramleylug.weights.homes import Homes
from bramleylug.weights.limits import DEFAULT_LIMITS, TransferLimits
from bramleylug.weights.peers import Peer

# A home is late when it takes this many times as long as expected.
LATE_FACTOR = 4
MIN_WINDOW = 8
# A window is this part of a version's chunks.
WINDOWS = 8


@final
class TakeOver:
    """Decides when this host may fetch a chunk as one of its homes.

    The first home of a chunk fetches it; the next in rank take over when it
    makes no progress, or takes far longer than this host took for chunks of
    its own. An origin that is slow for everyone therefore causes no
    take-over.

    Chunks open to their homes in order, a window at a time, and further as
    earlier chunks become known to be held. If all homes read at once, they
    would share the origin's link and all end at the same late moment, and
    until then no peer would have anything to pass on.

    :ivar opened_s: when each chunk opened, by its index.
    :ivar own_chunk_s: mean seconds for each chunk whose first home is this
        host; ``None`` until all of them are held.
    """

    def __init__(
        self, started_s: float, limits: TransferLimits = DEFAULT_LIMITS
    ) -> None:
        self.limits = limits
        self.started_s = started_s
        self.own_chunk_s: float | None = None
        self.opened_s: dict[int, float] = {}

    def restart(self, now_s: float) -> None:
        """Count all times from now on; chunks that are open stay so."""
        self.started_s = now_s
        self.opened_s = dict.fromkeys(self.opened_s, now_s)

    def is_open(self, index: int, known: int, count: int, now_s: float) -> bool:
        """Return whether a chunk's homes may fetch it yet.

        :param known: number of chunks known to be held in the region.
        :param count: number of chunks of the version.
        """
        if index in self.opened_s:
            return True
        window = max(MIN_WINDOW, count // WINDOWS)
        windows = 1 + (now_s - self.started_s) / self.limits.window_s
        open_chunks = window * windows
        if self.limits.open_chunks is not None:
            open_chunks = min(open_chunks, self.limits.open_chunks)
        if index >= known + open_chunks:
            return False
        self.opened_s[index] = now_s
        return True

    def record_own_pace(
        self, needed: Iterable[int], homes: Homes, now_s: float
    ) -> None:
        """Record this host's own pace once its own chunks are complete.

        :param needed: chunks that this host is a home of and that nobody in
            the region holds yet.
        """
        if self.own_chunk_s is not None:
            return
        own = sum(not home_rank for home_rank in homes.home_ranks.values())
        if own and all(homes.home_ranks[index] for index in needed):
            self.own_chunk_s = (now_s - self.started_s) / own

    def is_due(
        self, index: int, earlier_homes: list[Peer], homes: Homes, now_s: float
    ) -> bool:
        """Return whether the homes before this host are stalled or late.

        :param index: an open chunk.
        :param earlier_homes: the homes that rank before this host.
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
    """Return whether no home has made progress for the given seconds."""
    return all(now_s - home.home_progress_s >= limit_s for home in homes)
