"""Chunks become corrupt between the check before an order and its acceptance.

Loader, engine and relay run on virtual time.
"""

import asyncio
import unittest
from random import Random

from bramleylug.cluster.upstreams import UpstreamRegistry
from testing.loader.staged_engine import Delays, HostModel, build_chunk_store
from testing.loader.swarm import CHUNKS, chunks_of
from testing.virtual_time import in_virtual_time

# An engine with sound weights serves again within this time of the last fault.
RECOVERY_S = 8.0
SEEDS = 30


async def start_host() -> HostModel:
    """Return a host whose engine serves version 1."""
    host = HostModel(asyncio.get_running_loop().time)
    host.name(1)
    await asyncio.sleep(RECOVERY_S)
    return host


class TestSpoiltChunks(unittest.TestCase):
    """An engine that has loaded corrupt chunks gets no request."""

    async def play(self, host: HostModel, length_s: float = 20.0) -> None:
        """Name version 2; check that it serves at the end, and only sound."""
        host.offers.clear()
        host.name(2)
        await asyncio.sleep(length_s)
        host.stop()
        self.assertEqual(host.violations, [])
        self.assertTrue(host.is_offered())
        self.assertTrue(host.engine.sound)
        self.assertEqual(host.engine.version, 2)

    @in_virtual_time
    async def test_calm_load_is_offered_soon(self) -> None:
        host = await start_host()
        host.name(2)
        await asyncio.sleep(2.0)
        host.stop()

        self.assertEqual(host.violations, [])
        self.assertTrue(host.is_offered())
        self.assertEqual((host.engine.version, host.engine.orders), (2, 2))

    @in_virtual_time
    async def test_chunk_spoilt_during_a_slow_check(self) -> None:
        host = await start_host()
        host.engine.delays.calls_s = 0.9
        host.engine.on_staged_read = spoil_once(host, index=0)

        await self.play(host, 40.0)

        self.assertGreater(host.engine.orders, 2)

    @in_virtual_time
    async def test_chunk_spoilt_while_the_order_is_on_its_way(self) -> None:
        host = await start_host()
        host.engine.delays.order_s = 0.8
        loop = asyncio.get_running_loop()
        loop.call_later(1.0, host.engine.spoil, 5)

        await self.play(host)

        self.assertEqual(host.engine.orders, 4)

    @in_virtual_time
    async def test_order_accepted_after_its_answer_was_lost(self) -> None:
        """A chunk that the next try mends says nothing about the load."""
        host = await start_host()
        host.engine.delays.order_s = 3.4
        loop = asyncio.get_running_loop()
        loop.call_later(1.0, host.engine.spoil, 5)
        loop.call_later(2.5, setattr, host.engine.delays, 'order_s', 0.001)

        await self.play(host)

    @in_virtual_time
    async def test_loader_killed_after_its_order(self) -> None:
        host = await start_host()
        host.engine.delays.order_s = 3.0
        loop = asyncio.get_running_loop()
        loop.call_later(0.6, host.engine.spoil, 5)
        loop.call_later(0.7, host.restart_loader)
        loop.call_later(1.0, setattr, host.engine.delays, 'order_s', 0.001)

        await self.play(host)

    @in_virtual_time
    async def test_weights_of_a_restarted_loader_stay_in_use(self) -> None:
        host = await start_host()
        host.offers.clear()
        host.restart_loader()
        await asyncio.sleep(1.0)
        host.stop()

        self.assertGreater(len(host.offers), 95)
        self.assertEqual(host.engine.orders, 1)


