"""Checks what must not suffer from engines and limits that misbehave."""

from collections.abc import Iterable

from bramleylug.soak.fault_schedule import Kind
from bramleylug.soak.observations import (
    STABLE_RELAY_S,
    Observations,
    Outcome,
    RequestRecord,
)

# Crashes of engines under one part of a prompt until it has to be refused,
# the time that this may take, and the requests that may still arrive later.
TOLERATED_CRASHES = 5
REFUSAL_LIMIT_S = 3.0
MAX_LATE_HARMFUL_RUNS = 3
# Time after those crashes at which sound requests have to be served again.
SOUND_LIMIT_S = 6.0
SOUND_SHARE = 0.9
# A configuration may close connections for this long after its publication.
CONFIGURATION_S = 6.0
# A fault may still end requests this long after its end.
AFTERMATH_S = 8.0
# Kinds of faults during which every request must be served.
HARMLESS_KINDS = frozenset(
    (
        Kind.relay_reloaded,
        Kind.loader_paused,
        Kind.loader_killed,
        Kind.origin_paused,
        Kind.config_changed,
        Kind.zone_out,
        Kind.silence,
        Kind.unframed,
        Kind.idle_limit,
        Kind.crowd,
    )
)


def find_trouble_violations(observations: Observations) -> list[str]:
    """Return a description of every violation around engines in trouble."""
    return [
        *_late_harmful_runs(observations),
        *_sound_not_served(observations),
        *_failed_without_cause(observations),
        *_unanswered(observations),
        *_silent_pages(observations),
    ]


def _late_harmful_runs(observations: Observations) -> Iterable[str]:
    """A part that crashed several engines is sent to no further one."""
    crashed_s = _last_tolerated_crash_s(observations)
    late = [
        run
        for run in observations.harmful_runs
        if run.at_s > crashed_s + REFUSAL_LIMIT_S
        and not observations.is_exempt(run.request_id, run.at_s, crashed_s)
    ]
    if len(late) > MAX_LATE_HARMFUL_RUNS:
        yield (
            f'{len(late)} requests with a harmful part reached engines '
            f'more than {REFUSAL_LIMIT_S} s after crash {TOLERATED_CRASHES}'
        )


def _sound_not_served(observations: Observations) -> Iterable[str]:
    """Sound requests share caller and first part with the harmful ones."""
    since_s = _last_tolerated_crash_s(observations) + SOUND_LIMIT_S
    sound = [
        request
        for request in observations.requests
        if request.sent_s > since_s
        and not request.harmful
        and request.outcome is not Outcome.denied
        and _suffers_only(
            observations, request, HARMLESS_KINDS | {Kind.harmful_part}
        )
    ]
    served = sum(request.outcome is Outcome.complete for request in sound)
    if served < SOUND_SHARE * len(sound):
        yield (
            f'{served} of {len(sound)} sound requests were served later than '
            f'{SOUND_LIMIT_S} s after crash {TOLERATED_CRASHES}'
        )


def _failed_without_cause(observations: Observations) -> Iterable[str]:
    """Silence, missing framing and configurations end no request."""
    first_fault_s = min(
        (fault.from_s for fault in observations.faults), default=float('inf')
    )
    for request in observations.requests:
        if (
            request.outcome is Outcome.failed
            and request.sent_s > first_fault_s
            and _suffers_only(observations, request, HARMLESS_KINDS)
        ):
            lasted_s = request.ended_s - request.sent_s
            yield (
                f'{request.request_id} failed at {request.relay} after '
                f'{lasted_s:.2f} s, although no fault explains it'
            )


def _unanswered(observations: Observations) -> Iterable[str]:
    """A request that was read gets an answer or a refusal."""
    for lost in observations.unanswered:
        changes_s = [
            lost.at_s - published_s
            for published_s in observations.configurations_s
            if 0 < lost.at_s - published_s < CONFIGURATION_S
        ]
        if changes_s and not observations.was_disturbed(
            lost.relay, lost.at_s - STABLE_RELAY_S
        ):
            yield (
                f'{lost.request_id} was read by {lost.relay} and not '
                f'answered, {min(changes_s):.2f} s after a configuration'
            )


def _silent_pages(observations: Observations) -> Iterable[str]:
    """Readiness and directory answer, however many connections there are."""
    for silent in observations.silent_pages:
        if not observations.was_disturbed_within(
            silent.relay, silent.from_s, silent.until_s
        ):
            yield (
                f'{silent.page} of {silent.relay} did not answer beside very '
                'many connections'
            )


def _last_tolerated_crash_s(observations: Observations) -> float:
    """Return when the part had to be known as harmful; else infinity."""
    crashes_s = sorted(observations.crashes_s)
    if len(crashes_s) < TOLERATED_CRASHES:
        return float('inf')
    return crashes_s[TOLERATED_CRASHES - 1]


def _suffers_only(
    observations: Observations, request: RequestRecord, kinds: frozenset[Kind]
) -> bool:
    """Return whether all faults that may affect a request are of some kinds."""
    names = {kind.name for kind in kinds}
    return all(
        fault.name in names
        for fault in observations.faults
        if fault.from_s < request.ended_s
        and request.sent_s < fault.until_s + AFTERMATH_S
    )
