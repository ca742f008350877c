"""Time until a configuration change is in force, and its store calls.

Entries run as processes on loopback against the store stand-in. In a single
process, 80 nodes would delay one another: they would share an interpreter.
"""

import time
from statistics import median
from typing import Any, NamedTuple

from bramleylug.bench.config_fleet import ConfigFleet
from bramleylug.bench.configuration_costs import build_document
from bramleylug.bench.processes import Processes
from bramleylug.bench.resource_usage import ProcessorTimer
from bramleylug.bench.results import BenchResult, Bound
from bramleylug.configuration.document import Change
from bramleylug.configuration.holder import ConfigurationHolder
from bramleylug.node.synchronization import answer_pull, build_pull

SIZES = (10, 20, 40, 80)
CHANGES = 8
SERVICES = 100
IN_FORCE_LIMIT_S = 3.0
FLAT_RATIO = 1.5
IDLE_PHASE_S = 2.0
CHANGE_PAUSE_S = 0.3
REQUIREMENT = 'letter: changes in force everywhere within 3 s'
ISSUE_FLAT = 'issue 4: store calls per change flat as members grow'


class SizeResult(NamedTuple):
    """Figures at one number of members.

    :ivar in_force_s: seconds until each change was in force everywhere.
    :ivar calls_per_change: calls to the store, of all members together.
    :ivar idle_cores: mean number of cores that one idle member uses.
    """

    members: int
    in_force_s: tuple[float, ...]
    calls_per_change: float
    idle_calls_per_s: float
    idle_cores: float


def run(seed: int) -> BenchResult:
    """Measure at several fleet sizes."""
    sizes = measure_sizes()
    figures: dict[str, Any] = {}
    for measured in sizes:
        figures.update(_name_figures(measured))
    pulled = measure_pull()
    figures.update(pulled)
    smallest, largest = sizes[0], sizes[-1]
    ratio = largest.calls_per_change / smallest.calls_per_change
    growth = median(largest.in_force_s) - median(smallest.in_force_s)
    slopes = {
        'config_store_calls_per_change': largest.calls_per_change,
        'config_delta_bytes_per_change': pulled['delta_bytes'],
        'config_in_force_s_per_member': growth
        / (largest.members - smallest.members),
        'node_idle_cores': largest.idle_cores,
    }
    return BenchResult(
        bench='config',
        seed=seed,
        figures=figures,
        bounds=(
            *(
                Bound(
                    f'in_force_max_s_{size.members}',
                    max(size.in_force_s),
                    '<=',
                    IN_FORCE_LIMIT_S,
                    REQUIREMENT,
                )
                for size in sizes
            ),
            Bound(
                'calls_per_change_largest_over_smallest',
                ratio,
                '<=',
                FLAT_RATIO,
                ISSUE_FLAT,
            ),
        ),
        baseline={'delta_bytes': pulled['whole_bytes']},
        series={
            'in force after, s, by members': [
                (size.members, max(size.in_force_s)) for size in sizes
            ],
        },
        slopes=slopes,
    )


def _name_figures(size: SizeResult) -> dict[str, float]:
    members = size.members
    return {
        f'in_force_median_s_{members}': median(size.in_force_s),
        f'in_force_max_s_{members}': max(size.in_force_s),
        f'calls_per_change_{members}': size.calls_per_change,
        f'idle_calls_per_s_{members}': size.idle_calls_per_s,
        f'idle_cores_per_member_{members}': size.idle_cores,
    }


def measure_sizes() -> list[SizeResult]:
    """Measure one fleet as it grows to each of the sizes."""
    processes = Processes()
    try:
        fleet = ConfigFleet(processes)
        return [measure_size(fleet, members) for members in SIZES]
    finally:
        processes.close()


def measure_size(fleet: ConfigFleet, members: int) -> SizeResult:
    """Grow a fleet to a number of members and measure it."""
    fleet.grow_to(members)
    time.sleep(IDLE_PHASE_S)
    calls_before, used_s = fleet.count_store_calls(), fleet.processor_s()
    time.sleep(IDLE_PHASE_S)
    idle_calls = fleet.count_store_calls() - calls_before
    idle_cores = (fleet.processor_s() - used_s) / IDLE_PHASE_S
    calls_before = fleet.count_store_calls()
    times = []
    for number in range(CHANGES):
        times.append(fleet.publish(members + number))
        time.sleep(CHANGE_PAUSE_S)
    return SizeResult(
        members,
        tuple(times),
        (fleet.count_store_calls() - calls_before) / CHANGES,
        idle_calls / IDLE_PHASE_S,
        idle_cores / members,
    )


def measure_pull() -> dict[str, float]:
    """Return the answer size and processor time of a delta and a full pull."""
    document = build_document(SERVICES)
    changed = document.with_change(
        Change(services={}, zones={'zone-0': 'out'}),
        change_id='last',
        who='bench',
        when_s=1,
    )
    holder = ConfigurationHolder(time.time)
    holder.apply_document(changed)
    figures: dict[str, float] = {}
    for name, full in (('delta', False), ('whole', True)):
        request = build_pull(document, full=full)
        timer = ProcessorTimer()
        with timer:
            text = answer_pull(holder, request).SerializeToString()
        figures[f'{name}_bytes'] = len(text)
        figures[f'{name}_answer_s'] = timer.used_s
    return figures
