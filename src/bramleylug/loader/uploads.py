"""Sends chunks to other loaders; keeps part of the link for answers."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple, final

from bramleylug.loader.policy import EngineState
from bramleylug.loader.settings import LoaderSettings
from bramleylug.web.exchange import Exchange

# Size of one write. It occupies a link of a few Mbit/s for some milliseconds,
# so that an engine's answer never waits long behind it.
PIECE_BYTES = 4096
# The same while the engine cannot serve: no answer waits then.
UNSHARED_PIECE_BYTES = 16384
# Concurrent uploads; more of them would only share the same link.
MAX_UPLOADS = 3


class UploadLimit(NamedTuple):
    """Limit for all uploads of a host together.

    :ivar bytes_per_s: bytes/s that they may use.
    :ivar piece_bytes: size of one write.
    """

    bytes_per_s: float
    piece_bytes: int = PIECE_BYTES


def upload_limit(
    settings: LoaderSettings, engine: EngineState | None, min_version: int
) -> UploadLimit:
    """Return the limit for all uploads of a host.

    Uploads leave part of the link to the engine's answers, and use all of it
    while the engine cannot serve requests.

    :param min_version: lowest version on which requests may start.
    """
    if engine is not None and engine.can_serve(min_version):
        return UploadLimit(settings.link_rate * settings.upload_share)
    return UploadLimit(settings.link_rate, UNSHARED_PIECE_BYTES)


@final
class Pacer:
    """Rate limiter that spreads the bytes of all uploads evenly over time.

    :param limit: returns the current limit.
    :ivar free_s: when everything reserved so far is sent.
    """

    def __init__(
        self, limit: Callable[[], UploadLimit], clock: Callable[[], float]
    ) -> None:
        self.limit = limit
        self.clock = clock
        self.free_s = clock()

    def delay_s(self, piece_bytes: int) -> float:
        """Reserve time for a piece; return how long to wait before sending."""
        now_s = self.clock()
        start_s = max(now_s, self.free_s)
        self.free_s = start_s + piece_bytes / self.limit().bytes_per_s
        return start_s - now_s


@final
class Uploads:
    """Uploads of chunks to other loaders.

    :ivar running: number of uploads in progress.
    """

    def __init__(self, pacer: Pacer) -> None:
        self.pacer = pacer
        self.running = 0

    @property
    def free_slots(self) -> int:
        """Number of uploads that may start now."""
        return max(0, MAX_UPLOADS - self.running)

    async def send(self, exchange: Exchange, chunk: bytes) -> None:
        """Answer with a chunk, or with 503 while all slots are taken."""
        if not self.free_slots:
            exchange.reply(HTTPStatus.SERVICE_UNAVAILABLE, b'')
            return
        self.running += 1
        try:
            exchange.start(HTTPStatus.OK, {}, len(chunk))
            sent_bytes = 0
            while sent_bytes < len(chunk):
                ends = sent_bytes + self.pacer.limit().piece_bytes
                piece = chunk[sent_bytes:ends]
                sent_bytes += len(piece)
                await asyncio.sleep(self.pacer.delay_s(len(piece)))
                if exchange.closed:
                    return
                exchange.send(piece)
            exchange.finish()
        finally:
            self.running -= 1
