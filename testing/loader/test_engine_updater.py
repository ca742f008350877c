"""Tests of loading new weights into an engine."""

import asyncio
import unittest

from bramleylug.loader.chunk_store import ChunkStores
from bramleylug.loader.downloader import TargetVersion
from bramleylug.loader.engine import DecodedReport
from bramleylug.loader.engine_updater import EngineUpdater
from bramleylug.relay.upstreams import UpstreamReport
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

    async def report(self, model, now_s):
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
