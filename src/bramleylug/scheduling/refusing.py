"""When refused callers return, and how they are known then.

Load that it answers: for seconds, a service is asked for more than it can
run. Callers honour the time to return that they are told, and retry once.
Callers that were all told the same time would return together and be refused
again.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import fmod
from typing import NamedTuple, final

from bramleylug.scheduling.levels import Prospect
from bramleylug.scheduling.waiting import NOT_CLOSED_S

# Callers wait at most this part of the time that they have left.
LONGEST_SHARE = 1 / 3
# Shortest time until a return: the caller connects to another relay first.
MIN_RETURN_S = 0.2
# Bounds of the time to return where no level leaves room to others.
MIN_PLAIN_S = 0.5
MAX_PLAIN_S = 2.0
# Part of a relay's slots that returning callers get; the others are for new
# requests of equal urgency.
RETURN_SHARE = 0.5
# A caller that returns up to this much too early is known, too.
EARLY_S = 0.1
# How long after its time a caller is known.
KNOWN_S = 2.0
# Callers that are known at most; the oldest are forgotten.
MAX_KNOWN = 4096
# How long a relay tells others of a caller that it refused, and of how many:
# heartbeats reach relays of other regions in turn.
ANNOUNCED_S = 1.5
MAX_ANNOUNCED = 32
# Longest time to return that is believed of another relay.
LONGEST_RETURN_S = 10.0
NEVER_S = float('-inf')
# Fractional part of the golden ratio: its multiples spread evenly.
GOLDEN = 0.618034


class Refused(NamedTuple):
    """A request that is refused.

    :ivar fingerprint: the same whenever it is sent again.
    :ivar left_s: time until its caller gives up.
    """

    fingerprint: bytes
    urgency: int
    left_s: float


def plain_retry_s(
    prospect: Prospect | None, now_s: float, closed_until_s: float
) -> float:
    """Return after what time to return where no level leaves room to others.

    That is about the time in which this relay's queue empties.
    """
    if closed_until_s > now_s:
        return min(MAX_PLAIN_S, closed_until_s - now_s)
    wait_s = 0.0 if prospect is None else prospect.wait_s
    return min(MAX_PLAIN_S, max(MIN_PLAIN_S, wait_s))


class ToldReturn(NamedTuple):
    """When a refused caller was told to return.

    :ivar told_s: when it was refused.
    """

    at_s: float
    told_s: float


@final
class KnownReturns:
    """Callers that were told to return, by this relay or by another one.

    :ivar told: by fingerprint, the oldest first.
    """

    def __init__(self) -> None:
        self.told: dict[bytes, ToldReturn] = {}

    def record(self, fingerprint: bytes, told: ToldReturn) -> None:
        """Record when a caller was told to return."""
        self.told.pop(fingerprint, None)
        self.told[fingerprint] = told
        if len(self.told) > MAX_KNOWN:
            self.told.pop(next(iter(self.told)))

    def record_told(self, returns: Mapping[bytes, float], now_s: float) -> None:
        """Record what another relay has told its callers.

        :param returns: by fingerprint, the seconds after which they return.
        """
        for fingerprint, after_s in returns.items():
            known = self.told.get(fingerprint)
            if known is None or known.at_s < now_s:
                at_s = now_s + min(after_s, LONGEST_RETURN_S)
                self.record(fingerprint, ToldReturn(at_s, NEVER_S))

    def recent(self, now_s: float) -> dict[bytes, float]:
        """Return after what time callers return that this relay refused.

        Only those of whom other relays may not have heard yet.
        """
        recent = [
            (fingerprint, max(0, told.at_s - now_s))
            for fingerprint, told in self.told.items()
            if now_s - told.told_s < ANNOUNCED_S
        ]
        return dict(recent[-MAX_ANNOUNCED:])

    def recognize(self, fingerprint: bytes, now_s: float) -> bool:
        """Return whether a caller returns as it was told, once."""
        told = self.told.get(fingerprint)
        if told is None or now_s < told.at_s - EARLY_S:
            return False
        self.told.pop(fingerprint)
        return now_s - told.at_s < KNOWN_S


@final
@dataclass(slots=True)
class ReturnTimes:
    """Times at which refused callers of one service are told to return.

    Each gets the next time at which a slot is left for it, so they come as the
    room does. Where it would come too late for a caller, its time is spread
    over the last half of what it waits.

    :ivar known: callers that were told.
    :ivar next_s: by urgency, the next time that is still free.
    """

    known: KnownReturns = field(default_factory=KnownReturns)
    next_s: dict[int, float] = field(default_factory=dict)
    spread: float = 0

    def retry_after_s(
        self,
        refused: Refused,
        prospect: Prospect | None,
        now_s: float,
        closed_until_s: float = NOT_CLOSED_S,
    ) -> float:
        """Return after what time a refused caller should return.

        :param prospect: how soon this relay had a slot for it; ``None`` if
            that is unknown.
        :param closed_until_s: when the first upstream takes requests again.
        """
        at_s = self._time_of(refused, prospect, now_s, closed_until_s)
        self.known.record(refused.fingerprint, ToldReturn(at_s, now_s))
        return at_s - now_s

    def _time_of(
        self,
        refused: Refused,
        prospect: Prospect | None,
        now_s: float,
        closed_until_s: float,
    ) -> float:
        longest_s = max(MIN_RETURN_S, refused.left_s * LONGEST_SHARE)
        earliest_s = max(now_s + MIN_RETURN_S, closed_until_s)
        if prospect is not None and prospect.per_s > 0:
            earliest_s = max(earliest_s, now_s + prospect.wait_s)
        at_s = max(earliest_s, self.next_s.get(refused.urgency, 0))
        if at_s > now_s + longest_s:
            self.spread = fmod(self.spread + GOLDEN, 1)
            return now_s + longest_s * (1 + self.spread) / 2
        if prospect is None or prospect.per_s <= 0:
            per_s = 1 / longest_s
        else:
            per_s = prospect.per_s * RETURN_SHARE
        self.next_s[refused.urgency] = at_s + 1 / per_s
        return at_s
