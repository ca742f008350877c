"""Fetches of one transfer that have not ended."""

from dataclasses import dataclass
from typing import final

from bramleylug.weights.limits import DEFAULT_LIMITS, TransferLimits

FETCHES_BESIDE_DUTIES = 1


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

    :ivar duty: whether it brings the chunk into this region.
    """

    fetch: Fetch
    duty: bool
    started_s: float
    progress_s: float
    abandoned: bool = False


@final
class InFlightFetches:
    """Bounds the fetches that run at once, by chunk."""

    def __init__(self, limits: TransferLimits = DEFAULT_LIMITS) -> None:
        self.limits = limits
        self.running: dict[int, InFlightFetch] = {}

    @property
    def chunks(self) -> int:
        """Set of the chunks on their way."""
        flying = 0
        for index in self.running:
            flying |= 1 << index
        return flying

    @property
    def has_room(self) -> bool:
        """Whether another fetch may start."""
        return len(self.running) < self.limits.parallel_fetches

    @property
    def has_swarm_room(self) -> bool:
        """Whether a fetch from peers may start beside the duties."""
        duties = sum(flight.duty for flight in self.running.values())
        beside = len(self.running) - duties
        return self.has_room and (not duties or beside < FETCHES_BESIDE_DUTIES)

    def start(self, fetch: Fetch, now_s: float, *, duty: bool) -> None:
        """Note that a fetch starts."""
        self.running[fetch.index] = InFlightFetch(fetch, duty, now_s, now_s)

    def end(self, index: int) -> InFlightFetch | None:
        """Note that a fetch ended; return it unless it was not running."""
        return self.running.pop(index, None)

    def excuse(self, now_s: float) -> None:
        """Note that this host itself holds its fetches back."""
        for flight in self.running.values():
            flight.progress_s = now_s

    def abandon_stalled(self, now_s: float, near: int) -> list[int]:
        """Return the chunks whose fetch is to be cancelled, once each.

        :param near: set of the chunks that peers hold by now: a slow read
            of the origin is not worth waiting for.
        """
        stalled = []
        for index, flight in self.running.items():
            if not flight.abandoned and self._is_stalled(flight, now_s, near):
                flight.abandoned = True
                stalled.append(index)
        return stalled

    def origin_is_quiet(self, now_s: float, limit_s: float) -> bool:
        """Tell whether a read of the origin waits for long."""
        return any(
            isinstance(flight.fetch, FromOrigin)
            and now_s - flight.progress_s >= limit_s
            for flight in self.running.values()
        )

    def _is_stalled(
        self, flight: InFlightFetch, now_s: float, near: int
    ) -> bool:
        if now_s - flight.progress_s >= self.limits.stall_s:
            return True
        slow = now_s - flight.started_s >= self.limits.slow_read_s
        return (
            slow
            and isinstance(flight.fetch, FromOrigin)
            and bool(near >> flight.fetch.index & 1)
        )
