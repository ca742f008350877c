"""Checks that engines in need get no more than they name."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable, Sequence
from operator import attrgetter

from bramleylug.soak.observations import Observations, Run

# The platform's rule: in some window an engine gets at most this many times
# its limit and some more requests, from relays that have had an answer with
# it for a while. It holds from some time after the first naming.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
TELLING_S = 0.5
SETTLING_S = 3.0


def find_limit_violations(observations: Observations) -> Iterable[str]:
    """Return a description of each engine that got more than it named."""
    by_engine: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(observations.runs, key=attrgetter('at_s')):
        by_engine[run.engine].append(run)
    for engine, runs in by_engine.items():
        for period in _limited_periods(runs):
            yield from _check_period(observations, engine, period)


def _limited_periods(runs: Sequence[Run]) -> Iterable[list[Run]]:
    """Return the series of runs during which a limit was named."""
    period: list[Run] = []
    for run in runs:
        if run.limit_per_s is not None:
            period.append(run)
        elif period:
            yield period
            period = []
    if period:
        yield period


def _check_period(
    observations: Observations, engine: str, period: Sequence[Run]
) -> Iterable[str]:
    named_s = period[0].at_s
    counted = _counted(observations, period)
    times = [run.at_s for run in counted]
    for run in counted:
        if run.at_s < named_s + SETTLING_S:
            continue
        first = bisect_left(times, run.at_s - WINDOW_S)
        until = bisect_right(times, run.at_s)
        limits = [one.limit_per_s or 0 for one in counted[first:until]]
        allowed = ALLOWED_FACTOR * max(limits) * WINDOW_S + ALLOWED_EXTRA
        if until - first > allowed:
            yield (
                f'{engine} named a limit of {max(limits):g} a second and got '
                f'{until - first} requests in {WINDOW_S} s, allowed '
                f'{allowed:g}, until {run.at_s:.2f}'
            )
            return


def _counted(
    observations: Observations, period: Sequence[Run]
) -> Sequence[Run]:
    """Return the runs that came from relays that had been told.

    A relay that a fault affected since then is exempt.
    """
    relays = {
        request.request_id: request.relay for request in observations.requests
    }
    told_s: dict[str, float] = {}
    counted: list[Run] = []
    for run in period:
        relay = relays.get(run.request_id, '')
        since_s = told_s.setdefault(relay, run.at_s)
        if observations.was_disturbed(relay, since_s):
            continue
        if run.at_s >= since_s + TELLING_S:
            counted.append(run)
    return counted
