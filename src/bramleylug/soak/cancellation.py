"""Ends tasks that a single cancellation may not reach."""

import asyncio
from collections.abc import Iterable

CANCEL_INTERVAL_S = 1.0


async def cancel_until_done(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks until they have ended.

    ``asyncio.wait_for`` of Python 3.11 may return the result of a call that
    ends at the moment of the cancellation, which is lost then.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_INTERVAL_S)
