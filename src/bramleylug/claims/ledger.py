"""Claim protocol of one shard, without I/O."""

from dataclasses import replace
from typing import final

from bramleylug.claims.actions import (
    Action,
    ClaimRequest,
    Instant,
    ReadShard,
    Settle,
    StoreRolledBack,
    WriteShard,
)
from bramleylug.claims.claim_outcomes import (
    outcome_of,
    store_refusal,
    unreported_result,
)
from bramleylug.claims.claim_table import (
    PRUNE_INTERVAL_S,
    RETRY_AFTER_S,
    ClaimTable,
)
from bramleylug.claims.document import ShardDocument
from bramleylug.claims.own_claim import Phase
from bramleylug.claims.pace import StorePace
from bramleylug.store.store import (
    Conflict,
    ReadOutcome,
    StoredValue,
    SwapOutcome,
    Swapped,
    Unavailable,
    Uncertain,
)

CLOSED_AFTER_ROLLBACK_S = 30.0


@final
class ShardLedger:
    """Decides which requests may run; its caller performs the actions.

    Its inputs are claim requests, results of runs, outcomes of store calls
    and the time.

    A request runs only after its own claim was seen in the store, and only
    in the process whose memory holds the claim's random id. When the answer
    to a write is lost, the write is repeated with the same expected version:
    at most one of the two takes effect, and a conflict returns the current
    value.

    :param holder: name and incarnation of this agent, ``name/incarnation``.
    :ivar version: version of the value that was last seen in the store.
    """

    def __init__(self, holder: str) -> None:
        self.pace = StorePace()
        self.table = ClaimTable(holder, self.pace)
        self.version = 0
        self.written = ShardDocument()
        self.next_prune_s = 0.0

    @property
    def has_pending_work(self) -> bool:
        """Whether a write, a waiting resend or an outage needs attention."""
        return bool(self.has_changes or self.table.resends or self.pace.down)

    @property
    def has_changes(self) -> bool:
        """Whether the store has to be written."""
        return bool(
            self.table.dirty
            or self.table.restoring
            or self.pace.write_uncertain
        )

    def request_claim(
        self, claim_request: ClaimRequest, now: Instant
    ) -> list[Action]:
        return self.table.request_claim(claim_request, now) + self.advance(now)

    def finish(
        self, key: bytes, state: int, answer: bytes, now: Instant
    ) -> list[Action]:
        """Record the result of a run and answer its waiting resends."""
        own = self.table.own[key]
        own.claim = own.claim._replace(state=state, answer=answer)
        own.phase = Phase.done
        if not self.table.dirty:
            self.pace.delay_results(now.monotonic_s)
        self.table.dirty.add(key)
        settled = self.table.settle_waiting(key, outcome_of(own.claim))
        return settled + self.advance(now)

    def release(self, key: bytes, now: Instant) -> list[Action]:
        """Release the claim of a request that was not and will not be run."""
        self.table.own[key].phase = Phase.abandoned
        self.table.dirty.add(key)
        self.pace.expedite(now.monotonic_s)
        refusal = store_refusal('the first attempt was not run', RETRY_AFTER_S)
        return self.table.settle_waiting(key, refusal) + self.advance(now)

    def handle_write(self, outcome: SwapOutcome, now: Instant) -> list[Action]:
        self.pace.call_in_flight = False
        match outcome:
            case Swapped(version):
                self.table.restoring = False
                actions = self._apply_document(self.written, version, now)
            case Conflict(current):
                self.pace.next_write_s = now.monotonic_s
                actions = self._apply_current(current, now)
            case Unavailable():
                actions = self._handle_failure(now)
            case Uncertain():
                self.pace.write_uncertain = True
                actions = self._handle_failure(now)
        return actions + self.advance(now)

    def handle_read(self, outcome: ReadOutcome, now: Instant) -> list[Action]:
        self.pace.call_in_flight = False
        match outcome:
            case StoredValue(version=version) if version != self.version:
                actions = self._apply_current(outcome, now)
            case StoredValue():
                self.pace.record_success(now.monotonic_s)
                actions = []
            case Unavailable():
                actions = self._handle_failure(now)
        return actions + self.advance(now)

    def advance(self, now: Instant) -> list[Action]:
        """Return the actions that are due.

        Every input calls it; the owner of the ledger also calls it
        periodically.
        """
        actions = self._expire(now)
        urgent = self.table.restoring or bool(self.table.unconfirmed())
        if self.has_changes and self.pace.write_is_due(
            now.monotonic_s, urgent=urgent
        ):
            self.written = self._merge(now)
            self.pace.record_write_start(now.monotonic_s)
            content = self.written.to_bytes()
            actions.append(WriteShard(self.version, content))
        elif self._read_is_due(now):
            self.pace.record_read_start(now.monotonic_s)
            actions.append(ReadShard())
        return actions

    def _read_is_due(self, now: Instant) -> bool:
        if not self.table.own and not self.has_pending_work:
            return False
        resends_wait = self.table.waits_for_others()
        return self.pace.read_is_due(now.monotonic_s, resends_wait=resends_wait)

    def _expire(self, now: Instant) -> list[Action]:
        actions: list[Action] = [
            Settle(claim_request.token, unreported_result())
            for claim_request in self.table.resends.pop_expired(now.monotonic_s)
        ]
        for own in self.table.unconfirmed():
            if own.claim_request.wait_until_s <= now.monotonic_s:
                actions += self.table.abandon(own, 'the store did not answer')
        return actions

    def _handle_failure(self, now: Instant) -> list[Action]:
        self.pace.record_failure(now.monotonic_s)
        if not self.pace.down:
            return []
        return [
            action
            for own in self.table.unconfirmed()
            for action in self.table.abandon(own, 'the store is unavailable')
        ]

    def _apply_current(
        self, current: StoredValue, now: Instant
    ) -> list[Action]:
        """Apply a value that another process wrote.

        A value that cannot be decoded is not overwritten; until it can be,
        no key of the shard is claimed.
        """
        try:
            document = ShardDocument.from_bytes(current.value)
        except ValueError:
            return self._handle_failure(now)
        actions: list[Action] = []
        if document.sequence < self.table.document.sequence:
            self.table.restoring = True
            actions.append(StoreRolledBack(document.sequence))
        self.table.dirty.update(self.table.own)
        return actions + self._apply_document(document, current.version, now)

    def _apply_document(
        self, document: ShardDocument, version: int, now: Instant
    ) -> list[Action]:
        self.version = version
        self.pace.write_uncertain = False
        self.pace.record_success(now.monotonic_s)
        return self.table.apply_document(document, now)

    def _merge(self, now: Instant) -> ShardDocument:
        base = self.table.document
        if now.monotonic_s >= self.next_prune_s:
            self.next_prune_s = now.monotonic_s + PRUNE_INTERVAL_S
            base = base.pruned(now.epoch_s)
            self.table.prune(now)
        if self.table.restoring:
            closed_s = int(now.epoch_s + CLOSED_AFTER_ROLLBACK_S)
            base = replace(base, closed_until_s=closed_s)
        claims = dict(base.claims)
        for key in self.table.dirty:
            self.table.own[key].merge_into(claims)
        sequence = self.table.document.sequence + 1
        return replace(base.with_claims(claims), sequence=sequence)
