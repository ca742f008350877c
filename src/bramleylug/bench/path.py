"""Overhead of entry and agent per request and per token."""

import json
import time
from collections.abc import Callable
from http.client import HTTPConnection
from threading import Event, Thread
from typing import NamedTuple

from bramleylug.bench.load import HttpCall
from bramleylug.bench.processes import Child
from bramleylug.bench.recorder import Recorder
from bramleylug.bench.resource_usage import processor_seconds
from bramleylug.bench.results import BenchResult, Bound
from bramleylug.bench.serving_fleet import (
    FleetPlan,
    ServingFleet,
    build_direct_call,
    build_generate_call,
)
from bramleylug.observability.process import resident_bytes

ZONE = 'zone-a'
CALLERS = 16
STREAMS = 24
STREAM_TOKENS = 200
TOKENS_PER_S = 50.0
REQUEST_PHASE_S = 5.0
IDLE_CONNECTIONS = 1000
MILLISECONDS = 1000
MICROSECONDS = 1_000_000
ENTRIES = 330
TARGET_REQUESTS_PER_S = 3100 / ENTRIES
TARGET_TOKENS_PER_S = 760_000 / ENTRIES
TOKEN_GAP_MS = 34.0
REQUIREMENT = (
    'letter: 330 nodes, 3,100 requests and 760,000 tokens a second at the '
    'peak: an entry carries its share on one core'
)
GAP_REQUIREMENT = 'letter: 34 ms between tokens for 95 in 100'


class Cost(NamedTuple):
    """Processor time and latency of one kind of load.

    :ivar units: requests or tokens.
    :ivar processor_s: processor seconds by process name.
    """

    units: int
    elapsed_s: float
    processor_s: dict[str, float]
    recorder: Recorder

    def per_unit(self, name: str) -> float:
        """Return the processor seconds of one process per unit."""
        return self.processor_s[name] / max(1, self.units)

    def percentile_ms(self, percent: float) -> float:
        return self.recorder.percentile_s(percent) * MILLISECONDS


class Costs(NamedTuple):
    """All measurements of one run.

    :ivar idle_bytes: memory of an idle connection at the entry.
    :ivar entry_requests: short requests through the entry;
        ``direct_requests`` are sent to the engine.
    :ivar entry_streams: long answers through the entry;
        ``direct_streams`` come from the engine.
    """

    idle_bytes: float
    entry_requests: Cost
    direct_requests: Cost
    entry_streams: Cost
    direct_streams: Cost


def run(seed: int) -> BenchResult:
    """Measure requests through the system and directly to the engine."""
    plan = FleetPlan(
        zones=(ZONE,),
        concurrency=STREAMS * 4,
        cold_concurrency=STREAMS * 4,
        warm_after=1,
        tokens_per_s=TOKENS_PER_S,
    )
    with ServingFleet(plan) as fleet:
        fleet.warm_up()
        children = {
            'entry': fleet.entries[ZONE],
            'agent': fleet.agents[ZONE],
            'engine': fleet.processes.children[f'engine-{ZONE}'],
        }
        entry, engine = fleet.entry_address(ZONE), fleet.engines[ZONE]
        costs = Costs(
            _idle_connection_bytes(entry, children['entry']),
            _measure_requests(entry, build_generate_call(1), children),
            _measure_requests(engine, build_direct_call(1), children),
            _measure_streams(
                entry, build_generate_call(STREAM_TOKENS), children
            ),
            _measure_streams(
                engine, build_direct_call(STREAM_TOKENS), children
            ),
        )
    return _result(seed, costs)


def _result(seed: int, costs: Costs) -> BenchResult:
    slopes = {
        'entry_processor_s_per_request': costs.entry_requests.per_unit('entry'),
        'entry_processor_s_per_token': costs.entry_streams.per_unit('entry'),
        'agent_processor_s_per_request': costs.entry_requests.per_unit('agent'),
        'agent_processor_s_per_token': costs.entry_streams.per_unit('agent'),
        'entry_bytes_per_idle_connection': costs.idle_bytes,
    }
    return BenchResult(
        'path',
        seed,
        {
            **_figures(costs.entry_requests, costs.direct_requests),
            **_token_figures(costs.entry_streams, costs.direct_streams),
            'idle_connection_bytes': costs.idle_bytes,
        },
        _bounds(costs.entry_requests, costs.entry_streams),
        {
            'engine_processor_us_per_token': (
                costs.direct_streams.per_unit('engine') * MICROSECONDS
            ),
            'request_ms_p50': costs.direct_requests.percentile_ms(50),
            'request_ms_p99': costs.direct_requests.percentile_ms(99),
            'requests_per_s': costs.direct_requests.units
            / costs.direct_requests.elapsed_s,
            'token_gap_ms_p95': costs.direct_streams.percentile_ms(95),
        },
        {},
        slopes,
    )


