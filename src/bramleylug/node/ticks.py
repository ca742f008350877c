"""Lets the periodic tasks of an event loop wake up together."""

import asyncio
from math import floor
from weakref import WeakKeyDictionary

# What wakes up this early, as a share of an interval, counts for the tick that
# is due.
EARLY_SHARE = 0.1
# When the ticks of each loop began. Those of processes that run side by side
# fall on different moments.
origins: WeakKeyDictionary[asyncio.AbstractEventLoop, float] = (
    WeakKeyDictionary()
)


async def sleep_until_tick(interval_s: float) -> None:
    """Sleep until the next multiple of an interval since the loop's first tick.

    Tasks whose intervals have a common divisor then share turns of the loop.
    """
    loop = asyncio.get_running_loop()
    passed_s = loop.time() - origins.setdefault(loop, loop.time())
    due = floor(passed_s / interval_s + EARLY_SHARE) + 1
    await asyncio.sleep(due * interval_s - passed_s)
