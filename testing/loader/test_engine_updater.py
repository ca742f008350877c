"""Tests of loading new weights into an engine."""

import asyncio
import unittest

from bramleylug.cluster.upstreams import UpstreamReport
from bramleylug.loader.chunk_store import (
    ChunkStore,
    ChunkStores,
    build_manifest,
)
from bramleylug.loader.downloader import TargetVersion
from bramleylug.loader.engine import DecodedReport, EngineUnavailable
from bramleylug.loader.engine_updater import EngineUpdater
from bramleylug.loader.staging_area import PARALLEL_CALLS, StagingArea
from bramleylug.weights.manifest import chunk_hash
from testing.loader.swarm import CHUNK_BYTES, chunks_of
from testing.relay.builders import (
    MODEL,
    build_engine_state,
    build_observation,
)
from testing.virtual_time import in_virtual_time


class ReportingEngine:
    """Engine that reports the version that the test sets."""

    def __init__(self) -> None:
        self.version = 1
        self.reports = 0

    async def report(self, model, now_s):
        self.reports += 1
        state = build_engine_state(version=self.version)
        return DecodedReport(state, UpstreamReport(1, 0, 0, {}, False, now_s))


class CountingContext:
    """Counts heartbeats to the relays."""

    def __init__(self) -> None:
        self.heartbeats = 0

    def model(self):
        return MODEL

    def target_version(self):
        return TargetVersion(MODEL, 2)

    def observe(self, ready_version, engine):
        return build_observation(ready_version=ready_version, engine=engine)

    def send_heartbeat(self):
        self.heartbeats += 1


class TestEngineUpdater(unittest.TestCase):
    """Relays learn at once which weights an engine serves."""

    @in_virtual_time
    async def test_new_weights_are_reported_to_the_relays_at_once(self) -> None:
        """Otherwise the engine would be idle until the next heartbeat."""
        engine = ReportingEngine()
        context = CountingContext()
        clock = asyncio.get_running_loop().time
        updater = EngineUpdater(engine, ChunkStores(), context, clock)
        task = asyncio.create_task(updater.run())
        await asyncio.sleep(0.35)
        heartbeats = context.heartbeats
        engine.version = 2
        await asyncio.sleep(0.35)
        task.cancel()

        self.assertEqual((heartbeats, context.heartbeats), (1, 2))

    @in_virtual_time
    async def test_engine_is_asked_rarely_while_nothing_can_be_loaded(
        self,
    ) -> None:
        """It was asked ten times a second for as long as chunks came."""
        engine = ReportingEngine()
        clock = asyncio.get_running_loop().time
        updater = EngineUpdater(engine, ChunkStores(), CountingContext(), clock)
        task = asyncio.create_task(updater.run())
        await asyncio.sleep(3.0)
        task.cancel()

        self.assertAlmostEqual(engine.reports, 10, delta=1)


class StagingEngine:
    """An engine whose staging area may be corrupt, for good or once.

    :ivar calls: number of concurrent calls, and their maximum.
    """

    def __init__(self, broken=()):
        self.staged = {}
        self.broken = set(broken)
        self.running = 0
        self.most_running = 0

    async def stage(self, model, index, chunk):
        await self.call()
        self.staged[index] = b'rotten' if index in self.broken else chunk

    async def read_staged(self, model, index):
        await self.call()
        return self.staged.get(index)

    async def call(self):
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        await asyncio.sleep(0.01)
        self.running -= 1


def build_chunk_store():
    """Return a complete version of twelve chunks."""
    chunks = chunks_of(1)
    manifest = build_manifest(
        MODEL, 1, CHUNK_BYTES, [chunk_hash(chunk) for chunk in chunks]
    )
    chunk_store = ChunkStore(manifest)
    for index, chunk in enumerate(chunks):
        chunk_store.add(index, chunk)
    return chunk_store


class TestStaging(unittest.TestCase):
    """A load is ordered only on chunks that were read back as they are."""

    async def stage(self, engine):
        """Return the seconds that staging a version took."""
        clock = asyncio.get_running_loop().time
        began_s = clock()
        await StagingArea(engine, clock, set().add).stage(build_chunk_store())
        return clock() - began_s

    @in_virtual_time
    async def test_rotten_chunks_are_replaced(self) -> None:
        """Those that are whole are left alone."""
        engine = StagingEngine()
        engine.staged = {0: b'rot', 1: chunks_of(1)[1]}

        took_s = await self.stage(engine)

        self.assertEqual(engine.staged, dict(enumerate(chunks_of(1))))
        self.assertLess(took_s, 0.15)
        self.assertEqual(engine.most_running, PARALLEL_CALLS)

    @in_virtual_time
    async def test_chunk_that_stays_rotten_prevents_the_load(self) -> None:
        with self.assertRaises(EngineUnavailable):
            await self.stage(StagingEngine(broken=[7]))
