"""Claims of one shard as one agent incarnation knows them."""

from typing import final

from bramleylug.claims.actions import (
    Action,
    ClaimOutcome,
    ClaimRequest,
    Instant,
    Run,
    Settle,
)
from bramleylug.claims.claim_outcomes import (
    key_conflict,
    outcome_of,
    store_refusal,
)
from bramleylug.claims.document import (
    SHARD_LIMIT_BYTES,
    Claim,
    ShardDocument,
)
from bramleylug.claims.own_claim import OwnClaim, Phase
from bramleylug.claims.pace import MAX_BACKOFF_S, StorePace
from bramleylug.claims.waiting_resends import WaitingResends
from bramleylug.outcomes import NotRun, Reason

PRUNE_INTERVAL_S = 60.0
RETRY_AFTER_S = 1.0


@final
class ClaimTable:
    """Own claims, the last known stored shard, and waiting resends.

    An own claim is one made by this incarnation; it alone may run it.

    :ivar document: the shard as last seen in the store.
    :ivar own: own claims by key.
    :ivar dirty: keys whose own claim has to be written to the store.
    :ivar restoring: whether the store was rolled back to an older shard and
        the own claims have not been written again yet.
    """

    def __init__(self, holder: str, pace: StorePace) -> None:
        self.holder = holder
        self.pace = pace
        self.document = ShardDocument()
        self.own: dict[bytes, OwnClaim] = {}
        self.dirty: set[bytes] = set()
        self.resends = WaitingResends()
        self.restoring = False

    def request_claim(
        self, claim_request: ClaimRequest, now: Instant
    ) -> list[Action]:
        """Queue a new key for writing, or answer from what is known of it."""
        own = self.own.get(claim_request.key)
        known = self.document.claims.get(claim_request.key)
        if own is not None and own.phase is not Phase.done:
            return self.wait_for_own(own, claim_request, now)
        if own is not None and claim_request.key in self.dirty:
            return self.answer_from_claim(own.claim, claim_request, now)
        if known is not None:
            return self.answer_from_claim(known, claim_request, now)
        return self.add_claim(claim_request, now)

    def find_result(
        self, key: bytes, fingerprint: bytes
    ) -> ClaimOutcome | None:
        """Return the outcome for a resend, or ``None`` without a result."""
        own = self.own.get(key)
        known = self.document.claims.get(key)
        if own is not None and key in self.dirty:
            known = own.claim
        if known is None or known.held:
            return None
        if known.fingerprint != fingerprint:
            return key_conflict()
        return outcome_of(known)

    def apply_document(
        self, document: ShardDocument, now: Instant
    ) -> list[Action]:
        """Replace the stored shard and decide what depends on it."""
        self.document = document
        actions: list[Action] = []
        for key in tuple(self.dirty):
            own = self.own[key]
            if own.phase is Phase.wanted:
                actions += self._resolve(own, now)
            else:
                self.mark_clean_if_stored(own)
        return actions + self._recheck_waiting(now)

    def waits_for_others(self) -> bool:
        """Return whether a resend waits for an attempt of another agent."""
        waiting = self.resends.waiting
        return any(
            resend.claim_request.key not in self.own for resend in waiting
        )

    def add_claim(
        self, claim_request: ClaimRequest, now: Instant
    ) -> list[Action]:
        """Queue the claim of a new key for the next write."""
        refusal = self._refusal(now)
        if refusal is not None:
            return [Settle(claim_request.token, refusal)]
        claim = Claim(
            claim_request.key,
            claim_request.fingerprint,
            claim_request.claim_id,
            self.holder,
            int(now.epoch_s),
        )
        self.own[claim_request.key] = OwnClaim(claim_request, claim)
        self.dirty.add(claim_request.key)
        return []

    def wait_for_own(
        self, own: OwnClaim, claim_request: ClaimRequest, now: Instant
    ) -> list[Action]:
        """Let a resend wait for an own claim that has no result yet."""
        if own.claim.fingerprint != claim_request.fingerprint:
            return [Settle(claim_request.token, key_conflict())]
        if own.phase is Phase.abandoned:
            refusal = store_refusal(
                'the claim of the key is being released', RETRY_AFTER_S
            )
            return [Settle(claim_request.token, refusal)]
        self.resends.add(claim_request, now.monotonic_s)
        return []

    def answer_from_claim(
        self, known: Claim, claim_request: ClaimRequest, now: Instant
    ) -> list[Action]:
        """Answer from a claim that another attempt made, or wait for it.

        An unfinished claim of an earlier incarnation of this agent will
        never get a result, so that it is answered as unknown at once.
        """
        if known.fingerprint != claim_request.fingerprint:
            return [Settle(claim_request.token, key_conflict())]
        replaced = _agent_name(known.holder) == _agent_name(self.holder)
        if not known.held or replaced:
            return [Settle(claim_request.token, outcome_of(known))]
        self.resends.add(claim_request, now.monotonic_s)
        return []

    def settle_waiting(self, key: bytes, outcome: ClaimOutcome) -> list[Action]:
        """Answer all resends that wait for a key."""
        return [
            Settle(claim_request.token, outcome)
            for claim_request in self.resends.pop_for_key(key)
        ]

    def unconfirmed(self) -> list[OwnClaim]:
        """Return own claims that have not been seen in the store yet."""
        return [
            self.own[key]
            for key in self.dirty
            if self.own[key].phase is Phase.wanted
        ]

    def abandon(self, own: OwnClaim, message: str) -> list[Action]:
        """Give up a claim that may or may not be in the store.

        Nothing of the request has been or will be sent; the next successful
        write removes the claim from the store.
        """
        own.phase = Phase.abandoned
        if not self.pace.write_uncertain and not self.pace.call_in_flight:
            self.mark_clean_if_stored(own)
        refusal = store_refusal(message, RETRY_AFTER_S)
        settled = self.settle_waiting(own.claim_request.key, refusal)
        return [Settle(own.claim_request.token, refusal), *settled]

    def mark_clean_if_stored(self, own: OwnClaim) -> None:
        """Leave a claim out of the next write when it is stored as it is."""
        if own.needs_write(self.document):
            return
        self.dirty.discard(own.claim_request.key)
        if own.phase is Phase.abandoned:
            self.remove(own)
        elif own.phase is Phase.done:
            own.claim = own.claim._replace(answer=b'')

    def remove(self, own: OwnClaim) -> None:
        """Drop an own claim that no pending write can still store."""
        self.dirty.discard(own.claim_request.key)
        self.own.pop(own.claim_request.key)

    def prune(self, now: Instant) -> None:
        """Drop own results whose retention period has passed."""
        for own in tuple(self.own.values()):
            if own.phase is Phase.done and own.claim.is_expired(now.epoch_s):
                self.remove(own)

    def _refusal(self, now: Instant) -> NotRun | None:
        """Return a refusal when no new key may be claimed now."""
        if self.restoring:
            return store_refusal('claims are being restored', RETRY_AFTER_S)
        if self.pace.down:
            return store_refusal('the store is unavailable', MAX_BACKOFF_S)
        closed_s = self.document.closed_until_s - now.epoch_s
        if closed_s > 0:
            return store_refusal('claims are being restored', closed_s)
        if self.document.size_bytes > SHARD_LIMIT_BYTES:
            return NotRun(
                Reason.queue_full,
                'the shard of claims is full',
                PRUNE_INTERVAL_S,
            )
        return None

    def _resolve(self, own: OwnClaim, now: Instant) -> list[Action]:
        """Decide on an unconfirmed claim by the stored shard."""
        if own.is_stored(self.document):
            own.phase = Phase.held
            self.dirty.discard(own.claim_request.key)
            return [Run(own.claim_request.token)]
        known = self.document.claims.get(own.claim_request.key)
        if known is not None:
            self.remove(own)
            return self.answer_from_claim(known, own.claim_request, now)
        refusal = self._refusal(now)
        if refusal is None:
            return []
        self.remove(own)
        settled = self.settle_waiting(own.claim_request.key, refusal)
        return [Settle(own.claim_request.token, refusal), *settled]

    def _recheck_waiting(self, now: Instant) -> list[Action]:
        actions: list[Action] = []
        for resend in self.resends.pop_all():
            known = self.document.claims.get(resend.claim_request.key)
            if resend.claim_request.key in self.own or (known and known.held):
                self.resends.waiting.append(resend)
            elif known is None:
                actions += self.add_claim(resend.claim_request, now)
            else:
                actions += self.answer_from_claim(
                    known, resend.claim_request, now
                )
        return actions


def _agent_name(holder: str) -> str:
    return holder.rpartition('/')[0]
