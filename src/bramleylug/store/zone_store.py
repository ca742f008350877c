"""Reads the store through another process of the zone where possible."""

import asyncio
from collections.abc import Awaitable, Callable, Container
from typing import final

from bramleylug.observability.events import LogEvent, emit
from bramleylug.store.changes import (
    HistoryLost,
    Lease,
    Page,
    Position,
    StoreChanges,
    StoreUnavailable,
    Transaction,
    WatchableStore,
)
from bramleylug.store.reader_patience import ReaderPatience
from bramleylug.store.store_reach import StoreReach
from bramleylug.store.zone_readers import (
    AVOID_S,
    MILLISECONDS,
    Behind,
    ZoneReaders,
    log_late,
)

# Wait for a reader that is itself reading the store for the first time, and
# the readers that are tried one after the other, with a pause in which the next
# one may start.
START_WAIT_S = 2.0
START_READERS = 4
START_PAUSE_S = 0.25
START_LIMIT_S = 6.0
# A reader that lags behind the others after an outage is left alone for as
# long as they may need.
LAGGING_AVOID_S = 6.0
# Readers that are tried when the store does not answer this process.
OTHER_READERS = 3
# Wait of a call that asks the store what it has now.
CHECK_WAIT_S = 0.001


@final
class ZoneStore:
    """The store, read through a reader of the zone if one is of use.

    Only reads go through the reader; leases and writes go to the store. The
    answers of the reader carry the time at which it heard of the store. When
    that is too long ago, or the reader does not answer by then, the store
    itself is asked at once for its revision, and another reader is looked for.
    The same holds for an answer of an earlier era. What the store has besides
    is read from a reader that gets it in time, else from the store.

    :param store: the store itself.
    :param readers: readers of the zone.
    :param clock: seconds that also count while the host is suspended.
    :param find_feed: returns the address of a reader, or none, given those
        that are avoided; for a process that has not read the store yet.
    :param probe_prefix: prefix of few and small items, listed to learn the
        revision of the store.
    """

    def __init__(
        self,
        store: WatchableStore,
        readers: ZoneReaders,
        clock: Callable[[], float],
        *,
        find_feed: Callable[[Container[str]], Awaitable[str]] | None = None,
        probe_prefix: str = '',
    ) -> None:
        self.store = store
        self.readers = readers
        self.clock = clock
        self.find_feed = find_feed or _find_none
        self.probe_prefix = probe_prefix
        self.patience = ReaderPatience(clock)
        self.reach = StoreReach(self._probe, clock)

    @property
    def era(self) -> int:
        """Highest era of an answer, of the store or of a reader."""
        return self.readers.era

    async def list_page(self, prefix: str, after: str) -> Page:
        """Return all items from a reader, or a page of the store."""
        began_s = self.clock()
        page = None if after else await self._list_at_reader(prefix)
        if page is None:
            page = await self.store.list_page(prefix, after)
            self.readers.record_heard(prefix)
        emit(
            LogEvent.store_listed,
            prefix=prefix,
            items=len(page.items),
            source='the store' if page.reader_times is None else 'a reader',
            took_ms=round((self.clock() - began_s) * MILLISECONDS),
        )
        return page

    async def wait_for_changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> StoreChanges | HistoryLost:
        """Wait for changes at a reader, or at the store.

        A reader may be waited for less long: its calls cost little, and one
        that was suspended is noticed sooner. When the store has been silent
        for too long, it is asked at once whether it has news.
        """
        self.readers.watched.add(prefix)
        while reader := self.readers.find():
            try:
                async with self.reach.until_new_state():
                    answer = await self.readers.poll(
                        reader, prefix, after_revision, wait_s
                    )
            except TimeoutError:
                return await self._read_news(
                    prefix, after_revision, self.reach.newest
                )
            if answer is not None:
                return answer
            if not self.readers.left_s(prefix):
                return await self._check_store(prefix, after_revision)
        return await self._wait_at_store(prefix, after_revision, wait_s)

    async def grant_lease(self, ttl_s: float) -> Lease:
        return await self.store.grant_lease(ttl_s)

    async def keep_lease(self, lease_id: int) -> None:
        await self.store.keep_lease(lease_id)

    async def end_lease(self, lease_id: int) -> None:
        await self.store.end_lease(lease_id)

    async def put(self, key: str, value: bytes, lease_id: int) -> None:
        await self.store.put(key, value, lease_id)

    async def commit(self, transaction: Transaction) -> int:
        return await self.store.commit(transaction)

    async def _list_at_reader(self, prefix: str) -> Page | None:
        """Return all items from a reader; ``None`` if none is of use."""
        if prefix not in self.readers.watched:
            return await self._list_at_any(prefix)
        page = await self._list_at(self.readers.find(), prefix)
        if page is None:
            page = await self._list_at(self.readers.find(first=True), prefix)
        return page

    async def _list_at(self, reader: str, prefix: str) -> Page | None:
        """Return all items from a reader, if there is one that is of use."""
        return (
            await self.readers.list_items(reader, prefix, 0) if reader else None
        )

    async def _list_at_any(self, prefix: str) -> Page | None:
        """Return all items from the first reader that is of use.

        Of processes that start together, one may have to wait until its
        reader has read the store.
        """
        ends_s = self.clock() + START_LIMIT_S
        tried = 0
        while tried < START_READERS and self.clock() < ends_s:
            tried += 1
            reader = self.readers.find()
            reader = reader or await self.find_feed(self.readers.avoided())
            if not reader:
                return None
            page = await self.readers.list_items(reader, prefix, START_WAIT_S)
            if page is not None:
                return page
            await asyncio.sleep(START_PAUSE_S)
        return None

    async def _check_store(
        self, prefix: str, after_revision: int
    ) -> StoreChanges | HistoryLost:
        """Return what the store has now, from a reader that gets it in time.

        Its revision is asked for first: the news themselves may be large, and
        other processes may want them over the same link.
        """
        try:
            newest = await self._probe()
        except StoreUnavailable:
            answer = await self._ask_others(prefix, after_revision)
            if answer is None:
                raise
            return answer
        return await self._read_news(prefix, after_revision, newest)

    async def _ask_others(
        self, prefix: str, after_revision: int
    ) -> StoreChanges | HistoryLost | None:
        """Read what some other readers have, which the store may answer."""
        answer = None
        tried = 0
        while answer is None and tried < OTHER_READERS:
            tried += 1
            reader = self.readers.find()
            if not reader:
                break
            answer = await self.readers.poll(reader, prefix, after_revision, 0)
        return answer

    async def _read_news(
        self, prefix: str, after_revision: int, newest: Position
    ) -> StoreChanges | HistoryLost:
        """Return what is new, and nothing if the store has no other revision.

        :param newest: state that the store was in a moment ago.
        """
        if newest.revision == after_revision:
            self.readers.record_heard(prefix)
            return StoreChanges((), after_revision, era=newest.era)
        began_s = self.clock()
        answer = await self._read_from_any(prefix, after_revision, newest)
        if isinstance(answer, StoreChanges):
            from_store = answer.reader_times is None
            emit(
                LogEvent.store_news_read,
                revision=answer.revision,
                newest=newest.revision,
                source='the store' if from_store else 'a reader',
                took_ms=round((self.clock() - began_s) * MILLISECONDS),
            )
        return answer

    async def _read_from_any(
        self, prefix: str, after_revision: int, newest: Position
    ) -> StoreChanges | HistoryLost:
        """Return what is new from a reader that gets it, or the store."""
        # Those that had not heard of the store may be reading the news now.
        self.readers.forgive_outdated()
        answer = await self._catch_up(prefix, after_revision, newest)
        if answer is None:
            return await self._call_store(prefix, after_revision, CHECK_WAIT_S)
        self.readers.record_news()
        return answer

    async def _probe(self) -> Position:
        """Return the state of the store, by a small call."""
        sent_s = self.clock()
        try:
            page = await self.store.list_page(self.probe_prefix, '')
        except StoreUnavailable:
            self._record_failure(sent_s)
            raise
        newest = Position(page.era, page.revision)
        self.reach.record_answer(newest)
        self.patience.record_answer(self.clock() - sent_s)
        if self.patience.take_return():
            # Readers that had not heard of the store either may hear of it now.
            self.readers.forgive_outdated()
        return newest

    async def _catch_up(
        self, prefix: str, after_revision: int, newest: Position
    ) -> StoreChanges | HistoryLost | None:
        """Read news through readers that get them in time, if there are any.

        All processes of the zone wait for the same reader, the first one of
        their common order that the store answers. It reads the news once for
        all.
        """
        avoid_s = LAGGING_AVOID_S if self.patience.is_long else AVOID_S
        tried: set[str] = set()
        while reader := self.readers.find(first=True):
            if reader in tried:
                break
            tried.add(reader)
            answer = await self._follow(reader, prefix, after_revision, newest)
            match answer:
                case Behind(reach):
                    cause = (
                        f'it has no revision {newest.revision} yet, and of its '
                        f'calls of the store the last is {reach.name}'
                    )
                    self.readers.avoid(reader, cause, avoid_s)
                case StoreChanges() | HistoryLost():
                    return answer
        return None

    async def _follow(
        self, reader: str, prefix: str, after_revision: int, wanted: Position
    ) -> StoreChanges | HistoryLost | Behind | None:
        """Read news through a reader for as long as it may get them."""
        began_s = self.clock()
        answer = await self.readers.poll_for(
            reader, prefix, after_revision, self.patience.contact_s, wanted
        )
        with self.reach.following_reader():
            while isinstance(answer, Behind):
                waited_s = self.clock() - began_s
                wait_s = self.patience.next_wait_s(answer.reach, waited_s)
                if not wait_s:
                    break
                answer = await self.readers.poll_for(
                    reader, prefix, after_revision, wait_s, wanted
                )
        return answer

    async def _wait_at_store(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> StoreChanges | HistoryLost:
        """Wait for changes at the store.

        After a call without an answer a small one goes first. It arrives when
        the link has passed what was sent before; the same news once more would
        only lengthen that. Then another reader may be of use again.
        """
        if self.patience.is_long:
            newest = await self._probe()
            if self.readers.find(first=True):
                return await self._read_news(prefix, after_revision, newest)
        return await self._call_store(prefix, after_revision, wait_s)

    async def _call_store(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> StoreChanges | HistoryLost:
        sent_s = self.clock()
        try:
            with self.reach.reading_after(after_revision):
                answer = await self.store.wait_for_changes(
                    prefix, after_revision, wait_s
                )
        except StoreUnavailable:
            self._record_failure(sent_s)
            raise
        self.readers.record_heard(prefix)
        self.readers.record_news()
        if isinstance(answer, StoreChanges):
            self.reach.record_answer(Position(answer.era, answer.revision))
            late_s = self.clock() - sent_s - wait_s
            log_late(prefix, 'the store', late_s, len(answer.changes))
        return answer

    def _record_failure(self, sent_s: float) -> None:
        self.patience.record_failure()
        self.reach.record_failure(sent_s)


async def _find_none(avoided: Container[str]) -> str:
    """Return no reader."""
    return ''
