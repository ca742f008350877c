"""Kills, freezes, outages and operator changes against real processes.

Every fault of the brief that one machine can bring about is brought about
once under live traffic; the promises are judged from outside, by what the
callers were told and by what the upstreams counted.
"""

import time
import uuid
from collections import Counter
from typing import Any, Literal, final

from bramleylug.bench.processes import Processes, wait_for
from bramleylug.bench.promises import PromiseCallers
from bramleylug.bench.results import BenchResult, Bound
from bramleylug.cli.faults import set_http_faults, set_store_faults
from bramleylug.configuration.document import Change, ServiceSpec, spec_to_json
from bramleylug.configuration.publisher import Accepted, publish
from bramleylug.platform.grpc_store import GrpcStore
from bramleylug.wire.channels import open_channel

ZONES = ('zone-a', 'zone-b', 'zone-c')
MODEL = 'seat-fitting-model'
MODEL_BYTES = 8 * 1024 * 1024
CALLERS = 4
# Slow bookings, so that kills and freezes find some of them running.
UPSTREAM_FLAGS = {'engine': (), 'records': ('--set=delay_s=0.2',)}
READY_LIMIT_S = 40.0
# Killed agent, killed entry, engine that falls over.
LOSING_FAULTS = 3
CALM_S = 2.0
FREEZE_S = 4.0
OUTAGE_S = 4.0
NO_NEW_WORK_LIMIT_S = 3.0
PROMISES = 'BRIEF, What must always hold'


@final
class FaultCourse:
    """Brings about one fault after the other on a fleet of processes.

    :ivar figures: what was measured.
    """

    def __init__(self, fleet: Processes) -> None:
        self.fleet = fleet
        self.figures: dict[str, Any] = {}
        self.upstreams: dict[str, str] = {}
        self.store: GrpcStore | None = None

    def start(self) -> None:
        """Start three zones with an entry, an engine and a records each."""
        fleet = self.fleet
        fleet.start_platform(
            f'{MODEL}@1={MODEL_BYTES}', f'{MODEL}@2={MODEL_BYTES}'
        )
        self.store = GrpcStore(open_channel(fleet.store))
        for zone in ZONES:
            fleet.start_entry(f'entry-{zone}', zone)
            for kind, flags in UPSTREAM_FLAGS.items():
                name = f'{kind}-{zone}'
                self.upstreams[name] = fleet.start_fake(name, kind, *flags)
                self._start_agent(kind, zone)
        self.publish(services('1'), {})
        wait_for(self._serves, READY_LIMIT_S)

    def run(self) -> None:
        """Bring about every fault under the traffic that runs."""
        self._kill_agent()
        self._kill_agent_of_bookings()
        self._freeze_agent()
        self._engine_falls_over()
        self._store_outage()
        self._kill_entry()
        self._new_version()
        self._zone_out_and_in()
        self._planned_stops()

    def entries(self) -> list[str]:
        """Return the addresses of the entries that run."""
        return [
            child.addresses['http']
            for name, child in self.fleet.children.items()
            if name.startswith('entry-') and child.process.poll() is None
        ]

    def publish(
        self,
        changed: dict[str, ServiceSpec],
        zones: dict[str, Literal['in', 'out']],
    ) -> object:
        """Publish and return the outcome."""
        change = Change(
            services={
                name: spec_to_json(spec) for name, spec in changed.items()
            },
            zones=zones,
        )
        if self.store is None:
            raise RuntimeError('not started')
        return publish(
            self.store,
            change,
            change_id=uuid.uuid4().hex,
            who='bench',
            when_s=time.time(),
        )

    def runs(self) -> Counter[str]:
        """Return how often each booking key ran, over all records."""
        total: Counter[str] = Counter()
        for zone in ZONES:
            address = self.upstreams[f'records-{zone}']
            total.update(set_http_faults(address, {})['runs'])
        return total

    def _start_agent(self, kind: str, zone: str) -> None:
        service = 'seat-fitting' if kind == 'engine' else 'bookings'
        upstream = self.upstreams[f'{kind}-{zone}']
        self.fleet.start_agent(f'agent-{kind}-{zone}', zone, service, upstream)

    def _serves(self) -> bool:
        digests = [
            set_http_faults(self.upstreams[f'engine-{zone}'], {})['digest']
            for zone in ZONES
        ]
        return all(digests)

    def _kill_agent(self) -> None:
        self.fleet.children['agent-engine-zone-a'].kill()
        time.sleep(CALM_S)
        self._start_agent('engine', 'zone-a')
        time.sleep(CALM_S)

    def _kill_agent_of_bookings(self) -> None:
        self.fleet.children['agent-records-zone-a'].kill()
        time.sleep(CALM_S)
        self._start_agent('records', 'zone-a')
        time.sleep(CALM_S)

    def _freeze_agent(self) -> None:
        agent = self.fleet.children['agent-records-zone-b']
        agent.freeze()
        time.sleep(FREEZE_S)
        agent.thaw()
        time.sleep(CALM_S)

    def _engine_falls_over(self) -> None:
        set_http_faults(self.upstreams['engine-zone-b'], {'fall_over': True})
        time.sleep(CALM_S)

    def _store_outage(self) -> None:
        set_store_faults(self.fleet.store, {'outage': True})
        outcome = self.publish({}, {'zone-c': 'out'})
        self.figures['publish in an outage'] = type(outcome).__name__
        time.sleep(OUTAGE_S)
        set_store_faults(self.fleet.store, {'lose_answers': 3})
        outcome = self.publish({}, {'zone-c': 'in'})
        self.figures['publish with a lost answer'] = type(outcome).__name__
        time.sleep(CALM_S)

    def _kill_entry(self) -> None:
        self.fleet.children['entry-zone-a'].kill()
        time.sleep(CALM_S)
        self.fleet.start_entry('entry-zone-a', 'zone-a')
        time.sleep(CALM_S)

    def _new_version(self) -> None:
        self.publish(services('2'), {})
        time.sleep(2 * CALM_S)

    def _zone_out_and_in(self) -> None:
        before = self._work_of('zone-b')
        time.sleep(CALM_S)
        after = self._work_of('zone-b')
        self.figures['work in the zone before'] = sum(after) - sum(before)
        accepted = self.publish({}, {'zone-b': 'out'})
        if not isinstance(accepted, Accepted):
            raise TypeError(f'zone out was not accepted: {accepted}')
        accepted_s = time.monotonic()
        last_s = accepted_s
        seen = self._work_of('zone-b')
        while time.monotonic() - accepted_s < 2 * NO_NEW_WORK_LIMIT_S:
            work = self._work_of('zone-b')
            if work != seen:
                seen, last_s = work, time.monotonic()
            time.sleep(0.05)
        self.figures['zone out: seconds to no new work'] = last_s - accepted_s
        self.publish({}, {'zone-b': 'in'})
        time.sleep(CALM_S)

    def _work_of(self, zone: str) -> tuple[int, int]:
        engine = set_http_faults(self.upstreams[f'engine-{zone}'], {})
        records = set_http_faults(self.upstreams[f'records-{zone}'], {})
        return engine['started_runs'], sum(records['runs'].values())

    def _planned_stops(self) -> None:
        names = (
            'agent-engine-zone-c',
            'agent-records-zone-c',
            'entry-zone-c',
        )
        codes = [self.fleet.children[name].stop() for name in names]
        self.figures['exit codes of planned stops'] = codes


