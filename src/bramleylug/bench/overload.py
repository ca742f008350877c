"""Twice the load that can be served, and a cold start under it."""

import json
import time
from collections import Counter
from itertools import cycle
from threading import Lock, Timer
from typing import final

from bramleylug.bench.request_memory import bytes_per_held_request
from bramleylug.bench.load import (
    Answer,
    HttpCall,
    arrival_times,
    call_http,
    run_open_loop,
)
from bramleylug.bench.resource_usage import processor_seconds
from bramleylug.bench.processes import Processes, wait_until
from bramleylug.bench.publishing import publish_services
from bramleylug.bench.recorder import Recorder
from bramleylug.bench.results import BenchResult, Bound
from bramleylug.cli.faults import set_http_faults
from bramleylug.configuration.document import ServiceSpec

ZONES = ('zone-a', 'zone-b', 'zone-c')
SERVICE = 'seat-fitting'
MODEL = 'seat-fitting-model'
MODEL_BYTES = 1024 * 1024
CONCURRENCY = 8
COLD_CONCURRENCY = 2
RAMP_SUCCESSES = 20
TOKENS_PER_S = 100
TOKENS = 32
LONG_TOKENS = 256
CAPACITY_PER_S = len(ZONES) * CONCURRENCY * TOKENS_PER_S / TOKENS
PHASE_S = 8.0
WARM_S = 5.0
BASELINE_TRIES = 3
LARGE_OF_TWENTY = 18
LARGE_WORKSPACES = 2
SMALL_WORKSPACES = 6
READY_LIMIT_S = 40.0
FALL_OVER_AFTER_S = 2.0
ISSUE = 'issue 6, bench overload'


def workspace_of(number: int) -> str:
    """Return the workspace of a call: nine in ten are of two large ones."""
    if number % 20 < LARGE_OF_TWENTY:
        return f'large-{number % LARGE_WORKSPACES}'
    return f'small-{number // 20 % SMALL_WORKSPACES}'


@final
class OverloadCourse:
    """Three engines and their agents, two entries."""

    def __init__(self, fleet: Processes, seed: int) -> None:
        self.fleet = fleet
        self.seed = seed
        self.engines: dict[str, str] = {}
        self.entries = cycle(('',))
        self.lock = Lock()
        self.results: Counter[tuple[str, str]] = Counter()

    def start(self) -> None:
        """Start all of it and wait until every engine has weights."""
        fleet = self.fleet
        fleet.start_platform(f'{MODEL}@1={MODEL_BYTES}')
        entries = [
            fleet.start_entry(f'entry-{zone}', zone).addresses['http']
            for zone in ZONES[:2]
        ]
        self.entries = cycle(entries)
        for zone in ZONES:
            self.engines[zone] = fleet.start_fake(
                f'engine-{zone}',
                'engine',
                f'--set=bears_warm={CONCURRENCY}',
                f'--set=bears_cold={COLD_CONCURRENCY}',
                f'--set=warm_after={RAMP_SUCCESSES}',
                f'--set=tokens_per_s={TOKENS_PER_S}',
            )
            fleet.start_agent(
                f'agent-{zone}', zone, SERVICE, self.engines[zone]
            )
        self.publish(CONCURRENCY)
        wait_until(self._loaded, READY_LIMIT_S)
        time.sleep(1)

    def publish(self, concurrency: int) -> None:
        """Bring the service in force."""
        spec = ServiceSpec(
            name=SERVICE,
            kind='model',
            zones=ZONES,
            model=MODEL,
            version='1',
            replicas=len(ZONES),
            concurrency=concurrency,
            cold_concurrency=COLD_CONCURRENCY,
            ramp_successes=RAMP_SUCCESSES,
            max_unavailable=len(ZONES),
        )
        publish_services(self.fleet.store, spec)

    def load(
        self, rate_per_s: float, duration_s: float, *, tokens: int = TOKENS
    ) -> Recorder:
        """Send through the entries at a rate, whatever comes back."""
        arrivals = arrival_times(rate_per_s, duration_s, self.seed)
        return run_open_loop(
            lambda number: self._through_entry(number, tokens), arrivals
        )

    def load_directly(self, rate_per_s: float, duration_s: float) -> Recorder:
        """Send to the engines, round robin with plain retries."""
        arrivals = arrival_times(rate_per_s, duration_s, self.seed)
        turn = cycle(self.engines.values())

        def send(number: int) -> Answer:
            answer = Answer('failed')
            for _ in range(BASELINE_TRIES):
                with self.lock:
                    address = next(turn)
                answer = call_http(
                    address, HttpCall('/v1/generate', body_of(number, TOKENS))
                )
                if answer.result == 'answered':
                    return answer
            return answer

        return run_open_loop(send, arrivals)

    def load_with_cold_start(self, rate_per_s: float) -> Recorder:
        """Let one engine turn cold in the middle of the load."""
        timer = Timer(
            FALL_OVER_AFTER_S,
            set_http_faults,
            (self.engines[ZONES[0]], {'fall_over': True}),
        )
        timer.start()
        record = self.load(rate_per_s, PHASE_S)
        timer.join()
        return record

    def crashes(self) -> int:
        """Return how often engines fell over."""
        return sum(
            set_http_faults(address, {})['crashes']
            for address in self.engines.values()
        )

    def agent_seconds(self) -> float:
        """Return the processor time of all agents."""
        return sum(
            processor_seconds(child.process.pid)
            for name, child in self.fleet.children.items()
            if name.startswith('agent-')
        )

    def small_share(self) -> float:
        """Return the share of small workspaces' calls that was answered."""
        small = {
            key: calls
            for key, calls in self.results.items()
            if key[0].startswith('small')
        }
        answered = sum(
            calls for key, calls in small.items() if key[1] == 'answered'
        )
        return answered / max(1, sum(small.values()))

    def _through_entry(self, number: int, tokens: int) -> Answer:
        workspace = workspace_of(number)
        with self.lock:
            address = next(self.entries)
        answer = call_http(
            address,
            HttpCall(
                f'/v1/services/{SERVICE}/v1/generate',
                body_of(number, tokens),
                headers={'X-Workspace': workspace},
            ),
        )
        with self.lock:
            self.results[workspace, answer.result] += 1
        return answer

    def _loaded(self) -> bool:
        return all(
            set_http_faults(address, {})['digest']
            for address in self.engines.values()
        )


