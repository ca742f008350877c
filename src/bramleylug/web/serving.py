"""Answers exchanges whose serving fails."""

import asyncio
from collections.abc import Awaitable, Callable

from bramleylug.observability.events import LogEvent, emit
from bramleylug.web.exchange import Exchange


async def serve_to_end(
    exchange: Exchange, work: Callable[[], Awaitable[None]]
) -> None:
    """Await the work that answers an exchange.

    An exception is logged, and the exchange fails: a connection with an
    exchange has no time limit, so its client would wait for ever. The same
    holds for work that is cancelled.
    """
    try:
        await work()
    except asyncio.CancelledError:
        exchange.fail()
        raise
    except Exception as error:  # noqa: BLE001
        exchange.fail()
        emit(
            LogEvent.worker_failed,
            work='serve',
            error=repr(error),
            request_id=exchange.request_id,
        )
