"""Passes what a process reads from the store on to others of its zone.

Every process would otherwise read the store by itself: each change would end
as many calls as there are processes, and each confirmation would be a call of
its own.
"""

import asyncio
import zlib
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from hashlib import sha256
from itertools import takewhile
from typing import Any, NamedTuple, final

from bramleylug.store.changes import (
    Position,
    Removal,
    StoreChange,
    StoreItem,
)
from bramleylug.store.mirror import Mirror
from bramleylug.store.store_reach import Reach
from bramleylug.wire.feed_pb2 import (
    STORE_REACH_ANSWERED,
    STORE_REACH_FAILED,
    STORE_REACH_UNKNOWN,
    FeedAnswer,
    FeedChange,
)

MICROSECONDS = 1_000_000
# Changes that a poll may be behind; one that is further behind is told to
# list all items again.
MAX_CHANGES = 4096
# Answers from this size on are compressed: a large configuration goes to all
# processes of a zone at the same time.
COMPRESSED_FROM_BYTES = 2048
COMPRESSION_LEVEL = 1
# Compressed changes that are kept for further answers. Processes that poll a
# reader have one of few prefixes.
MAX_SHARED = 4
# A short compressed answer may stand for any number of bytes.
MAX_DECODED_BYTES = 33554432
REACH_NUMBERS = {
    Reach.unknown: STORE_REACH_UNKNOWN,
    Reach.answered: STORE_REACH_ANSWERED,
    Reach.failed: STORE_REACH_FAILED,
}
REACH_BY_NUMBER = {number: reach for reach, number in REACH_NUMBERS.items()}


class Poll(NamedTuple):
    """A call that waits for changes.

    :ivar after: revision after which changes are wanted.
    :ivar wait_s: how long it may be held open.
    :ivar confirms: whether an answered read of the store is news, too.
    :ivar arrived_s: when it arrived.
    :ivar at_least: state of the store that is waited for; ``None`` for any
        news.
    """

    prefix: str
    after: int
    wait_s: float
    confirms: bool
    arrived_s: float
    at_least: Position | None = None


@final
@dataclass(slots=True)
class FeedRecord:
    """A change that was read from the store.

    :ivar written_after_s: time after which it was written to the store.
    :ivar change: ``None`` once a later change of the same key has been read,
        so that a replaced value does not stay in memory.
    """

    key: str
    revision: int
    written_after_s: float
    change: StoreChange | None


@final
class ChangeFeed:
    """Changes that this process read, for processes that poll it.

    A poll gets the latest change of each key, and so at most as many bytes as
    a listing.

    :param mirror: copy of the store of this process, of all keys.
    :param clock: seconds that also count while the host is suspended.
    :ivar records: changes since ``start_revision``, in the order of their
        revisions.
    :ivar latest: record of the latest change by key.
    :ivar news: set, and replaced, after each answer of the store.
    :ivar encoder: encodes the answers.
    """

    def __init__(self, mirror: Mirror, clock: Callable[[], float]) -> None:
        self.mirror = mirror
        self.clock = clock
        self.records: deque[FeedRecord] = deque()
        self.latest: dict[str, FeedRecord] = {}
        self.start_revision = 0
        self.news = asyncio.Event()
        self.encoder = FeedEncoder()

    def record(self, changes: Iterable[StoreChange]) -> None:
        """Record an answer of the store; the mirror has applied it."""
        for change in sorted(changes, key=_revision):
            self._append(change)
        while len(self.records) > MAX_CHANGES:
            self._drop_oldest()
        self.announce()

    def restart(self) -> None:
        """Record that the mirror has been replaced by a full listing."""
        self.records.clear()
        self.latest.clear()
        self.start_revision = self.mirror.revision
        self.announce()

    def announce(self) -> None:
        """Let all that wait look again."""
        self.news.set()
        self.news = asyncio.Event()

    async def wait_until_loaded(self, wait_s: float) -> None:
        """Wait until the mirror is loaded, for so long at most."""
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self.mirror.loaded:
                    await self.news.wait()

    async def wait(
        self, poll: Poll, is_hopeless: Callable[[], bool] | None = None
    ) -> FeedAnswer:
        """Return the news for a poll, or an answer without any in the end.

        :param is_hopeless: whether no news can be expected; looked at again
            after each call of :meth:`announce`.
        """
        known_s = self.mirror.confirmed_s
        with suppress(TimeoutError):
            async with asyncio.timeout(poll.wait_s):
                while not (
                    self._has_news(poll, known_s)
                    or (is_hopeless and is_hopeless())
                ):
                    await self.news.wait()
        return self.answer(poll)

    def answer(self, poll: Poll) -> FeedAnswer:
        """Return what is known now."""
        answer = self._build_answer(poll.arrived_s)
        if poll.after < self.start_revision:
            answer.history_lost = True
            return answer
        found = self._find(poll)
        answer.changes.extend(
            _to_message(record.change)
            for record in found
            if record.change is not None
        )
        if found:
            # Time limits may count from a change that was replaced since.
            written_after_s = min(record.written_after_s for record in found)
            answer.written_after_us = _offset_us(
                written_after_s, poll.arrived_s
            )
        return answer

    def listing(self, prefix: str, arrived_s: float) -> FeedAnswer:
        """Return all items that the store has under a prefix."""
        answer = self._build_answer(arrived_s)
        answer.changes.extend(
            _to_message(item)
            for item in self.mirror.stored_items()
            if item.key.startswith(prefix)
        )
        return answer

    def _build_answer(self, arrived_s: float) -> FeedAnswer:
        confirmed_us = _offset_us(self.mirror.confirmed_s, arrived_s)
        return FeedAnswer(
            era=self.mirror.era,
            revision=self.mirror.revision,
            confirmed_after_us=confirmed_us,
            written_after_us=confirmed_us,
            heard_after_us=_offset_us(self.mirror.heard_s, arrived_s),
        )

    def _has_news(self, poll: Poll, known_s: float) -> bool:
        if poll.at_least is not None:
            return self.mirror.position >= poll.at_least
        if poll.confirms and self.mirror.confirmed_s > known_s:
            return True
        return poll.after < self.start_revision or bool(self._find(poll))

    def _append(self, change: StoreChange) -> None:
        replaced = self.latest.get(change.key)
        if replaced is not None:
            if change.revision <= replaced.revision:
                return
            replaced.change = None
        record = FeedRecord(
            change.key,
            change.revision,
            self.mirror.changes_written_after_s,
            change,
        )
        self.latest[change.key] = record
        self.records.append(record)

    def _drop_oldest(self) -> None:
        oldest = self.records.popleft()
        self.start_revision = oldest.revision
        if oldest.change is not None:
            self.latest.pop(oldest.key)

    def _find(self, poll: Poll) -> list[FeedRecord]:
        """Return the records that a poll has not seen, the oldest first."""
        later = takewhile(
            lambda record: record.revision > poll.after, reversed(self.records)
        )
        found = [
            record for record in later if record.key.startswith(poll.prefix)
        ]
        found.reverse()
        return found


