"""Writes chunks to the engine's staging area and reads them back."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, final

from bramleylug.loader.chunk_store import ChunkStore, matches_manifest
from bramleylug.loader.engine import EngineUnavailable, LocalEngine

# Concurrent calls to the engine.
PARALLEL_CALLS = 4


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
    """The engine's staging area, in which chunks may become corrupt."""

    def __init__(self, engine: LocalEngine, clock: Callable[[], float]) -> None:
        self.engine = engine
        self.clock = clock

    async def stage(self, chunk_store: ChunkStore) -> StagingReport:
        """Stage missing and corrupt chunks; verify all by reading them back.

        :raises EngineUnavailable: also if a chunk is corrupt when read back.
        """
        began_s = self.clock()
        limit = asyncio.Semaphore(PARALLEL_CALLS)
        ended = await asyncio.gather(
            *(
                self._stage_chunk(chunk_store, index, limit)
                for index in chunk_store.chunks
            ),
            return_exceptions=True,
        )
        checks: list[ChunkCheck] = []
        for outcome in ended:
            if isinstance(outcome, BaseException):
                raise outcome
            checks.append(outcome)
        return StagingReport(
            began_s,
            min((check.read_s for check in checks), default=began_s),
            sum(check.written for check in checks),
        )

    async def _stage_chunk(
        self, chunk_store: ChunkStore, index: int, limit: asyncio.Semaphore
    ) -> ChunkCheck:
        async with limit:
            read_s = self.clock()
            if await self._is_staged(chunk_store, index):
                return ChunkCheck(read_s, written=False)
            await self.engine.stage(
                chunk_store.manifest.model, index, chunk_store.chunks[index]
            )
            read_s = self.clock()
            if not await self._is_staged(chunk_store, index):
                raise EngineUnavailable(f'staged chunk {index} is corrupt')
            return ChunkCheck(read_s, written=True)

    async def _is_staged(self, chunk_store: ChunkStore, index: int) -> bool:
        staged_chunk = await self.engine.read_staged(
            chunk_store.manifest.model, index
        )
        return staged_chunk is not None and matches_manifest(
            chunk_store.manifest, index, staged_chunk
        )
