"""Weights from one origin to N hosts in a burst, beside live traffic."""

import time
from math import log2
from typing import Any, NamedTuple

from bramleylug.bench.results import BenchResult, Bound
from bramleylug.bench.weights_hosts import Burst, BurstSettings
from bramleylug.bench.weights_live import LiveFigures, measure_live
from bramleylug.bench.weights_planner import PlannerFigures, measure_planner

HOST_COUNTS = (4, 8, 16, 32)
MODEL_BYTES = 4_194_304
CHUNKS = 24
BURST_S = 12.0
SHORT_BURST_S = 4.0
BASELINE_PART = 32
LIMIT_S = 40.0
DYING_HOSTS = 2
KILL_AFTER_S = 0.6
TARGET_HOSTS = 1200
TARGET_CHUNKS = 2000
FEWER_HOSTS = 300
FEWER_CHUNKS = 500
ISSUE = 'issue 5, measured: '
TIME_BOUND = 'time to N replicas at most 1.5 of size over link plus log2 N'


class BurstFigures(NamedTuple):
    """One burst.

    :ivar bound_s: size over link rate, plus log2 N chunk times.
    """

    hosts: int
    whole: bool
    last_s: float
    bound_s: float
    copies: float
    crossing_copies: float
    times_s: list[float]

    @property
    def ratio(self) -> float:
        """Time to the last replica over the bound."""
        return self.last_s / self.bound_s


def run(seed: int) -> BenchResult:
    """Run the bursts, the baseline, the faults and the planner."""
    bursts = [_run_burst(_settings(hosts)) for hosts in HOST_COUNTS]
    direct = [_run_baseline(hosts) for hosts in HOST_COUNTS]
    dying = _run_burst(_settings(8, burst_s=SHORT_BURST_S), kill=DYING_HOSTS)
    across = _run_burst(_settings(8, burst_s=SHORT_BURST_S, regions=2))
    live = measure_live()
    planners = [
        measure_planner(hosts, chunks, seed)
        for hosts, chunks in (
            (TARGET_HOSTS, TARGET_CHUNKS),
            (TARGET_HOSTS, FEWER_CHUNKS),
            (FEWER_HOSTS, TARGET_CHUNKS),
        )
    ]
    return BenchResult(
        'weights',
        seed,
        {
            **_burst_figures(bursts),
            'origin_copies_homes_dying': dying.copies,
            'seconds_homes_dying': dying.last_s,
            'region_link_copies': across.crossing_copies,
            **_live_figures(live),
            **_planner_figures(planners[0]),
        },
        (
            *_burst_bounds(bursts),
            *_fault_bounds(dying, across),
            *_live_bounds(live),
        ),
        _baseline(direct, live),
        _series(bursts, direct),
        _slopes(planners),
    )


