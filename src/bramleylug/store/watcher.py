"""Keeps a local mirror of a key prefix in step with the store."""

import asyncio
from collections.abc import Callable, Sequence
from typing import final

from bramleylug.node.process_pauses import ProcessPauses
from bramleylug.node.ticks import sleep_until_tick
from bramleylug.observability.events import LogEvent, emit
from bramleylug.store.changes import (
    AnswerUnusable,
    HistoryLost,
    Page,
    StoreChange,
    StoreChanges,
    StoreItem,
    StoreUnavailable,
    WatchableStore,
)
from bramleylug.store.feed import ChangeFeed
from bramleylug.store.mirror import Mirror
from bramleylug.store.read_schedule import ReadSchedule

RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5
REMOVAL_CHECK_S = 0.1
IDLE_CHECK_S = 1.0
# Two waits plus this margin without an answer count as an outage.
OUTAGE_MARGIN_S = 1.0
MAX_DOUBLINGS = 4
# Interval of log lines while the store stays silent.
SILENCE_LOG_S = 2.0


@final
class StoreWatcher:
    """Lists the items under a prefix and watches them for changes.

    :param on_changes: called with each batch of changes, the latest one of each
        key. If it raises, it is called with them again after the next answer of
        the store.
    :param clock: seconds that also count while the host is suspended.
    :param schedule: how long the store may hold a call until something
        changes. Only an answer confirms the mirror, and each wait costs one
        call.
    :param pauses: when this process stood still.
    :ivar failures: calls in a row that the store did not answer.
    :ivar sent_s: when the last call was sent.
    :ivar silence_logged_s: when the silence of the store was logged last.
    :ivar unusable: answers that could not be used since the last one to a
        watch that could.
    :ivar unreported: changes that the mirror holds and ``on_changes`` has not
        taken yet, by key.
    """

    def __init__(
        self,
        store: WatchableStore,
        prefix: str,
        on_changes: Callable[[Sequence[StoreChange]], None],
        clock: Callable[[], float],
        schedule: ReadSchedule,
        pauses: ProcessPauses | None = None,
    ) -> None:
        self.wait_s = schedule.wait_s
        self.pause_s = schedule.pause_s
        self.store = store
        self.prefix = prefix
        self.on_changes = on_changes
        self.clock = clock
        self.mirror = Mirror(2 * self.wait_s + OUTAGE_MARGIN_S, pauses)
        self.feed = ChangeFeed(self.mirror, clock)
        self.must_reload = True
        self.failures = 0
        self.sent_s = float('-inf')
        self.silence_logged_s = float('-inf')
        self.unusable = 0
        self.unreported: dict[str, StoreChange] = {}

    async def run(self) -> None:
        """Watch until cancelled, with back-off while the store is down."""
        while True:
            try:
                await self._step()
            except AnswerUnusable as error:
                # The pages of a listing have a limited size.
                self.must_reload = True
                self.unusable += 1
                await self._back_off(
                    LogEvent.store_answer_unusable, error, self.unusable
                )
            except StoreUnavailable as error:
                self.failures += 1
                self._log_silence(error)
                await self._back_off(
                    LogEvent.store_unreachable, error, self.failures
                )

    async def run_deferred_removals(self) -> None:
        """Apply deferred removals when they are due, until cancelled."""
        while True:
            await sleep_until_tick(
                REMOVAL_CHECK_S if self.mirror.has_deferred else IDLE_CHECK_S
            )
            self._notify(self.mirror.apply_due_removals(self.clock()))

    async def _step(self) -> None:
        if self.must_reload:
            await self._reload()
        sent_s = self.clock()
        self.sent_s = sent_s
        answer = await self.store.wait_for_changes(
            self.prefix, self.mirror.revision, self.wait_s
        )
        match answer:
            case HistoryLost():
                emit(
                    LogEvent.store_history_compacted,
                    revision=self.mirror.revision,
                )
                self.must_reload = True
            case StoreChanges(era=era) if era != self.mirror.era:
                # Revisions of another era say nothing about this one.
                self.must_reload = True
            case StoreChanges(changes=changes, revision=revision):
                self._confirm(sent_s, answer)
                self.unusable = 0
                now_s = self.clock()
                applied = self.mirror.apply(changes, revision, now_s)
                self.feed.record(changes)
                self._notify(applied)
                if changes:
                    # Changes made meanwhile arrive with the next call.
                    await asyncio.sleep(self.pause_s)

    async def _reload(self) -> None:
        sent_s = self.clock()
        self.sent_s = sent_s
        page = await self.store.list_page(self.prefix, '')
        first_page, first_revision = page, page.revision
        items: list[StoreItem] = list(page.items)
        era = page.era
        while page.more and page.items:
            page = await self.store.list_page(self.prefix, page.items[-1].key)
            items.extend(page.items)
            if page.era != era:
                raise StoreUnavailable('store was restored during a listing')
        self._log_restore(era, first_revision)
        self._confirm(sent_s, first_page)
        # The pages are no snapshot: the watch resumes at the revision of the
        # first one, so that changes made between two pages are not missed.
        changes = self.mirror.replace(items, first_revision, self.clock(), era)
        self.mirror.revision = first_revision
        self.must_reload = False
        self.feed.restart()
        self._notify(changes)

    def _log_restore(self, era: int, revision: int) -> None:
        held = self.mirror.era
        if self.mirror.loaded and era != held:
            emit(LogEvent.store_restored, era=era, held=held, revision=revision)

    def _confirm(self, sent_s: float, answer: Page | StoreChanges) -> None:
        now_s = self.clock()
        age_s = self.mirror.age_s(now_s)
        match answer:
            case (
                Page(reader_times=times) | StoreChanges(reader_times=times)
            ) if times is not None:
                recovered = self.mirror.confirm_relayed(sent_s, now_s, times)
            case StoreChanges(first_byte_after_s=after_s):
                recovered = self.mirror.confirm(sent_s, now_s, after_s)
            case Page():
                recovered = self.mirror.confirm(sent_s, now_s)
        if recovered:
            emit(LogEvent.store_reachable, away_s=round(age_s, 2))
        self.failures = 0

    def _notify(self, changes: Sequence[StoreChange]) -> None:
        for change in changes:
            # Reported in the order of the latest changes.
            self.unreported.pop(change.key, None)
            self.unreported[change.key] = change
        if self.unreported:
            self.on_changes(tuple(self.unreported.values()))
            self.unreported.clear()

    def _log_silence(self, error: StoreUnavailable) -> None:
        """Log at intervals that calls fail, after the line for the first."""
        now_s = self.clock()
        if self.failures == 1:
            self.silence_logged_s = now_s
        if now_s - self.silence_logged_s < SILENCE_LOG_S:
            return
        self.silence_logged_s = now_s
        emit(
            LogEvent.store_still_unreachable,
            silent_s=round(self.mirror.age_s(now_s), 1),
            failures=self.failures,
            took_s=round(now_s - self.sent_s, 2),
            error=str(error),
            revision=self.mirror.revision,
        )

    async def _back_off(
        self, event: LogEvent, error: StoreUnavailable, failures: int
    ) -> None:
        """Log the first of some failures in a row, and wait after each.

        :param failures: number of those so far, this one included.
        """
        if failures == 1:
            emit(event, error=str(error), revision=self.mirror.revision)
        factor = 1 << min(failures - 1, MAX_DOUBLINGS)
        await asyncio.sleep(min(RETRY_MAX_S, RETRY_MIN_S * factor))
