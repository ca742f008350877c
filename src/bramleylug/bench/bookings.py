"""Repeated keys under kills, pauses, lost answers and a store outage."""

import json
import time
import uuid
from collections import Counter
from collections.abc import Iterable
from itertools import cycle
from threading import Thread
from typing import Any, final

from bramleylug.bench.booking_callers import BookingCallers, KeyRecord
from bramleylug.bench.load import HttpCall, call_http
from bramleylug.bench.resource_usage import processor_seconds
from bramleylug.bench.processes import Processes, wait_until
from bramleylug.bench.publishing import publish_services
from bramleylug.bench.results import BenchResult, Bound
from bramleylug.cli.faults import set_http_faults, set_store_faults
from bramleylug.configuration.document import ServiceSpec

ZONES = ('zone-a', 'zone-b', 'zone-c')
SERVICE = 'bookings'
PATH = '/v1/services/bookings/bookings'
CALM_CALLERS = 2
BUSY_CALLERS = 24
PHASE_S = 6.0
OUTAGE_S = 5.0
FAULTS_S = 14.0
FREEZE_S = 3.0
BASELINE_S = 4.0
STEP_S = 1.5
RECORDS_FAULTS = {'late_answers': 5, 'cut_answers': 5, 'crossed_answers': 5}
READY_LIMIT_S = 30.0
STORE_WRITES_PER_S = 300
GUARANTEES = 'BRIEF, What must always hold'
ISSUE = 'issue 6, bench bookings'


