"""Tests of the end of a soak's own tasks."""

import asyncio
import unittest
from contextlib import suppress

from bramleylug.soak.cancellation import cancel_until_done
from testing.virtual_time import in_virtual_time


async def outlive_one_cancellation() -> None:
    with suppress(asyncio.CancelledError):
        await asyncio.sleep(60)
    await asyncio.sleep(3600)


class TestCancelUntilDone(unittest.TestCase):
    """A soak ends although a cancellation of a task was lost."""

    @in_virtual_time
    async def test_task_that_outlives_a_cancellation_is_ended(self) -> None:
        """Guards against soaks that wait for such a task without end."""
        task = asyncio.create_task(outlive_one_cancellation())
        await asyncio.sleep(1)

        await cancel_until_done([task])

        self.assertTrue(task.cancelled())
        self.assertLess(asyncio.get_running_loop().time(), 10)
