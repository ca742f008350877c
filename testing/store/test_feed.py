"""Tests of reading the store through another process of the zone."""

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from bramleylug.store.changes import (
    HistoryLost,
    Page,
    Position,
    ReaderTimes,
    Removal,
    StoreItem,
)
from bramleylug.store.feed import (
    MAX_CHANGES,
    ChangeFeed,
    FeedEncoder,
    Poll,
    changes_of,
    decode,
)
from bramleylug.store.mirror import Mirror
from bramleylug.store.read_schedule import ReadSchedule
from bramleylug.store.zone_readers import AVOID_S, ZoneReaders, times_of
from bramleylug.store.zone_store import ZoneStore
from bramleylug.web.http_client import CallAnswer
from bramleylug.wire.feed_pb2 import FeedAnswer
from testing.store.held_bytes import held_bytes
from testing.store.scripted import ScriptedStore
from testing.virtual_time import in_virtual_time

# As many bytes as a configuration of 1,400 routes.
VALUE_BYTES = 430_000
# A poll, or a change of a key: whether it is written or removed.
STEPS = st.just('poll') | st.tuples(st.sampled_from('abc'), st.booleans())


def item(key: str, revision: int, value: bytes = b'') -> StoreItem:
    """Return an item without a lease."""
    return StoreItem(key, value, revision)


class Reader:
    """A process that reads the store and passes it on.

    :ivar now_s: its clock.
    """

    def __init__(self) -> None:
        self.now_s = 100.0
        self.mirror = Mirror(3.0)
        self.feed = ChangeFeed(self.mirror, lambda: self.now_s)
        self.mirror.replace([item('a', 5)], 5, self.now_s, era=1)
        self.mirror.confirm(self.now_s, self.now_s)
        self.feed.restart()

    def read(self, *changes, revision=6) -> None:
        """Read changes from the store now."""
        self.mirror.confirm(self.now_s, self.now_s)
        self.mirror.apply(changes, revision, self.now_s)
        self.feed.record(changes)

    def poll(self, after=5, *, prefix='', wait_s=1.0, confirms=False):
        """Return a poll that arrives now."""
        return Poll(prefix, after, wait_s, confirms, self.now_s)


