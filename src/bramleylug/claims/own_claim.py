"""Claims made by this agent incarnation, and their progress."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import final

from bramleylug.claims.actions import ClaimRequest
from bramleylug.claims.document import Claim, ShardDocument


@final
@unique
class Phase(Enum):
    """Progress of an own claim.

    ``wanted``: not seen in the store yet; ``held``: stored, may run;
    ``done``: a result is known; ``abandoned``: given up, to be removed.
    """

    wanted = 'wanted'
    held = 'held'
    done = 'done'
    abandoned = 'abandoned'


@final
@dataclass(slots=True)
class OwnClaim:
    """A claim of this incarnation and its progress.

    :ivar claim_request: the request that made the claim.
    """

    claim_request: ClaimRequest
    claim: Claim
    phase: Phase = Phase.wanted

    def is_stored(self, document: ShardDocument) -> bool:
        """Return whether the store holds this attempt's claim of the key."""
        return self.find_stored(document) is not None

    def find_stored(self, document: ShardDocument) -> Claim | None:
        """Return this attempt's claim as stored, if it is."""
        found = document.claims.get(self.claim.key)
        if found is None or found.claim_id != self.claim.claim_id:
            return None
        return found

    def needs_write(self, document: ShardDocument) -> bool:
        """Return whether a write would change the store to match this claim."""
        found = self.find_stored(document)
        if self.phase is Phase.abandoned:
            return found is not None
        if found is None:
            return self.claim.key not in document.claims
        return found.state != self.claim.state

    def merge_into(self, claims: dict[bytes, Claim]) -> None:
        """Add, update or remove this claim among a shard's claims.

        A claim of another attempt is never overwritten.
        """
        found = claims.get(self.claim.key)
        is_own = found is not None and found.claim_id == self.claim.claim_id
        if self.phase is Phase.abandoned:
            if is_own:
                claims.pop(self.claim.key)
        elif found is None or is_own:
            claims[self.claim.key] = self.claim
