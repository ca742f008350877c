"""The processes of a zone through which others read the store."""

from collections.abc import Callable, Container
from dataclasses import dataclass
from typing import Protocol, final
from urllib.parse import quote

from google.protobuf.message import DecodeError

from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import STORE_BYTES, add
from bramleylug.store.changes import (
    HistoryLost,
    Page,
    Position,
    ReaderTimes,
    StoreChanges,
    StoreItem,
)
from bramleylug.store.feed import (
    MICROSECONDS,
    changes_of,
    decode,
    reach_of,
)
from bramleylug.store.read_schedule import POLL_LAG_S, ReadSchedule
from bramleylug.store.store_reach import Reach
from bramleylug.web.http_client import CALL_ERRORS, CallAnswer, HttpClients
from bramleylug.wire.feed_pb2 import FeedAnswer

CONNECT_TIMEOUT_S = 0.3
# A listing that is arriving may take longer.
LISTING_TIMEOUT_S = 1.0
LISTING_LIMIT_S = 5.0
MAX_READER_WAIT_S = 1.0
# How much later than the requested wait a reader may answer.
WAIT_MARGIN_S = 0.35
# A reader that failed, or whose own copy of the store is too old, is left
# alone for this long.
AVOID_S = 2.0
FORGET_S = 60.0
# An answer that is later than this is logged.
LATE_ANSWER_S = 0.5
MILLISECONDS = 1000
CHANGES_PATH = '/changes'
ITEMS_PATH = '/items'
OK_STATUS = 200
FEED_ERRORS = (*CALL_ERRORS, DecodeError, ValueError)


@final
@dataclass(frozen=True, slots=True)
class Behind:
    """A reader answered that does not have the wanted news.

    :ivar reach: whether the store answers it.
    """

    reach: Reach


class ReaderChoice(Protocol):
    """Chooses the reader of a process."""

    def __call__(self, avoided: Container[str], *, first: bool = False) -> str:
        """Return the address of a reader; empty to call the store.

        :param avoided: addresses that were of no use a moment ago.
        :param first: whether it is to be the one that reads for the others.
        """