def services(version: str) -> dict[str, ServiceSpec]:
    """Return the two services of the course."""
    model = ServiceSpec(
        name='seat-fitting',
        kind='model',
        zones=ZONES,
        model=MODEL,
        version=version,
        replicas=len(ZONES),
    )
    bookings = ServiceSpec(
        name='bookings',
        kind='plain',
        zones=ZONES,
        replicas=len(ZONES),
        idempotent=False,
        fencing=False,
    )
    return {model.name: model, bookings.name: bookings}


def run(seed: int) -> BenchResult:
    """Run the whole course once."""
    fleet = Processes()
    try:
        return _run_course(FaultCourse(fleet), seed)
    finally:
        fleet.close()


def _run_course(course: FaultCourse, seed: int) -> BenchResult:
    course.start()
    callers = PromiseCallers(course.entries, callers=CALLERS)
    callers.start()
    time.sleep(CALM_S)
    course.run()
    callers.stop()
    figures = {
        **course.figures,
        **{
            f'requests {name}': count for name, count in callers.results.items()
        },
        'failures': dict(callers.failures),
        'bookings answered': sum(
            booking.answered for booking in callers.bookings
        ),
        'bookings': len(callers.bookings),
        'bookings sent again': sum(
            len(booking.tries) > 1 for booking in callers.bookings
        ),
    }
    bounds = _judge(course, callers)
    return BenchResult('faults', seed, figures, bounds)


def _judge(course: FaultCourse, callers: PromiseCallers) -> tuple[Bound, ...]:
    runs = course.runs()
    untrue = [
        booking.key
        for booking in callers.bookings
        if booking.only_not_run and runs[booking.key]
    ]
    crossed = sum(not booking.own_answer for booking in callers.bookings)
    duplicates = sum(count > 1 for count in runs.values())
    codes = course.figures['exit codes of planned stops']
    quiet_s = course.figures['zone out: seconds to no new work']
    bounds = [
        Bound('duplicates', duplicates, '==', 0, PROMISES),
        Bound('untrue not_run', len(untrue), '==', 0, PROMISES),
        Bound('answers of another', crossed, '==', 0, PROMISES),
        Bound('answers broken', len(callers.broken), '==', 0, PROMISES),
        Bound('planned stops not 0', sum(map(bool, codes)), '==', 0, PROMISES),
        Bound('no new work', quiet_s, '<=', NO_NEW_WORK_LIMIT_S, 'issue 6'),
        Bound(
            'requests failed',
            callers.results['failed'],
            '<=',
            CALLERS * LOSING_FAULTS,
            'issue 6: a kill -9 loses only what ran there',
        ),
    ]
    return tuple(bounds)
