"""Relays that place streams at engines which work in passes, without I/O."""

import heapq
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from typing import NamedTuple

from bramleylug.cluster.constraints import Constraints
from bramleylug.cluster.upstreams import (
    Upstream,
    UpstreamRegistry,
    UpstreamReport,
)
from bramleylug.cluster.work_exchange import WorkExchange
from bramleylug.scheduling.estimate import EngineModel
from bramleylug.scheduling.figures import EngineFigures, RequestSize
from bramleylug.scheduling.placing import (
    Requirements,
    Selected,
    UpstreamSelector,
)
from bramleylug.wire.beats_pb2 import RelayWork
from testing.relay.builders import build_upstream_record

FIGURES = EngineFigures(
    step_s=0.00887,
    sequence_s=0.0000388,
    context_token_s=0.0000000227,
    read_per_s=19100,
    pair_s=1.47e-9,
    step_tokens=2048,
    steps=5,
    usual_prompt=980,
    usual_answer=95,
    memory_tokens=1180000,
)
MODEL = EngineModel(FIGURES)
OBJECTIVE_S = 0.4
PAUSE_OBJECTIVE_S = 0.4
RETRY_S = 0.05
QUEUE = 24
# A loader reads its engine's report and sends every third one, or a changed
# pace at once. Heartbeats of relays, and a datagram between two zones.
READ_S = 0.3
REPORTED_READS = 3
HEARTBEAT_S = 0.9
DELAY_S = 0.003


class Pace(NamedTuple):
    """When an engine is slow, and what its loader says of it."""

    factor: float = 1.0
    from_s: float = 0.0
    until_s: float = 0.0
    reported: float | None = None

    def at(self, now_s: float) -> float:
        return self.factor if self.from_s <= now_s < self.until_s else 1.0


@dataclass(eq=False)
class Stream:
    """A request at an engine."""

    upstream: Upstream
    arrived_s: float
    size: RequestSize
    events: int
    token: int
    announce: Callable[[], None]
    last_s: float = 0.0
    first_s: float = 0.0
    pause_s: float = 0.0

    def is_in_time(self) -> bool:
        return self.first_s <= OBJECTIVE_S and self.pause_s <= PAUSE_OBJECTIVE_S

    def record_event(self, now_s: float) -> bool:
        """Record an event; return whether it is the last one."""
        if self.first_s:
            self.pause_s = max(self.pause_s, now_s - self.last_s)
            self.upstream.work.passes.record(self.last_s, now_s)
        else:
            self.first_s = now_s - self.arrived_s
            self.upstream.record_started(self.token)
            self.announce()
        self.last_s = now_s
        self.events -= 1
        return not self.events


@dataclass(eq=False)
class Engine:
    """Reads all admitted prompts in one pass and makes an event for each."""

    slots: int
    pace: Pace
    model: EngineModel = MODEL
    queue: deque[Stream] = field(default_factory=deque)
    running: list[Stream] = field(default_factory=list)
    is_busy: bool = False
    reads: int = 0

    def begin_pass(self, now_s: float) -> float:
        """Return when the next pass ends."""
        unread: list[Stream] = []
        while self.queue and len(self.running) < self.slots:
            unread.append(self.queue.popleft())
            self.running.append(unread[-1])
        read_s = sum(
            self.model.read_s(one.size.prompt_tokens) for one in unread
        )
        pass_s = read_s + self.model.write_s(len(self.running))
        return now_s + pass_s * self.pace.at(now_s)


