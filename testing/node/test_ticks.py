"""Tests of periodic tasks that wake up together."""

import asyncio
import unittest

from bramleylug.node.ticks import sleep_until_tick
from testing.virtual_time import in_virtual_time

LENGTH_S = 30.0
INTERVALS_S = (0.1, 0.2, 0.3, 1.0)


async def record_ticks(interval_s: float, ticks: list[float]) -> None:
    loop = asyncio.get_running_loop()
    while True:
        await sleep_until_tick(interval_s)
        ticks.append(round(loop.time(), 6))


class TestTicks(unittest.TestCase):
    """Tasks keep their intervals and share turns of the loop."""

    @in_virtual_time
    async def test_tasks_with_a_common_divisor_share_their_ticks(self) -> None:
        """Each woke the loop by itself (SHORT)."""
        recorded: list[list[float]] = [[] for _ in INTERVALS_S]
        tasks = []
        for interval_s, ticks in zip(INTERVALS_S, recorded, strict=True):
            tasks.append(asyncio.create_task(record_ticks(interval_s, ticks)))
            await asyncio.sleep(0.013)
        await asyncio.sleep(LENGTH_S)
        for task in tasks:
            task.cancel()

        together = set().union(*recorded)
        self.assertLessEqual(len(together), LENGTH_S / 0.1 + 1)
        for interval_s, ticks in zip(INTERVALS_S, recorded, strict=True):
            self.assertAlmostEqual(len(ticks), LENGTH_S / interval_s, delta=1.5)

    @in_virtual_time
    async def test_work_between_ticks_does_not_add_to_the_interval(
        self,
    ) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for _ in range(10):
            await sleep_until_tick(0.1)
            await asyncio.sleep(0.05)

        self.assertLessEqual(loop.time() - started_s, 1.06)
