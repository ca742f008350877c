"""Decides when the engine of this host loads new weights."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import final

from bramleylug.cluster.cluster_view import VERSION_MARGIN_S

# Pause before an order that failed or had no effect is repeated.
RETRY_S = 0.5
# Time between announcing to the relays that the engine is closing and the
# order to load, so that they have stopped sending requests by then.
CLOSING_NOTICE_S = 0.25
# Time over which the loads of one service's engines are spread, so that the
# other engines serve meanwhile.
LOAD_SPREAD_S = 2.0
# The last engine starts loading this long before its old weights expire: 0.1 s
# before the relays stop sending requests to it.
LAST_LOAD_MARGIN_S = VERSION_MARGIN_S + 0.1


@final
@dataclass(frozen=True, slots=True)
class EngineState:
    """State that the engine reports.

    :ivar started_ms: start time, which identifies the incarnation.
    :ivar version: version of the weights it holds; 0 for none.
    :ivar complete: whether it holds every layer of that version.
    :ivar busy: whether it is carrying out an order.
    :ivar accepted_orders: number of orders accepted in this incarnation.
    """

    started_ms: int
    version: int
    complete: bool
    busy: bool
    accepted_orders: int

    def can_serve(self, version: int) -> bool:
        """Return whether it holds a version or a later one completely."""
        return self.complete and self.version >= version


@final
@dataclass(frozen=True, slots=True)
class Observation:
    """Input of one decision.

    :ivar ready_version: newest version of which every chunk is held and
        verified; 0 for none.
    :ivar outdated_since_s: time after which the first version was set that
        is newer than the one the engine holds.
    :ivar outdated_limit_s: time after that in which the older weights may
        still serve.
    :ivar engine: last report of the engine; ``None`` while it does not
        answer.
    :ivar rank: position of this host in the order in which the hosts of the
        service load.
    :ivar host_count: number of live hosts of the service.
    :ivar may_interrupt: whether every running request can be resumed on
        another engine.
    """

    ready_version: int
    outdated_since_s: float
    outdated_limit_s: float
    engine: EngineState | None
    rank: int = 0
    host_count: int = 1
    may_interrupt: bool = False


@final
@dataclass(frozen=True, slots=True)
class AnnounceClosing:
    """Announce to the relays that the engine soon takes no new requests."""


@final
@dataclass(frozen=True, slots=True)
class LoadWeights:
    """Stage the verified chunks and order the engine to load them.

    :ivar after_orders: number of orders that the engine must have accepted
        so far; it refuses the order otherwise.
    :ivar interrupt: whether running requests are cut off instead of waited
        for.
    """

    version: int
    after_orders: int
    interrupt: bool


LoadAction = AnnounceClosing | LoadWeights


@final
class LoadPolicy:
    """State machine that schedules loads; it performs no I/O.

    :ivar ready_version: newest version that is ready to load.
    :ivar ready_since_s: since when it is ready.
    :ivar closing_since_s: since when the relays are told that the engine is
        closing; ``None`` while it is open.
    :ivar retry_at_s: earliest time of the next order.
    """

    def __init__(self) -> None:
        self.ready_version = 0
        self.ready_since_s = float('-inf')
        self.closing_since_s: float | None = None
        self.retry_at_s = float('-inf')

    @property
    def closing(self) -> bool:
        """Whether relays are to send the engine no new requests."""
        return self.closing_since_s is not None

    def step(
        self, observation: Observation, now_s: float
    ) -> Iterable[LoadAction]:
        """Return the actions that are due now."""
        engine = observation.engine
        if observation.ready_version != self.ready_version:
            self.ready_version = observation.ready_version
            self.ready_since_s = now_s
        if (
            engine is None
            or not observation.ready_version
            or engine.can_serve(observation.ready_version)
        ):
            self.closing_since_s = None
            return ()
        if engine.busy or now_s < self.retry_at_s:
            return ()
        if engine.complete:
            if now_s < scheduled_load_s(observation, self.ready_since_s):
                return ()
            if self.closing_since_s is None:
                self.closing_since_s = now_s
                return (AnnounceClosing(),)
            if now_s - self.closing_since_s < CLOSING_NOTICE_S:
                return ()
        self.retry_at_s = now_s + RETRY_S
        return (
            LoadWeights(
                observation.ready_version,
                engine.accepted_orders,
                observation.may_interrupt,
            ),
        )

    def record_failure(self, now_s: float) -> None:
        """Reopen the engine and retry later: staging or the order failed."""
        self.closing_since_s = None
        self.retry_at_s = now_s + RETRY_S


def scheduled_load_s(observation: Observation, ready_since_s: float) -> float:
    """Return when a host whose engine serves older weights may load.

    Hosts load one after another, in the order of their ranks, and the last
    one just before its old weights expire: an engine serves until it loads,
    so an earlier start gains nothing. All hosts have the version ready at
    about the same time. If that is late, the loads are spread over the time
    that is left, instead of all engines loading at once.

    :param ready_since_s: since when the version is ready on this host.
    """
    latest_s = (
        observation.outdated_since_s
        + observation.outdated_limit_s
        - LAST_LOAD_MARGIN_S
    )
    spread_s = max(0.0, min(LOAD_SPREAD_S, latest_s - ready_since_s))
    later_hosts = observation.host_count - 1 - observation.rank
    return latest_s - later_hosts * spread_s / max(observation.host_count, 1)


def outdated_since_s(
    set_times: Mapping[int, float], held: int, now_s: float
) -> float:
    """Return the time after which a version newer than the held one was set.

    The first such version starts the time limit of the held weights, however
    many are set after it. Without a newer one, return ``now_s``.

    :param set_times: by version the time after which it was set.
    """
    newer = [at_s for version, at_s in set_times.items() if version > held]
    return min(newer, default=now_s)