class TestChangeFeed(unittest.TestCase):
    """A poll gets what changed, and how old that knowledge is."""

    def setUp(self) -> None:
        self.reader = Reader()

    def test_changes_after_the_revision_are_passed_on(self) -> None:
        """Only those under the prefix."""
        self.reader.read(item('a', 6), item('b', 7), Removal('a', 8))

        answer = self.reader.feed.answer(self.reader.poll(6, prefix='a'))

        self.assertEqual(list(changes_of(answer)), [Removal('a', 8)])

    @in_virtual_time
    async def test_poll_for_a_revision_ends_when_it_is_there(self) -> None:
        """A change before it does not end it."""
        wanted = self.reader.poll()._replace(at_least=Position(1, 7))
        waiting = asyncio.create_task(self.reader.feed.wait(wanted))
        await asyncio.sleep(0.1)
        self.reader.read(item('a', 6))
        await asyncio.sleep(0.1)
        self.assertFalse(waiting.done())

        self.reader.read(item('a', 7), revision=7)

        self.assertEqual((await waiting).revision, 7)

    def test_confirmation_is_as_old_as_the_read_of_the_store(self) -> None:
        """Relative to the arrival of the poll: clocks may differ."""
        self.reader.now_s = 101.5

        answer = self.reader.feed.answer(self.reader.poll())

        self.assertEqual(answer.confirmed_after_us, -1_500_000)

    def test_changes_count_from_the_read_before_the_first_of_them(self) -> None:
        """Time limits for a change may have begun as early as that."""
        self.reader.now_s = 101.0
        self.reader.read(item('a', 6))
        self.reader.now_s = 102.0
        self.reader.read(item('b', 7), revision=7)

        answer = self.reader.feed.answer(self.reader.poll())

        self.assertEqual(answer.written_after_us, -2_000_000)

    def test_poll_that_is_too_far_behind_must_list(self) -> None:
        """The feed keeps a bounded number of changes."""
        changes = [item('a', 6 + number) for number in range(MAX_CHANGES + 1)]
        self.reader.read(*changes, revision=6 + MAX_CHANGES)

        lost = self.reader.feed.answer(self.reader.poll(5)).history_lost
        kept = self.reader.feed.answer(self.reader.poll(6)).history_lost

        self.assertEqual((lost, kept), (True, False))

    def test_listing_lacks_what_the_store_no_longer_has(self) -> None:
        """The reader itself keeps it for a while after an outage."""
        leased = StoreItem('engine', b'', 6, 7)
        self.reader.read(leased)
        self.reader.now_s = 110.0
        self.reader.read(Removal('engine', 7), revision=7)

        listing = self.reader.feed.listing('', self.reader.now_s)

        self.assertIn('engine', self.reader.mirror.items)
        self.assertEqual(list(changes_of(listing)), [item('a', 5)])

    def test_large_answers_are_compressed(self) -> None:
        """A configuration goes to all processes of a zone at once."""
        self.reader.read(item('config', 6, b'route ' * 10_000))
        answer = self.reader.feed.answer(self.reader.poll())

        raw, compressed = FeedEncoder().encode(answer)

        self.assertTrue(compressed)
        self.assertLess(len(raw), 2000)
        self.assertEqual(decode(raw, compressed=True), answer)

    @in_virtual_time
    async def test_poll_waits_for_news_under_its_prefix(self) -> None:
        waiting = asyncio.create_task(
            self.reader.feed.wait(self.reader.poll(prefix='b'))
        )
        await asyncio.sleep(0.1)
        self.reader.read(item('a', 6))
        await asyncio.sleep(0.1)
        self.assertFalse(waiting.done())
        self.reader.read(item('b', 7), revision=7)
        answer = await waiting

        self.assertEqual(list(changes_of(answer)), [item('b', 7)])

    @in_virtual_time
    async def test_confirmation_ends_the_poll_of_a_relay(self) -> None:
        """Also when nothing has changed."""
        waiting = asyncio.create_task(
            self.reader.feed.wait(self.reader.poll(confirms=True))
        )
        await asyncio.sleep(0.1)
        self.reader.now_s = 100.9
        self.reader.read(revision=5)
        answer = await waiting

        self.assertEqual(answer.confirmed_after_us, 900_000)

    @in_virtual_time
    async def test_poll_without_news_is_answered_in_the_end(self) -> None:
        answer = await self.reader.feed.wait(self.reader.poll(wait_s=1.0))

        self.assertEqual(list(answer.changes), [])


