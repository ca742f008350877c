"""Handing chunks out at a bounded rate, below the live answers."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import final

from bramleylug.loader.policy import EngineState
from bramleylug.relay.settings import LoaderSettings
from bramleylug.web.exchange import Exchange

# Pieces that are sent at once: each fills a link of some Mbit/s for a few
# milliseconds, so that a live answer never waits long behind one.
PIECE_BYTES = 4096
# Chunks handed out at once: more only share the same link.
MOST_UPLOADS = 3


def upload_rate_limit(
    settings: LoaderSettings, engine: EngineState | None, least_version: int
) -> float:
    """Return the rate at which a host hands out chunks, in bytes a second.

    Where its engine may answer nobody, the link is theirs alone.

    :param least_version: version below which nothing may begin.
    """
    if engine is not None and engine.can_serve(least_version):
        return settings.link_rate * settings.upload_share
    return settings.link_rate


@final
class Pacer:
    """Spreads bytes evenly over time, for all uploads together.

    :param bytes_per_s: returns the rate that is not passed for long.
    """

    def __init__(
        self, bytes_per_s: Callable[[], float], clock: Callable[[], float]
    ) -> None:
        self.bytes_per_s = bytes_per_s
        self.clock = clock
        self.free_s = clock()

    def delay_s(self, piece_bytes: int) -> float:
        """Return how long a piece has to wait, and reserve its time."""
        now_s = self.clock()
        start_s = max(now_s, self.free_s)
        self.free_s = start_s + piece_bytes / self.bytes_per_s()
        return start_s - now_s


@final
class Uploads:
    """Chunks on their way to other loaders.

    :ivar running: uploads that have not ended.
    """

    def __init__(self, pacer: Pacer) -> None:
        self.pacer = pacer
        self.running = 0

    @property
    def free(self) -> int:
        """Chunks that may be asked for now."""
        return max(0, MOST_UPLOADS - self.running)

    async def send(self, exchange: Exchange, chunk: bytes) -> None:
        """Send one chunk, or tell the asker to come back."""
        if not self.free:
            exchange.reply(HTTPStatus.SERVICE_UNAVAILABLE, b'')
            return
        self.running += 1
        try:
            exchange.start(HTTPStatus.OK, {}, len(chunk))
            for first in range(0, len(chunk), PIECE_BYTES):
                piece = chunk[first : first + PIECE_BYTES]
                await asyncio.sleep(self.pacer.delay_s(len(piece)))
                if exchange.closed:
                    return
                exchange.send(piece)
            exchange.finish()
        finally:
            self.running -= 1
