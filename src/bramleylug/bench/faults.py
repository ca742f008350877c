"""Kills, pauses, outages and operator changes against real processes.

Every required fault that can be injected on one machine is injected once
under live traffic. The guarantees are checked from outside: by the answers
to the callers, the counts of the upstreams, and the revision that every
process reports as in force.
"""

from bramleylug.bench.checking_callers import CheckingCallers
from bramleylug.bench.fault_fleet import FaultFleet
from bramleylug.bench.fault_scenario import (
    NO_NEW_WORK_LIMIT_S,
    FaultScenario,
    pause_between_faults,
)
from bramleylug.bench.processes import Processes
from bramleylug.bench.results import BenchResult, Bound
from bramleylug.bench.revision_monitor import RevisionMonitor

CALLERS = 4
# Each loses running requests of the model service: a killed agent, a killed
# entry, a crashed engine, and two engines crashed by one request.
REQUEST_LOSING_FAULTS = 5
MAX_CRASHES = 2
IN_FORCE_LIMIT_S = 3.0
GUARANTEES = 'BRIEF, What must always hold'


def run(seed: int) -> BenchResult:
    """Run the fault scenario once under traffic."""
    processes = Processes()
    try:
        return _run_scenario(FaultFleet(processes), seed)
    finally:
        processes.close()


def _run_scenario(fleet: FaultFleet, seed: int) -> BenchResult:
    fleet.start()
    scenario = FaultScenario(fleet)
    callers = CheckingCallers(fleet.entries, callers=CALLERS)
    monitor = RevisionMonitor(fleet.processes)
    callers.start()
    monitor.start()
    pause_between_faults()
    scenario.run()
    monitor.stop()
    callers.join()
    figures = {
        **scenario.figures,
        'revisions seen': monitor.max_revision,
        'latest in force after, s': monitor.max_propagation_s,
        **{
            f'requests {name}': count for name, count in callers.results.items()
        },
        'failures': dict(callers.failures),
        'bookings answered': sum(
            booking.answered for booking in callers.bookings
        ),
        'bookings': len(callers.bookings),
        'bookings sent again': sum(
            len(booking.attempts) > 1 for booking in callers.bookings
        ),
    }
    bounds = (
        *_answer_bounds(scenario, callers),
        *_revision_bounds(scenario, monitor),
    )
    return BenchResult('faults', seed, figures, bounds)


def _answer_bounds(
    scenario: FaultScenario, callers: CheckingCallers
) -> tuple[Bound, ...]:
    runs = scenario.fleet.runs_by_key()
    false_not_run = [
        booking.key
        for booking in callers.bookings
        if booking.all_not_run and runs[booking.key]
    ]
    foreign_answers = sum(
        not booking.only_own_answers for booking in callers.bookings
    )
    duplicates = sum(count > 1 for count in runs.values())
    exit_codes = scenario.figures['exit codes of planned stops']
    no_new_work_s = scenario.figures['zone out: seconds to no new work']
    bounds = [
        Bound('duplicates', duplicates, '==', 0, GUARANTEES),
        Bound('untrue not_run', len(false_not_run), '==', 0, GUARANTEES),
        Bound('answers of another', foreign_answers, '==', 0, GUARANTEES),
        Bound('answers broken', len(callers.violations), '==', 0, GUARANTEES),
        Bound(
            'planned stops not 0',
            sum(map(bool, exit_codes)),
            '==',
            0,
            GUARANTEES,
        ),
        Bound(
            'no new work', no_new_work_s, '<=', NO_NEW_WORK_LIMIT_S, 'issue 6'
        ),
        Bound(
            'requests failed',
            callers.results['failed'],
            '<=',
            CALLERS * REQUEST_LOSING_FAULTS,
            'issue 6: a kill -9 loses only what ran there',
        ),
    ]
    return tuple(bounds)


def _revision_bounds(
    scenario: FaultScenario, monitor: RevisionMonitor
) -> tuple[Bound, ...]:
    crashed = scenario.figures['engines crashed by one request']
    work_after_rollback = scenario.figures[
        'work in a zone out after the store went back'
    ]
    return (
        Bound(
            'engines crashed by one request',
            crashed,
            '<=',
            MAX_CRASHES,
            'issue 6: two upstreams at most',
        ),
        Bound('work after reverting', work_after_rollback, '==', 0, GUARANTEES),
        Bound(
            'revisions that fell', len(monitor.regressions), '==', 0, GUARANTEES
        ),
        Bound(
            'in force everywhere after',
            monitor.max_propagation_s,
            '<=',
            IN_FORCE_LIMIT_S,
            'letter 1: in force everywhere within 3 s',
        ),
    )
