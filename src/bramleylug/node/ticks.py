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


def until_tick_s(loop: asyncio.AbstractEventLoop, interval_s: float) -> float:
    """Return the time until the next tick.

    That is the next multiple of an interval since the loop's first tick. What
    has intervals with a common divisor then shares turns of the loop.
    """
    now_s = loop.time()
    passed_s = now_s - origins.setdefault(loop, now_s)
    due = floor(passed_s / interval_s + EARLY_SHARE) + 1
    return due * interval_s - passed_s


async def sleep_until_tick(interval_s: float) -> None:
    """Sleep until the next tick of an interval."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(until_tick_s(loop, interval_s))