class TestPredecessors(unittest.TestCase):
    """A process takes over from one that ended between two steps."""

    @in_virtual_time
    async def test_chunk_mended_by_a_loader_killed_before_its_audit(
        self,
    ) -> None:
        """The order is accepted while the next try reads the chunks."""
        host = await start_host()
        engine = host.engine
        engine.delays.order_s = 2.2
        loop = asyncio.get_running_loop()
        loop.call_later(1.2, setattr, engine.delays, 'calls_s', 0.3)
        loop.call_later(1.3, engine.spoil, 5)
        host.name(2)
        while engine.orders < 2 or engine.staged[5] != chunks_of(2)[5]:
            await asyncio.sleep(0.005)
        host.restart_loader()
        engine.delays = Delays()
        await asyncio.sleep(20.0)
        host.stop()

        self.assertEqual(host.violations, [])
        self.assertTrue(host.engine.sound)

    @in_virtual_time
    async def test_relay_started_while_corrupt_weights_are_loaded(self) -> None:
        """It reads the record before it hears the loader."""
        host = await start_host()
        host.engine.delays.order_s = 0.8
        asyncio.get_running_loop().call_later(1.0, host.engine.spoil, 5)
        host.name(2)
        while host.engine.sound or host.engine.busy:
            await asyncio.sleep(0.01)
        host.registry = UpstreamRegistry()
        await asyncio.sleep(20.0)
        host.stop()

        self.assertEqual(host.violations, [])

    @in_virtual_time
    async def test_chunk_mended_by_a_late_write(self) -> None:
        """A write without an answer arrives after the order was accepted."""
        host = await start_host()
        engine = host.engine
        engine.lose_write(5, late_s=3.0)
        engine.delays.order_s = 0.9
        host.name(2)
        while engine.staged[5] != chunks_of(2)[5]:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.1)
        engine.spoil(5)
        while engine.orders < 2:
            await asyncio.sleep(0.005)
        engine.delays.calls_s = 0.5
        await asyncio.sleep(20.0)
        host.stop()

        self.assertEqual(host.violations, [])
        self.assertTrue(host.engine.sound)


class TestSoundWeights(unittest.TestCase):
    """Sound weights serve, whatever the staging area contains by now."""

    @in_virtual_time
    async def test_reads_that_fail_now_and_then_do_not_delay_it(self) -> None:
        """A chunk that was read back once needs no other read."""
        host = await start_host()
        host.name(2)
        while host.engine.orders < 2:
            await asyncio.sleep(0.005)
        host.engine.lose_reads(Random(1), share=0.4)
        host.offers.clear()
        await asyncio.sleep(20.0)
        host.stop()

        self.assertTrue(host.is_offered())
        self.assertEqual(host.violations, [])

    @in_virtual_time
    async def test_newer_version_that_cannot_be_completed(self) -> None:
        """The origin fails while weights are loaded and read back."""
        host = await start_host()
        host.engine.restart()
        while not host.engine.busy:
            await asyncio.sleep(0.005)
        host.engine.delays.calls_s = 1.2
        host.chunk_stores.open(2, build_chunk_store(2).manifest)
        await asyncio.sleep(2.0)
        host.engine.delays.calls_s = 0.001
        await asyncio.sleep(20.0)
        host.stop()

        self.assertTrue(host.is_offered())
        self.assertEqual(host.engine.orders, 1)

    @in_virtual_time
    async def test_chunk_that_is_spoilt_after_the_load(self) -> None:
        """The loader's successor does not have the engine load again."""
        host = await start_host()
        host.engine.spoil(3)
        host.restart_loader()
        await asyncio.sleep(20.0)
        host.stop()

        self.assertTrue(host.is_offered())
        self.assertEqual(host.engine.orders, 1)


class TestRandomFaults(unittest.TestCase):
    """Faults at random moments never have a request run on corrupt layers."""

    def test_no_request_runs_on_corrupt_layers(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.play(seed)

    @in_virtual_time
    async def play(self, seed: int) -> None:
        random = Random(seed)
        host = await start_host()
        host.loses = lambda: random.random() < 0.3
        for version in (2, 3):
            host.name(version)
            for _ in range(random.randrange(1, 8)):
                await asyncio.sleep(random.random() ** 2 * 1.5)
                inject(host, random)
        host.engine.delays.order_s = 0.001
        host.engine.delays.calls_s = 0.001
        await asyncio.sleep(2 * RECOVERY_S)
        host.stop()

        self.assertEqual(host.violations, [])
        self.assertTrue(host.is_offered())
        self.assertTrue(host.engine.sound)


def inject(host: HostModel, random: Random) -> None:
    """Have one thing go wrong, or end."""
    engine = host.engine
    match random.randrange(8):
        case 0 | 1 | 2:
            engine.spoil(random.randrange(CHUNKS))
        case 3:
            engine.delays.order_s = random.choice((0.001, 0.5, 1.5, 4.0))
        case 4:
            engine.delays.calls_s = random.choice((0.001, 0.05, 0.3, 1.2))
        case 5:
            host.restart_loader()
        case 6:
            engine.restart()
        case 7:
            engine.delays.order_s = 0.001


def spoil_once(host: HostModel, index: int):
    """Return a hook that spoils a chunk after its last read before an order."""
    reads = []

    def spoil(read: int) -> None:
        reads.append(read)
        if reads.count(index) == 3 and read == index:
            host.engine.spoil(index)

    return spoil
