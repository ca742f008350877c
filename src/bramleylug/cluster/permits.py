"""Permits for requests to an upstream that names a rate limit.

One relay issues all permits of an upstream from a token bucket, so that its
limit holds however many relays send to it. Relays ask when they have requests
for it; permits that are not used soon go back. Limits that are kept by shares
or by counts told late do not add up when the limit feeds fewer requests a
second than there are relays (Raghavan et al., *Cloud Control with Distributed
Rate Limiting*, 2007).
"""

from collections import deque
from dataclasses import dataclass, field
from typing import final

NEVER_S = float('-inf')
# How long a relay may use a permit after it arrived.
PERMIT_TTL_S = 0.25
# How long an ask waits at the issuer unless it is repeated.
ASK_TTL_S = 1.5
MIN_ASK_INTERVAL_S = 0.25
MAX_ASK_INTERVAL_S = 1.0
# Requests that an idle bucket may hold, in seconds of the limit and at least.
BURST_S = 0.25
MIN_BURST = 2.0
# The end of a limit shows in answers only: an upstream with a lower limit
# still gets one request in this time.
RECHECK_INTERVAL_S = 2.0


@final
@dataclass(slots=True)
class PermitBucket:
    """Token bucket of the relay that issues the permits of an upstream.

    It begins with what a predecessor under demand has left on average, since
    that may just have emptied its own.

    :ivar per_s: permits a second.
    :ivar waiting: relays that ask, in their order, and when an ask expires.
    """

    per_s: float
    filled_s: float
    tokens: float = 0.5
    waiting: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_limit(cls, limit_per_s: float, now_s: float) -> 'PermitBucket':
        return cls(_issued_per_s(limit_per_s), now_s)

    def set_limit(self, limit_per_s: float, now_s: float) -> None:
        """Apply a changed limit; what was collected before is kept."""
        self._fill(now_s)
        self.per_s = _issued_per_s(limit_per_s)

    def ask(self, relay: str, now_s: float) -> None:
        """Queue a relay; one that waits already keeps its place."""
        self.waiting[relay] = now_s + ASK_TTL_S

    def issue(self, now_s: float) -> list[str]:
        """Return the relays that get a permit now."""
        self._fill(now_s)
        granted: list[str] = []
        for relay, expires_s in tuple(self.waiting.items()):
            if self.tokens < 1:
                break
            self.waiting.pop(relay)
            if now_s < expires_s:
                self.tokens -= 1
                granted.append(relay)
        return granted

    def take_back(self, count: int, now_s: float) -> None:
        """Reuse permits that a relay has not used."""
        self._fill(now_s)
        self.tokens = min(self._burst(), self.tokens + count)

    def wait_s(self, relay: str, now_s: float) -> float:
        """Return when a waiting relay will get its permit, from now."""
        self._fill(now_s)
        place = list(self.waiting).index(relay) + 1
        return max(0.0, (place - self.tokens) / self.per_s)

    def _fill(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self.filled_s)
        self.filled_s = now_s
        self.tokens = min(self._burst(), self.tokens + passed_s * self.per_s)

    def _burst(self) -> float:
        return max(MIN_BURST, self.per_s * BURST_S)


@final
@dataclass(slots=True)
class HeldPermits:
    """Permits of one relay for one upstream.

    :ivar expiries: when each permit expires, in the order of their arrival.
    :ivar ask_again_s: when the relay may ask again.
    :ivar expected_s: before this time none will come, as the issuer says;
        in the past if that is not known.
    :ivar issuer: who was asked last.
    :ivar is_answered: whether it has answered.
    """

    expiries: deque[float] = field(default_factory=deque)
    ask_again_s: float = NEVER_S
    expected_s: float = NEVER_S
    issuer: str = ''
    is_answered: bool = True

    def count(self, now_s: float) -> int:
        """Return how many permits can be used now."""
        return sum(now_s < expires_s for expires_s in self.expiries)

    def use(self, now_s: float) -> bool:
        """Use the permit that expires first; return whether there is one."""
        for place, expires_s in enumerate(self.expiries):
            if now_s < expires_s:
                del self.expiries[place]  # noqa: WPS420
                return True
        return False

    def may_ask(self, issuer: str | None, now_s: float) -> bool:
        """Return whether the current issuer may be asked."""
        if self.count(now_s):
            return False
        return now_s >= self.ask_again_s or issuer != self.issuer

    def record_ask(self, issuer: str, now_s: float) -> None:
        """Record that the issuer is asked now."""
        if issuer != self.issuer:
            self.issuer = issuer
            self.expected_s = NEVER_S
        elif not self.is_answered:
            # It may be down; others notice that within some seconds.
            self.expected_s = now_s + MAX_ASK_INTERVAL_S
        self.is_answered = False
        self.ask_again_s = now_s + MIN_ASK_INTERVAL_S

    def grant(self, now_s: float) -> None:
        """Add a permit."""
        self.is_answered = True
        self.expiries.append(now_s + PERMIT_TTL_S)
        self.ask_again_s = NEVER_S
        self.expected_s = NEVER_S

    def defer(self, wait_s: float, now_s: float) -> None:
        """Record that the issuer will have a permit after a time."""
        self.is_answered = True
        self.expected_s = now_s + wait_s
        pause_s = min(MAX_ASK_INTERVAL_S, max(MIN_ASK_INTERVAL_S, wait_s / 2))
        self.ask_again_s = now_s + pause_s

    def drop_expired(self, now_s: float) -> int:
        """Drop expired permits; return how many there were."""
        kept = deque(one for one in self.expiries if now_s < one)
        dropped = len(self.expiries) - len(kept)
        self.expiries = kept
        return dropped


def _issued_per_s(limit_per_s: float) -> float:
    return max(limit_per_s, 1 / RECHECK_INTERVAL_S)
