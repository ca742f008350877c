"""Distribution of weights from one origin to N hosts, with live traffic."""

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
BASELINE_DIVISOR = 32
TIMEOUT_S = 40.0
DYING_HOSTS = 2
KILL_AFTER_S = 0.6
TARGET_HOSTS = 1200
TARGET_CHUNKS = 2000
FEWER_HOSTS = 300
FEWER_CHUNKS = 500
ISSUE = 'issue 5, measured: '
TIME_BOUND = 'time to N replicas at most 1.5 of size over link plus log2 N'


class BurstFigures(NamedTuple):
    """Figures of one distribution of a version to all hosts.

    :ivar complete: whether all running hosts got the version.
    :ivar last_replica_s: time to the last replica; :data:`TIMEOUT_S` when
        not complete.
    :ivar bound_s: the model's size over the link rate, plus the time of
        log2 N chunks.
    :ivar origin_copies: copies of the version read from the origin.
    :ivar cross_region_copies: copies of the version received from other
        regions, per receiving region.
    :ivar times_s: times to each complete replica, sorted.
    """

    hosts: int
    complete: bool
    last_replica_s: float
    bound_s: float
    origin_copies: float
    cross_region_copies: float
    times_s: list[float]

    @property
    def ratio(self) -> float:
        """Time to the last replica relative to ``bound_s``."""
        return self.last_replica_s / self.bound_s


def run(seed: int) -> BenchResult:
    """Measure bursts, baseline, bursts with faults, and the planner."""
    bursts = [_run_burst(_settings(hosts)) for hosts in HOST_COUNTS]
    baseline_times = [_run_baseline(hosts) for hosts in HOST_COUNTS]
    with_deaths = _run_burst(
        _settings(8, burst_s=SHORT_BURST_S), kill=DYING_HOSTS
    )
    two_regions = _run_burst(_settings(8, burst_s=SHORT_BURST_S, regions=2))
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
            'origin_copies_homes_dying': with_deaths.origin_copies,
            'seconds_homes_dying': with_deaths.last_replica_s,
            'region_link_copies': two_regions.cross_region_copies,
            **_live_figures(live),
            **_planner_figures(planners[0]),
        },
        (
            *_burst_bounds(bursts),
            *_fault_bounds(with_deaths, two_regions),
            *_live_bounds(live),
        ),
        _baseline(baseline_times, live),
        _series(bursts, baseline_times),
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
        complete = burst.wait(TIMEOUT_S)
        return _measure_burst(burst, complete=complete)


def _measure_burst(burst: Burst, *, complete: bool) -> BurstFigures:
    settings = burst.settings
    times_s = burst.replica_times_s()
    pipeline_bytes = log2(settings.hosts) * settings.chunk_bytes
    cross_region_bytes = sum(
        size_bytes
        for host in burst.hosts
        for region, size_bytes in host.peers.received_bytes.items()
        if region != host.region
    )
    return BurstFigures(
        settings.hosts,
        complete,
        times_s[-1] if complete and times_s else TIMEOUT_S,
        (settings.model_bytes + pipeline_bytes) / settings.host_rate,
        burst.origin_copies,
        cross_region_bytes / settings.model_bytes / settings.regions,
        times_s,
    )


def _run_baseline(hosts: int) -> list[float]:
    """Measure hosts that all read a smaller model from the origin.

    The times are scaled up to the size of the model.
    """
    settings = BurstSettings(
        hosts,
        MODEL_BYTES // BASELINE_DIVISOR,
        MODEL_BYTES // BASELINE_DIVISOR // CHUNKS + 1,
        BURST_S / BASELINE_DIVISOR,
    )
    with Burst(settings) as burst:
        burst.start_without_peers()
        burst.wait(TIMEOUT_S)
        return [at_s * BASELINE_DIVISOR for at_s in burst.replica_times_s()]


def _burst_figures(bursts: list[BurstFigures]) -> dict[str, Any]:
    figures: dict[str, Any] = {}
    for burst in bursts:
        figures[f'seconds_to_{burst.hosts}_replicas'] = burst.last_replica_s
        figures[f'ratio_to_bound_{burst.hosts}'] = burst.ratio
        figures[f'origin_copies_{burst.hosts}'] = burst.origin_copies
    growth = bursts[-1].last_replica_s / bursts[0].last_replica_s
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
        'planner_exchanges': planner.exchanges,
        'planner_memory_bytes': planner.memory_bytes,
    }


def _burst_bounds(bursts: list[BurstFigures]) -> list[Bound]:
    bounds = []
    for burst in bursts:
        name = f'{burst.hosts}_hosts'
        bounds.append(
            Bound(
                f'origin_copies_{name}',
                burst.origin_copies,
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


def _fault_bounds(
    with_deaths: BurstFigures, two_regions: BurstFigures
) -> list[Bound]:
    return [
        Bound(
            'origin_copies_homes_dying',
            with_deaths.origin_copies,
            '<=',
            1.5,
            f'{ISSUE}with homes dying at most 1.5',
        ),
        Bound(
            'living_hosts_whole_homes_dying',
            float(with_deaths.complete),
            '==',
            1,
            f'{ISSUE}homes dying',
        ),
        Bound(
            'region_link_copies',
            two_regions.cross_region_copies,
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


def _baseline(
    baseline_times: list[list[float]], live: LiveFigures
) -> dict[str, Any]:
    figures: dict[str, Any] = {
        f'seconds_to_{len(times_s)}_replicas': times_s[-1]
        for times_s in baseline_times
        if times_s
    }
    figures.update(
        {f'origin_copies_{hosts}': float(hosts) for hosts in HOST_COUNTS}
    )
    figures['live_p99_during_s'] = live.before.percentile_s(99)
    return figures


def _series(
    bursts: list[BurstFigures], baseline_times: list[list[float]]
) -> dict[str, list[tuple[float, float]]]:
    series = {
        f'replicas of {burst.hosts} over seconds': _steps(burst.times_s)
        for burst in bursts
    }
    series.update(
        {
            f'from the origin alone, {len(times_s)}': _steps(times_s)
            for times_s in baseline_times
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
        'holdings_exchanges_per_host_and_transfer': float(full.exchanges),
        'holdings_bytes_per_exchange': full.chunks / 8 * 2,
    }
