"""When the engine of this host is told to load which weights."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import final

from bramleylug.relay.cluster_view import VERSION_MARGIN_S
from bramleylug.store.mirror import ANSWER_LAG_S

# An order that was not carried out is given again after this time.
RETRY_S = 0.5
# Relays hear that the engine closes before it is told to load.
CLOSING_S = 0.25
# Engines of one service load one after the other within this time, so that
# the others serve meanwhile.
SPREAD_S = 2.0
# The last one begins this long before older weights may serve no more: a
# tenth of a second before the relays stop sending to it.
LAST_BEFORE_S = VERSION_MARGIN_S + ANSWER_LAG_S + 0.1


@final
@dataclass(frozen=True, slots=True)
class EngineState:
    """What the engine says of itself.

    :ivar started_ms: tells incarnations apart.
    :ivar version: version of the weights it holds; 0 for none.
    :ivar complete: whether it holds every layer of them.
    :ivar busy: whether an order is being carried out.
    :ivar accepted_orders: orders it has accepted in this incarnation.
    """

    started_ms: int
    version: int
    complete: bool
    busy: bool
    accepted_orders: int

    def can_serve(self, version: int) -> bool:
        """Tell whether it holds a version whole, or a later one."""
        return self.complete and self.version >= version


@final
@dataclass(frozen=True, slots=True)
class Observation:
    """What a step is decided on.

    :ivar ready_version: newest version of which every chunk is held and
        verified; 0 for none.
    :ivar outdated_since_s: when the first version was announced that is
        newer than the one the engine holds.
    :ivar outdated_limit_s: time after that in which the older weights may
        still serve.
    :ivar rank: rank of this host among the hosts of the service.
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
    """Tell the relays that the engine takes no new requests soon."""


@final
@dataclass(frozen=True, slots=True)
class LoadWeights:
    """Stage the verified chunks and order the engine to take them.

    :ivar after_orders: orders that the engine must have accepted so far.
    :ivar interrupt: whether what runs is cut off instead of waited for.
    """

    version: int
    after_orders: int
    interrupt: bool


LoadAction = AnnounceClosing | LoadWeights


@final
class LoadPolicy:
    """Life of the weights on one engine, as a plain object.

    :ivar closing_s: since when the relays are told that the engine closes.
    :ivar ready: newest version that is ready.
    :ivar ready_s: since when.
    """

    def __init__(self) -> None:
        self.ready = 0
        self.ready_s = float('-inf')
        self.closing_s: float | None = None
        self.retry_s = float('-inf')

    @property
    def closing(self) -> bool:
        """Whether the engine takes no new requests soon."""
        return self.closing_s is not None

    def step(self, seen: Observation, now_s: float) -> Iterable[LoadAction]:
        """Return what to do now."""
        engine = seen.engine
        if seen.ready_version != self.ready:
            self.ready = seen.ready_version
            self.ready_s = now_s
        if (
            engine is None
            or not seen.ready_version
            or engine.can_serve(seen.ready_version)
        ):
            self.closing_s = None
            return ()
        if engine.busy or now_s < self.retry_s:
            return ()
        if engine.complete:
            if now_s < scheduled_load_s(seen, self.ready_s):
                return ()
            if self.closing_s is None:
                self.closing_s = now_s
                return (AnnounceClosing(),)
            if now_s - self.closing_s < CLOSING_S:
                return ()
        self.retry_s = now_s + RETRY_S
        return (
            LoadWeights(
                seen.ready_version, engine.accepted_orders, seen.may_interrupt
            ),
        )

    def record_failure(self, now_s: float) -> None:
        """Note that staging or the order failed."""
        self.closing_s = None
        self.retry_s = now_s + RETRY_S


def scheduled_load_s(seen: Observation, ready_s: float) -> float:
    """Return when a host that serves older weights may load.

    Hosts follow one another, the last one just before its weights are too
    old; until then it serves, so nothing is gained by being earlier. They
    all have the version ready at about the same time. Where that is late,
    they share out what is left instead of loading at once together.

    :param ready_s: since when the version is ready here.
    """
    last_s = seen.outdated_since_s + seen.outdated_limit_s - LAST_BEFORE_S
    spread_s = max(0.0, min(SPREAD_S, last_s - ready_s))
    after = seen.host_count - 1 - seen.rank
    return last_s - after * spread_s / max(seen.host_count, 1)


def outdated_since_s(
    heard_s: Mapping[int, float], held: int, now_s: float
) -> float:
    """Return when a version was named that is newer than the held one.

    The first one counts: it ends the time of the held weights, however many
    are named after it.

    :param heard_s: when each version was heard of.
    """
    newer = [at_s for version, at_s in heard_s.items() if version > held]
    return min(newer, default=now_s)
