"""Claims that this agent incarnation alone may run."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import final

from bramleylug.claims.actions import ClaimRequest
from bramleylug.claims.document import Claim, ShardDocument


@final
@unique
class Phase(Enum):
    """Where an own claim stands."""

    wanted = 'wanted'
    held = 'held'
    done = 'done'
    abandoned = 'abandoned'


@final
@dataclass(slots=True)
class OwnClaim:
    """A claim and how far it got.

    :ivar ask: the request that made it.
    """

    ask: ClaimRequest
    claim: Claim
    phase: Phase = Phase.wanted

    def is_stored(self, document: ShardDocument) -> bool:
        """Tell whether the store holds this very claim."""
        return self.stored(document) is not None

    def stored(self, document: ShardDocument) -> Claim | None:
        """Return this very claim as the store holds it."""
        found = document.claims.get(self.claim.key)
        if found is None or found.claim_id != self.claim.claim_id:
            return None
        return found

    def needs_write(self, document: ShardDocument) -> bool:
        """Tell whether the store is to learn of the claim's phase."""
        found = self.stored(document)
        if self.phase is Phase.abandoned:
            return found is not None
        if found is None:
            return self.claim.key not in document.claims
        return found.state != self.claim.state

    def merge_into(self, claims: dict[bytes, Claim]) -> None:
        """Put the claim as it should be among a shard's claims."""
        found = claims.get(self.claim.key)
        mine = found is not None and found.claim_id == self.claim.claim_id
        if self.phase is Phase.abandoned:
            if mine:
                claims.pop(self.claim.key)
        elif found is None or mine:
            claims[self.claim.key] = self.claim
