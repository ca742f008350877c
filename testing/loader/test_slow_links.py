"""Tests of transfers over a link that many reads share."""

import asyncio
import unittest
from collections.abc import Callable

from testing.loader.swarm import Swarm, SwarmOrigin
from testing.virtual_time import in_virtual_time

CHUNKS = 48
HOSTS = 12
TICK_S = 0.05


class LinkOrigin(SwarmOrigin):
    """Sends chunks over a link whose rate the running reads share.

    :ivar chunk_s: time of one chunk if it is read alone.
    :ivar running: reads that have not ended.
    :ivar sent_chunks: chunks that were sent, with parts of abandoned reads.
    """

    def __init__(self, chunk_s: float) -> None:
        super().__init__(CHUNKS)
        self.chunk_s = chunk_s
        self.running = 0
        self.sent_chunks = 0.0

    async def chunk(
        self,
        address: str,
        model: str,
        version: int,
        index: int,
        on_progress: Callable[[], None],
    ) -> bytes:
        self.running += 1
        left = 1.0
        try:
            while left > 0:
                await asyncio.sleep(TICK_S)
                share = TICK_S / self.chunk_s / self.running
                left -= share
                self.sent_chunks += share
                on_progress()
        finally:
            self.running -= 1
        return await super().chunk(address, model, version, index, on_progress)


class TestSharedLink(unittest.TestCase):
    """Reads that are slow because they share a link are not given up."""

    @in_virtual_time
    async def test_slow_link_sends_each_chunk_about_once(self) -> None:
        """Guards against links that are full of abandoned chunks."""
        origin = LinkOrigin(chunk_s=0.25)
        async with Swarm(HOSTS, '', origin) as swarm:
            await swarm.wait_until_complete(1, timeout_s=2 * 0.25 * CHUNKS)

        self.assertLessEqual(origin.sent_chunks, 1.5 * CHUNKS)
