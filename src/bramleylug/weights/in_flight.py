"""Fetches of one transfer that are in flight, bounded and timed."""

from dataclasses import dataclass
from typing import final

from bramleylug.weights.chunk_sets import from_indices
from bramleylug.weights.limits import DEFAULT_LIMITS, TransferLimits
from bramleylug.weights.origin_reads import OriginReads

# Other fetches that may run beside those that this host makes as a home.
PEER_FETCHES_BESIDE_HOME = 1


@final
@dataclass(frozen=True, slots=True)
class FromOrigin:
    """Fetch a chunk from the origin."""

    index: int


@final
@dataclass(frozen=True, slots=True)
class FromPeer:
    """Fetch a chunk from a peer."""

    index: int
    peer: str


Fetch = FromOrigin | FromPeer


@final
@dataclass(slots=True)
class InFlightFetch:
    """One fetch that has not ended.

    :ivar as_home: whether this host fetches the chunk as one of its homes.
    :ivar progress_s: when bytes last arrived.
    :ivar cancelled: whether its cancellation was requested.
    """

    fetch: Fetch
    as_home: bool
    started_s: float
    progress_s: float
    cancelled: bool = False

    def is_unanswered(self, now_s: float, origin: OriginReads) -> bool:
        """Return whether it is a read of the origin that reaches nobody."""
        if not isinstance(self.fetch, FromOrigin):
            return False
        if self.progress_s > self.started_s:
            return False
        limit_s = origin.first_byte_s(now_s)
        if self.started_s < origin.returned_s and origin.limits.probe_s:
            limit_s = origin.limits.probe_s
        return now_s - self.started_s >= limit_s


@final
class InFlightFetches:
    """Bounds the fetches that run at once and finds those that stall.

    :ivar running: fetches by the index of their chunk.
    """

    def __init__(self, limits: TransferLimits = DEFAULT_LIMITS) -> None:
        self.limits = limits
        self.running: dict[int, InFlightFetch] = {}

    @property
    def chunks(self) -> int:
        """Set of the chunks that are being fetched."""
        return from_indices(self.running)

    @property
    def origin_chunks(self) -> int:
        """Set of the chunks that are being read from the origin."""
        return from_indices(
            index
            for index, active in self.running.items()
            if isinstance(active.fetch, FromOrigin)
        )

    @property
    def has_capacity(self) -> bool:
        """Whether another fetch may start."""
        return len(self.running) < self.limits.parallel_fetches

    @property
    def has_peer_capacity(self) -> bool:
        """Whether another fetch may start that is not made as a home.

        Only ``PEER_FETCHES_BESIDE_HOME`` run beside fetches as a home.
        """
        home_fetches = sum(active.as_home for active in self.running.values())
        beside = len(self.running) - home_fetches
        return self.has_capacity and (
            not home_fetches or beside < PEER_FETCHES_BESIDE_HOME
        )

    def is_as_home(self, index: int) -> bool:
        """Return whether this host fetches a chunk as one of its homes."""
        active = self.running.get(index)
        return active is not None and active.as_home

    def start(self, fetch: Fetch, now_s: float, *, as_home: bool) -> None:
        self.running[fetch.index] = InFlightFetch(fetch, as_home, now_s, now_s)

    def end(self, index: int) -> InFlightFetch | None:
        """Remove a fetch; return ``None`` when it was not running."""
        return self.running.pop(index, None)

    def restart_stall_timers(self, now_s: float) -> None:
        """Restart the stall timer of every fetch.

        Called while the host's own rate limit pauses its fetches.
        """
        for active in self.running.values():
            active.progress_s = now_s

    def collect_stalled(
        self, now_s: float, peer_chunks: int, origin: OriginReads
    ) -> list[int]:
        """Return the chunks whose fetch is to be cancelled, once each.

        :param peer_chunks: set of the chunks that peers of the region hold;
            a slow read of the origin is not worth waiting for then.
        """
        stalled = []
        for index, active in self.running.items():
            if active.cancelled:
                continue
            if self._is_stalled(active, now_s, peer_chunks) or (
                active.is_unanswered(now_s, origin)
            ):
                active.cancelled = True
                stalled.append(index)
        return stalled

    def origin_is_unresponsive(self, now_s: float, limit_s: float) -> bool:
        """Return whether a read of the origin has no progress for a while."""
        return any(
            isinstance(active.fetch, FromOrigin)
            and now_s - active.progress_s >= limit_s
            for active in self.running.values()
        )

    def _is_stalled(
        self, active: InFlightFetch, now_s: float, peer_chunks: int
    ) -> bool:
        if now_s - active.progress_s >= self.limits.stall_s:
            return True
        slow = now_s - active.started_s >= self.limits.slow_read_s
        return (
            slow
            and isinstance(active.fetch, FromOrigin)
            and bool(peer_chunks >> active.fetch.index & 1)
        )