class _CompressedChanges(NamedTuple):
    """The start of a compressed answer.

    :ivar stream: compressor that can continue after it.
    """

    start: bytes
    stream: Any


@final
class FeedEncoder:
    """Encodes answers; changes that many of them share are compressed once.

    :ivar recent: compressed changes by the digest of their bytes, the latest
        one last.
    """

    def __init__(self) -> None:
        self.recent: dict[bytes, _CompressedChanges] = {}

    def encode(self, answer: FeedAnswer) -> tuple[bytes, bool]:
        """Return the bytes of an answer, and whether they are compressed.

        Fields of a message may follow each other in any order, so that the
        changes can go first.
        """
        if answer.ByteSize() < COMPRESSED_FROM_BYTES:
            return answer.SerializeToString(), False
        shared = self._compress(
            FeedAnswer(changes=answer.changes).SerializeToString()
        )
        own = FeedAnswer()
        own.CopyFrom(answer)
        own.ClearField('changes')
        stream = shared.stream.copy()
        rest = stream.compress(own.SerializeToString()) + stream.flush()
        return shared.start + rest, True

    def _compress(self, changes: bytes) -> _CompressedChanges:
        digest = sha256(changes).digest()
        found = self.recent.pop(digest, None)
        if found is None:
            stream = zlib.compressobj(COMPRESSION_LEVEL)
            start = stream.compress(changes) + stream.flush(zlib.Z_FULL_FLUSH)
            found = _CompressedChanges(start, stream)
        self.recent[digest] = found
        for oldest in tuple(self.recent)[:-MAX_SHARED]:
            self.recent.pop(oldest)
        return found


def decode(raw: bytes, *, compressed: bool) -> FeedAnswer:
    """Return an answer from its bytes.

    :raises ValueError: when they cannot be decompressed, or are more than
        :data:`MAX_DECODED_BYTES` then.
    :raises google.protobuf.message.DecodeError: when they are no answer.
    """
    return FeedAnswer.FromString(_decompress(raw) if compressed else raw)


def _decompress(raw: bytes) -> bytes:
    stream = zlib.decompressobj()
    try:
        decoded = stream.decompress(raw, MAX_DECODED_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if stream.unconsumed_tail:
        raise ValueError(f'answer has more than {MAX_DECODED_BYTES} bytes')
    if not stream.eof:
        raise ValueError('compressed answer is incomplete')
    return decoded


def changes_of(answer: FeedAnswer) -> Iterable[StoreChange]:
    """Return the changes in an answer."""
    return tuple(_from_message(change) for change in answer.changes)


def reach_of(answer: FeedAnswer) -> Reach:
    """Return whether the store answers the sender of an answer.

    Unknown where that is a process of another version.
    """
    return REACH_BY_NUMBER.get(answer.store_reach, Reach.unknown)


def _revision(change: StoreChange) -> int:
    return change.revision


def _offset_us(at_s: float, arrived_s: float) -> int:
    return int((at_s - arrived_s) * MICROSECONDS)


def _to_message(change: StoreChange) -> FeedChange:
    match change:
        case StoreItem(key, value, revision, lease_id):
            return FeedChange(
                key=key, revision=revision, value=value, lease_id=lease_id
            )
        case Removal(key, revision):
            return FeedChange(key=key, revision=revision, removed=True)


def _from_message(message: FeedChange) -> StoreChange:
    if message.removed:
        return Removal(message.key, int(message.revision))
    return StoreItem(
        message.key,
        message.value,
        int(message.revision),
        int(message.lease_id),
    )
