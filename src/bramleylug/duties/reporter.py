"""Reports usage while this relay holds the duties."""

from collections.abc import Callable, Iterable
from typing import final

from bramleylug.duties.claims import Term
from bramleylug.duties.reports import (
    GiveUp,
    ReportSchedule,
    SendStored,
    StoredReport,
    StoreNext,
    decode_report,
    encode_report,
)
from bramleylug.duties.service import DutyService, Mandate, UsageReport
from bramleylug.duties.usage_exchange import UsageExchange
from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import (
    DUTY_CALLS,
    USAGE_MISSED,
    USAGE_WINDOW,
    count,
)
from bramleylug.store.changes import Transaction, WatchableStore, Write


@final
class UsageReporter:
    """Sends one report for each window.

    :param key: store key of the latest report.
    :param claim_key: store key of the claim.
    :param live_relays: returns the names of the other relays.
    """

    def __init__(
        self,
        key: str,
        claim_key: str,
        store: WatchableStore,
        service: DutyService,
        exchange: UsageExchange,
        live_relays: Callable[[], Iterable[str]],
    ) -> None:
        self.key = key
        self.claim_key = claim_key
        self.store = store
        self.service = service
        self.exchange = exchange
        self.live_relays = live_relays
        self.schedule = ReportSchedule(exchange.windows)

    def begin_term(self) -> None:
        """Take over from another holder, or begin."""
        self.schedule.begin_term(self.exchange.time.now_s())

    def read_again(self) -> None:
        """Read the store before the next report.

        Another holder may have written one, or this one, unknowingly.
        """
        self.schedule.read_again()

    async def step(
        self, term: Term, mandate: Callable[[], Mandate | None]
    ) -> None:
        """Do what is due.

        :param mandate: returns the right to make a call at this moment.
        :raises CallFailed: when the service did not accept a report.
        :raises StoreUnavailable: when the store did not answer.
        :raises ConditionFailed: when another holder may have written.
        """
        self.exchange.time.settle()
        self.exchange.gather_own()
        self.schedule.record_seen(self.exchange.reported)
        if self.schedule.stored is None:
            await self._read()
        relays = tuple(self.live_relays())
        agreed_s = self.exchange.time.now_s()
        match self.schedule.next_step(agreed_s, self.exchange.tally, relays):
            case GiveUp(window, reports):
                self._give_up(window, reports)
            case SendStored(report):
                await self._send(report, mandate)
            case StoreNext(report):
                if mandate() is not None:
                    await self._store(term, report)
                    await self._send(report, mandate)

    def _give_up(self, window: int, reports: int) -> None:
        self.schedule.settled = window
        emit(LogEvent.usage_not_reported, window=window, reports=reports)
        for _ in range(reports):
            count(USAGE_MISSED)

    async def _read(self) -> None:
        page = await self.store.list_page(self.key, '')
        item = page.find(self.key)
        stored = StoredReport(None, 0)
        if item is not None:
            stored = StoredReport(decode_report(item.value), item.revision)
        self.schedule.record_stored(stored, self.exchange.time.now_s())

    async def _store(self, term: Term, report: UsageReport) -> None:
        """Write a report that nothing may change from then on."""
        stored = self.schedule.stored
        expected = {
            self.claim_key: term.revision,
            self.key: 0 if stored is None else stored.revision,
        }
        # Until the answer is there, it is not known what the store holds.
        self.schedule.read_again()
        revision = await self.store.commit(
            Transaction(
                expected=expected,
                writes=(Write(self.key, encode_report(report)),),
            )
        )
        self.schedule.record_stored(
            StoredReport(report, revision), self.exchange.time.now_s()
        )

    async def _send(
        self, report: UsageReport, mandate: Callable[[], Mandate | None]
    ) -> None:
        allowed = mandate()
        if allowed is None:
            return
        await self.service.report_usage(allowed, report)
        self.schedule.settled = report.window
        count(DUTY_CALLS, outcome='accepted')
        USAGE_WINDOW.set({'instance': allowed.holder}, report.window)
        emit(
            LogEvent.usage_reported,
            window=report.window,
            requests=sum(report.counts.values()),
            token=allowed.token,
        )
