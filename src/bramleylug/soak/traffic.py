"""What the clients of a soak know and do while faults are injected."""

import time
from dataclasses import dataclass, field
from typing import NamedTuple, final

# Clients learn of a raised limit only after this time.
RAISE_DELAY_S = 6.0
# Clients reuse connections that were idle for up to this part of the limit.
REUSE_SHARE = 0.8


class IdleLimit(NamedTuple):
    """An idle limit that was published at a Unix time."""

    from_s: float
    limit_s: float


@final
@dataclass(slots=True)
class Traffic:
    """State that the fault injector changes and clients follow.

    :ivar harmful_faults: number of faults during which some clients send
        requests with a harmful part.
    :ivar host_pauses: number of faults that pause hosts of engines, during
        which clients leave streams that take long.
    :ivar idle_limits: published idle limits, the latest one last.
    """

    harmful_faults: int = 0
    host_pauses: int = 0
    idle_limits: list[IdleLimit] = field(default_factory=list)

    def publish_limit(self, limit_s: float) -> None:
        """Record an idle limit that is being published."""
        self.idle_limits.append(IdleLimit(time.time(), limit_s))

    def longest_idle_s(self, now_s: float) -> float:
        """Return how long a connection that is idle from now may be reused.

        :param now_s: Unix time.
        """
        known = [self.idle_limits[-1].limit_s]
        for limit, following in zip(
            self.idle_limits, self.idle_limits[1:], strict=False
        ):
            if following.from_s > now_s - RAISE_DELAY_S:
                known.append(limit.limit_s)
        return REUSE_SHARE * min(known)
