"""What one agent incarnation knows of the claims of a shard."""

from typing import final

from bramleylug.claims.actions import (
    Action,
    ClaimOutcome,
    ClaimRequest,
    Instant,
    Run,
    Settle,
)
from bramleylug.claims.document import (
    SHARD_LIMIT_BYTES,
    Claim,
    ShardDocument,
)
from bramleylug.claims.followers import Followers
from bramleylug.claims.own import OwnClaim, Phase
from bramleylug.claims.pace import LAST_BACKOFF_S, StorePace
from bramleylug.claims.verdicts import (
    key_conflict,
    store_refusal,
    verdict_of,
)
from bramleylug.outcomes import NotRun, Reason

PRUNE_S = 60.0
RELEASE_S = 1.0


@final
class ClaimBook:
    """Own claims, the stored shard, and the resends that wait.

    :ivar document: the shard as the store last held it.
    :ivar own: claims of this incarnation by key.
    :ivar dirty: keys whose own claim the store is to learn of.
    :ivar restoring: whether the store was seen to have gone back.
    """

    def __init__(self, holder: str, pace: StorePace) -> None:
        self.holder = holder
        self.pace = pace
        self.document = ShardDocument()
        self.own: dict[bytes, OwnClaim] = {}
        self.dirty: set[bytes] = set()
        self.followers = Followers()
        self.restoring = False

    def ask(self, ask: ClaimRequest, now: Instant) -> list[Action]:
        """Take in a request that wants to run."""
        own = self.own.get(ask.key)
        known = self.document.claims.get(ask.key)
        if own is not None and own.phase is not Phase.done:
            return self.join(own, ask, now)
        if own is not None and ask.key in self.dirty:
            return self.meet(own.claim, ask, now)
        if known is not None:
            return self.meet(known, ask, now)
        return self.want(ask, now)

    def find_result(
        self, key: bytes, fingerprint: bytes
    ) -> ClaimOutcome | None:
        """Return what a resend is told, where the result is known."""
        own = self.own.get(key)
        known = self.document.claims.get(key)
        if own is not None and key in self.dirty:
            known = own.claim
        if known is None or known.held:
            return None
        if known.fingerprint != fingerprint:
            return key_conflict()
        return verdict_of(known)

    def adopt(self, document: ShardDocument, now: Instant) -> list[Action]:
        """Take in what the store holds, and decide what depends on it."""
        self.document = document
        actions: list[Action] = []
        for key in tuple(self.dirty):
            own = self.own[key]
            if own.phase is Phase.wanted:
                actions += self._resolve(own, now)
            else:
                self.compare(own)
        return actions + self._look_for_followed(now)

    def follows_others(self) -> bool:
        """Tell whether a resend waits for another agent's try."""
        waiting = self.followers.waiting
        return any(one.ask.key not in self.own for one in waiting)

    def want(self, ask: ClaimRequest, now: Instant) -> list[Action]:
        """Let a new key be claimed with the next write."""
        refusal = self._refusal(now)
        if refusal is not None:
            return [Settle(ask.token, refusal)]
        claim = Claim(
            ask.key,
            ask.fingerprint,
            ask.claim_id,
            self.holder,
            int(now.epoch_s),
        )
        self.own[ask.key] = OwnClaim(ask, claim)
        self.dirty.add(ask.key)
        return []

    def join(
        self, own: OwnClaim, ask: ClaimRequest, now: Instant
    ) -> list[Action]:
        """Meet a try of this incarnation that has no result yet."""
        if own.claim.fingerprint != ask.fingerprint:
            return [Settle(ask.token, key_conflict())]
        if own.phase is Phase.abandoned:
            refusal = store_refusal('a claim is being released', RELEASE_S)
            return [Settle(ask.token, refusal)]
        self.followers.add(ask, now.steady_s)
        return []

    def meet(
        self, known: Claim, ask: ClaimRequest, now: Instant
    ) -> list[Action]:
        """Meet a claim that another try made."""
        if known.fingerprint != ask.fingerprint:
            return [Settle(ask.token, key_conflict())]
        replaced = _agent(known.holder) == _agent(self.holder)
        if not known.held or replaced:
            return [Settle(ask.token, verdict_of(known))]
        self.followers.add(ask, now.steady_s)
        return []

    def tell_followers(self, key: bytes, verdict: ClaimOutcome) -> list[Action]:
        """Answer the resends that wait for a key."""
        return [
            Settle(ask.token, verdict) for ask in self.followers.take_key(key)
        ]

    def wanted(self) -> list[OwnClaim]:
        """Return own claims that were not yet seen in the store."""
        return [
            self.own[key]
            for key in self.dirty
            if self.own[key].phase is Phase.wanted
        ]

    def abandon(self, own: OwnClaim, message: str) -> list[Action]:
        """Give up a claim that may or may not be in the store.

        Nothing of the request was sent, and nothing will be; the claim is
        taken out of the store with the next write that succeeds.
        """
        own.phase = Phase.abandoned
        if not self.pace.unsettled and not self.pace.busy:
            self.compare(own)
        refusal = store_refusal(message, RELEASE_S)
        told = self.tell_followers(own.ask.key, refusal)
        return [Settle(own.ask.token, refusal), *told]

    def compare(self, own: OwnClaim) -> None:
        """Drop a claim from the next write when the store agrees with it."""
        if own.needs_write(self.document):
            return
        self.dirty.discard(own.ask.key)
        if own.phase is Phase.abandoned:
            self.forget(own)
        elif own.phase is Phase.done:
            own.claim = own.claim._replace(answer=b'')

    def forget(self, own: OwnClaim) -> None:
        """Drop an own claim; nothing of it may still reach the store."""
        self.dirty.discard(own.ask.key)
        self.own.pop(own.ask.key)

    def prune(self, now: Instant) -> None:
        """Drop own results whose stated time is over."""
        for own in tuple(self.own.values()):
            if own.phase is Phase.done and own.claim.expired(now.epoch_s):
                self.forget(own)

    def _refusal(self, now: Instant) -> NotRun | None:
        """Return why no new key may be claimed now."""
        if self.restoring:
            return store_refusal('claims are being restored', RELEASE_S)
        if self.pace.down:
            return store_refusal('the store is down', LAST_BACKOFF_S)
        closed_s = self.document.closed_until_s - now.epoch_s
        if closed_s > 0:
            return store_refusal('claims are being restored', closed_s)
        if self.document.size_bytes > SHARD_LIMIT_BYTES:
            return NotRun(Reason.queue_full, 'too many claims', PRUNE_S)
        return None

    def _resolve(self, own: OwnClaim, now: Instant) -> list[Action]:
        """Decide on a wanted claim by what the store holds."""
        if own.is_stored(self.document):
            own.phase = Phase.held
            self.dirty.discard(own.ask.key)
            return [Run(own.ask.token)]
        known = self.document.claims.get(own.ask.key)
        if known is not None:
            self.forget(own)
            return self.meet(known, own.ask, now)
        refusal = self._refusal(now)
        if refusal is None:
            return []
        self.forget(own)
        told = self.tell_followers(own.ask.key, refusal)
        return [Settle(own.ask.token, refusal), *told]

    def _look_for_followed(self, now: Instant) -> list[Action]:
        actions: list[Action] = []
        for follower in self.followers.take_all():
            known = self.document.claims.get(follower.ask.key)
            if follower.ask.key in self.own or (known and known.held):
                self.followers.waiting.append(follower)
            elif known is None:
                actions += self.want(follower.ask, now)
            else:
                actions += self.meet(known, follower.ask, now)
        return actions


def _agent(holder: str) -> str:
    return holder.rpartition('/')[0]