@final
class ZoneReaders:
    """Calls the readers of a zone, and knows which are of no use.

    The answers of a reader carry the time at which it heard of the store. One
    that heard of it too long ago, or is in an earlier era, is avoided for a
    while, as one that does not answer.

    :param clock: seconds that also count while the host is suspended.
    :param schedule: how long ago a reader may have heard of the store.
    :param store_era: returns the highest era of an answer of the store itself.
    :param confirms: whether each confirmation is wanted, also without changes.
    :ivar avoid_until_s: until when each reader is avoided; those that have
        been of use since are not among them.
    :ivar outdated: readers that had not heard of the store for too long since
        this process had its news last.
    :ivar heard_s: when the store was heard of last, by prefix.
    :ivar watched: prefixes that are kept current, whose changes have to be
        known in time.
    :ivar answered_era: highest era of an answer of a reader.
    """

    def __init__(
        self,
        choose: ReaderChoice,
        clock: Callable[[], float],
        schedule: ReadSchedule,
        store_era: Callable[[], int],
        *,
        confirms: bool,
    ) -> None:
        self.store_era = store_era
        self.choose = choose
        self.clock = clock
        self.schedule = schedule
        self.confirms = confirms
        self.clients = HttpClients(connect_timeout_s=CONNECT_TIMEOUT_S)
        self.avoid_until_s: dict[str, float] = {}
        self.outdated: set[str] = set()
        self.heard_s: dict[str, float] = {}
        self.watched: set[str] = set()
        self.reader = ''
        self.answered_era = 0

    @property
    def era(self) -> int:
        """Highest era of an answer, of the store or of a reader."""
        return max(self.store_era(), self.answered_era)

    def find(self, *, first: bool = False) -> str:
        """Return the address of a reader; empty to call the store.

        :param first: whether it is to be the one that reads for the others.
        """
        reader = self.choose(self.avoided(), first=first)
        if reader != self.reader and not first:
            emit(LogEvent.reader_chosen, reader=reader or 'the store itself')
            self.reader = reader
        return reader

    def avoided(self) -> set[str]:
        """Return the addresses that are avoided now."""
        now_s = self.clock()
        return {
            reader
            for reader, until_s in self.avoid_until_s.items()
            if now_s < until_s
        }

    def left_s(self, prefix: str) -> float:
        """Return the time until the store has been silent for too long."""
        heard_s = self.heard_s.get(prefix, float('-inf'))
        silent_s = heard_s + self.schedule.silence_s
        return max(0.0, silent_s - self.clock())

    def record_heard(self, prefix: str) -> None:
        """Record that the store itself has answered."""
        self.heard_s[prefix] = self.clock()

    def record_news(self) -> None:
        """Record that this process has what the store had."""
        self.outdated.clear()

    def forgive_outdated(self) -> None:
        """Use those again that had not heard of the store for too long."""
        for reader in self.outdated:
            self.avoid_until_s.pop(reader, None)

    def avoid(self, reader: str, cause: str, avoid_s: float = AVOID_S) -> None:
        """Leave a reader alone for a while; logged."""
        self.avoid_until_s = {
            other: until_s
            for other, until_s in self.avoid_until_s.items()
            if until_s + FORGET_S > self.clock()
        }
        self.avoid_until_s[reader] = self.clock() + avoid_s
        emit(LogEvent.reader_avoided, reader=reader, cause=cause, for_s=avoid_s)

    async def list_items(
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

    async def poll(
        self, reader: str, prefix: str, after_revision: int, wait_s: float
    ) -> StoreChanges | HistoryLost | None:
        """Wait for changes at a reader; ``None`` if it is of no use.

        One that was of no use before is first asked for what it has now.
        """
        wait_s = self._reader_wait_s(reader, prefix, wait_s)
        target = self._poll_target(prefix, after_revision, wait_s)
        sent_s = self.clock()
        answer = await self._call(
            reader, prefix, target, wait_s + WAIT_MARGIN_S
        )
        if answer is None:
            return None
        log_late(
            prefix,
            'a reader',
            self.clock() - sent_s - wait_s,
            len(answer.changes),
        )
        return _changes_in(answer)

    async def poll_for(
        self,
        reader: str,
        prefix: str,
        after_revision: int,
        wait_s: float,
        wanted: Position,
    ) -> StoreChanges | HistoryLost | Behind | None:
        """Wait for certain news at a reader; ``None`` if it is of no use.

        :param wanted: state of the store that has them.
        """
        target = self._poll_target(
            prefix,
            after_revision,
            wait_s,
            f'&era={wanted.era}&at_least={wanted.revision}',
        )
        timeout_s = wait_s + min(WAIT_MARGIN_S, wait_s / 2)
        sent_s = self.clock()
        answer = await self._request(
            reader, target, timeout_s, timeout_s + LISTING_LIMIT_S
        )
        if answer is None:
            return None
        if _position(answer) < wanted:
            return Behind(reach_of(answer))
        if self._accept(reader, prefix, answer, sent_s):
            return _changes_in(answer)
        return None

    def _poll_target(
        self, prefix: str, after_revision: int, wait_s: float, wanted: str = ''
    ) -> str:
        return (
            f'{CHANGES_PATH}?prefix={quote(prefix)}&after={after_revision}'
            f'{wanted}&wait_ms={int(wait_s * MILLISECONDS)}'
            f'&confirms={int(self.confirms)}'
        )

    def _reader_wait_s(self, reader: str, prefix: str, wait_s: float) -> float:
        """Return how long a reader may hold a poll for any news."""
        if reader in self.avoid_until_s:
            return 0.0
        return min(wait_s, MAX_READER_WAIT_S, self.left_s(prefix))

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
            limit_s = self.left_s(prefix) + POLL_LAG_S
            timeout_s = min(timeout_s, limit_s)
        answer = await self._request(reader, target, timeout_s, limit_s)
        if answer is None or not self._accept(reader, prefix, answer, sent_s):
            return None
        return answer

    async def _request(
        self, reader: str, target: str, timeout_s: float, limit_s: float
    ) -> FeedAnswer | None:
        """Return the answer of the reader; ``None`` if there is none."""
        try:
            raw = await self.clients.get(
                reader, target, timeout_s=timeout_s, limit_s=limit_s
            )
            add(STORE_BYTES, len(raw.body), source='reader')
            return _decode(raw)
        except FEED_ERRORS as error:
            self.avoid(reader, repr(error))
            return None

    def _accept(
        self, reader: str, prefix: str, answer: FeedAnswer, sent_s: float
    ) -> bool:
        """Return whether an answer is of use; avoid its sender otherwise.

        :param sent_s: when the reader was called.
        """
        heard_s = sent_s + times_of(answer).heard_after_s
        cause = self._rejection_cause(answer, heard_s)
        if cause:
            self._avoid_outdated(reader, cause)
            return False
        self.avoid_until_s.pop(reader, None)
        self.answered_era = int(answer.era)
        self.heard_s[prefix] = max(heard_s, self.heard_s.get(prefix, heard_s))
        return True

    def _rejection_cause(self, answer: FeedAnswer, heard_s: float) -> str:
        """Return why an answer is of no use; empty if it is."""
        if answer.era < self.era:
            return f'it is in era {answer.era}'
        age_s = self.clock() - heard_s
        if age_s > self.schedule.silence_s:
            return f'it heard of the store {age_s:.1f} s ago'
        return ''

    def _avoid_outdated(self, reader: str, cause: str) -> None:
        """Avoid a reader that answers; logged once while nobody has news."""
        if reader in self.outdated:
            self.avoid_until_s[reader] = self.clock() + AVOID_S
            return
        self.outdated.add(reader)
        self.avoid(reader, cause)


def log_late(prefix: str, source: str, late_s: float, changes: int) -> None:
    """Log an answer that is late, from the store or from a reader."""
    if late_s > LATE_ANSWER_S:
        emit(
            LogEvent.store_answer_late,
            prefix=prefix,
            source=source,
            late_ms=round(late_s * MILLISECONDS),
            changes=changes,
        )


def _position(answer: FeedAnswer) -> Position:
    return Position(int(answer.era), int(answer.revision))


def _changes_in(answer: FeedAnswer) -> StoreChanges | HistoryLost:
    if answer.history_lost:
        return HistoryLost()
    return StoreChanges(
        tuple(changes_of(answer)),
        int(answer.revision),
        era=int(answer.era),
        reader_times=times_of(answer),
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
