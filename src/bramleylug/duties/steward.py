"""Claims the duties for this relay, and does them while it holds them."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol, final

from bramleylug.duties.claims import (
    CALL_LIMIT_S,
    LEASE_MARGIN_S,
    Candidacy,
    Claim,
    Term,
    decode_claim,
    encode_claim,
    own_term,
    place_of,
    token_of,
)
from bramleylug.duties.service import CallFailed, Mandate
from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import DUTY_CALLS, DUTY_TOKEN, count
from bramleylug.store.changes import (
    ConditionFailed,
    LeaseEnded,
    StoreItem,
    StoreUnavailable,
    Transaction,
    WatchableStore,
    Write,
)
from bramleylug.store.presence import HeldLease, Presence

TICK_S = 0.25
# A holder that gets no answer for this long makes room for one that may.
UNANSWERED_LIMIT_S = 3.0
UNANSWERED_REST_S = 10.0
CALL_RETRY_S = 0.5


@final
class ClaimView(NamedTuple):
    """What a relay knows about the claim from its copy of the store.

    :ivar item: the stored claim; ``None`` if there is none.
    :ivar is_current: whether the copy is recent enough to act on.
    """

    item: StoreItem | None
    is_current: bool


@final
class ClaimSource(NamedTuple):
    """Where a relay knows about the claim from.

    :ivar look: returns the claim.
    :ivar candidates: returns the names of the other relays that may claim.
    """

    look: Callable[[], ClaimView]
    candidates: Callable[[], Iterable[str]]


class Duty(Protocol):
    """What a holder does."""

    def begin_term(self) -> None:
        """Take over from another holder, or begin."""

    def read_again(self) -> None:
        """Read the store before anything else."""

    async def step(
        self, term: Term, mandate: Callable[[], Mandate | None]
    ) -> None:
        """Do what is due now.

        :param mandate: returns the right to make a call at this moment.
        :raises CallFailed: when the service did not accept a call.
        :raises StoreUnavailable: when the store did not answer.
        :raises ConditionFailed: when another holder may have written.
        """


@final
class Steward:
    """Holds the duties, or waits until it is its turn.

    :param own: the claim that this relay makes.
    :param key: store key of the claim.
    :param presence: keeps the lease that the claim is bound to.
    :param source: where the claim is known from.
    :param clock: seconds that also count while the host is suspended.
    :ivar duties: what it does while it holds them.
    :ivar leaving: whether the relay stops as planned.
    :ivar unanswered_since_s: since when no call has been answered.
    :ivar ended: era and revision of the last claim that has ended.
    :ivar unremoved: an ended term whose claim may still be in the store.
    """

    def __init__(
        self,
        own: Claim,
        key: str,
        store: WatchableStore,
        presence: Presence,
        source: ClaimSource,
        candidacy: Candidacy,
        clock: Callable[[], float],
    ) -> None:
        self.own = own
        self.key = key
        self.store = store
        self.presence = presence
        self.source = source
        self.candidacy = candidacy
        self.clock = clock
        self.duties: list[Duty] = []
        self.term: Term | None = None
        self.leaving = False
        self.unanswered_since_s: float | None = None
        self.retry_s = float('-inf')
        self.ended = (0, 0)
        self.unremoved: Term | None = None
        self.era = store.era

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(TICK_S)

    async def step(self) -> None:
        """Do what is due now."""
        now_s = self.clock()
        self._end_lost_term()
        view = self.source.look()
        claimed = view.item is not None and not self._is_ended(view.item)
        self.candidacy.observe(now_s, claimed=claimed)
        self._observe_era(now_s)
        await self._remove_ended(now_s)
        if self.leaving:
            await self._release('this process stops')
        elif self.term is not None:
            await self._work()
        elif self.presence.held is not None and view.is_current:
            await self._try_claim(view, self.presence.held, now_s)

    def holds(self) -> bool:
        """Return whether the lease of the claim has certainly not ended."""
        held = self.presence.held
        if self.term is None or held is None or self.term.is_over(held):
            return False
        return self.clock() < held.ends_s

    def mandate(self) -> Mandate | None:
        """Return the right to make a call now; ``None`` if there is none."""
        held = self.presence.held
        if self.term is None or self.term.era != self.store.era:
            return None
        if held is None or not self.term.may_call(held, self.clock()):
            return None
        until_s = held.ends_s - LEASE_MARGIN_S
        return Mandate(self.own.holder, self.term.token, until_s)

    def _end_lost_term(self) -> None:
        held = self.presence.held
        if self.term is not None and held is not None:
            if self.term.is_over(held):
                self._end_term('its lease ended')

    def _observe_era(self, now_s: float) -> None:
        """Rest when the store came back from an older copy.

        It may have lost a claim whose holder does not know yet.
        """
        if self.era != self.store.era:
            self.era = self.store.era
            self.candidacy.rest(now_s)

    async def _try_claim(
        self, view: ClaimView, held: HeldLease, now_s: float
    ) -> None:
        if view.item is not None and not self._is_ended(view.item):
            term = own_term(view.item, self.own, held, now_s)
            if term is not None:
                self._begin_term(term)
            return
        if now_s + CALL_LIMIT_S + LEASE_MARGIN_S > held.ends_s:
            return
        if not self.candidacy.is_due(
            place_of(self.own.holder, self.source.candidates()), now_s
        ):
            return
        self.candidacy.postpone(now_s)
        transaction = Transaction(
            expected={self.key: 0},
            writes=(Write(self.key, encode_claim(self.own), held.lease_id),),
        )
        try:
            revision = await self.store.commit(transaction)
        except (ConditionFailed, LeaseEnded, StoreUnavailable) as error:
            # If it took effect all the same, the copy of the store tells.
            emit(LogEvent.duties_not_claimed, error=str(error))
            return
        token = token_of(held.era, revision)
        self._begin_term(
            Term(token, revision, held.lease_id, held.era, self.clock())
        )

    async def _work(self) -> None:
        if self.clock() < self.retry_s:
            return
        try:
            await self._do_duties()
        except CallFailed as error:
            self._record_failure(error)
        except (ConditionFailed, LeaseEnded, StoreUnavailable) as error:
            # Another holder wrote, or this one did and the answer was lost.
            emit(LogEvent.duty_delayed, error=str(error))
            for duty in self.duties:
                duty.read_again()
            self.retry_s = self.clock() + CALL_RETRY_S
        if self._is_unanswered():
            await self._release(
                'the service does not answer', UNANSWERED_REST_S
            )

    async def _do_duties(self) -> None:
        for duty in self.duties:
            if self.term is not None:
                await duty.step(self.term, self.mandate)
        self.unanswered_since_s = None

    def _record_failure(self, error: CallFailed) -> None:
        now_s = self.clock()
        self.retry_s = now_s + CALL_RETRY_S
        emit(LogEvent.duty_call_failed, error=str(error))
        count(DUTY_CALLS, outcome='failed')
        if error.answered:
            self.unanswered_since_s = None
        elif self.unanswered_since_s is None:
            self.unanswered_since_s = now_s

    def _is_unanswered(self) -> bool:
        since_s = self.unanswered_since_s
        return since_s is not None and (
            self.clock() - since_s > UNANSWERED_LIMIT_S
        )

    async def _release(self, cause: str, rest_s: float = 0) -> None:
        """Remove the claim, so that another relay takes over at once."""
        if self.term is None:
            return
        self.unremoved = self.term
        self._end_term(cause, rest_s)
        self.retry_s = self.clock()
        await self._remove_ended(self.retry_s)

    async def _remove_ended(self, now_s: float) -> None:
        """Remove the claim of a term that ended before its lease."""
        term = self.unremoved
        if term is None or now_s < self.retry_s:
            return
        self.retry_s = now_s + CALL_RETRY_S
        transaction = Transaction(
            expected={self.key: term.revision}, removals=(self.key,)
        )
        try:
            await self.store.commit(transaction)
        except StoreUnavailable as error:
            emit(LogEvent.duties_not_released, error=str(error))
            return
        except (ConditionFailed, LeaseEnded):
            # It is gone already.
            emit(LogEvent.duties_gone, token=term.token)
        self.unremoved = None

    def _begin_term(self, term: Term) -> None:
        self.term = term
        self.unanswered_since_s = None
        self.retry_s = float('-inf')
        for duty in self.duties:
            duty.begin_term()
        emit(LogEvent.duties_held, token=term.token, holder=self.own.holder)
        DUTY_TOKEN.set({'instance': self.own.holder}, term.token)

    def _end_term(self, cause: str, rest_s: float = 0) -> None:
        term = self.term
        if term is None:
            return
        now_s = self.clock()
        self.term = None
        self.ended = (term.era, term.revision)
        self.candidacy.rest(now_s, rest_s)
        DUTY_TOKEN.set({'instance': self.own.holder}, 0)
        emit(
            LogEvent.duties_left,
            token=term.token,
            cause=cause,
            held_s=round(now_s - term.since_s, 1),
        )

    def _is_ended(self, item: StoreItem) -> bool:
        """Return whether a claim is an own one that has ended."""
        if decode_claim(item.value) != self.own:
            return False
        return (self.store.era, item.revision) <= self.ended
