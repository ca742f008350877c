"""Keeping a mirror of the store in step, through every trouble it has."""

import asyncio
from collections.abc import Callable, Sequence
from typing import final

from bramleylug.observability.events import LogEvent, emit
from bramleylug.store.changes import (
    HistoryLost,
    StoreChange,
    StoreChanges,
    StoreItem,
    StoreUnavailable,
    WatchableStore,
)
from bramleylug.store.mirror import Mirror

RETRY_FIRST_S = 0.1
RETRY_MOST_S = 0.5
SETTLE_S = 0.1
# Part of a wait for which changes are gathered after some have come.
GATHER_SHARE = 0.12
# A confirmation that comes later than two waits and this was held up.
AWAY_MARGIN_S = 1.0
DOUBLINGS = 4


@final
class StoreWatcher:
    """Follows all items below a prefix.

    :param on_changes: called with each batch of changes.
    :param clock: seconds that also count while the host is suspended.
    :param wait_s: time that the store may wait for changes. A wait that
        goes on confirms nothing; each costs one call.
    """

    def __init__(
        self,
        store: WatchableStore,
        prefix: str,
        on_changes: Callable[[Sequence[StoreChange]], None],
        clock: Callable[[], float],
        *,
        wait_s: float,
    ) -> None:
        self.wait_s = wait_s
        self.gather_s = wait_s * GATHER_SHARE
        self.store = store
        self.prefix = prefix
        self.on_changes = on_changes
        self.clock = clock
        self.mirror = Mirror(away_s=2 * wait_s + AWAY_MARGIN_S)
        self.must_reload = True
        self.failures = 0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._step()
            except StoreUnavailable as error:
                await self._pause(error)

    async def run_deferred_removals(self) -> None:
        """Carry out held back removals when they are due, until cancelled."""
        while True:
            await asyncio.sleep(SETTLE_S)
            self._tell(self.mirror.apply_due_removals(self.clock()))

    async def _step(self) -> None:
        if self.must_reload:
            await self._reload()
        sent_s = self.clock()
        answer = await self.store.wait_for_changes(
            self.prefix, self.mirror.revision, self.wait_s
        )
        match answer:
            case HistoryLost():
                emit(LogEvent.history_lost, revision=self.mirror.revision)
                self.must_reload = True
            case StoreChanges(changes=changes, revision=revision):
                self._confirm(sent_s, answer.begun_after_s)
                now_s = self.clock()
                self._tell(self.mirror.apply(changes, revision, now_s))
                if changes:
                    # What changes next comes with the same call.
                    await asyncio.sleep(self.gather_s)

    async def _reload(self) -> None:
        sent_s = self.clock()
        page = await self.store.list_page(self.prefix, '')
        first_revision = page.revision
        items: list[StoreItem] = list(page.items)
        while page.more and page.items:
            page = await self.store.list_page(self.prefix, page.items[-1].key)
            items.extend(page.items)
        self._confirm(sent_s)
        # Pages are read one after the other; changes since the first one
        # are asked for again.
        news = self.mirror.replace(items, first_revision, self.clock())
        self.mirror.revision = first_revision
        self.must_reload = False
        self._tell(news)

    def _confirm(self, sent_s: float, begun_after_s: float = 0) -> None:
        now_s = self.clock()
        age_s = self.mirror.age_s(now_s)
        if self.mirror.confirm(sent_s, now_s, begun_after_s):
            emit(LogEvent.store_regained, away_s=round(age_s, 2))
        self.failures = 0

    def _tell(self, news: Sequence[StoreChange]) -> None:
        if news:
            self.on_changes(news)

    async def _pause(self, error: StoreUnavailable) -> None:
        if not self.failures:
            emit(
                LogEvent.store_lost,
                error=str(error),
                revision=self.mirror.revision,
            )
        factor = 1 << min(self.failures, DOUBLINGS)
        self.failures += 1
        await asyncio.sleep(min(RETRY_MOST_S, RETRY_FIRST_S * factor))
