"""Simulation of relays and of engines that name a limit.

It adds to the crash simulation what engines name, and what it means for a
relay to be told; no part of a prompt crashes an engine.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Collection
from functools import partial
from typing import NamedTuple

from testing.relay.builders import build_peer
from testing.relay.crash_simulation import (
    REGIONS,
    STABLE_WINDOW_S,
    STORE_LAG_S,
    Call,
    CrashSimulation,
    Delivery,
    Engine,
)

# The platform's rule.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
TELLING_S = 0.5
USE_WINDOW_S = 10.0
STEP_S = 0.05
STOPPING_S = 3.0
DOWN_S = 0.5


class Excess(NamedTuple):
    """The worst window of an engine.

    :ivar count: requests in it, from relays that had been told.
    :ivar allowed: how many the platform's rule allows.
    """

    engine: str
    until_s: float
    count: int
    allowed: float


class LimitSimulation(CrashSimulation):
    """Relays, engines that name limits, and callers."""

    def __init__(self, seed: int, **fields: int) -> None:
        super().__init__(seed, harmful=set(), **fields)

    def name_limit(
        self, at_s: float, per_s: float | None, engine_count: int | None = None
    ) -> None:
        """Let the first engines name a limit from a time on.

        :param per_s: requests a second; ``None`` to take it back.
        """
        self.after(at_s, partial(self._name_limit, per_s, engine_count))

    def stop_relay(self, at_s: float, name: str) -> None:
        """Stop a relay as planned; it starts again later."""
        self.after(at_s, partial(self._set_draining, name))
        self.after(at_s + STOPPING_S, partial(self._end_relay, name))
        self.after(at_s + STOPPING_S + DOWN_S, partial(self._start_relay, name))

    def add_relay(self, at_s: float, name: str, zone: str) -> None:
        """Start a relay on a host that is added."""
        self.after(at_s, partial(self._add_relay, name, zone))

    def first_named_s(self, engine_id: str) -> float | None:
        """Return when an engine first named a limit."""
        times = [
            one.from_s
            for one in self.limits
            if one.engine == engine_id and one.per_s is not None
        ]
        return min(times, default=None)

    def worst_excess(self, engine_id: str) -> Excess | None:
        """Return the window in which an engine got most beyond the rule.

        Counted are requests from relays that had received an answer with a
        limit half a second before; a restarted relay has received none.
        """
        named_s = self.first_named_s(engine_id)
        if named_s is None:
            return None
        times = [
            one.at_s
            for one in self.deliveries_to(engine_id)
            if self._was_told(one)
        ]
        until_s = named_s + STABLE_WINDOW_S
        windows: list[Excess] = []
        while until_s <= self.now_s():
            allowed = self._allowed(engine_id, until_s)
            if allowed is not None:
                first = bisect_left(times, until_s - WINDOW_S)
                got = bisect_right(times, until_s) - first
                windows.append(Excess(engine_id, until_s, got, allowed))
            until_s += STEP_S
        return max(
            windows, key=lambda one: one.count - one.allowed, default=None
        )

    def excesses(self) -> list[Excess]:
        """Return the worst windows of the engines that broke the rule."""
        worst = map(self.worst_excess, {one.engine for one in self.limits})
        return [
            one for one in worst if one is not None and one.count > one.allowed
        ]

    def most_in_window(
        self, engine_id: str, from_s: float, until_s: float
    ) -> int:
        """Return the most requests of all relays in any four seconds."""
        times = [
            one.at_s
            for one in self.deliveries_to(engine_id)
            if from_s <= one.at_s < until_s
        ]
        return max(
            (
                bisect_right(times, at_s + WINDOW_S) - place
                for place, at_s in enumerate(times)
            ),
            default=0,
        )

    def least_use(
        self,
        engine_ids: Collection[str],
        per_s: float,
        from_s: float,
        until_s: float,
    ) -> float:
        """Return the share of limits that was used in the worst 10 s.

        :param per_s: limit of each of the engines.
        """
        times = [
            one.at_s for one in self.deliveries if one.engine in engine_ids
        ]
        begin_s, shares = from_s, []
        while begin_s + USE_WINDOW_S <= until_s:
            got = bisect_left(times, begin_s + USE_WINDOW_S)
            got -= bisect_left(times, begin_s)
            shares.append(got / (len(engine_ids) * per_s * USE_WINDOW_S))
            begin_s += 0.5
        return min(shares)

    def deliveries_to(self, engine_id: str) -> list[Delivery]:
        """Return the requests that reached an engine, in their order."""
        return [one for one in self.deliveries if one.engine == engine_id]

    def rate(self, engine_id: str, from_s: float, until_s: float) -> float:
        """Return how many requests a second reached an engine."""
        count = sum(
            from_s <= one.at_s < until_s
            for one in self.deliveries_to(engine_id)
        )
        return count / (until_s - from_s)

    def _set_draining(self, name: str) -> None:
        node = self.nodes[name]
        if node is not None:
            node.view.permits.issuers.draining = True
            node.send_to_all()

    def _end_relay(self, name: str) -> None:
        node = self.nodes[name]
        if node is not None:
            node.end()
            self.nodes[name] = None

    def _add_relay(self, name: str, zone: str) -> None:
        self.peers[name] = build_peer(name, zone=zone, region=REGIONS[zone])
        self._start_relay(name)

    def _start_relay(self, name: str) -> None:
        super()._start_relay(name)
        for other in self.nodes_up():
            if other.name != name:
                self.after(
                    self.between(STORE_LAG_S),
                    partial(other.read_peer, self.peers[name]),
                )

    def _name_limit(
        self, per_s: float | None, engine_count: int | None
    ) -> None:
        engines: list[Engine] = list(self.engines.values())
        for engine in engines[:engine_count]:
            engine.name_limit(per_s)

    def _was_told(self, delivery: Delivery) -> bool:
        told_s = self.told_s.get(
            (delivery.engine, delivery.relay, delivery.relay_started_s)
        )
        return told_s is not None and delivery.at_s >= told_s + TELLING_S

    def _allowed(self, engine_id: str, until_s: float) -> float | None:
        """Return what the rule allows in a window; ``None`` if anything."""
        named = [
            one.per_s
            for one in self.limits
            if one.engine == engine_id
            and one.from_s <= until_s
            and one.until_s > until_s - WINDOW_S
        ]
        if not named or None in named:
            return None
        return ALLOWED_FACTOR * max(named) * WINDOW_S + ALLOWED_EXTRA


def served_share(calls: list[Call]) -> float:
    """Return the share of calls that an engine began to run."""
    return sum(call.begun_s is not None for call in calls) / len(calls)