def body_of(number: int, tokens: int) -> str:
    """Return a prompt that no other call sends."""
    return json.dumps({'prompt': f'call {number}', 'tokens': tokens})


def run(seed: int) -> BenchResult:
    """Run the course once."""
    fleet = Processes()
    try:
        return _run_course(OverloadCourse(fleet, seed), seed)
    finally:
        fleet.close()


def _run_course(course: OverloadCourse, seed: int) -> BenchResult:
    course.start()
    course.load(CAPACITY_PER_S, WARM_S)
    used_s = course.agent_seconds()
    once = course.load(CAPACITY_PER_S, PHASE_S)
    request_s = (course.agent_seconds() - used_s) / once.counts['answered']
    course.results.clear()
    twice = course.load(2 * CAPACITY_PER_S, PHASE_S)
    small = course.small_share()
    cold = course.load_with_cold_start(2 * CAPACITY_PER_S)
    # One fall is brought about.
    beyond = course.crashes() - 1
    slopes = _slopes(course, request_s)
    plain = course.load_directly(2 * CAPACITY_PER_S, PHASE_S)
    return BenchResult(
        'overload',
        seed,
        {
            **_figures('1 x', once),
            **_figures('2 x', twice),
            **_figures('2 x with a cold start', cold),
        },
        _judge(once, twice, small, beyond),
        baseline={
            **_figures('2 x', plain),
            'goodput at 2 x by that at 1 x': _by(plain, once),
        },
        series={'goodput at 2 x with a cold start': cold.goodput()},
        slopes=slopes,
        sizes=f'{len(ZONES)} engines of {CONCURRENCY}, {TOKENS} tokens',
    )


def _judge(
    once: Recorder, twice: Recorder, small: float, beyond: int
) -> tuple[Bound, ...]:
    latency = twice.percentile_s(99) / once.percentile_s(99)
    return (
        Bound(
            'goodput at 2 x by that at 1 x',
            _by(twice, once),
            '>=',
            0.9,
            ISSUE,
        ),
        Bound(
            'p99 of admitted at 2 x by that at 1 x',
            latency,
            '<=',
            2,
            'issue 6: what is admitted keeps its latency, within 2 x',
        ),
        Bound('small workspaces answered', small, '>=', 0.9, ISSUE),
        Bound('falls beyond what is borne', beyond, '==', 0, ISSUE),
    )


def _figures(phase: str, record: Recorder) -> dict[str, float]:
    return {
        f'{phase}: answered per s': record.counts['answered'] / PHASE_S,
        f'{phase}: refused': record.counts['refused'],
        f'{phase}: failed': record.counts['failed'],
        f'{phase}: p50 s': record.percentile_s(50),
        f'{phase}: p99 s': record.percentile_s(99),
    }


def _by(record: Recorder, other: Recorder) -> float:
    return record.counts['answered'] / max(1, other.counts['answered'])


def _slopes(course: OverloadCourse, short_s: float) -> dict[str, float]:
    """Return what a request, a token and a held request cost an agent."""
    used_s = course.agent_seconds()
    rate = CAPACITY_PER_S * TOKENS / LONG_TOKENS / 2
    long = course.load(rate, PHASE_S, tokens=LONG_TOKENS)
    used_s = course.agent_seconds() - used_s
    long_s = used_s / max(1, long.counts['answered'])
    return {
        'overload_agent_processor_s_per_request': short_s,
        'overload_agent_processor_s_per_token': (long_s - short_s)
        / (LONG_TOKENS - TOKENS),
        'agent_bytes_per_held_request': bytes_per_held_request(
            course.fleet.children[f'agent-{ZONES[0]}'],
            course.engines[ZONES[0]],
            SERVICE,
        ),
    }
