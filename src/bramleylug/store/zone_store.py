"""Reads the store through another process of the zone where possible."""

import asyncio
from collections.abc import Awaitable, Callable, Container
from typing import final
from urllib.parse import quote

from google.protobuf.message import DecodeError

from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import STORE_BYTES, add
from bramleylug.store.changes import (
    HistoryLost,
    Lease,
    Page,
    ReaderTimes,
    StoreChanges,
    StoreItem,
    Transaction,
    WatchableStore,
)
from bramleylug.store.feed import MICROSECONDS, changes_of, decode
from bramleylug.store.read_schedule import POLL_LAG_S, ReadSchedule
from bramleylug.web.http_client import CALL_ERRORS, CallAnswer, HttpClients
from bramleylug.wire.feed_pb2 import FeedAnswer

CONNECT_TIMEOUT_S = 0.3
# A listing that is arriving may take longer.
LISTING_TIMEOUT_S = 1.0
LISTING_LIMIT_S = 5.0
# Wait for a reader that is itself reading the store for the first time, and
# the readers that are tried one after the other, with a pause in which the next
# one may start.
START_WAIT_S = 2.0
START_READERS = 4
START_PAUSE_S = 0.25
START_LIMIT_S = 6.0
MAX_READER_WAIT_S = 1.0
# How much later than the requested wait a reader may answer.
WAIT_MARGIN_S = 0.35
# Wait of a call that asks the store what it has now.
CHECK_WAIT_S = 0.001
# A reader that failed, or whose own copy of the store is too old, is left
# alone for this long.
AVOID_S = 2.0
# An answer that is later than this is logged.
LATE_ANSWER_S = 0.5
FORGET_S = 60.0
MILLISECONDS = 1000
CHANGES_PATH = '/changes'
ITEMS_PATH = '/items'
OK_STATUS = 200
FEED_ERRORS = (*CALL_ERRORS, DecodeError, ValueError)


