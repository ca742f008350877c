"""Idempotency keys under kills, pauses, lost answers and a store outage."""

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
from bramleylug.bench.processes import Processes, wait_until
from bramleylug.bench.publishing import publish_services
from bramleylug.bench.resource_usage import processor_seconds
from bramleylug.bench.results import BenchResult, Bound
from bramleylug.cli.faults import set_http_faults, set_store_faults
from bramleylug.configuration.document import ServiceSpec

ZONES = ('zone-a', 'zone-b', 'zone-c')
SERVICE = 'bookings'
PATH = '/v1/services/bookings/bookings'
LIGHT_LOAD_CALLERS = 2
HEAVY_LOAD_CALLERS = 24
PHASE_S = 6.0
OUTAGE_PHASE_S = 5.0
FAULT_PHASE_S = 14.0
PAUSE_S = 3.0
BASELINE_S = 4.0
FAULT_INTERVAL_S = 1.5
RECORDS_FAULTS = {'late_answers': 5, 'cut_answers': 5, 'crossed_answers': 5}
READY_TIMEOUT_S = 30.0
STORE_WRITES_PER_S = 300
GUARANTEES = 'BRIEF, What must always hold'
ISSUE = 'issue 6, bench bookings'


@final
class BookingScenario:
    """Three records services with their agents, two entries and a store.

    :ivar records: addresses of the records services by zone.
    :ivar key_records: keys that callers have booked in all phases, without
        the baseline.
    """

    def __init__(self, fleet: Processes) -> None:
        self.fleet = fleet
        self.records: dict[str, str] = {}
        self.entries: Iterable[str] = ()
        self.key_records: list[KeyRecord] = []

    def start(self) -> None:
        """Start all processes and wait until a booking is answered."""
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
        wait_until(self._can_book, READY_TIMEOUT_S)

    def run_phase(
        self, callers: int, duration_s: float, *, tickets: bool = False
    ) -> dict[str, float]:
        """Book for the given time and return the figures."""
        writes_before = self._store_writes()
        used_s = self._agent_processor_s()
        booking_callers = BookingCallers(
            self._next_entry,
            PATH,
            self._ticket if tickets else str,
            callers=callers,
        )
        key_records = booking_callers.run_for(duration_s)
        self.key_records.extend(key_records)
        answered = sum(record.answered for record in key_records)
        latencies_s = sorted(
            attempt.latency_s
            for record in key_records
            for attempt in record.attempts
            if attempt.status == 200
        )
        return {
            'bookings': len(key_records),
            'answered': answered,
            'share answered': answered / max(1, len(key_records)),
            'answered per s': answered / duration_s,
            'store writes per s': (self._store_writes() - writes_before)
            / duration_s,
            'store writes per booking': (self._store_writes() - writes_before)
            / max(1, answered),
            'agent processor s per booking': (
                self._agent_processor_s() - used_s
            )
            / max(1, answered),
            'p50 s': latencies_s[len(latencies_s) // 2] if latencies_s else 0,
            'p99 s': latencies_s[int(len(latencies_s) * 0.99)]
            if latencies_s
            else 0,
        }

    def run_with_faults(self) -> dict[str, float]:
        """Book while faults are injected."""
        thread = Thread(target=self._inject_faults, daemon=True)
        thread.start()
        figures = self.run_phase(HEAVY_LOAD_CALLERS, FAULT_PHASE_S)
        thread.join()
        return figures

    def run_during_outage(self, *, tickets: bool) -> dict[str, float]:
        """Book while the store is unavailable."""
        set_store_faults(self.fleet.store, {'outage': True})
        figures = self.run_phase(
            LIGHT_LOAD_CALLERS, OUTAGE_PHASE_S, tickets=tickets
        )
        set_store_faults(self.fleet.store, {'outage': False})
        time.sleep(1)
        return figures

    def run_baseline(self) -> dict[str, float]:
        """Book directly at the upstreams, round robin with plain retries.

        :returns: with ``duplicates``, how many keys ran more than once
            while answers were cut off.
        """
        upstreams = cycle(self.records.values())
        for address in self.records.values():
            set_http_faults(address, {'cut_answers': 10})
        callers = BookingCallers(
            lambda: next(upstreams),
            '/bookings',
            _baseline_key,
            callers=LIGHT_LOAD_CALLERS,
        )
        key_records = callers.run_for(BASELINE_S)
        runs, _ = self.count_runs_and_attempts()
        duplicates = sum(runs[record.key] > 1 for record in key_records)
        return {'duplicates': duplicates, 'bookings': len(key_records)}

    def count_runs_and_attempts(self) -> tuple[Counter[str], Counter[str]]:
        """Return runs by key and by request id, over all records services."""
        runs: Counter[str] = Counter()
        attempts: Counter[str] = Counter()
        for address in self.records.values():
            counts = set_http_faults(address, {})
            runs.update(counts['runs'])
            attempts.update(counts['tries'])
        return runs, attempts

    def _inject_faults(self) -> None:
        """Inject faults into store and records services; pause or kill agents.

        Calls to the store fail, lose their answers or are slow. Answers of the
        records services come late, cut off or for another request.
        """
        set_store_faults(self.fleet.store, {'lose_answers': 20})
        time.sleep(FAULT_INTERVAL_S)
        set_store_faults(self.fleet.store, {'fail_before': 20})
        for address in self.records.values():
            set_http_faults(address, RECORDS_FAULTS)
        time.sleep(FAULT_INTERVAL_S)
        self._pause_agent('zone-b', pause_s=PAUSE_S, kill=False)
        self._pause_agent('zone-a', pause_s=0)
        slow = {'lose_answers': 20, 'delay_ms': 100}
        set_store_faults(self.fleet.store, slow)
        time.sleep(FAULT_INTERVAL_S)
        self._pause_agent('zone-c', pause_s=FAULT_INTERVAL_S)
        set_store_faults(self.fleet.store, {'delay_ms': 0})

    def _pause_agent(
        self, zone: str, *, pause_s: float, kill: bool = True
    ) -> None:
        """Pause an agent, then resume it or kill and restart it."""
        agent = self.fleet.children[f'agent-{zone}']
        agent.pause()
        time.sleep(pause_s)
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

    def _can_book(self) -> bool:
        headers = {'Idempotency-Key': uuid.uuid4().hex}
        call = HttpCall(PATH, '{}', headers=headers)
        return call_http(self._next_entry(), call).result == 'answered'

    def _next_entry(self) -> str:
        return next(iter(self.entries))

    def _ticket(self, _key: str) -> str:
        call = HttpCall(f'/v1/tickets?service={SERVICE}')
        answer = call_http(self._next_entry(), call)
        if answer.result != 'answered':
            return ''
        return str(json.loads(answer.body)['ticket'])

    def _store_writes(self) -> int:
        counts: dict[str, Any] = set_store_faults(self.fleet.store, {})
        return int(counts['calls'].get('CompareAndSwap', 0))

    def _agent_processor_s(self) -> float:
        return sum(
            processor_seconds(child.process.pid)
            for name, child in self.fleet.children.items()
            if name.startswith('agent-')
        )


def _baseline_key(fresh: str) -> str:
    return f'baseline-{fresh}'


def run(seed: int) -> BenchResult:
    """Run all phases once."""
    fleet = Processes()
    try:
        return _run_scenario(BookingScenario(fleet), seed)
    finally:
        fleet.close()


def _run_scenario(scenario: BookingScenario, seed: int) -> BenchResult:
    scenario.start()
    phases = {
        'calm': scenario.run_phase(LIGHT_LOAD_CALLERS, PHASE_S),
        'busy': scenario.run_phase(HEAVY_LOAD_CALLERS, PHASE_S),
        'faults': scenario.run_with_faults(),
        'store down': scenario.run_during_outage(tickets=False),
        'store down, tickets': scenario.run_during_outage(tickets=True),
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
        _bounds(scenario, busy),
        baseline=scenario.run_baseline(),
        slopes={
            'store_writes_per_booking': busy['store writes per booking'],
            'agent_processor_s_per_booking': busy[
                'agent processor s per booking'
            ],
        },
        sizes=f'{HEAVY_LOAD_CALLERS} callers, {len(ZONES)} agents, 2 entries',
    )


def _bounds(
    scenario: BookingScenario, busy: dict[str, float]
) -> tuple[Bound, ...]:
    runs, attempts = scenario.count_runs_and_attempts()
    false_not_run = sum(
        attempt.run == 'not_run' and attempts[attempt.request_id] > 0
        for record in scenario.key_records
        for attempt in record.attempts
    )
    duplicates = sum(runs[record.key] > 1 for record in scenario.key_records)
    foreign_answers = sum(
        not record.only_own_answers for record in scenario.key_records
    )
    return (
        Bound('duplicates', duplicates, '==', 0, ISSUE),
        Bound('untrue not_run', false_not_run, '==', 0, ISSUE),
        Bound('answers of another', foreign_answers, '==', 0, GUARANTEES),
        Bound(
            'store writes per s, busy',
            busy['store writes per s'],
            '<=',
            STORE_WRITES_PER_S,
            'BRIEF, What the platform gives: several hundred writes',
        ),
    )
