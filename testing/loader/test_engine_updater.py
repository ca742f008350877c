"""Tests of keeping an engine on the newest weights."""

import asyncio
import unittest

from bramleylug.loader.chunk_store import ChunkStores
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
    """An engine whose version the test sets."""

    def __init__(self) -> None:
        self.version = 1

    async def report(self, model, now_s):
        """Say which version is held."""
        state = build_engine_state(version=self.version)
        return DecodedReport(state, UpstreamReport(1, 0, 0, {}, False, now_s))


class CountingContext:
    """Counts how often the relays were told."""

    def __init__(self) -> None:
        self.told = 0

    def model(self):
        """Return the model."""
        return MODEL

    def observe(self, ready, engine):
        """Return that nothing is ready."""
        return build_observation(ready_version=ready, engine=engine)

    def tell(self):
        """Count."""
        self.told += 1


class TestEngineKeeper(unittest.TestCase):
    """Relays hear at once of what an engine serves."""

    @in_virtual_time
    async def test_relays_hear_of_new_weights_at_once(self) -> None:
        """An engine that took them would idle until the next beat."""
        engine = ReportingEngine()
        around = CountingContext()
        clock = asyncio.get_running_loop().time
        engine_updater = EngineUpdater(engine, ChunkStores(), around, clock)
        task = asyncio.create_task(engine_updater.run())
        await asyncio.sleep(0.35)
        told = around.told
        engine.version = 2
        await asyncio.sleep(0.35)
        task.cancel()

        self.assertEqual((told, around.told), (1, 2))
