"""Tests of whether a reader can tell that the store answers it."""

import asyncio
import unittest

from bramleylug.store.changes import Position, StoreUnavailable
from bramleylug.store.feed import REACH_NUMBERS, reach_of
from bramleylug.store.store_reach import (
    RECENT_S,
    SEEK_S,
    Reach,
    StoreReach,
)
from bramleylug.wire.feed_pb2 import FeedAnswer
from testing.virtual_time import in_virtual_time

CALL_S = 0.01
NEWEST = Position(1, 7)


class Probes:
    """Small calls of a store.

    :ivar sent: number of calls.
    :ivar fails: whether the store does not answer.
    :ivar hangs: whether the next calls take long.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.fails = False
        self.hangs = False
        clock = asyncio.get_running_loop().time
        self.reach = StoreReach(self.probe, clock)

    async def probe(self) -> Position:
        self.sent += 1
        sent_s = self.reach.clock()
        await asyncio.sleep(100 * CALL_S if self.hangs else CALL_S)
        if self.fails:
            self.reach.record_failure(sent_s)
            raise StoreUnavailable('no answer')
        self.reach.record_answer(NEWEST)
        return NEWEST


class TestStoreReach(unittest.TestCase):
    """Others learn soon whether they have to look for another reader."""

    @in_virtual_time
    async def test_state_that_others_know_is_asked_for_once(self) -> None:
        probes = Probes()
        for _ in range(5):
            probes.reach.seek(NEWEST)
            await asyncio.sleep(SEEK_S)

        self.assertIs(probes.reach.state, Reach.answered)
        self.assertEqual(probes.sent, 1)

    @in_virtual_time
    async def test_failure_is_told_at_once(self) -> None:
        """A wait for news ends then."""
        probes = Probes()
        probes.fails = True
        told_s = []
        probes.reach.on_hopeless = lambda: told_s.append(probes.reach.clock())

        probes.reach.seek(NEWEST)
        await asyncio.sleep(1.0)

        self.assertEqual(told_s, [CALL_S])
        self.assertTrue(probes.reach.is_hopeless())

    @in_virtual_time
    async def test_store_that_failed_is_asked_again(self) -> None:
        probes = Probes()
        probes.reach.record_failure(probes.reach.clock())

        probes.reach.seek(NEWEST)
        await asyncio.sleep(SEEK_S)

        self.assertIs(probes.reach.state, Reach.answered)

    @in_virtual_time
    async def test_failure_of_an_earlier_call_is_no_news(self) -> None:
        """It was sent before the store came back."""
        probes = Probes()
        sent_s = probes.reach.clock()
        await asyncio.sleep(1.0)
        probes.reach.record_answer(NEWEST)

        probes.reach.record_failure(sent_s)

        self.assertIs(probes.reach.state, Reach.answered)

    @in_virtual_time
    async def test_answer_is_in_doubt_after_a_while(self) -> None:
        """The store has gone on, and this process may be cut off by now."""
        for later_s, state in (
            (RECENT_S / 2, Reach.answered),
            (RECENT_S * 2, Reach.unknown),
        ):
            with self.subTest(later_s=later_s):
                probes = Probes()
                probes.reach.record_answer(NEWEST)
                await asyncio.sleep(later_s)

                probes.reach.seek(Position(1, 8))

                self.assertIs(probes.reach.state, state)

    @in_virtual_time
    async def test_store_is_not_asked_beside_a_read_of_news(self) -> None:
        """The answer would come behind the news themselves."""
        for revision, sent in ((NEWEST.revision - 1, 0), (NEWEST.revision, 1)):
            with self.subTest(revision=revision):
                probes = Probes()
                probes.reach.record_answer(NEWEST)
                with probes.reach.reading_after(revision):
                    await asyncio.sleep(2 * RECENT_S)
                    probes.reach.seek(Position(1, 8))
                    await asyncio.sleep(SEEK_S)

                self.assertIs(probes.reach.state, Reach.answered)
                self.assertEqual(probes.sent, sent)

    @in_virtual_time
    async def test_process_that_waits_for_another_is_not_waited_for(
        self,
    ) -> None:
        """Guards against two relays that wait for each other (CONFIG)."""
        reach = Probes().reach
        reach.record_answer(NEWEST)
        with reach.following_reader():
            self.assertIs(reach.told, Reach.unknown)
            self.assertTrue(reach.is_hopeless())

        self.assertIs(reach.told, Reach.answered)

    @in_virtual_time
    async def test_wait_for_news_ends_when_the_store_tells_of_them(
        self,
    ) -> None:
        probes = Probes()
        asyncio.get_running_loop().call_later(1.0, probes.reach.seek, NEWEST)

        with self.assertRaises(TimeoutError):
            async with probes.reach.until_new_state():
                await asyncio.sleep(5.0)

        self.assertAlmostEqual(probes.reach.clock(), 1.0 + CALL_S)

    @in_virtual_time
    async def test_call_that_hangs_does_not_hold_up_the_next_one(self) -> None:
        """It was sent while the store was away."""
        probes = Probes()
        probes.hangs = True
        probes.reach.seek(NEWEST)
        await asyncio.sleep(SEEK_S)
        probes.hangs = False

        probes.reach.seek(NEWEST)
        await asyncio.sleep(2 * CALL_S)

        self.assertIs(probes.reach.state, Reach.answered)


class TestReachInAnswers(unittest.TestCase):
    """Processes of other versions may know more or fewer values."""

    def test_each_value_is_decoded(self) -> None:
        for reach, number in REACH_NUMBERS.items():
            with self.subTest(reach=reach):
                answer = FeedAnswer(store_reach=number)

                self.assertIs(reach_of(answer), reach)

    def test_value_of_a_later_version_is_unknown(self) -> None:
        answer = FeedAnswer.FromString(b'\x40\x63')

        self.assertIs(reach_of(answer), Reach.unknown)
