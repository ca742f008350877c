"""Who holds the duties, and since when.

A claim is a key that is created only if it does not exist, under the lease of
the process (Gray and Cheriton, *Leases*, 1989). The revision of its creation
is the fencing token: it rises with every holder.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple, final

from bramleylug.routing.rendezvous import rank
from bramleylug.store.changes import StoreItem
from bramleylug.store.presence import HeldLease

# Time of one call to the service, with its connection.
CALL_LIMIT_S = 1.0
# A holder makes no call that could go on until this long before the end of its
# lease.
LEASE_MARGIN_S = 0.4
# Beyond the time in which the same relays may not take turns.
REST_MARGIN_S = 0.5
# Each further candidate waits this much longer for those before it.
TURN_S = 0.5
RETRY_S = 1.0
# Revisions of one era of the store; a later era begins above all of them.
REVISION_BITS = 40
RANK_KEY = 'duties'


@final
class Claim(NamedTuple):
    """The claim in the store.

    :ivar run: number that is the holder's own as long as it runs.
    """

    holder: str
    run: int


@final
class Term(NamedTuple):
    """The time in which this process holds the duties.

    :ivar revision: store revision of its claim.
    """

    token: int
    revision: int
    lease_id: int
    era: int
    since_s: float

    def may_call(self, held: HeldLease, now_s: float) -> bool:
        """Return whether a call that begins now ends within the lease."""
        if self.is_over(held):
            return False
        return now_s + CALL_LIMIT_S + LEASE_MARGIN_S <= held.ends_s

    def is_over(self, held: HeldLease) -> bool:
        """Return whether the lease of the claim has been replaced."""
        return (self.lease_id, self.era) != (held.lease_id, held.era)


def token_of(era: int, revision: int) -> int:
    """Return the fencing token of a claim.

    After the store came back from an older copy, it gives out revisions again.
    """
    return (era << REVISION_BITS) + revision


def encode_claim(claim: Claim) -> bytes:
    return json.dumps(claim._asdict()).encode()


def decode_claim(value: bytes) -> Claim | None:
    """Return the claim; ``None`` if the value is none."""
    try:
        document = json.loads(value)
        return Claim(str(document['holder']), int(document['run']))
    except (ValueError, LookupError, TypeError):
        return None


def place_of(name: str, others: Iterable[str]) -> int:
    """Return the place of a relay among the candidates, from 0."""
    return rank(RANK_KEY, {name, *others}).index(name)


@final
@dataclass(slots=True)
class Candidacy:
    """Decides when this process claims the duties.

    The relays take turns by rank, so that few of them call the store. A
    process rests after its start, when it may have held the duties before,
    and after its own term.

    :param rest_s: duration of the rest.
    :ivar absent_since_s: when the claim was found missing; ``None`` while
        there is one.
    """

    rest_s: float
    rests_until_s: float
    absent_since_s: float | None = None

    @classmethod
    def from_start(cls, lease_s: float, now_s: float) -> 'Candidacy':
        rest_s = lease_s + REST_MARGIN_S
        return cls(rest_s, now_s + rest_s)

    def observe(self, now_s: float, *, claimed: bool) -> None:
        """Record whether the store holds a claim."""
        if claimed:
            self.absent_since_s = None
        elif self.absent_since_s is None:
            self.absent_since_s = now_s

    def is_due(self, place: int, now_s: float) -> bool:
        """Return whether to claim now.

        :param place: of this process among the candidates.
        """
        if self.absent_since_s is None or now_s < self.rests_until_s:
            return False
        return now_s >= self.absent_since_s + place * TURN_S

    def postpone(self, now_s: float) -> None:
        """Record that a claim failed."""
        self.rests_until_s = max(self.rests_until_s, now_s + RETRY_S)

    def rest(self, now_s: float, longer_s: float = 0) -> None:
        """Record that a term ended."""
        self.rests_until_s = now_s + self.rest_s + longer_s


def own_term(
    item: StoreItem | None, claim: Claim, held: HeldLease, now_s: float
) -> Term | None:
    """Return the term if a stored claim is this process's own.

    The answer to the call that made it may have been lost.

    :param item: the stored claim.
    :param claim: that of this process.
    """
    if item is None or item.lease_id != held.lease_id:
        return None
    if decode_claim(item.value) != claim:
        return None
    token = token_of(held.era, item.revision)
    return Term(token, item.revision, held.lease_id, held.era, now_s)
