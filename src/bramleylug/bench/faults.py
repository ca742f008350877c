"""Kills, freezes, outages and operator changes against real processes.

Every fault of the brief that one machine can bring about is brought about
once under live traffic; the promises are judged from outside, by what the
callers were told, by what the upstreams counted, and by the revision that
every process says it has in force.
"""

from bramleylug.bench.fault_scenario import (
    NO_NEW_WORK_LIMIT_S,
    FaultScenario,
    pause_between_faults,
)
from bramleylug.bench.fault_fleet import FaultFleet
from bramleylug.bench.processes import Processes
from bramleylug.bench.checking_callers import CheckingCallers
from bramleylug.bench.results import BenchResult, Bound
from bramleylug.bench.revision_monitor import RevisionMonitor

CALLERS = 4
# Killed agent, killed entry, engine that falls over, two that crash.
LOSING_FAULTS = 5
CRASHES_LIMIT = 2
IN_FORCE_LIMIT_S = 3.0
GUARANTEES = 'BRIEF, What must always hold'


def run(seed: int) -> BenchResult:
    """Run the whole course once."""
    processes = Processes()
    try:
        return _run_course(FaultFleet(processes), seed)
    finally:
        processes.close()


def _run_course(fleet: FaultFleet, seed: int) -> BenchResult:
    fleet.start()
    course = FaultScenario(fleet)
    callers = CheckingCallers(fleet.entries, callers=CALLERS)
    watch = RevisionMonitor(fleet.processes)
    callers.start()
    watch.start()
    pause_between_faults()
    course.run()
    watch.stop()
    callers.join()
    figures = {
        **course.figures,
        'revisions seen': watch.highest,
        'latest in force after, s': watch.latest_s,
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
    bounds = (*_judge(course, callers), *_judge_revisions(course, watch))
    return BenchResult('faults', seed, figures, bounds)


def _judge(
    course: FaultScenario, callers: CheckingCallers
) -> tuple[Bound, ...]:
    runs = course.fleet.runs()
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
        Bound('duplicates', duplicates, '==', 0, GUARANTEES),
        Bound('untrue not_run', len(untrue), '==', 0, GUARANTEES),
        Bound('answers of another', crossed, '==', 0, GUARANTEES),
        Bound('answers broken', len(callers.broken), '==', 0, GUARANTEES),
        Bound(
            'planned stops not 0', sum(map(bool, codes)), '==', 0, GUARANTEES
        ),
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


def _judge_revisions(
    course: FaultScenario, watch: RevisionMonitor
) -> tuple[Bound, ...]:
    crashed = course.figures['engines crashed by one request']
    reverted = course.figures['work in a zone out after the store went back']
    return (
        Bound(
            'engines crashed by one request',
            crashed,
            '<=',
            CRASHES_LIMIT,
            'issue 6: two upstreams at most',
        ),
        Bound('work after reverting', reverted, '==', 0, GUARANTEES),
        Bound('revisions that fell', len(watch.fallen), '==', 0, GUARANTEES),
        Bound(
            'in force everywhere after',
            watch.latest_s,
            '<=',
            IN_FORCE_LIMIT_S,
            'letter 1: in force everywhere within 3 s',
        ),
    )
