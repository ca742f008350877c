"""Reads the store through another process of the zone where possible."""

from collections.abc import Callable
from typing import final
from urllib.parse import quote

from google.protobuf.message import DecodeError

from bramleylug.observability.events import LogEvent, emit
from bramleylug.store.changes import (
    HistoryLost,
    Lease,
    Page,
    ReaderTimes,
    StoreChanges,
    StoreItem,
    WatchableStore,
)
from bramleylug.store.feed import MICROSECONDS, changes_of, decode
from bramleylug.web.http_client import CALL_ERRORS, CallAnswer, HttpClients
from bramleylug.wire.feed_pb2 import FeedAnswer

CONNECT_TIMEOUT_S = 0.3
LISTING_TIMEOUT_S = 1.0
MAX_READER_WAIT_S = 1.0
# How much later than the requested wait a reader may answer.
WAIT_MARGIN_S = 0.35
# A reader that failed, or whose own copy of the store is too old, is left
# alone for this long.
AVOID_S = 2.0
MILLISECONDS = 1000
CHANGES_PATH = '/changes'
ITEMS_PATH = '/items'
OK_STATUS = 200
FEED_ERRORS = (*CALL_ERRORS, DecodeError, ValueError)


@final
class ZoneStore:
    """The store, read through a reader of the zone if one is of use.

    Only reads go through the reader; leases and writes go to the store. An
    answer of the reader is worth what its own confirmation is: it carries the
    age of that, and one that is too old, or of an earlier era, is replaced by
    a call of the store itself.

    :param store: the store itself.
    :param choose_reader: returns the address of the reader to use; empty to
        call the store.
    :param max_age_s: age of the reader's confirmation that is accepted.
    :param confirms: whether each confirmation is wanted, also without changes.
    :param clock: seconds that also count while the host is suspended.
    :ivar avoid_until_s: until when the store is called, by reader.
    """

    def __init__(
        self,
        store: WatchableStore,
        choose_reader: Callable[[], str],
        clock: Callable[[], float],
        *,
        max_age_s: float,
        confirms: bool,
    ) -> None:
        self.store = store
        self.choose_reader = choose_reader
        self.clock = clock
        self.max_age_s = max_age_s
        self.confirms = confirms
        self.clients = HttpClients(connect_timeout_s=CONNECT_TIMEOUT_S)
        self.avoid_until_s: dict[str, float] = {}
        self.reader = ''
        self.feed_era = 0

    @property
    def era(self) -> int:
        """Highest era of an answer, of the store or of a reader."""
        return max(self.store.era, self.feed_era)

    async def list_page(self, prefix: str, after: str) -> Page:
        """Return all items from a reader, or a page of the store."""
        if not after:
            answer = await self._call(
                f'{ITEMS_PATH}?prefix={quote(prefix)}', LISTING_TIMEOUT_S
            )
            if answer is not None:
                items = tuple(
                    item
                    for item in changes_of(answer)
                    if isinstance(item, StoreItem)
                )
                return Page(
                    items,
                    int(answer.revision),
                    more=False,
                    era=int(answer.era),
                    reader_times=times_of(answer),
                )
        return await self.store.list_page(prefix, after)

    async def wait_for_changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> StoreChanges | HistoryLost:
        """Wait for changes at a reader, or at the store.

        A reader may be waited for less long: its calls cost little, and one
        that was suspended is noticed sooner.
        """
        reader_wait_s = min(wait_s, MAX_READER_WAIT_S)
        target = (
            f'{CHANGES_PATH}?prefix={quote(prefix)}&after={after_revision}'
            f'&wait_ms={int(reader_wait_s * MILLISECONDS)}'
            f'&confirms={int(self.confirms)}'
        )
        answer = await self._call(target, reader_wait_s + WAIT_MARGIN_S)
        if answer is None:
            return await self.store.wait_for_changes(
                prefix, after_revision, wait_s
            )
        if answer.history_lost:
            return HistoryLost()
        return StoreChanges(
            tuple(changes_of(answer)),
            int(answer.revision),
            era=int(answer.era),
            reader_times=times_of(answer),
        )

    async def grant_lease(self, ttl_s: float) -> Lease:
        return await self.store.grant_lease(ttl_s)

    async def keep_lease(self, lease_id: int) -> None:
        await self.store.keep_lease(lease_id)

    async def end_lease(self, lease_id: int) -> None:
        await self.store.end_lease(lease_id)

    async def put(self, key: str, value: bytes, lease_id: int) -> None:
        await self.store.put(key, value, lease_id)

    async def _call(self, target: str, timeout_s: float) -> FeedAnswer | None:
        """Return the answer of the reader; ``None`` if there is no use."""
        reader = self.choose_reader()
        self._log_reader(reader)
        if not reader or self.clock() < self.avoid_until_s.get(reader, 0):
            return None
        sent_s = self.clock()
        try:
            answer = _decode(
                await self.clients.get(reader, target, timeout_s=timeout_s)
            )
        except FEED_ERRORS as error:
            self._avoid(reader, repr(error))
            return None
        cause = self._rejection_cause(answer, sent_s)
        if cause:
            self._avoid(reader, cause)
            return None
        self.feed_era = int(answer.era)
        return answer

    def _rejection_cause(self, answer: FeedAnswer, sent_s: float) -> str:
        """Return why an answer is of no use; empty if it is."""
        if answer.era < self.era:
            return f'it is in era {answer.era}'
        age_s = self.clock() - sent_s - times_of(answer).confirmed_after_s
        if age_s > self.max_age_s:
            return f'its data are {age_s:.1f} s old'
        return ''

    def _avoid(self, reader: str, cause: str) -> None:
        self.avoid_until_s = {
            other: until_s
            for other, until_s in self.avoid_until_s.items()
            if until_s > self.clock()
        }
        self.avoid_until_s[reader] = self.clock() + AVOID_S
        emit(LogEvent.reader_avoided, reader=reader, cause=cause, for_s=AVOID_S)

    def _log_reader(self, reader: str) -> None:
        if reader != self.reader:
            emit(LogEvent.reader_chosen, reader=reader or 'the store itself')
            self.reader = reader


def _decode(answer: CallAnswer) -> FeedAnswer:
    if answer.status != OK_STATUS:
        raise ValueError(f'reader answered with status {answer.status}')
    return decode(
        answer.body,
        compressed=answer.headers.get('content-encoding') == 'deflate',
    )


def times_of(answer: FeedAnswer) -> ReaderTimes:
    """Return the times in an answer of a reader, in seconds."""
    return ReaderTimes(
        answer.confirmed_after_us / MICROSECONDS,
        answer.written_after_us / MICROSECONDS,
    )
