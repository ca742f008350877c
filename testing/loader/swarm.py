"""Loaders of several hosts in one event loop, without a network."""

import asyncio
from typing import Any

from bramleylug.loader.chunk_store import ChunkStores, build_manifest
from bramleylug.loader.downloader import TargetVersion, WeightsDownloader
from bramleylug.loader.engine import EngineUnavailable
from bramleylug.loader.sources import FetchFailed
from bramleylug.loader.transfer import TransferContext
from bramleylug.relay.peers import Role
from bramleylug.weights.chunk_sets import to_bytes
from bramleylug.weights.manifest import Manifest, chunk_hash, synthetic_chunks
from bramleylug.weights.peers import FailureReason
from bramleylug.wire.beats_pb2 import TransferState
from bramleylug.wire.weights_pb2 import HeldChunks
from testing.relay.builders import MODEL, build_peer

CHUNKS = 12
CHUNK_BYTES = 32
FETCH_S = 0.01
TELL_S = 0.02


def chunks_of(version: int) -> list[bytes]:
    """Return the chunks of a version."""
    return list(
        synthetic_chunks(f'v{version}', CHUNKS * CHUNK_BYTES, CHUNK_BYTES)
    )


class SwarmOrigin:
    """An origin that can be switched off, or spoil chunks.

    :ivar read_s: time of one read.
    :ivar reads: chunks that were read, by version.
    """

    def __init__(self) -> None:
        self.up = True
        self.read_s = FETCH_S
        self.spoilt: set[int] = set()
        self.reads: list[tuple[int, int]] = []

    async def manifest(
        self, address: str, model: str, version: int
    ) -> Manifest:
        """Return the manifest of a version."""
        self._check()
        version = version or 1
        digests = [chunk_hash(chunk) for chunk in chunks_of(version)]
        return build_manifest(model, version, CHUNK_BYTES, digests)

    async def chunk(
        self, address: str, model: str, version: int, index: int
    ) -> bytes:
        """Return a chunk."""
        await asyncio.sleep(self.read_s)
        self._check()
        self.reads.append((version, index))
        if index in self.spoilt:
            self.spoilt.discard(index)
            return b'spoilt'
        return chunks_of(version)[index]

    def _check(self) -> None:
        if not self.up:
            raise FetchFailed(FailureReason.unreachable, 'origin is down')


class NoEngine:
    """An engine with nothing staged beside it."""

    async def staged(self, model: str, index: int) -> bytes | None:
        """Return nothing."""
        raise EngineUnavailable('down')


class Swarm:
    """Loaders that hand chunks to one another at once.

    :ivar named: newest version that was named.
    :ivar peer_s: time of one fetch from a peer.
    :ivar late: host that begins when it is told to.
    """

    def __init__(self, hosts: int = 4, late: str = '') -> None:
        self.named = 1
        self.late = late
        self.peer_s = FETCH_S
        self.origin = SwarmOrigin()
        self.records = {
            f'host-{index}': build_peer(
                f'host-{index}',
                role=Role.loader,
                region='north' if index % 2 else 'south',
            )
            for index in range(hosts)
        }
        self.chunk_stores = {name: ChunkStores() for name in self.records}
        self.downloaders = {
            name: self._downloader(name) for name in self.records
        }
        self.tasks: list[asyncio.Task[Any]] = []

    async def __aenter__(self) -> 'Swarm':
        """Start all loaders."""
        for name in self.downloaders:
            if name != self.late:
                self.begin(name)
        self.schedule = asyncio.create_task(self._tell())
        self.tasks.append(self.schedule)
        return self

    async def __aexit__(self, *error: Any) -> None:
        """Stop all loaders."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def begin(self, name: str) -> None:
        """Start the loader of a host."""
        task = asyncio.create_task(self.downloaders[name].run())
        self.tasks.append(task)

    async def until_whole(self, version: int, limit_s: float = 10) -> None:
        """Wait until every host that began holds a version whole."""
        async with asyncio.timeout(limit_s):
            while not all(
                self.holds(name, version)
                for name in self.records
                if name != self.late
            ):
                await asyncio.sleep(FETCH_S)

    async def until_begun(self, version: int, chunks: int) -> None:
        """Wait until the hosts hold some chunks of a version together."""
        async with asyncio.timeout(10):
            while len(self.held_by_any(version)) < chunks:
                await asyncio.sleep(FETCH_S / 2)

    def holds(self, name: str, version: int) -> bool:
        """Tell whether a host holds a version whole."""
        chunk_store = self.chunk_stores[name].by_version.get(version)
        return chunk_store is not None and chunk_store.complete

    def held_by_any(self, version: int) -> set[int]:
        """Return the chunks of a version that some host holds."""
        held: set[int] = set()
        for chunk_stores in self.chunk_stores.values():
            chunk_store = chunk_stores.by_version.get(version)
            held |= set() if chunk_store is None else chunk_store.chunks.keys()
        return held

    async def chunk(
        self, peer: Any, model: str, version: int, index: int
    ) -> bytes:
        """Return a chunk that a peer holds."""
        await asyncio.sleep(self.peer_s)
        chunk_store = self.chunk_stores[peer.name].by_version.get(version)
        if chunk_store is None or index not in chunk_store.chunks:
            raise FetchFailed(FailureReason.not_held, f'{index}')
        return chunk_store.chunks[index]

    async def manifest(self, peer: Any, model: str, version: int) -> Manifest:
        """Return the manifest that a peer has."""
        chunk_store = self.chunk_stores[peer.name].by_version.get(version)
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
            str,
            self.origin,
            self,
            clock,
        )
        engine: Any = NoEngine()
        return WeightsDownloader(
            context,
            self.chunk_stores[name],
            engine,
            lambda: TargetVersion(MODEL, self.named),
        )

    async def _tell(self) -> None:
        while True:
            await asyncio.sleep(TELL_S)
            for name, chunk_stores in self.chunk_stores.items():
                for version, chunk_store in chunk_stores.by_version.items():
                    held = HeldChunks(
                        bitmap=to_bytes(chunk_store.held, CHUNKS),
                        free_upload_slots=2,
                    )
                    self._hear(
                        name,
                        TransferState(model=MODEL, version=version, held=held),
                    )

    def _hear(self, name: str, state: TransferState) -> None:
        for other, downloader in self.downloaders.items():
            if other != name:
                downloader.hear(name, state)