@final
class ZoneStore:
    """The store, read through a reader of the zone if one is of use.

    Only reads go through the reader; leases and writes go to the store. The
    answers of the reader carry the time at which it heard of the store. When
    that is too long ago, or the reader does not answer by then, the store
    itself is called at once, and another reader is looked for. The same holds
    for an answer of an earlier era.

    :param store: the store itself.
    :param choose_reader: returns the address of the reader to use, given those
        that are avoided; empty to call the store.
    :param schedule: how long ago the reader may have heard of the store.
    :param confirms: whether each confirmation is wanted, also without changes.
    :param find_feed: as ``choose_reader``, of a process that has not read the
        store yet.
    :param clock: seconds that also count while the host is suspended.
    :ivar avoid_until_s: until when each reader is avoided; those that have
        been of use since are not among them.
    :ivar heard_s: when the store was heard of last, by prefix.
    :ivar watched: prefixes that are kept current, whose changes have to be
        known in time.
    """

    def __init__(
        self,
        store: WatchableStore,
        choose_reader: Callable[[Container[str]], str],
        clock: Callable[[], float],
        schedule: ReadSchedule,
        *,
        confirms: bool,
        find_feed: Callable[[Container[str]], Awaitable[str]] | None = None,
    ) -> None:
        self.store = store
        self.choose_reader = choose_reader
        self.clock = clock
        self.schedule = schedule
        self.confirms = confirms
        self.find_feed = find_feed or _find_none
        self.clients = HttpClients(connect_timeout_s=CONNECT_TIMEOUT_S)
        self.avoid_until_s: dict[str, float] = {}
        self.heard_s: dict[str, float] = {}
        self.watched: set[str] = set()
        self.reader = ''
        self.feed_era = 0

    @property
    def era(self) -> int:
        """Highest era of an answer, of the store or of a reader."""
        return max(self.store.era, self.feed_era)

    async def list_page(self, prefix: str, after: str) -> Page:
        """Return all items from a reader, or a page of the store."""
        began_s = self.clock()
        page = None if after else await self._list_at_reader(prefix)
        if page is None:
            page = await self.store.list_page(prefix, after)
            self.heard_s[prefix] = self.clock()
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
        for too long, it is asked at once for what it has.
        """
        self.watched.add(prefix)
        while reader := self._find_reader():
            answer = await self._poll(reader, prefix, after_revision, wait_s)
            if answer is not None:
                return answer
            if not self._left_s(prefix):
                return await self._wait_at_store(
                    prefix, after_revision, CHECK_WAIT_S
                )
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
        if prefix not in self.watched:
            return await self._list_at_any(prefix)
        reader = self._find_reader()
        return await self._list_at(reader, prefix, 0) if reader else None

    async def _list_at_any(self, prefix: str) -> Page | None:
        """Return all items from the first reader that is of use.

        Of processes that start together, one may have to wait until its
        reader has read the store.
        """
        ends_s = self.clock() + START_LIMIT_S
        tried = 0
        while tried < START_READERS and self.clock() < ends_s:
            tried += 1
            reader = self._find_reader()
            reader = reader or await self.find_feed(self._avoided())
            if not reader:
                return None
            page = await self._list_at(reader, prefix, START_WAIT_S)
            if page is not None:
                return page
            await asyncio.sleep(START_PAUSE_S)
        return None

    async def _list_at(
        self, reader: str, prefix: str, wait_s: float
    ) -> Page | None:
        """Return all items from a reader; ``None`` if it is of no use.

        :param wait_s: how long it may wait until it has read the store.
        """
        target = (
            f'{ITEMS_PATH}?prefix={quote(prefix)}'
            f'&wait_ms={int(wait_s * MILLISECONDS)}'
        )
        answer = await self._call(
            reader, prefix, target, wait_s + LISTING_TIMEOUT_S
        )
        if answer is None:
            return None
        listed = tuple(
            item for item in changes_of(answer) if isinstance(item, StoreItem)
        )
        return Page(
            listed,
            int(answer.revision),
            more=False,
            era=int(answer.era),
            reader_times=times_of(answer)._replace(
                written_after_s=float('-inf')
            ),
        )

    async def _poll(
        self, reader: str, prefix: str, after_revision: int, wait_s: float
    ) -> StoreChanges | HistoryLost | None:
        """Wait for changes at a reader; ``None`` if it is of no use.

        One that was of no use before is first asked for what it has now.
        """
        reader_wait_s = 0.0
        if reader not in self.avoid_until_s:
            reader_wait_s = min(wait_s, MAX_READER_WAIT_S, self._left_s(prefix))
        target = (
            f'{CHANGES_PATH}?prefix={quote(prefix)}&after={after_revision}'
            f'&wait_ms={int(reader_wait_s * MILLISECONDS)}'
            f'&confirms={int(self.confirms)}'
        )
        sent_s = self.clock()
        answer = await self._call(
            reader, prefix, target, reader_wait_s + WAIT_MARGIN_S
        )
        if answer is None:
            return None
        if answer.history_lost:
            return HistoryLost()
        late_s = self.clock() - sent_s - reader_wait_s
        _log_late(prefix, 'a reader', late_s, len(answer.changes))
        return StoreChanges(
            tuple(changes_of(answer)),
            int(answer.revision),
            era=int(answer.era),
            reader_times=times_of(answer),
        )

    async def _wait_at_store(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> StoreChanges | HistoryLost:
        sent_s = self.clock()
        answer = await self.store.wait_for_changes(
            prefix, after_revision, wait_s
        )
        self.heard_s[prefix] = self.clock()
        if isinstance(answer, StoreChanges):
            late_s = self.clock() - sent_s - wait_s
            _log_late(prefix, 'the store', late_s, len(answer.changes))
        return answer

    async def _call(
        self, reader: str, prefix: str, target: str, timeout_s: float
    ) -> FeedAnswer | None:
        """Return the answer of the reader; ``None`` if it is of no use.

        Where changes have to be known in time, it is waited for no longer than
        until the store counts as silent.
        """
        sent_s = self.clock()
        limit_s = timeout_s + LISTING_LIMIT_S
        if prefix in self.watched:
            limit_s = self._left_s(prefix) + POLL_LAG_S
            timeout_s = min(timeout_s, limit_s)
        try:
            raw = await self.clients.get(
                reader, target, timeout_s=timeout_s, limit_s=limit_s
            )
            add(STORE_BYTES, len(raw.body), source='reader')
            answer = _decode(raw)
        except FEED_ERRORS as error:
            self._avoid(reader, repr(error))
            return None
        heard_s = sent_s + times_of(answer).heard_after_s
        cause = self._rejection_cause(answer, heard_s)
        if cause:
            self._avoid(reader, cause)
            return None
        self.avoid_until_s.pop(reader, None)
        self.feed_era = int(answer.era)
        self.heard_s[prefix] = max(heard_s, self.heard_s.get(prefix, heard_s))
        return answer

    def _find_reader(self) -> str:
        reader = self.choose_reader(self._avoided())
        self._log_reader(reader)
        return reader

    def _avoided(self) -> set[str]:
        now_s = self.clock()
        return {
            reader
            for reader, until_s in self.avoid_until_s.items()
            if now_s < until_s
        }

    def _left_s(self, prefix: str) -> float:
        """Return the time until the store has been silent for too long."""
        heard_s = self.heard_s.get(prefix, float('-inf'))
        silent_s = heard_s + self.schedule.silence_s
        return max(0.0, silent_s - self.clock())

    def _rejection_cause(self, answer: FeedAnswer, heard_s: float) -> str:
        """Return why an answer is of no use; empty if it is."""
        if answer.era < self.era:
            return f'it is in era {answer.era}'
        age_s = self.clock() - heard_s
        if age_s > self.schedule.silence_s:
            return f'it heard of the store {age_s:.1f} s ago'
        return ''

    def _avoid(self, reader: str, cause: str) -> None:
        self.avoid_until_s = {
            other: until_s
            for other, until_s in self.avoid_until_s.items()
            if until_s + FORGET_S > self.clock()
        }
        self.avoid_until_s[reader] = self.clock() + AVOID_S
        emit(LogEvent.reader_avoided, reader=reader, cause=cause, for_s=AVOID_S)

    def _log_reader(self, reader: str) -> None:
        if reader != self.reader:
            emit(LogEvent.reader_chosen, reader=reader or 'the store itself')
            self.reader = reader


async def _find_none(avoided: Container[str]) -> str:
    """Return no reader."""
    return ''


def _log_late(prefix: str, source: str, late_s: float, changes: int) -> None:
    if late_s > LATE_ANSWER_S:
        emit(
            LogEvent.store_answer_late,
            prefix=prefix,
            source=source,
            late_ms=round(late_s * MILLISECONDS),
            changes=changes,
        )


def _decode(answer: CallAnswer) -> FeedAnswer:
    if answer.status != OK_STATUS:
        raise ValueError(f'reader answered with status {answer.status}')
    return decode(
        answer.body,
        compressed=answer.headers.get('content-encoding') == 'deflate',
    )


def times_of(answer: FeedAnswer) -> ReaderTimes:
    """Return the times in an answer of a reader, in seconds.

    A reader of an earlier version does not say when it heard of the store.
    """
    heard_after_us = answer.confirmed_after_us
    if answer.HasField('heard_after_us'):
        heard_after_us = answer.heard_after_us
    return ReaderTimes(
        answer.confirmed_after_us / MICROSECONDS,
        answer.written_after_us / MICROSECONDS,
        heard_after_us / MICROSECONDS,
    )
