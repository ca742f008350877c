"""Writes chunks to the engine's staging area and reads them back."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple, TypeVar, final

from bramleylug.loader.chunk_store import ChunkStore, matches_manifest
from bramleylug.loader.engine import EngineUnavailable, LocalEngine
from bramleylug.weights.manifest import Manifest

# Concurrent calls to the engine.
PARALLEL_CALLS = 4
# Chunks that were read longer ago than this are read once more, as the engine
# or this process may have stood still.
MAX_READ_AGE_S = 1.0

ResultT = TypeVar('ResultT')


class StagingReport(NamedTuple):
    """How the chunks of a version were staged.

    :ivar began_s: when staging began.
    :ivar oldest_read_s: when the oldest read began that found a chunk sound.
    :ivar written: number of chunks that were missing or corrupt.
    """

    began_s: float
    oldest_read_s: float
    written: int


class ChunkCheck(NamedTuple):
    """How one chunk was found or staged.

    :ivar read_s: when the read began that found it sound.
    """

    read_s: float
    written: bool


@final
class StagingArea:
    """The engine's staging area, in which chunks may become corrupt.

    :param on_write: called with the index of each chunk before it is written.
    """

    def __init__(
        self,
        engine: LocalEngine,
        clock: Callable[[], float],
        on_write: Callable[[int], None],
    ) -> None:
        self.engine = engine
        self.clock = clock
        self.on_write = on_write

    async def stage(self, chunk_store: ChunkStore) -> StagingReport:
        """Stage missing and corrupt chunks; verify all by reading them back.

        :raises EngineUnavailable: also if a chunk is corrupt when read back.
        """
        began_s = self.clock()
        checks = await self._stage_chunks(chunk_store, chunk_store.chunks)
        written = sum(check.written for check in checks.values())
        now_s = self.clock()
        aged = [
            index
            for index, check in checks.items()
            if now_s - check.read_s > MAX_READ_AGE_S
        ]
        repeated = await self._stage_chunks(chunk_store, aged)
        written += sum(check.written for check in repeated.values())
        latest = {**checks, **repeated}
        return StagingReport(
            began_s,
            min((check.read_s for check in latest.values()), default=began_s),
            written,
        )

    async def find_corrupt(
        self, manifest: Manifest, known_sound: set[int]
    ) -> frozenset[int]:
        """Read chunks of a version; return the missing and corrupt ones.

        :param known_sound: chunks that need no read; those that are found
            sound are added, also if others cannot be read.
        :raises EngineUnavailable: if one of them cannot be read.
        """
        limit = asyncio.Semaphore(PARALLEL_CALLS)

        async def read(index: int) -> None:
            async with limit:
                if await self._is_staged(manifest, index):
                    known_sound.add(index)

        indices = frozenset(range(len(manifest.chunk_hashes)))
        await _gather([read(index) for index in indices - known_sound])
        return indices - known_sound

    async def _stage_chunks(
        self, chunk_store: ChunkStore, indices: Iterable[int]
    ) -> dict[int, ChunkCheck]:
        limit = asyncio.Semaphore(PARALLEL_CALLS)
        indices = tuple(indices)
        checks = await _gather(
            [self._stage_chunk(chunk_store, index, limit) for index in indices]
        )
        return dict(zip(indices, checks, strict=True))

    async def _stage_chunk(
        self, chunk_store: ChunkStore, index: int, limit: asyncio.Semaphore
    ) -> ChunkCheck:
        manifest = chunk_store.manifest
        async with limit:
            read_s = self.clock()
            if await self._is_staged(manifest, index):
                return ChunkCheck(read_s, written=False)
            self.on_write(index)
            await self.engine.stage(
                manifest.model, index, chunk_store.chunks[index]
            )
            read_s = self.clock()
            if not await self._is_staged(manifest, index):
                raise EngineUnavailable(f'staged chunk {index} is corrupt')
            return ChunkCheck(read_s, written=True)

    async def _is_staged(self, manifest: Manifest, index: int) -> bool:
        staged_chunk = await self.engine.read_staged(manifest.model, index)
        return staged_chunk is not None and matches_manifest(
            manifest, index, staged_chunk
        )


async def _gather(calls: Iterable[Awaitable[ResultT]]) -> list[ResultT]:
    """Wait until all calls have ended; raise the first error, if any."""
    outcomes = await asyncio.gather(*calls, return_exceptions=True)
    results: list[ResultT] = []
    for outcome in outcomes:
        if isinstance(outcome, BaseException):
            raise outcome
        results.append(outcome)
    return results
