"""What is known of the request rate that an upstream names in its answers."""

from collections.abc import Container
from dataclasses import dataclass
from typing import NamedTuple, final

NEVER_S = float('-inf')
# How long a limit is kept after its upstream is gone.
RETENTION_S = 120.0


class Incarnation(NamedTuple):
    """One run of an upstream.

    :ivar started_ms: its start, on its host's wall clock.
    """

    upstream_id: str
    started_ms: int


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


@final
class RateLimits:
    """Limits by incarnation."""

    def __init__(self) -> None:
        self.by_incarnation: dict[Incarnation, RateLimit] = {}

    def of(self, incarnation: Incarnation) -> RateLimit:
        """Return what is known, to be updated."""
        return self.by_incarnation.setdefault(incarnation, RateLimit())

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