@final
class BookingCourse:
    """Three records services and their agents, two entries, one store."""

    def __init__(self, fleet: Processes) -> None:
        self.fleet = fleet
        self.records: dict[str, str] = {}
        self.entries: Iterable[str] = ()
        self.told: list[KeyRecord] = []

    def start(self) -> None:
        """Start all of it and wait until a booking is answered."""
        fleet = self.fleet
        fleet.start_platform()
        addresses = [
            fleet.start_entry(f'entry-{zone}', zone).addresses['http']
            for zone in ZONES[:2]
        ]
        self.entries = cycle(addresses)
        for zone in ZONES:
            self.records[zone] = fleet.start_fake(
                f'records-{zone}', 'records', '--set=delay_s=0.05'
            )
            self._start_agent(zone)
        self._publish()
        wait_until(self._books, READY_LIMIT_S)

    def phase(
        self, callers: int, duration_s: float, *, tickets: bool = False
    ) -> dict[str, float]:
        """Book for some time and return the figures."""
        writes = self._store_writes()
        used_s = self._agent_seconds()
        booking = BookingCallers(
            self._entry,
            PATH,
            self._ticket if tickets else str,
            callers=callers,
        )
        told = booking.run_for(duration_s)
        self.told.extend(told)
        answered = sum(record.answered for record in told)
        took = sorted(
            one.took_s
            for record in told
            for one in record.tries
            if one.status == 200
        )
        return {
            'bookings': len(told),
            'answered': answered,
            'share answered': answered / max(1, len(told)),
            'answered per s': answered / duration_s,
            'store writes per s': (self._store_writes() - writes) / duration_s,
            'store writes per booking': (self._store_writes() - writes)
            / max(1, answered),
            'agent processor s per booking': (self._agent_seconds() - used_s)
            / max(1, answered),
            'p50 s': took[len(took) // 2] if took else 0,
            'p99 s': took[int(len(took) * 0.99)] if took else 0,
        }

    def faults(self) -> dict[str, float]:
        """Book under every fault."""
        thread = Thread(target=self._bring_about, daemon=True)
        thread.start()
        figures = self.phase(BUSY_CALLERS, FAULTS_S)
        thread.join()
        return figures

    def outage(self, *, tickets: bool) -> dict[str, float]:
        """Book while the store is down."""
        set_store_faults(self.fleet.store, {'outage': True})
        figures = self.phase(CALM_CALLERS, OUTAGE_S, tickets=tickets)
        set_store_faults(self.fleet.store, {'outage': False})
        time.sleep(1)
        return figures

    def baseline(self) -> dict[str, float]:
        """Book round robin with plain retries, without agents.

        :returns: keys that ran more than once under cut answers.
        """
        turn = cycle(self.records.values())
        for address in self.records.values():
            set_http_faults(address, {'cut_answers': 10})
        callers = BookingCallers(
            lambda: next(turn), '/bookings', _baseline_key, callers=CALM_CALLERS
        )
        told = callers.run_for(BASELINE_S)
        runs, _ = self.counted()
        duplicates = sum(runs[record.key] > 1 for record in told)
        return {'duplicates': duplicates, 'bookings': len(told)}

    def counted(self) -> tuple[Counter[str], Counter[str]]:
        """Return runs by key and by try, over all records services."""
        runs: Counter[str] = Counter()
        tries: Counter[str] = Counter()
        for address in self.records.values():
            counts = set_http_faults(address, {})
            runs.update(counts['runs'])
            tries.update(counts['tries'])
        return runs, tries

    def _bring_about(self) -> None:
        """Lose answers, cross answers, pause, kill and slow the store."""
        set_store_faults(self.fleet.store, {'lose_answers': 20})
        time.sleep(STEP_S)
        set_store_faults(self.fleet.store, {'fail_before': 20})
        for address in self.records.values():
            set_http_faults(address, RECORDS_FAULTS)
        time.sleep(STEP_S)
        self._replace('zone-b', freeze_s=FREEZE_S, kill=False)
        self._replace('zone-a', freeze_s=0)
        slow = {'lose_answers': 20, 'delay_ms': 100}
        set_store_faults(self.fleet.store, slow)
        time.sleep(STEP_S)
        self._replace('zone-c', freeze_s=STEP_S)
        set_store_faults(self.fleet.store, {'delay_ms': 0})

    def _replace(
        self, zone: str, *, freeze_s: float, kill: bool = True
    ) -> None:
        """Pause an agent, then let it run on or start another for it."""
        agent = self.fleet.children[f'agent-{zone}']
        agent.pause()
        time.sleep(freeze_s)
        agent.resume()
        if kill:
            agent.kill()
            self._start_agent(zone)

    def _start_agent(self, zone: str) -> None:
        self.fleet.start_agent(
            f'agent-{zone}', zone, SERVICE, self.records[zone]
        )

    def _publish(self) -> None:
        spec = ServiceSpec(
            name=SERVICE,
            kind='plain',
            zones=ZONES,
            replicas=len(ZONES),
            idempotent=False,
            fencing=False,
        )
        publish_services(self.fleet.store, spec)

    def _books(self) -> bool:
        headers = {'Idempotency-Key': uuid.uuid4().hex}
        call = HttpCall(PATH, '{}', headers=headers)
        return call_http(self._entry(), call).result == 'answered'

    def _entry(self) -> str:
        return next(iter(self.entries))

    def _ticket(self, _key: str) -> str:
        call = HttpCall(f'/v1/tickets?service={SERVICE}')
        answer = call_http(self._entry(), call)
        if answer.result != 'answered':
            return ''
        return str(json.loads(answer.body)['ticket'])

    def _store_writes(self) -> int:
        counts: dict[str, Any] = set_store_faults(self.fleet.store, {})
        return int(counts['calls'].get('CompareAndSwap', 0))

    def _agent_seconds(self) -> float:
        return sum(
            processor_seconds(child.process.pid)
            for name, child in self.fleet.children.items()
            if name.startswith('agent-')
        )


def _baseline_key(fresh: str) -> str:
    return f'baseline-{fresh}'


def run(seed: int) -> BenchResult:
    """Run the course once."""
    fleet = Processes()
    try:
        return _run_course(BookingCourse(fleet), seed)
    finally:
        fleet.close()


def _run_course(course: BookingCourse, seed: int) -> BenchResult:
    course.start()
    phases = {
        'calm': course.phase(CALM_CALLERS, PHASE_S),
        'busy': course.phase(BUSY_CALLERS, PHASE_S),
        'faults': course.faults(),
        'store down': course.outage(tickets=False),
        'store down, tickets': course.outage(tickets=True),
    }
    busy = phases['busy']
    return BenchResult(
        'bookings',
        seed,
        {
            f'{phase}: {name}': figure
            for phase, figures in phases.items()
            for name, figure in figures.items()
        },
        _judge(course, busy),
        baseline=course.baseline(),
        slopes={
            'store_writes_per_booking': busy['store writes per booking'],
            'agent_processor_s_per_booking': busy[
                'agent processor s per booking'
            ],
        },
        sizes=f'{BUSY_CALLERS} callers, {len(ZONES)} agents, 2 entries',
    )


def _judge(course: BookingCourse, busy: dict[str, float]) -> tuple[Bound, ...]:
    runs, tries = course.counted()
    untrue = sum(
        one.run == 'not_run' and tries[one.request_id] > 0
        for record in course.told
        for one in record.tries
    )
    duplicates = sum(runs[record.key] > 1 for record in course.told)
    others = sum(not record.own for record in course.told)
    return (
        Bound('duplicates', duplicates, '==', 0, ISSUE),
        Bound('untrue not_run', untrue, '==', 0, ISSUE),
        Bound('answers of another', others, '==', 0, GUARANTEES),
        Bound(
            'store writes per s, busy',
            busy['store writes per s'],
            '<=',
            STORE_WRITES_PER_S,
            'BRIEF, What the platform gives: several hundred writes',
        ),
    )
