"""Tests of how a process finds out that it stood still."""

import asyncio
import unittest

from bramleylug.node.process_pauses import (
    Pause,
    ProcessPauses,
    watch_pauses,
)
from testing.virtual_time import in_virtual_time


class TestProcessPauses(unittest.TestCase):
    """A timer that fires late shows a pause; its last turn is the begin."""

    def setUp(self) -> None:
        """Run from 7 s to 8 s."""
        self.pauses = ProcessPauses()
        for tick in range(70, 81):
            self.pauses.tick(tick / 10)

    def test_running_process_reads_at_once(self) -> None:
        self.assertEqual(self.pauses.earliest_arrival_s(8.1), 8.1)
        self.assertEqual(self.pauses.paused_s(0.0, 8.1), 0.0)

    def test_pause_begins_with_the_last_turn_of_the_timer(self) -> None:
        self.assertEqual(self.pauses.tick(12.5), Pause(8.0, 12.5))
        self.assertEqual(self.pauses.paused_s(0.0, 12.6), 4.5)

    def test_pause_is_known_before_the_timer_fires(self) -> None:
        """Sockets may be read first afterwards."""
        self.assertEqual(self.pauses.earliest_arrival_s(12.5), 8.0)
        self.assertEqual(self.pauses.paused_s(7.0, 12.5), 4.5)

    def test_backlog_of_a_pause_is_read_for_a_while(self) -> None:
        self.pauses.tick(12.5)
        self.pauses.tick(12.6)

        self.assertEqual(self.pauses.earliest_arrival_s(12.9), 8.0)

    def test_backlog_has_been_read_in_the_end(self) -> None:
        for tick in range(125, 135):
            self.pauses.tick(tick / 10)

        self.assertEqual(self.pauses.earliest_arrival_s(13.5), 13.5)

    def test_second_pause_may_hold_up_the_backlog_of_the_first(self) -> None:
        self.pauses.tick(12.5)
        self.pauses.tick(12.6)

        self.assertEqual(self.pauses.earliest_arrival_s(14.0), 8.0)

    def test_only_the_part_of_a_pause_since_then_counts(self) -> None:
        self.pauses.tick(12.5)
        self.pauses.tick(14.0)

        self.assertEqual(self.pauses.paused_s(12.0, 14.1), 2.0)

    def test_short_stall_of_the_event_loop_is_no_pause(self) -> None:
        self.assertIsNone(self.pauses.tick(8.3))

    def test_process_without_a_timer_knows_no_pause(self) -> None:
        pauses = ProcessPauses()

        self.assertEqual(pauses.earliest_arrival_s(8.0), 8.0)
        self.assertEqual(pauses.paused_s(0.0, 8.0), 0.0)

    @in_virtual_time
    async def test_timer_notices_a_suspended_loop(self) -> None:
        loop = asyncio.get_running_loop()
        pauses = ProcessPauses()
        watch = asyncio.create_task(watch_pauses(pauses, loop.time))
        await asyncio.sleep(1.05)
        loop.instant.now_s += 4.5
        await asyncio.sleep(0.2)
        watch.cancel()

        self.assertAlmostEqual(pauses.paused_s(0.0, loop.time()), 4.55)
        self.assertEqual(len(pauses.pauses), 1)
