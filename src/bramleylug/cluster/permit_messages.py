"""Conversion between limits, permits and their protobuf messages."""

from dataclasses import dataclass
from typing import final

from bramleylug.cluster.rate_limit import Incarnation, RateLimitReport
from bramleylug.wire.beats_pb2 import NamedLimit, PermitMessage

MILLISECONDS = 1000
# Age of what a relay has never heard.
MAX_AGE_S = 86400.0


@final
@dataclass(frozen=True, slots=True)
class Ask:
    """A relay asks for a permit."""


@final
@dataclass(frozen=True, slots=True)
class Grant:
    """The issuer grants a permit."""


@final
@dataclass(frozen=True, slots=True)
class Defer:
    """The issuer will have a permit later, if the relay asks again."""

    wait_s: float


@final
@dataclass(frozen=True, slots=True)
class Return:
    """A relay has not used permits."""

    count: int


PermitNews = Ask | Grant | Defer | Return


def limit_to_message(
    incarnation: Incarnation, report: RateLimitReport
) -> NamedLimit:
    """Return the message for a limit."""
    message = NamedLimit(
        upstream_id=incarnation.upstream_id,
        started_ms=incarnation.started_ms,
        age_ms=round(min(MAX_AGE_S, report.age_s) * MILLISECONDS),
    )
    if report.per_s is not None:
        message.per_s = report.per_s
    return message


def limit_from_message(
    message: NamedLimit,
) -> tuple[Incarnation, RateLimitReport]:
    """Return the limit from a received message."""
    return (
        Incarnation(message.upstream_id, int(message.started_ms)),
        RateLimitReport(
            message.per_s if message.HasField('per_s') else None,
            message.age_ms / MILLISECONDS,
        ),
    )


def permit_to_message(limit: NamedLimit, news: PermitNews) -> PermitMessage:
    """Return the message for news about permits.

    :param limit: the limit as the sender knows it.
    """
    message = PermitMessage(limit=limit)
    match news:
        case Ask():
            message.ask = True
        case Grant():
            message.grant = True
        case Defer(wait_s):
            message.wait_ms = round(wait_s * MILLISECONDS)
        case Return(count):
            message.returned = count
    return message


def permit_from_message(message: PermitMessage) -> PermitNews | None:
    """Return the news; ``None`` if a later version sent some other kind."""
    match message.WhichOneof('news'):
        case 'ask':
            return Ask()
        case 'grant':
            return Grant()
        case 'wait_ms':
            return Defer(message.wait_ms / MILLISECONDS)
        case 'returned':
            return Return(int(message.returned))
    return None
