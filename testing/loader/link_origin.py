"""An origin and hosts behind links that all transfers of a link share.

The origin is away for a time.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any, final

from bramleylug.loader.sources import FetchFailed
from bramleylug.loader.uploads import MAX_UPLOADS
from bramleylug.weights.manifest import Manifest
from bramleylug.weights.peers import FailureReason
from testing.loader.swarm import Swarm, SwarmOrigin

TICK_S = 0.01
# Connections that the origin takes.
MAX_CONNECTIONS = 48
# Interval at which loaders hear of each other's holdings in a large fleet.
ANNOUNCE_S = 0.25
# A call that reaches nobody ends after this long.
CONNECT_S = 0.5


@final
class DarkOrigin(SwarmOrigin):
    """Sends chunks over its link; nothing passes while it is dark.

    A read that began before it went dark makes no progress until it is back,
    and is cut then; one that begins meanwhile ends when no connection is made.

    :param copy_s: time of one copy of all chunks on the link.
    :ivar dark_s: begin and end of the time in which it is dark.
    :ivar sent_s: when each read ended whole, by chunk.
    :ivar asked_s: when each read of a chunk began.
    :ivar running: reads that share the link.
    """

    def __init__(self, chunk_count: int, copy_s: float) -> None:
        super().__init__(chunk_count)
        self.chunk_s = copy_s / chunk_count
        self.dark_s = (float('inf'), float('inf'))
        self.sent_s: dict[int, float] = {}
        self.copies: Counter[int] = Counter()
        self.asked_s: list[float] = []
        self.running = 0
        self.sent_chunks = 0.0

    async def manifest(
        self, address: str, model: str, version: int
    ) -> Manifest:
        await self._connect()
        return await super().manifest(address, model, version)

    async def chunk(
        self,
        address: str,
        model: str,
        version: int,
        index: int,
        on_progress: Callable[[], None],
    ) -> bytes:
        loop = asyncio.get_running_loop()
        self.asked_s.append(loop.time())
        await self._connect()
        left = 1.0
        self.running += 1
        began_s = loop.time()
        try:
            while left > 0:
                await asyncio.sleep(TICK_S)
                if self._is_dark():
                    continue
                if began_s < self.dark_s[0] <= loop.time():
                    raise FetchFailed(FailureReason.unreachable, 'cut')
                share = TICK_S / self.chunk_s / self.running
                left -= share
                self.sent_chunks += share
                on_progress()
        finally:
            self.running -= 1
        self.sent_s.setdefault(index, loop.time())
        self.copies[index] += 1
        self.fetch_s = 0
        return await super().chunk(address, model, version, index, on_progress)

    def _is_dark(self) -> bool:
        begins_s, ends_s = self.dark_s
        return begins_s <= asyncio.get_running_loop().time() < ends_s

    async def _connect(self) -> None:
        if self._is_dark():
            await asyncio.sleep(CONNECT_S)
            raise FetchFailed(FailureReason.unreachable, 'no connection')


@final
class LinkedSwarm(Swarm):
    """Hosts whose transfers share the links of both ends.

    :param copy_s: time of one copy on the link of a host.
    :ivar uploads: running transfers by sending host.
    """

    def __init__(self, hosts: int, origin: DarkOrigin, copy_s: float) -> None:
        super().__init__(
            hosts,
            '',
            origin,
            MAX_CONNECTIONS,
            ('south', 'north', 'east'),
            ANNOUNCE_S,
        )
        self.host_chunk_s = copy_s / origin.chunk_count
        self.uploads: Counter[str] = Counter()

    async def chunk(
        self,
        peer: Any,
        model: str,
        version: int,
        index: int,
        on_progress: Callable[[], None],
    ) -> bytes:
        chunk_store = self.chunk_stores[peer.name].by_version.get(version)
        if chunk_store is None or index not in chunk_store.chunks:
            raise FetchFailed(FailureReason.not_held, f'{index}')
        if self.uploads[peer.name] >= MAX_UPLOADS:
            raise FetchFailed(FailureReason.busy, peer.name)
        self.uploads[peer.name] += 1
        left = 1.0
        try:
            while left > 0:
                await asyncio.sleep(TICK_S)
                left -= TICK_S / self.host_chunk_s / self.uploads[peer.name]
                on_progress()
        finally:
            self.uploads[peer.name] -= 1
        return chunk_store.chunks[index]
