"""Shares of the rate that a cold upstream takes from all relays together."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import isinf
from typing import NamedTuple, final

from bramleylug.routing.rendezvous import rank

# Part of the allowed overshoot that relays use for bursts; the rest covers
# requests that were delayed on their way, and relays that know other peers.
BURST_SHARE = 0.5
# Relays, and what they hear of each other, change less often than this.
SHARE_TTL_S = 0.1


class ColdLimit(NamedTuple):
    """What an upstream takes while it is cold.

    :ivar per_s: requests a second.
    :ivar spare: requests that it takes beyond these in any second.
    """

    per_s: float
    spare: float


class ColdShare(NamedTuple):
    """What one relay may send a cold upstream.

    :ivar per_s: requests a second.
    :ivar burst: requests at one moment.
    """

    per_s: float
    burst: float

    @classmethod
    def from_limit(
        cls, limit: ColdLimit, holders: int, part: float = 1.0
    ) -> 'ColdShare':
        """Return the share of one of several holders.

        :param part: part of its share that the holder may use.
        """
        burst = max(1.0, BURST_SHARE * limit.spare / holders)
        return cls(part * limit.per_s / holders, burst)


# Of a relay that is no holder, or can't know whether it is one.
NO_SHARE = ColdShare(per_s=0, burst=0)
# Of an upstream whose service has no cold start.
UNLIMITED = ColdShare(per_s=0, burst=float('inf'))


@final
@dataclass(slots=True)
class ColdStart:
    """Token bucket for the requests that this process sends a cold upstream.

    :ivar per_s: this process's share of the rate that the upstream can
        take.
    :ivar burst: requests that may be sent at one moment.
    :ivar find_share: returns the share at a time; it is asked again after
        :data:`SHARE_TTL_S`. The share does not change without it.
    """

    per_s: float
    burst: float
    tokens: float = 0
    filled_s: float = float('-inf')
    find_share: Callable[[float], ColdShare] | None = None
    checked_s: float = float('-inf')

    @classmethod
    def from_share(
        cls, find_share: Callable[[float], ColdShare], now_s: float
    ) -> 'ColdStart':
        """Return the bucket of a relay; that of a holder has one token."""
        share = find_share(now_s)
        return cls(
            *share,
            tokens=min(1.0, share.burst),
            filled_s=now_s,
            find_share=find_share,
            checked_s=now_s,
        )

    def consume(self, now_s: float) -> bool:
        """Consume a token for one request; return whether there was one."""
        if not self.can_consume(now_s):
            return False
        self.tokens = max(0.0, self.tokens - 1)
        return True

    def can_consume(self, now_s: float) -> bool:
        """Return whether a token is available for one request."""
        self._fill(now_s)
        return self.tokens >= 1 or isinf(self.burst)

    def empty(self, now_s: float) -> None:
        """Let requests wait until tokens have been added from now on."""
        self._fill(now_s)
        self.tokens = min(0.0, self.tokens)

    def _fill(self, now_s: float) -> None:
        """Add what the share has allowed since the last call.

        A relay that becomes a holder begins without a token: the one before
        it may just have used its own.
        """
        passed_s = max(0.0, now_s - self.filled_s)
        self.filled_s = now_s
        if self.per_s:
            self.tokens += passed_s * self.per_s
        if self.find_share is not None:
            if now_s - self.checked_s >= SHARE_TTL_S:
                self.checked_s = now_s
                share = self.find_share(now_s)
                self.per_s = share.per_s
                self.burst = share.burst
        self.tokens = min(self.burst, self.tokens)


def select_holders(
    upstream_id: str, near: Iterable[str], far: Iterable[str], limit: ColdLimit
) -> list[str]:
    """Return the relays that may send to a cold upstream.

    Each begins with a token, so that there are no more of them than the burst
    that all may send at one moment.

    :param near: relays in the region of the upstream, which come first.
    """
    count = max(1, int(BURST_SHARE * limit.spare))
    return [*rank(upstream_id, near), *rank(upstream_id, far)][:count]
