"""Claims of one shard: pure decisions of one agent incarnation."""

from dataclasses import replace
from typing import final

from bramleylug.claims.actions import (
    Action,
    ClaimRequest,
    Instant,
    ReadShard,
    Settle,
    WentBack,
    WriteShard,
)
from bramleylug.claims.book import PRUNE_S, RELEASE_S, ClaimBook
from bramleylug.claims.document import ShardDocument
from bramleylug.claims.own import Phase
from bramleylug.claims.pace import StorePace
from bramleylug.claims.verdicts import lost_holder, store_refusal, verdict_of
from bramleylug.store.store import (
    Conflict,
    ReadOutcome,
    StoredValue,
    SwapOutcome,
    Swapped,
    Unavailable,
    Uncertain,
)

RESTORE_HOLD_S = 30.0


@final
class ShardLedger:
    """Decides what runs; fed with asks, results, store answers and time.

    A request runs only after its own claim was seen in the store, and only
    in the process whose memory holds the claim's random id. Whether a lost
    write took effect is settled by writing again under the same expected
    version: at most one of the two takes effect, and a conflict returns
    the current value.

    :param holder: name and incarnation of this agent, ``name/incarnation``.
    :ivar version: version of the value that was last seen in the store.
    """

    def __init__(self, holder: str) -> None:
        self.pace = StorePace()
        self.book = ClaimBook(holder, self.pace)
        self.version = 0
        self.written = ShardDocument()
        self.next_prune_s = 0.0

    @property
    def pending(self) -> bool:
        """Whether something is to be written or waited for."""
        return bool(self.changed or self.book.followers or self.pace.down)

    @property
    def changed(self) -> bool:
        """Whether the store is to be written."""
        return bool(
            self.book.dirty or self.book.restoring or self.pace.unsettled
        )

    def ask(self, ask: ClaimRequest, now: Instant) -> list[Action]:
        """Take in a request that wants to run."""
        return self.book.ask(ask, now) + self.advance(now)

    def finish(
        self, key: bytes, state: int, answer: bytes, now: Instant
    ) -> list[Action]:
        """Note the result of a run."""
        own = self.book.own[key]
        own.claim = own.claim._replace(state=state, answer=answer)
        own.phase = Phase.done
        if not self.book.dirty:
            self.pace.completion_waits(now.steady_s)
        self.book.dirty.add(key)
        told = self.book.tell_followers(key, verdict_of(own.claim))
        return told + self.advance(now)

    def release(self, key: bytes, now: Instant) -> list[Action]:
        """Note that a claimed request was not run and never will be."""
        self.book.own[key].phase = Phase.abandoned
        self.book.dirty.add(key)
        self.pace.expedite(now.steady_s)
        refusal = store_refusal('the first try was not run', RELEASE_S)
        return self.book.tell_followers(key, refusal) + self.advance(now)

    def wrote(self, outcome: SwapOutcome, now: Instant) -> list[Action]:
        """Take in the outcome of a write."""
        self.pace.busy = False
        match outcome:
            case Swapped(version):
                self.book.restoring = False
                actions = self._adopt(self.written, version, now)
            case Conflict(current):
                self.pace.next_write_s = now.steady_s
                actions = self._take_current(current, now)
            case Unavailable():
                actions = self._fail(now)
            case Uncertain():
                self.pace.unsettled = True
                actions = self._fail(now)
        return actions + self.advance(now)

    def read(self, outcome: ReadOutcome, now: Instant) -> list[Action]:
        """Take in the outcome of a read."""
        self.pace.busy = False
        match outcome:
            case StoredValue(version=version) if version != self.version:
                actions = self._take_current(outcome, now)
            case StoredValue():
                self.pace.succeeded(now.steady_s)
                actions = []
            case Unavailable():
                actions = self._fail(now)
        return actions + self.advance(now)

    def advance(self, now: Instant) -> list[Action]:
        """Return what is due; call it after each event and now and then."""
        actions = self._expire(now)
        urgent = self.book.restoring or bool(self.book.wanted())
        if self.changed and self.pace.write_is_due(now.steady_s, urgent=urgent):
            self.written = self._merged(now)
            self.pace.write_begins(now.steady_s)
            content = self.written.to_bytes()
            actions.append(WriteShard(self.version, content))
        elif self._read_is_due(now):
            self.pace.read_begins(now.steady_s)
            actions.append(ReadShard())
        return actions

    def _read_is_due(self, now: Instant) -> bool:
        if not self.book.own and not self.pending:
            return False
        followed = self.book.follows_others()
        return self.pace.read_is_due(now.steady_s, followed=followed)

    def _expire(self, now: Instant) -> list[Action]:
        actions: list[Action] = [
            Settle(ask.token, lost_holder())
            for ask in self.book.followers.take_late(now.steady_s)
        ]
        for own in self.book.wanted():
            if own.ask.give_up_s <= now.steady_s:
                actions += self.book.abandon(own, 'the store did not answer')
        return actions

    def _fail(self, now: Instant) -> list[Action]:
        self.pace.failed(now.steady_s)
        if not self.pace.down:
            return []
        return [
            action
            for own in self.book.wanted()
            for action in self.book.abandon(own, 'the store is down')
        ]

    def _take_current(self, current: StoredValue, now: Instant) -> list[Action]:
        """Adopt a value that another process wrote.

        One that cannot be read is not overwritten; nothing is claimed in
        its shard until it can be.
        """
        try:
            document = ShardDocument.from_bytes(current.value)
        except ValueError:
            return self._fail(now)
        actions: list[Action] = []
        if document.sequence < self.book.document.sequence:
            self.book.restoring = True
            actions.append(WentBack(document.sequence))
        self.book.dirty.update(self.book.own)
        return actions + self._adopt(document, current.version, now)

    def _adopt(
        self, document: ShardDocument, version: int, now: Instant
    ) -> list[Action]:
        self.version = version
        self.pace.unsettled = False
        self.pace.succeeded(now.steady_s)
        return self.book.adopt(document, now)

    def _merged(self, now: Instant) -> ShardDocument:
        base = self.book.document
        if now.steady_s >= self.next_prune_s:
            self.next_prune_s = now.steady_s + PRUNE_S
            base = base.pruned(now.epoch_s)
            self.book.prune(now)
        if self.book.restoring:
            closed_s = int(now.epoch_s + RESTORE_HOLD_S)
            base = replace(base, closed_until_s=closed_s)
        claims = dict(base.claims)
        for key in self.book.dirty:
            self.book.own[key].merge_into(claims)
        sequence = self.book.document.sequence + 1
        return replace(base.with_claims(claims), sequence=sequence)