def _figures(entry_requests: Cost, direct_requests: Cost) -> dict[str, float]:
    entry, agent = (
        entry_requests.per_unit('entry'),
        entry_requests.per_unit('agent'),
    )
    added_ms = entry_requests.percentile_ms(50) - direct_requests.percentile_ms(
        50
    )
    return {
        'entry_processor_ms_per_request': entry * MILLISECONDS,
        'agent_processor_ms_per_request': agent * MILLISECONDS,
        'requests_per_s_and_core_of_the_entry': 1 / entry,
        'request_ms_p50': entry_requests.percentile_ms(50),
        'request_ms_p99': entry_requests.percentile_ms(99),
        'requests_per_s': entry_requests.units / entry_requests.elapsed_s,
        'request_processor_ratio': (entry + agent)
        / direct_requests.per_unit('engine'),
        'added_request_ms_p50': added_ms,
    }


def _token_figures(
    entry_streams: Cost, direct_streams: Cost
) -> dict[str, float]:
    entry, agent = (
        entry_streams.per_unit('entry'),
        entry_streams.per_unit('agent'),
    )
    return {
        'entry_processor_us_per_token': entry * MICROSECONDS,
        'agent_processor_us_per_token': agent * MICROSECONDS,
        'engine_processor_us_per_token': (
            entry_streams.per_unit('engine') * MICROSECONDS
        ),
        'token_gap_ms_p95': entry_streams.percentile_ms(95),
        'token_processor_ratio': (entry + agent)
        / direct_streams.per_unit('engine'),
    }


def _bounds(entry_requests: Cost, entry_streams: Cost) -> tuple[Bound, ...]:
    return (
        Bound(
            'entry_cores_at_target',
            entry_requests.per_unit('entry') * TARGET_REQUESTS_PER_S
            + entry_streams.per_unit('entry') * TARGET_TOKENS_PER_S,
            '<=',
            1.0,
            REQUIREMENT,
        ),
        Bound(
            'token_gap_ms_p95',
            entry_streams.percentile_ms(95),
            '<=',
            TOKEN_GAP_MS,
            GAP_REQUIREMENT,
        ),
        Bound(
            'requests_failed',
            entry_requests.recorder.total
            - entry_requests.recorder.counts['answered'],
            '==',
            0,
            'brief: every caller gets the whole answer to its own request',
        ),
    )


def _measure_requests(
    address: str, call: HttpCall, children: dict[str, Child]
) -> Cost:
    """Measure one-token requests in a closed loop on persistent connections."""
    recorder = Recorder()
    stopping = Event()

    def call_until_stopped() -> None:
        connection = HTTPConnection(address, timeout=30)
        while not stopping.is_set():
            sent_s = time.monotonic()
            connection.request(call.method, call.path, call.body)
            response = connection.getresponse()
            response.read()
            result = 'answered' if response.status == 200 else 'failed'
            recorder.add(result, 0, time.monotonic() - sent_s)
        connection.close()

    def load() -> int:
        threads = [Thread(target=call_until_stopped) for _ in range(CALLERS)]
        for thread in threads:
            thread.start()
        stopping.wait(REQUEST_PHASE_S)
        stopping.set()
        for thread in threads:
            thread.join()
        return recorder.total

    return _measure(load, recorder, children)


def _measure_streams(
    address: str, call: HttpCall, children: dict[str, Child]
) -> Cost:
    """Measure long answers; latencies are the times between tokens."""
    recorder = Recorder()

    def read_stream() -> None:
        connection = HTTPConnection(address, timeout=60)
        connection.request(call.method, call.path, call.body)
        response = connection.getresponse()
        last_s = time.monotonic()
        while line := response.readline():
            now_s = time.monotonic()
            # No other token precedes token 0.
            if json.loads(line)['token']:
                recorder.add('answered', 0, now_s - last_s)
            last_s = now_s
        connection.close()

    def load() -> int:
        threads = [Thread(target=read_stream) for _ in range(STREAMS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return recorder.total

    return _measure(load, recorder, children)


def _measure(
    load: Callable[[], int], recorder: Recorder, children: dict[str, Child]
) -> Cost:
    pids = {name: child.process.pid for name, child in children.items()}
    before = {name: processor_seconds(pid) for name, pid in pids.items()}
    started_s = time.monotonic()
    units = load()
    elapsed_s = time.monotonic() - started_s
    used = {
        name: processor_seconds(pid) - before[name]
        for name, pid in pids.items()
    }
    return Cost(units, elapsed_s, used, recorder)


def _idle_connection_bytes(address: str, entry: Child) -> float:
    """Return the entry's memory per idle connection after one answer."""
    before = resident_bytes(entry.process.pid)
    connections = [
        HTTPConnection(address, timeout=30) for _ in range(IDLE_CONNECTIONS)
    ]
    for connection in connections:
        connection.request('GET', '/healthz')
        connection.getresponse().read()
    grown_bytes = resident_bytes(entry.process.pid) - before
    for connection in connections:
        connection.close()
    return grown_bytes / IDLE_CONNECTIONS