class EngineFleet:
    """Many relays and engines in one zone, in virtual time.

    :ivar rejected: requests that reached an engine whose queue was full.
    """

    def __init__(
        self, paces: list[Pace], relays: int, *, states_speed: bool = True
    ) -> None:
        self.random = Random(1)
        self.now_s = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = count(1)
        self.ended: list[Stream] = []
        self.asked = 0
        self.rejected = 0
        self.engines = {
            f'engine-{number:02}': Engine(12, pace)
            for number, pace in enumerate(paces)
        }
        self.registries = [self._build_registry() for _ in range(relays)]
        self.selectors = [
            UpstreamSelector(registry, 'zone-a', 'north', Random(number))
            for number, registry in enumerate(self.registries)
        ]
        self.exchanges = [
            WorkExchange(registry, self.read_clock)
            for registry in self.registries
        ]
        self.constraints = [
            self._constraints(number, states_speed=states_speed)
            for number in range(relays)
        ]

    def run(self, streams_per_s: float, length_s: float) -> None:
        """Play streams, heartbeats and reports for a time."""
        for number, _ in enumerate(self.registries):
            first_s = self.random.uniform(0, HEARTBEAT_S)
            self._at(first_s, partial(self._send_heartbeat, number))
        for name in self.engines:
            first_s = self.random.uniform(0, READ_S)
            self._at(first_s, partial(self._send_report, name))
        self._arrive(streams_per_s)
        while self.events[0][0] < length_s:
            event = heapq.heappop(self.events)
            self.now_s = event[0]
            event[-1]()

    def in_time(self) -> float:
        """Return the share of ended streams that came in time."""
        return sum(one.is_in_time() for one in self.ended) / len(self.ended)

    def read_clock(self) -> float:
        return self.now_s

    def _constraints(self, number: int, *, states_speed: bool) -> Constraints:
        names = [f'relay-{place}' for place in range(len(self.registries))]
        models = {'advisor': MODEL} if states_speed else {}
        exchange = self.exchanges[number]
        exchange.share(
            names[number], names, {'advisor': list(self.engines)}, models
        )
        exchange.send = partial(self._tell, names[number])
        return Constraints(
            (), {}, {}, {'zone-a': 'north'}, exchange.preferred, models
        )

    def _tell(
        self, sender: str, names: Sequence[str], message: RelayWork
    ) -> None:
        for name in names:
            exchange = self.exchanges[int(name.partition('-')[2])]
            self._at(
                self.now_s + DELAY_S,
                partial(exchange.receive, sender, message),
            )

    def _build_registry(self) -> UpstreamRegistry:
        registry = UpstreamRegistry()
        for name in self.engines:
            registry.register(
                build_upstream_record(name, address=name, slots=12, weights={})
            )
        return registry

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (at_s, next(self.numbers), action))

    def _arrive(self, streams_per_s: float) -> None:
        self.asked += 1
        size = RequestSize(
            min(3900, int(self.random.lognormvariate(6.4, 1.0)) + 40), 270
        )
        number = self.random.randrange(len(self.registries))
        self._dispatch(number, size, self.now_s)
        self._at(
            self.now_s + self.random.expovariate(streams_per_s),
            lambda: self._arrive(streams_per_s),
        )

    def _dispatch(
        self, number: int, size: RequestSize, arrived_s: float
    ) -> None:
        selection = self.selectors[number].select(
            Requirements(
                service='advisor',
                size=size,
                objective_s=OBJECTIVE_S,
                pause_objective_s=PAUSE_OBJECTIVE_S,
            ),
            self.constraints[number],
            self.now_s,
        )
        if not isinstance(selection, Selected):
            self._at(
                self.now_s + RETRY_S,
                lambda: self._dispatch(number, size, arrived_s),
            )
            return
        upstream = selection.upstream
        engine = self.engines[upstream.record.upstream_id]
        if len(engine.queue) >= QUEUE:
            self.rejected += 1
            return
        token = next(self.numbers)
        events = max(1, min(54, int(self.random.lognormvariate(2.5, 1.0))))
        announce = partial(self.exchanges[number].announce, upstream)
        stream = Stream(upstream, arrived_s, size, events, token, announce)
        upstream.running += 1
        upstream.unstarted += 1
        upstream.work.record_sent(
            token, size.prompt_tokens, self.now_s, selection.estimate
        )
        announce()
        engine.queue.append(stream)
        if not engine.is_busy:
            self._begin_pass(engine)

    def _begin_pass(self, engine: Engine) -> None:
        engine.is_busy = bool(engine.queue or engine.running)
        if engine.is_busy:
            self._at(
                engine.begin_pass(self.now_s), lambda: self._end_pass(engine)
            )

    def _end_pass(self, engine: Engine) -> None:
        for stream in tuple(engine.running):
            if stream.record_event(self.now_s):
                engine.running.remove(stream)
                stream.upstream.running -= 1
                self.ended.append(stream)
        self._begin_pass(engine)

    def _send_heartbeat(self, number: int) -> None:
        counts = {
            name: upstream.running
            for name, upstream in self.registries[number].by_id.items()
            if upstream.running
        }
        for registry in self.registries:
            if registry is not self.registries[number]:
                registry.record_counts(f'relay-{number}', counts, self.now_s)
        self._at(self.now_s + HEARTBEAT_S, lambda: self._send_heartbeat(number))

    def _send_report(self, name: str, told: float = 1.0) -> None:
        """Read a report; send it if it is time or the pace has changed."""
        engine = self.engines[name]
        pace = engine.pace.reported or engine.pace.at(self.now_s)
        engine.reads += 1
        if pace != told or not engine.reads % REPORTED_READS:
            report = UpstreamReport(
                1000,
                len(engine.running),
                len(engine.queue),
                {},
                False,
                self.now_s,
                pace=pace,
            )
            for registry in self.registries:
                registry.record_report(name, report)
        self._at(self.now_s + READ_S, partial(self._send_report, name, pace))