class TestReplacedChanges(unittest.TestCase):
    """Only the latest change of each key is kept and passed on."""

    def setUp(self) -> None:
        self.reader = Reader()

    def test_replaced_values_leave_the_memory(self) -> None:
        """Guards against relays killed over their memory limit (LOST)."""
        for revision in range(6, 306):
            value = revision.to_bytes(2) * (VALUE_BYTES // 2)
            self.reader.read(item('config', revision, value), revision=revision)

        self.assertLess(held_bytes(self.reader.feed.records), 2 * VALUE_BYTES)

    def test_poll_after_many_configurations_gets_one(self) -> None:
        """Guards against answers too large for a relay that woke up."""
        for revision in range(6, 31):
            self.reader.read(
                item('config', revision, b'route'), revision=revision
            )

        answer = self.reader.feed.answer(self.reader.poll())

        self.assertEqual(
            list(changes_of(answer)), [item('config', 30, b'route')]
        )

    def test_time_counts_from_the_first_replaced_change(self) -> None:
        """Guards against older weights kept too long after two versions."""
        for revision in (6, 7):
            self.reader.now_s += 1
            self.reader.read(item('version', revision), revision=revision)
        self.reader.now_s += 1

        unseen = self.reader.feed.answer(self.reader.poll(5))
        half_seen = self.reader.feed.answer(self.reader.poll(6))

        self.assertEqual(unseen.written_after_us, -3_000_000)
        self.assertEqual(half_seen.written_after_us, -2_000_000)

    @given(st.lists(STEPS, max_size=40))
    def test_followers_have_what_the_reader_has(self, steps) -> None:
        """Whichever changes are replaced between two polls."""
        reader = Reader()
        follower = Mirror(3.0)
        follower.replace([item('a', 5)], 5, reader.now_s, era=1)
        for revision, step in enumerate(steps, start=6):
            match step:
                case 'poll':
                    follow(reader, follower)
                case (key, False):
                    reader.read(Removal(key, revision), revision=revision)
                case (key, _):
                    value = b'%d' % revision
                    reader.read(item(key, revision, value), revision=revision)
        follow(reader, follower)

        self.assertEqual(follower.items, reader.mirror.items)
        self.assertEqual(follower.revision, reader.mirror.revision)


def follow(reader: Reader, follower: Mirror) -> None:
    """Apply what a poll of the reader answers."""
    answer = reader.feed.answer(reader.poll(follower.revision))
    follower.apply(changes_of(answer), int(answer.revision), reader.now_s)


class ScriptedClients:
    """Answers the calls of a reader with one message, or fails.

    :ivar later: messages that replace it, one after each call.
    """

    def __init__(self) -> None:
        self.answer: FeedAnswer | None = None
        self.later: list[FeedAnswer] = []
        self.targets: list[str] = []
        self.timeouts: list[float] = []

    async def get(self, address, target, *, timeout_s, **options):
        self.targets.append(target)
        self.timeouts.append(timeout_s)
        if self.answer is None:
            raise OSError('no reader')
        raw, compressed = FeedEncoder().encode(self.answer)
        if self.later:
            self.answer = self.later.pop(0)
        headers = {'content-encoding': 'deflate'} if compressed else {}
        return CallAnswer(200, raw, 0.0, headers)


class TestZoneStore(unittest.IsolatedAsyncioTestCase):
    """The store is called where the reader is of no use."""

    def setUp(self) -> None:
        self.now_s = 100.0
        self.store = ScriptedStore(HistoryLost(), HistoryLost())
        self.clients = ScriptedClients()
        self.address = 'relay-1:82'
        readers = ZoneReaders(
            self.choose_reader,
            lambda: self.now_s,
            ReadSchedule(2.0, 1.0),
            lambda: self.store.era,
            confirms=True,
        )
        readers.record_heard('')
        readers.clients = self.clients
        self.zone_store = ZoneStore(self.store, readers, lambda: self.now_s)

    def choose_reader(self, avoided, *, first=False) -> str:
        return '' if self.address in avoided else self.address

    def let_reader_answer(self, **fields) -> None:
        self.clients.answer = self.build_answer(**fields)

    def build_answer(self, **fields) -> FeedAnswer:
        return FeedAnswer(
            **{
                'era': 1,
                'revision': 6,
                'confirmed_after_us': -500_000,
                'heard_after_us': -200_000,
                **fields,
            }
        )

    async def wait(self):
        return await self.zone_store.wait_for_changes('', 5, 1.0)

    async def test_answer_of_the_reader_carries_its_age(self) -> None:
        self.let_reader_answer()

        answer = await self.wait()

        self.assertEqual((answer.revision, self.store.calls), (6, []))
        self.assertEqual(answer.reader_times.confirmed_after_s, -0.5)

    async def test_listing_of_the_reader_does_not_date_its_items(self) -> None:
        """Guards against requests on older weights after lost history."""
        self.let_reader_answer(written_after_us=-500_000)

        page = await self.zone_store.list_page('', '')
        mirror = Mirror(3.0)
        mirror.confirm(92.0, 92.1)
        mirror.confirm_relayed(100.0, 100.1, page.reader_times)

        self.assertEqual(mirror.changes_written_after_s, 92.0)

    async def test_old_answer_of_the_reader_is_not_used(self) -> None:
        """The reader is cut off, was frozen, or is turned away alone."""
        self.let_reader_answer(heard_after_us=-1_500_000)

        await self.wait()

        self.assertEqual(self.store.calls, [('wait', 5)])

    async def test_reader_in_an_earlier_era_is_not_used(self) -> None:
        self.store.era = 2
        self.let_reader_answer(era=1)

        await self.wait()

        self.assertEqual(self.store.calls, [('wait', 5)])

    async def test_failed_reader_is_avoided_for_a_while(self) -> None:
        """The call itself goes on at the store, at once."""
        await self.wait()
        await self.wait()
        self.assertEqual(len(self.clients.targets), 1)
        self.assertEqual(len(self.store.calls), 2)
        self.now_s += AVOID_S
        self.let_reader_answer()

        await self.wait()

        self.assertEqual(len(self.clients.targets), 2)

    async def test_suspended_reader_is_noticed_soon(self) -> None:
        """Also by a process that would wait for longer at the store."""
        await self.zone_store.wait_for_changes('', 5, 3.0)

        self.assertIn('wait_ms=1000&', self.clients.targets[0])
        self.assertLess(self.clients.timeouts[0], 1.5)

    async def test_process_without_a_reader_calls_the_store(self) -> None:
        self.address = ''

        await self.wait()

        self.assertEqual((self.clients.targets, len(self.store.calls)), ([], 1))

    async def test_silence_without_news_costs_one_small_call(self) -> None:
        """What the store has is not read again."""
        self.store.pages = [Page((), 5, more=False, era=1)]
        self.let_reader_answer(revision=5, heard_after_us=-3_000_000)
        self.now_s += 3.0

        answer = await self.wait()

        self.assertEqual((answer.revision, answer.changes), (5, ()))
        self.assertEqual(self.store.calls, [('list', '')])

    async def test_news_after_a_silence_are_asked_of_the_reader(self) -> None:
        self.store.pages = [Page((), 6, more=False, era=1)]
        self.let_reader_answer(heard_after_us=-3_000_000)
        self.clients.later = [self.build_answer()]
        self.now_s += 3.0

        answer = await self.wait()

        self.assertEqual(
            (answer.revision, self.store.calls), (6, [('list', '')])
        )
        self.assertIn('&era=1&at_least=6&', self.clients.targets[-1])

    async def test_reader_of_an_earlier_release_is_not_waited_for(self) -> None:
        """It answers at once, also without the revision asked for."""
        self.store.pages = [Page((), 7, more=False, era=1) for _ in range(2)]
        self.let_reader_answer(heard_after_us=-3_000_000)
        self.clients.later = [self.build_answer()]
        self.now_s += 3.0

        await self.wait()

        self.assertEqual(self.store.calls[-1], ('wait', 5))

    async def test_leases_go_to_the_store(self) -> None:
        """A reader does not act for others."""
        self.let_reader_answer()

        await self.zone_store.grant_lease(3.0)
        await self.zone_store.put('key', b'', 1)

        self.assertEqual(
            [call[0] for call in self.store.calls], ['grant', 'put']
        )


class TestMirrorBehindAReader(unittest.TestCase):
    """Confirmations that were passed on count from the call of the reader."""

    def test_confirmation_counts_from_the_sending_of_the_call(self) -> None:
        """The reader's offset holds from then on, however slow the answer."""
        reader = Reader()
        reader.now_s = 100.4
        answer = reader.feed.answer(reader.poll())
        mirror = Mirror(3.0)
        self.confirm(mirror, 7.0, 9.0, answer)

        self.assertAlmostEqual(mirror.age_s(9.0), 2.4)

    def test_changes_are_no_older_than_the_own_last_read(self) -> None:
        """The reader may have known less than this process."""
        mirror = Mirror(3.0)
        mirror.confirm(8.0, 8.0)
        mirror.confirm_relayed(8.5, 8.6, ReaderTimes(-0.1, -3.0, -0.1))

        self.assertEqual(mirror.changes_written_after_s, 8.0)

    def test_older_confirmation_changes_nothing(self) -> None:
        """The process has called the store itself since."""
        reader = Reader()
        reader.now_s = 103.0
        mirror = Mirror(3.0)
        mirror.confirm(8.0, 8.0)
        self.confirm(mirror, 8.5, 8.6, reader.feed.answer(reader.poll()))

        self.assertEqual(mirror.age_s(9.0), 1.0)

    def confirm(self, mirror, sent_s, now_s, answer) -> None:
        mirror.confirm_relayed(sent_s, now_s, times_of(answer))
