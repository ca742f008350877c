"""Checks the invariants of a soak on what clients and engines observed."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from operator import attrgetter

from bramleylug.soak.limit_checks import find_limit_violations
from bramleylug.soak.observations import (
    Observations,
    Outcome,
    Rejection,
)
from bramleylug.soak.trouble_checks import find_trouble_violations

# Time limits that the platform specifies.
REVOCATION_LIMIT_S = 5.0
VERSION_LIMIT_S = 8.0
EVACUATION_LIMIT_S = 5.0
RECOVERED_SHARE = 0.9
DRAIN_LIMIT_S = 2.0
# Requests that a relay may still send to an engine that wanted a pause, and
# the time in which those that were on their way do not count.
MAX_DURING_PAUSE = 2
PAUSE_SLACK_S = 0.5
# Engines may begin this share of the streams that their callers have left, and
# this many, later than this time after the callers left.
GONE_SLACK_S = 0.5
GONE_SHARE = 0.25
MAX_GONE = 3


def find_violations(observations: Observations) -> list[str]:
    """Return a description of every violated invariant."""
    return [
        *observations.engine_violations,
        *observations.duty_violations,
        *_wrong_answers(observations),
        *_refused_but_ran(observations),
        *_repeated_bookings(observations),
        *_runs_with_revoked_keys(observations),
        *_outdated_runs(observations),
        *_runs_in_evacuated_zones(observations),
        *_runs_at_leaving_engines(observations),
        *_requests_during_pauses(observations),
        *_begun_for_gone_callers(observations),
        *_not_recovered(observations),
        *find_trouble_violations(observations),
        *find_limit_violations(observations),
    ]


def _wrong_answers(observations: Observations) -> Iterable[str]:
    for request in observations.requests:
        if request.error:
            yield f'answer to {request.request_id}: {request.error}'


def _refused_but_ran(observations: Observations) -> Iterable[str]:
    ran_ids = {run.request_id for run in observations.runs}
    for request in observations.requests:
        if request.outcome is Outcome.refused and request.request_id in ran_ids:
            yield f'{request.request_id} was refused as not executed, but ran'


def _repeated_bookings(observations: Observations) -> Iterable[str]:
    bookings = {
        request.request_id
        for request in observations.requests
        if request.booking
    }
    counted = Counter(run.request_id for run in observations.runs)
    for request_id in bookings:
        if counted[request_id] > 1:
            yield f'booking {request_id} ran {counted[request_id]} times'


def _runs_with_revoked_keys(observations: Observations) -> Iterable[str]:
    ran_ids = {run.request_id for run in observations.runs}
    for request in observations.requests:
        for interval in observations.revocations:
            late = (
                interval.from_s + REVOCATION_LIMIT_S
                < request.sent_s
                < interval.until_s
            )
            if (
                request.key == interval.name
                and late
                and request.request_id in ran_ids
            ):
                after_s = request.sent_s - interval.from_s
                yield (
                    f'{request.request_id} ran {after_s:.2f} s '
                    'after its key was revoked'
                )


def _outdated_runs(observations: Observations) -> Iterable[str]:
    for run in observations.runs:
        for version, target_set_s in observations.targets_set_s.items():
            late_s = run.at_s - target_set_s - VERSION_LIMIT_S
            if 0 < run.version < version and late_s > 0:
                if not observations.is_exempt(
                    run.request_id, run.at_s, target_set_s
                ):
                    yield (
                        f'{run.request_id} ran on version {run.version} at '
                        f'{run.engine} {late_s:.2f} s after the time limit'
                    )


def _runs_in_evacuated_zones(observations: Observations) -> Iterable[str]:
    for run in observations.runs:
        for interval in observations.evacuations:
            late = (
                interval.from_s + EVACUATION_LIMIT_S
                < run.at_s
                < interval.until_s
            )
            if run.zone == interval.name and late:
                if not observations.is_exempt(
                    run.request_id, run.at_s, interval.from_s
                ):
                    yield (
                        f'{run.request_id} ran in {run.zone}, '
                        'which was evacuated'
                    )


def _runs_at_leaving_engines(observations: Observations) -> Iterable[str]:
    """A relay that passed on that an engine leaves sends nothing later."""
    requests = {
        request.request_id: request for request in observations.requests
    }
    known_s: dict[tuple[str, str], float] = {}
    runs = sorted(observations.runs, key=attrgetter('at_s'))
    for run in runs:
        request = requests.get(run.request_id)
        if request is None or not run.leaving:
            continue
        told = run.engine, request.relay
        if request.sent_s > known_s.get(told, float('inf')) + DRAIN_LIMIT_S:
            if not observations.is_exempt(
                run.request_id, run.at_s, known_s[told]
            ):
                yield (
                    f'{run.request_id} ran at {run.engine}, although '
                    f'{request.relay} knew that it leaves'
                )
        if request.outcome is Outcome.complete:
            known_s[told] = min(
                known_s.get(told, float('inf')), request.ended_s
            )


def _requests_during_pauses(observations: Observations) -> Iterable[str]:
    """A relay leaves an engine alone for the time that it asked for."""
    counts = Counter(
        pause
        for relay, pause in _rejections_in_pauses(observations)
        if not observations.was_disturbed(relay, pause.at_s)
    )
    for pause, count in counts.items():
        if count > MAX_DURING_PAUSE:
            yield (
                f'{count} requests reached {pause.engine} in the pause that '
                f'it asked for at {pause.at_s:.2f}'
            )


def _rejections_in_pauses(
    observations: Observations,
) -> Iterable[tuple[str, Rejection]]:
    """Yield relay and pause of each request that came during a pause."""
    relays = {
        request.request_id: request.relay for request in observations.requests
    }
    pauses: dict[tuple[str, str], Rejection] = {}
    for rejection in sorted(observations.rejections, key=attrgetter('at_s')):
        relay = relays.get(rejection.request_id, '')
        pause = pauses.setdefault((rejection.engine, relay), rejection)
        passed_s = rejection.at_s - pause.at_s
        if passed_s >= pause.retry_after_s:
            pauses[rejection.engine, relay] = rejection
        elif relay and passed_s > PAUSE_SLACK_S:
            yield relay, pause


def _begun_for_gone_callers(observations: Observations) -> Iterable[str]:
    """An engine that was stopped begins little when it goes on."""
    left_s = {
        request.request_id: request.ended_s
        for request in observations.requests
        if request.outcome is Outcome.left
        and not observations.was_disturbed_within(
            request.relay, request.sent_s, request.ended_s
        )
    }
    ran = {run.request_id for run in observations.runs} & left_s.keys()
    late = {
        run.request_id
        for run in observations.runs
        if run.request_id in ran
        and run.at_s > left_s[run.request_id] + GONE_SLACK_S
    }
    if len(late) > max(MAX_GONE, GONE_SHARE * len(ran)):
        yield (
            f'engines began {len(late)} of {len(ran)} streams more than '
            f'{GONE_SLACK_S} s after their callers had left'
        )


def _not_recovered(observations: Observations) -> Iterable[str]:
    outcomes: defaultdict[bool, int] = defaultdict(int)
    for request in observations.requests:
        if (
            request.sent_s > observations.faults_ended_s
            and request.outcome is not Outcome.denied
        ):
            outcomes[request.outcome is Outcome.complete] += 1
    total = sum(outcomes.values())
    if total and outcomes[True] < RECOVERED_SHARE * total:
        yield f'after the faults {outcomes[True]} of {total} were served'
    if not total:
        yield 'no request was sent after the faults'
