"""What became of one request, as a tagged outcome."""

from dataclasses import dataclass
from enum import StrEnum, unique
from typing import final


@final
@unique
class Reason(StrEnum):
    """Why a request was refused or its answer broken off.

    The catalogue in docs/PROTOCOLS.md says what a caller does next.
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
    upstream_failed = 'upstream_failed'
    upstream_crashed = 'upstream_crashed'
    answer_cut = 'answer_cut'
    slow_reader = 'slow_reader'
    store_unavailable = 'store_unavailable'
    already_ran = 'already_ran'
    key_conflict = 'key_conflict'
    ticket_void = 'ticket_void'
    crash_suspect = 'crash_suspect'
    internal = 'internal'


@final
@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was refused before any byte reached an upstream.

    :ivar retry_after_s: seconds until a try may succeed; 0 when another
        address may serve now.
    :ivar elsewhere: addresses, ``host:port``, that may serve instead.
    """

    reason: Reason
    message: str = ''
    retry_after_s: float = 0
    elsewhere: tuple[str, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run."""

    reason: Reason
    message: str = ''


@final
@dataclass(frozen=True, slots=True)
class Ran:
    """The upstream ran the request.

    :ivar complete: whether the whole answer was passed on.
    :ivar status: the upstream's HTTP status; 0 when it was not seen.
    """

    status: int
    complete: bool = True
    reason: Reason | None = None
    message: str = ''


Outcome = NotRun | Unknown | Ran


def run_name(outcome: Outcome) -> str:
    """Return the word for the ``run`` field of caller errors."""
    match outcome:
        case NotRun():
            return 'not_run'
        case Unknown():
            return 'unknown'
        case Ran():
            return 'ran'
