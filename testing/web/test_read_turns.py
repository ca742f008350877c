"""Tests of how connections share the turns of an event loop."""

import asyncio
import unittest

from bramleylug.web.read_turns import (
    BURST_PIECES,
    PIECE_BYTES,
    PROMPT_GRANT,
    SLICE_PIECES,
    TURN_PIECES,
    ReadAllowance,
    ReadTurns,
    running_turns,
)
from testing.virtual_time import in_virtual_time

GREEDY_COUNT = 3000


class Reader:
    """Reads pieces without end until it is cancelled.

    :ivar read: pieces read so far.
    """

    def __init__(self, turns: ReadTurns, allowance: ReadAllowance) -> None:
        self.turns = turns
        self.allowance = allowance
        self.read = 0

    async def run(self) -> None:
        while True:
            await self.turns.take(self.allowance)
            self.read += 1


class TestReadTurns(unittest.TestCase):
    """No connection gets more of a turn because its peer sends more."""

    @in_virtual_time
    async def test_endless_pieces_leave_the_turns_to_others(self) -> None:
        """Guards against callers starved by answers without end."""
        for count in (1, 40, GREEDY_COUNT):
            with self.subTest(count):
                await self.check_turns(count)

    async def check_turns(self, count: int) -> None:
        """Check what is read in each turn, beside a sound connection."""
        turns = ReadTurns(asyncio.get_running_loop())
        readers = [Reader(turns, turns.allowance()) for _ in range(count)]
        tasks = [asyncio.create_task(reader.run()) for reader in readers]
        sound = turns.allowance()
        read = 0
        for _ in range(200):
            await asyncio.sleep(0)
            now = sum(reader.read for reader in readers)
            self.assertLessEqual(now - read, TURN_PIECES + SLICE_PIECES)
            read = now
        async with asyncio.timeout(0.1):
            await turns.take(sound)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @in_virtual_time
    async def test_slices_are_given_in_turn(self) -> None:
        """No connection waits for the end of another one's answer."""
        turns = ReadTurns(asyncio.get_running_loop())
        readers = [Reader(turns, turns.allowance()) for _ in range(40)]
        tasks = [asyncio.create_task(reader.run()) for reader in readers]
        await asyncio.sleep(1.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

        counts = [reader.read for reader in readers]
        # One may be a slice ahead, and have refilled its allowance first.
        at_most = SLICE_PIECES + BURST_PIECES + PROMPT_GRANT
        self.assertLessEqual(max(counts) - min(counts), at_most)
        self.assertGreater(min(counts), BURST_PIECES)

    @in_virtual_time
    async def test_sound_stream_never_waits_alone(self) -> None:
        """Some pieces every 10 ms are within the allowance."""
        turns = running_turns()
        allowance = turns.allowance()
        for _ in range(1000):
            for _ in range(2):
                self.assertTrue(turns.try_take(allowance))
            await asyncio.sleep(0.01)

    @in_virtual_time
    async def test_cancelled_wait_loses_no_turn_of_others(self) -> None:
        turns = ReadTurns(asyncio.get_running_loop())
        first = Reader(turns, turns.allowance())
        second = Reader(turns, turns.allowance())
        tasks = [asyncio.create_task(one.run()) for one in (first, second)]
        await asyncio.sleep(0.01)
        tasks[0].cancel()
        before = second.read
        await asyncio.sleep(1.0)
        tasks[1].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

        self.assertGreater(second.read - before, 100 * SLICE_PIECES)

    @in_virtual_time
    async def test_large_pieces_count_by_their_bytes(self) -> None:
        turns = ReadTurns(asyncio.get_running_loop())
        allowance = turns.allowance()
        turns.charge_bytes(allowance, BURST_PIECES * PIECE_BYTES)

        self.assertFalse(turns.try_take(allowance))
