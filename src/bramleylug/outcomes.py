"""Result of a request: not run, run, or unknown whether it ran."""

from dataclasses import dataclass
from enum import StrEnum, unique
from typing import final


@final
@unique
class Reason(StrEnum):
    """Why a request was refused or its answer is incomplete.

    docs/PROTOCOLS.md states for each reason what a client should do.
    """

    unknown_service = 'unknown_service'
    bad_request = 'bad_request'
    too_large = 'too_large'
    bad_key = 'bad_key'
    overloaded = 'overloaded'
    queue_full = 'queue_full'
    deadline = 'deadline'
    zone_out = 'zone_out'
    leaving = 'leaving'
    not_ready = 'not_ready'
    weights_incomplete = 'weights_incomplete'
    wrong_version = 'wrong_version'
    no_upstream = 'no_upstream'
    connection_failed = 'connection_failed'
    outdated_choice = 'outdated_choice'
    upstream_failed = 'upstream_failed'
    upstream_crashed = 'upstream_crashed'
    answer_cut = 'answer_cut'
    slow_reader = 'slow_reader'
    store_unavailable = 'store_unavailable'
    already_ran = 'already_ran'
    key_conflict = 'key_conflict'
    ticket_void = 'ticket_void'
    crash_suspect = 'crash_suspect'
    out_of_connections = 'out_of_connections'
    internal = 'internal'


@final
@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was refused before any byte reached an upstream.

    :ivar retry_after_s: seconds until another attempt may succeed; 0 if
        another address may serve the request now.
    :ivar elsewhere: other addresses, ``host:port``, that may serve it.
    """

    reason: Reason
    message: str = ''
    retry_after_s: float = 0
    elsewhere: tuple[str, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class Unknown:
    """It is not known whether the request ran."""

    reason: Reason
    message: str = ''


@final
@dataclass(frozen=True, slots=True)
class Ran:
    """The upstream ran the request.

    :ivar complete: whether all of the answer was forwarded.
    :ivar status: HTTP status of the upstream; 0 if it is not known.
    """

    status: int
    complete: bool = True
    reason: Reason | None = None
    message: str = ''


Outcome = NotRun | Unknown | Ran


def run_name(outcome: Outcome) -> str:
    """Return the value of the ``run`` field in error responses."""
    match outcome:
        case NotRun():
            return 'not_run'
        case Unknown():
            return 'unknown'
        case Ran():
            return 'ran'
