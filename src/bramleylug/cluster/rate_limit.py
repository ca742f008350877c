"""What is known of the request rate that an upstream names in its answers."""

from collections.abc import Container
from dataclasses import dataclass
from typing import NamedTuple, final

NEVER_S = float('-inf')
# How long a limit is kept after its upstream is gone.
RETENTION_S = 120.0
# Longest usual delay of what relays tell each other.
MAX_TELLING_DELAY_S = 0.25
# How long a change is included in heartbeats of a relay that learned of it.
TOLD_S = 1.0
# Limits in one heartbeat, which is read up to a size.
MAX_TOLD_LIMITS = 32


class Incarnation(NamedTuple):
    """One run of an upstream.

    :ivar started_ms: its start, on its host's wall clock.
    """

    upstream_id: str
    started_ms: int


class RateLimitReport(NamedTuple):
    """What a relay tells others of a limit.

    :ivar per_s: requests a second that the upstream takes from all relays
        together; ``None`` if the limit has ended.
    :ivar age_s: how long ago an answer named it, or, if it has ended, the
        request was sent whose answer named none.
    """

    per_s: float | None
    age_s: float


@final
@dataclass(slots=True)
class RateLimit:
    """The limit of one incarnation of an upstream.

    Answers arrive in another order than they were written. An answer without
    a limit proves that it has ended only if its request was sent after the
    last answer with one had arrived.

    :ivar per_s: requests a second that the upstream takes from all relays
        together; ``None`` without a limit.
    :ivar named_s: when the last answer that named it arrived.
    :ivar ended_s: when the last request was sent whose answer named none.
    :ivar changed_s: when this process learned of the last change.
    """

    per_s: float | None = None
    named_s: float = NEVER_S
    ended_s: float = NEVER_S
    changed_s: float = NEVER_S

    def record_named(self, per_s: float, named_s: float, now_s: float) -> bool:
        """Record that an answer named a limit; return whether it is new."""
        if named_s <= max(self.named_s, self.ended_s):
            return False
        self.named_s = named_s
        if per_s == self.per_s:
            return False
        self.per_s = per_s
        self.changed_s = now_s
        return True

    def record_unlimited(self, sent_s: float, now_s: float) -> bool:
        """Record an answer without a limit; return whether one has ended.

        :param sent_s: when the request of the answer was sent.
        """
        if self.per_s is None or sent_s <= self.named_s:
            return False
        self.per_s = None
        self.ended_s = sent_s
        self.changed_s = now_s
        return True

    def merge(self, report: RateLimitReport, now_s: float) -> bool:
        """Apply what another relay tells; return whether that is a change.

        Its delay makes it seem younger than it is. So an end counts as older,
        and the same limit is not renewed by being passed on.
        """
        at_s = now_s - report.age_s
        if report.per_s is None:
            return self.record_unlimited(at_s - MAX_TELLING_DELAY_S, now_s)
        if report.per_s == self.per_s:
            at_s -= MAX_TELLING_DELAY_S
        return self.record_named(report.per_s, at_s, now_s)

    def report(self, now_s: float) -> RateLimitReport:
        """Return what other relays are told."""
        at_s = self.ended_s if self.per_s is None else self.named_s
        return RateLimitReport(self.per_s, now_s - at_s)


@final
class RateLimits:
    """Limits by incarnation."""

    def __init__(self) -> None:
        self.by_incarnation: dict[Incarnation, RateLimit] = {}

    def of(self, incarnation: Incarnation) -> RateLimit:
        """Return what is known, to be updated."""
        return self.by_incarnation.setdefault(incarnation, RateLimit())

    def told(
        self, issued: Container[Incarnation], now_s: float
    ) -> list[tuple[Incarnation, RateLimitReport]]:
        """Return the limits that a heartbeat tells of, latest changes first.

        :param issued: incarnations whose permits this process issues.
        """
        told = [
            (incarnation, limit)
            for incarnation, limit in self.by_incarnation.items()
            if now_s - limit.changed_s < TOLD_S or incarnation in issued
        ]
        told.sort(key=_changed_s, reverse=True)
        return [
            (incarnation, limit.report(now_s))
            for incarnation, limit in told[:MAX_TOLD_LIMITS]
        ]

    def remove_expired(
        self, now_s: float, kept: Container[Incarnation]
    ) -> None:
        """Forget the limits of incarnations that have been gone for a while.

        :param kept: incarnations that are registered.
        """
        for incarnation, limit in tuple(self.by_incarnation.items()):
            is_old = now_s - limit.changed_s > RETENTION_S
            if is_old and incarnation not in kept:
                self.by_incarnation.pop(incarnation)


def _changed_s(entry: tuple[Incarnation, RateLimit]) -> float:
    return entry[1].changed_s
