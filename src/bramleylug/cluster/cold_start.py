"""Shares of the rate that a cold upstream takes from all relays together."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple, final

from bramleylug.routing.rendezvous import rank

# Part of the allowed overshoot that relays use for bursts; the rest covers
# requests that were delayed on their way, and relays that know other peers.
BURST_SHARE = 0.5


class ColdLimit(NamedTuple):
    """What an upstream takes while it is cold.

    :ivar per_s: requests a second.
    :ivar spare: requests that it takes beyond these in any second.
    """

    per_s: float
    spare: float


@final
@dataclass(slots=True)
class ColdStart:
    """Token bucket for the requests that this process sends a cold upstream.

    :ivar per_s: this process's share of the rate that the upstream can
        take.
    :ivar burst: requests that may be sent at one moment.
    """

    per_s: float
    burst: float
    tokens: float = 0
    filled_s: float = float('-inf')

    @classmethod
    def from_limit(
        cls, limit: ColdLimit, holders: int, now_s: float
    ) -> 'ColdStart':
        """Return the bucket of one of several holders, with one token."""
        burst = max(1.0, BURST_SHARE * limit.spare / holders)
        return cls(limit.per_s / holders, burst, tokens=1.0, filled_s=now_s)

    def consume(self, now_s: float) -> bool:
        """Consume a token for one request; return whether there was one."""
        passed_s = now_s - self.filled_s
        self.filled_s = now_s
        self.tokens = min(self.burst, self.tokens + passed_s * self.per_s)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def can_consume(self, now_s: float) -> bool:
        """Return whether a token is available for one request."""
        grown = self.tokens + (now_s - self.filled_s) * self.per_s
        return min(self.burst, grown) >= 1


# Of a relay that is no holder.
NO_SHARE = ColdStart(per_s=0, burst=0, filled_s=0)


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