def _settings(
    hosts: int, *, burst_s: float = BURST_S, regions: int = 1
) -> BurstSettings:
    chunk_bytes = -(-MODEL_BYTES // CHUNKS)
    return BurstSettings(hosts, MODEL_BYTES, chunk_bytes, burst_s, regions)


def _run_burst(settings: BurstSettings, kill: int = 0) -> BurstFigures:
    with Burst(settings) as burst:
        burst.start()
        time.sleep(KILL_AFTER_S)
        for host in burst.hosts[:kill]:
            host.kill()
        whole = burst.wait(LIMIT_S)
        return _figures_of(burst, whole=whole)


def _figures_of(burst: Burst, *, whole: bool) -> BurstFigures:
    settings = burst.settings
    times_s = burst.replica_times_s()
    depth = log2(settings.hosts) * settings.chunk_bytes
    crossing = sum(
        size_bytes
        for host in burst.hosts
        for region, size_bytes in host.peers.received_bytes.items()
        if region != host.region
    )
    return BurstFigures(
        settings.hosts,
        whole,
        times_s[-1] if whole and times_s else LIMIT_S,
        (settings.model_bytes + depth) / settings.host_rate,
        burst.origin_copies,
        crossing / settings.model_bytes / settings.regions,
        times_s,
    )


def _run_baseline(hosts: int) -> list[float]:
    """Let every host read the origin; scaled from a part of the size."""
    settings = BurstSettings(
        hosts,
        MODEL_BYTES // BASELINE_PART,
        MODEL_BYTES // BASELINE_PART // CHUNKS + 1,
        BURST_S / BASELINE_PART,
    )
    with Burst(settings) as burst:
        burst.start_alone()
        burst.wait(LIMIT_S)
        return [at_s * BASELINE_PART for at_s in burst.replica_times_s()]


def _burst_figures(bursts: list[BurstFigures]) -> dict[str, Any]:
    figures: dict[str, Any] = {}
    for burst in bursts:
        figures[f'seconds_to_{burst.hosts}_replicas'] = burst.last_s
        figures[f'ratio_to_bound_{burst.hosts}'] = burst.ratio
        figures[f'origin_copies_{burst.hosts}'] = burst.copies
    growth = bursts[-1].last_s / bursts[0].last_s
    figures['growth_4_to_32_hosts'] = growth
    return figures


def _live_figures(live: LiveFigures) -> dict[str, Any]:
    return {
        'live_p99_during_s': live.during.percentile_s(99),
        'live_requests_during': live.during.total,
        'live_failed_during': live.during.counts['failed'],
        'live_refused_during': live.during.counts['refused'],
        'live_burst_seconds': live.burst_s,
    }


def _planner_figures(planner: PlannerFigures) -> dict[str, Any]:
    return {
        'planner_setup_processor_seconds': planner.setup_s,
        'planner_processor_seconds': planner.run_s,
        'planner_exchanges': planner.asks,
        'planner_memory_bytes': planner.memory_bytes,
    }


def _burst_bounds(bursts: list[BurstFigures]) -> list[Bound]:
    bounds = []
    for burst in bursts:
        name = f'{burst.hosts}_hosts'
        bounds.append(
            Bound(
                f'origin_copies_{name}',
                burst.copies,
                '<=',
                1.1,
                f'{ISSUE}origin bytes at most 1.1 copies at every N',
            )
        )
        bounds.append(
            Bound(
                f'time_over_bound_{name}',
                burst.ratio,
                '<=',
                1.5,
                f'{ISSUE}{TIME_BOUND}',
            )
        )
    return bounds


def _fault_bounds(dying: BurstFigures, across: BurstFigures) -> list[Bound]:
    return [
        Bound(
            'origin_copies_homes_dying',
            dying.copies,
            '<=',
            1.5,
            f'{ISSUE}with homes dying at most 1.5',
        ),
        Bound(
            'living_hosts_whole_homes_dying',
            float(dying.whole),
            '==',
            1,
            f'{ISSUE}homes dying',
        ),
        Bound(
            'region_link_copies',
            across.crossing_copies,
            '<=',
            1.1,
            f'{ISSUE}at most 1.1 copies per receiving region',
        ),
    ]


def _live_bounds(live: LiveFigures) -> list[Bound]:
    return [
        Bound(
            'live_p99_over_without',
            live.during.percentile_s(99) / live.before.percentile_s(99),
            '<=',
            1.5,
            f'{ISSUE}99th percentile at most 1.5 of without the burst',
        ),
        Bound(
            'live_failed',
            live.during.counts['failed'],
            '==',
            0,
            f'{ISSUE}none failed',
        ),
    ]


def _baseline(direct: list[list[float]], live: LiveFigures) -> dict[str, Any]:
    figures: dict[str, Any] = {
        f'seconds_to_{len(times_s)}_replicas': times_s[-1]
        for times_s in direct
        if times_s
    }
    figures.update(
        {f'origin_copies_{hosts}': float(hosts) for hosts in HOST_COUNTS}
    )
    figures['live_p99_during_s'] = live.before.percentile_s(99)
    return figures


def _series(
    bursts: list[BurstFigures], direct: list[list[float]]
) -> dict[str, list[tuple[float, float]]]:
    series = {
        f'replicas of {burst.hosts} over seconds': _steps(burst.times_s)
        for burst in bursts
    }
    series.update(
        {
            f'from the origin alone, {len(times_s)}': _steps(times_s)
            for times_s in direct
        }
    )
    return series


def _steps(times_s: list[float]) -> list[tuple[float, float]]:
    return [(at_s, float(count)) for count, at_s in enumerate(times_s, 1)]


def _slopes(planners: list[PlannerFigures]) -> dict[str, float]:
    full, fewer_chunks, fewer_hosts = planners
    chunks = full.chunks - fewer_chunks.chunks
    hosts = full.hosts - fewer_hosts.hosts
    return {
        'planner_processor_seconds_per_chunk': (
            (full.run_s - fewer_chunks.run_s) / chunks
        ),
        'planner_setup_processor_seconds_per_chunk_and_host': (
            full.setup_s / full.chunks / full.hosts
        ),
        'planner_processor_seconds_per_host': (
            (full.run_s - fewer_hosts.run_s) / hosts
        ),
        'planner_memory_bytes_per_chunk': (
            (full.memory_bytes - fewer_chunks.memory_bytes) / chunks
        ),
        'planner_memory_bytes_per_host': (
            (full.memory_bytes - fewer_hosts.memory_bytes) / hosts
        ),
        'holdings_exchanges_per_host_and_transfer': float(full.asks),
        'holdings_bytes_per_exchange': full.chunks / 8 * 2,
    }
