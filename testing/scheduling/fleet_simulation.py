"""Simulation of many relays that share many engines, in virtual time."""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from typing import NamedTuple

from bramleylug.cluster.subsetting import preferred_subset
from bramleylug.cluster.upstreams import UpstreamRegistry, UpstreamReport
from bramleylug.scheduling.placing import (
    Constraints,
    Requirements,
    Selected,
    UpstreamSelector,
)
from testing.relay.builders import build_upstream_record

OBJECTIVE_S = 0.6
RETRY_S = 0.05
READ_S = 0.065
WRITE_S = 1.3


class Shape(NamedTuple):
    """Size of a deployment and of its load.

    :ivar local_interval_s: time between two heartbeats to a relay of the same
        region, and between two reports of a loader.
    :ivar turns_per_s: heartbeats of a relay to others, which take turns.
    """

    regions: int
    relays: int
    engines: int
    slots: int
    streams_per_s: float
    local_interval_s: float
    turns_per_s: float = 10.0
    report_lag_s: float = 0.3


@dataclass
class Engine:
    """Reads one prompt after the other and writes for a number of streams."""

    region: int
    slots: int
    running: int = 0
    read_until_s: float = 0
    queue: deque[Callable[[], None]] = field(default_factory=deque)


class FleetSimulation:
    """Relays that select engines with the real selector.

    :ivar first_s: time to the first event of each stream.
    :ivar remote: streams that were sent to another region.
    """

    def __init__(self, shape: Shape, seed: int = 1) -> None:
        self.shape = shape
        self.random = Random(seed)
        self.now_s = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = count()
        self.first_s: list[float] = []
        self.remote = 0
        self.engines = {
            f'engine-{number:03}': Engine(number % shape.regions, shape.slots)
            for number in range(shape.engines)
        }
        names = [f'relay-{number:03}' for number in range(shape.relays)]
        self.regions = {
            name: place % shape.regions for place, name in enumerate(names)
        }
        by_region = sorted(names, key=lambda name: (self.regions[name], name))
        engine_order = sorted(
            self.engines, key=lambda name: (self.engines[name].region, name)
        )
        self.registries = {name: self._build_registry() for name in names}
        self.selectors = {
            name: UpstreamSelector(
                self.registries[name],
                f'zone-{self.regions[name]}',
                f'region-{self.regions[name]}',
                Random(name),
            )
            for name in names
        }
        self.constraints = {
            name: Constraints(
                (),
                {},
                {},
                {
                    f'zone-{region}': f'region-{region}'
                    for region in range(shape.regions)
                },
                preferred_subset(name, by_region, engine_order),
            )
            for name in names
        }

    def run(self, length_s: float) -> None:
        """Play streams, heartbeats and reports for a time."""
        for name in self.registries:
            self._at(self._first_s(), partial(self._send_heartbeat, name))
        for name in self.engines:
            self._at(self._first_s(), partial(self._send_report, name))
        self._arrive()
        while self.events and self.events[0][0] < length_s:
            event = heapq.heappop(self.events)
            self.now_s = event[0]
            event[-1]()

    def in_time(self) -> float:
        """Return the share of streams whose first event came in time."""
        return sum(one <= OBJECTIVE_S for one in self.first_s) / len(
            self.first_s
        )

    def remote_share(self) -> float:
        """Return the share of streams that were sent to another region."""
        return self.remote / len(self.first_s)

    def _build_registry(self) -> UpstreamRegistry:
        registry = UpstreamRegistry()
        for name, engine in self.engines.items():
            registry.register(
                build_upstream_record(
                    name,
                    address=name,
                    zone=f'zone-{engine.region}',
                    slots=self.shape.slots,
                )
            )
        return registry

    def _first_s(self) -> float:
        return self.random.uniform(0, self.shape.local_interval_s)

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (at_s, next(self.order), action))

    def _arrive(self) -> None:
        self._dispatch(self.random.choice(list(self.registries)), self.now_s)
        pause_s = self.random.expovariate(self.shape.streams_per_s)
        self._at(self.now_s + pause_s, self._arrive)

    def _dispatch(self, relay: str, arrived_s: float) -> None:
        selection = self.selectors[relay].select(
            Requirements(service='advisor'),
            self.constraints[relay],
            self.now_s,
        )
        if not isinstance(selection, Selected):
            self._at(
                self.now_s + RETRY_S, lambda: self._dispatch(relay, arrived_s)
            )
            return
        upstream = selection.upstream
        upstream.running += 1
        upstream.unstarted += 1
        engine = self.engines[upstream.record.upstream_id]
        self.remote += engine.region != self.regions[relay]

        def start() -> None:
            engine.running += 1
            read_s = max(self.now_s, engine.read_until_s) + READ_S
            engine.read_until_s = read_s
            self._at(read_s, first_event)
            self._at(read_s + WRITE_S * self.random.uniform(0.6, 1.4), end)

        def first_event() -> None:
            upstream.record_started()
            self.first_s.append(self.now_s - arrived_s)

        def end() -> None:
            upstream.running -= 1
            engine.running -= 1
            if engine.queue:
                engine.queue.popleft()()

        if engine.running < engine.slots:
            start()
        else:
            engine.queue.append(start)

    def _send_heartbeat(self, name: str) -> None:
        counts = {
            upstream_id: upstream.running
            for upstream_id, upstream in self.registries[name].by_id.items()
            if upstream.running
        }
        region = self.regions[name]
        others = [one for one in self.regions if self.regions[one] != region]
        turns = round(self.shape.turns_per_s * self.shape.local_interval_s)
        peers = [
            one
            for one in self.regions
            if self.regions[one] == region and one != name
        ]
        peers += self.random.sample(others, min(len(others), turns))
        for peer in peers:
            self.registries[peer].record_counts(name, counts, self.now_s)
        self._at(
            self.now_s + self.shape.local_interval_s,
            lambda: self._send_heartbeat(name),
        )

    def _send_report(self, name: str) -> None:
        engine = self.engines[name]
        running, waiting = engine.running, len(engine.queue)

        def deliver() -> None:
            report = UpstreamReport(
                1000, running, waiting, {}, False, self.now_s
            )
            for relay, region in self.regions.items():
                if region == engine.region:
                    self.registries[relay].record_report(name, report)

        self._at(self.now_s + self.shape.report_lag_s, deliver)
        self._at(
            self.now_s + self.shape.local_interval_s,
            lambda: self._send_report(name),
        )
