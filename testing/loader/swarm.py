"""Downloaders of several hosts in one event loop, without a network."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any

from bramleylug.cluster.peers import Role
from bramleylug.loader.chunk_store import (
    ChunkStore,
    ChunkStores,
    build_manifest,
)
from bramleylug.loader.downloader import TargetVersion, WeightsDownloader
from bramleylug.loader.engine import EngineUnavailable
from bramleylug.loader.sources import FetchFailed, OriginRecord
from bramleylug.loader.transfer import TransferContext
from bramleylug.weights.chunk_sets import to_bytes
from bramleylug.weights.manifest import Manifest, chunk_hash, synthetic_chunks
from bramleylug.weights.peers import FailureReason
from bramleylug.wire.beats_pb2 import TransferState
from bramleylug.wire.weights_pb2 import HeldChunks
from testing.relay.builders import MODEL, build_peer

CHUNKS = 12
CHUNK_BYTES = 32
FETCH_S = 0.01
ANNOUNCE_INTERVAL_S = 0.02


def chunks_of(version: int, count: int = CHUNKS) -> list[bytes]:
    return list(
        synthetic_chunks(f'v{version}', count * CHUNK_BYTES, CHUNK_BYTES)
    )


class SwarmOrigin:
    """Origin that can be switched off, or serve corrupt chunks.

    :ivar fetch_s: time of one fetch.
    :ivar corrupt: chunks whose next fetch returns wrong bytes.
    :ivar reads: version and index of each chunk that was fetched.
    """

    def __init__(self, chunk_count: int = CHUNKS) -> None:
        self.chunk_count = chunk_count
        self.is_up = True
        self.manifest_reads = 0
        self.fetch_s = FETCH_S
        self.corrupt: set[int] = set()
        self.reads: list[tuple[int, int]] = []

    async def manifest(
        self, address: str, model: str, version: int
    ) -> Manifest:
        self._fail_if_down()
        self.manifest_reads += 1
        version = version or 1
        chunks = chunks_of(version, self.chunk_count)
        digests = [chunk_hash(chunk) for chunk in chunks]
        return build_manifest(model, version, CHUNK_BYTES, digests)

    async def chunk(
        self,
        address: str,
        model: str,
        version: int,
        index: int,
        on_progress: Callable[[], None],
    ) -> bytes:
        await asyncio.sleep(self.fetch_s)
        self._fail_if_down()
        self.reads.append((version, index))
        if index in self.corrupt:
            self.corrupt.discard(index)
            return b'spoilt'
        return chunks_of(version, self.chunk_count)[index]

    def _fail_if_down(self) -> None:
        if not self.is_up:
            raise FetchFailed(FailureReason.unreachable, 'origin is down')


class NoEngine:
    """Engine that is down."""

    async def read_staged(self, model: str, index: int) -> bytes | None:
        raise EngineUnavailable('down')


class Swarm:
    """Downloaders that fetch chunks from one another and from one origin.

    :ivar target: newest announced version.
    :ivar targets: the version that some hosts know instead, by name.
    :ivar peer_fetch_s: time of one fetch from a peer.
    :ivar announce_s: interval at which each host hears of the others' holdings.
    :ivar late_host: host that the test starts itself, if any.
    :ivar announcements: task that passes holdings to all other hosts.
    """

    def __init__(
        self,
        hosts: int = 4,
        late_host: str = '',
        origin: SwarmOrigin | None = None,
        max_connections: int = 0,
        regions: tuple[str, ...] = ('south', 'north'),
        announce_s: float = ANNOUNCE_INTERVAL_S,
    ) -> None:
        self.target = 1
        self.targets: dict[str, int] = {}
        self.announce_s = announce_s
        self.max_connections = max_connections
        self.manifest_calls = 0
        self.late_host = late_host
        self.peer_fetch_s = FETCH_S
        self.origin = SwarmOrigin() if origin is None else origin
        self.records = {
            f'host-{index}': build_peer(
                f'host-{index}',
                role=Role.loader,
                region=regions[index % len(regions)],
            )
            for index in range(hosts)
        }
        self.chunk_stores = {name: ChunkStores() for name in self.records}
        self.downloaders = {
            name: self._downloader(name) for name in self.records
        }
        self.tasks: list[asyncio.Task[Any]] = []

    async def __aenter__(self) -> 'Swarm':
        for name in self.downloaders:
            if name != self.late_host:
                self.start(name)
        self.announcements = asyncio.create_task(self._announce_holdings())
        self.tasks.append(self.announcements)
        return self

    async def __aexit__(self, *error: Any) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def start(self, name: str) -> None:
        task = asyncio.create_task(self.downloaders[name].run())
        self.tasks.append(task)

    async def wait_until_complete(
        self, version: int, timeout_s: float = 10
    ) -> None:
        """Wait until every host but the late one has a version completely."""
        async with asyncio.timeout(timeout_s):
            while not all(
                self.is_complete(name, version)
                for name in self.records
                if name != self.late_host
            ):
                await asyncio.sleep(FETCH_S)

    async def wait_for_chunks(self, version: int, chunks: int) -> None:
        """Wait until the hosts together hold a number of chunks."""
        async with asyncio.timeout(10):
            while len(self.held_by_any(version)) < chunks:
                await asyncio.sleep(FETCH_S / 2)

    def is_complete(self, name: str, version: int) -> bool:
        chunk_store = self.chunk_stores[name].by_version.get(version)
        return chunk_store is not None and chunk_store.complete

    def held_by_any(self, version: int) -> set[int]:
        """Return the chunks of a version that at least one host holds."""
        held: set[int] = set()
        for chunk_stores in self.chunk_stores.values():
            chunk_store = chunk_stores.by_version.get(version)
            held |= set() if chunk_store is None else chunk_store.chunks.keys()
        return held

    async def chunk(
        self,
        peer: Any,
        model: str,
        version: int,
        index: int,
        on_progress: Callable[[], None],
    ) -> bytes:
        await asyncio.sleep(self.peer_fetch_s)
        chunk_store = self.chunk_stores[peer.name].by_version.get(version)
        if chunk_store is None or index not in chunk_store.chunks:
            raise FetchFailed(FailureReason.not_held, f'{index}')
        return chunk_store.chunks[index]

    async def manifest(self, peer: Any, model: str, version: int) -> Manifest:
        self.manifest_calls += 1
        chunk_store = self.chunk_stores[peer.name].find(version)
        if chunk_store is None:
            raise FetchFailed(FailureReason.not_held, 'manifest')
        return chunk_store.manifest

    def _downloader(self, name: str) -> WeightsDownloader:
        clock = asyncio.get_running_loop().time
        others = [
            record for record in self.records.values() if record.name != name
        ]
        context: Any = TransferContext(
            name,
            self.records[name].region,
            lambda: others,
            lambda: OriginRecord(name, self.max_connections),
            self.origin,
            self,
            clock,
            partial(self._announce, name),
        )
        engine: Any = NoEngine()
        return WeightsDownloader(
            context,
            self.chunk_stores[name],
            engine,
            lambda: TargetVersion(MODEL, self.targets.get(name, self.target)),
        )

    async def _announce_holdings(self) -> None:
        while True:
            await asyncio.sleep(self.announce_s)
            for name in self.chunk_stores:
                self._announce(name)

    def _announce(self, name: str) -> None:
        """Tell the other hosts what a host holds."""
        for version, chunk_store in self.chunk_stores[name].by_version.items():
            held = self._held(name, version, chunk_store)
            self._deliver(
                name, TransferState(model=MODEL, version=version, held=held)
            )

    def _held(
        self, name: str, version: int, chunk_store: ChunkStore
    ) -> HeldChunks:
        """Return what a host tells of a version."""
        transfer = self.downloaders[name].transfer
        held = HeldChunks()
        if transfer is not None and transfer.version == version:
            held = transfer.held_chunks(asyncio.get_running_loop().time())
        held.bitmap = to_bytes(chunk_store.held, self.origin.chunk_count)
        held.free_upload_slots = 2
        return held

    def _deliver(self, name: str, state: TransferState) -> None:
        for other, downloader in self.downloaders.items():
            if other != name:
                downloader.update_holdings(name, state)
