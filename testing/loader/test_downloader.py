"""Tests of downloading versions to several hosts."""

import asyncio
import unittest

from bramleylug.loader.downloader import MANIFEST_PEERS
from bramleylug.loader.manifest_turns import MANIFEST_READERS
from testing.loader.swarm import CHUNKS, Swarm, SwarmOrigin
from testing.virtual_time import in_virtual_time


class TestDownloader(unittest.TestCase):
    """Every host ends with the newest version that can be obtained."""

    @in_virtual_time
    async def test_version_is_read_from_the_origin_about_once(self) -> None:
        """Hosts fetch the other chunks from one another."""
        async with Swarm() as swarm:
            await swarm.wait_until_complete(1)
            reads = len(swarm.origin.reads)

        self.assertLessEqual(reads, 1.5 * CHUNKS)

    @in_virtual_time
    async def test_few_hosts_read_the_manifest_in_a_large_fleet(self) -> None:
        """Each of the others asks a few peers for it."""
        async with Swarm(hosts=40) as swarm:
            await swarm.wait_until_complete(1)

            # Each reader reads it twice, to find a corrupt digest.
            self.assertLessEqual(
                swarm.origin.manifest_reads, 2 * 2 * MANIFEST_READERS
            )
            self.assertLessEqual(swarm.manifest_calls, 40 * 2 * MANIFEST_PEERS)

    @in_virtual_time
    async def test_host_that_joins_reads_nothing_from_the_origin(self) -> None:
        """It uses holdings that were announced before its transfer started."""
        await self.check_join(target=1)

    @in_virtual_time
    async def test_host_that_joins_before_any_version_is_announced(
        self,
    ) -> None:
        """It downloads the origin's newest, which nothing replaces."""
        await self.check_join(target=0)

    async def check_join(self, target: int) -> None:
        """Start a host once the others hold all; it fetches only from them."""
        async with Swarm(hosts=6, late_host='host-5') as swarm:
            swarm.target = target
            await swarm.wait_until_complete(1)
            await asyncio.sleep(1.0)
            swarm.announcements.cancel()
            reads = len(swarm.origin.reads)
            swarm.late_host = ''
            swarm.start('host-5')
            await swarm.wait_until_complete(1)

            self.assertEqual(len(swarm.origin.reads), reads)

    @in_virtual_time
    async def test_corrupt_chunk_is_fetched_again(self) -> None:
        """Only verified chunks are kept and served."""
        async with Swarm() as swarm:
            swarm.origin.corrupt = {3}
            await swarm.wait_until_complete(1)

            self.assertEqual(swarm.origin.corrupt, set())

    @in_virtual_time
    async def test_newer_version_replaces_a_transfer_once_it_is_seeded(
        self,
    ) -> None:
        """The hosts hold every chunk together, but no host holds all."""
        async with Swarm(hosts=6) as swarm:
            await swarm.wait_until_complete(1)
            swarm.peer_fetch_s = 0.5
            swarm.target = 2
            await swarm.wait_for_chunks(2, 2)
            swarm.target = 3
            await swarm.wait_for_chunks(3, 1)
            held = [
                len(chunk_stores.by_version[2].chunks)
                for chunk_stores in swarm.chunk_stores.values()
            ]
            self.assertLess(max(held), CHUNKS)
            self.assertEqual(len(swarm.held_by_any(2)), CHUNKS)
            await swarm.wait_until_complete(3)

    @in_virtual_time
    async def test_version_is_finished_while_the_next_is_unobtainable(
        self,
    ) -> None:
        """The origin went down while it served the newer version.

        The hosts hold all chunks of the older version, and some of the
        newer one, which must not be started over and over.
        """
        async with Swarm(hosts=6) as swarm:
            await swarm.wait_until_complete(1)
            swarm.peer_fetch_s = 0.5
            swarm.target = 2
            await swarm.wait_for_chunks(2, CHUNKS)
            swarm.target = 3
            await swarm.wait_for_chunks(3, 2)
            swarm.origin.is_up = False

            await swarm.wait_until_complete(2, timeout_s=7)

    @in_virtual_time
    async def test_newest_version_follows_once_the_origin_is_up(self) -> None:
        """A stalled download goes on by itself."""
        async with Swarm() as swarm:
            await swarm.wait_until_complete(1)
            swarm.origin.is_up = False
            swarm.target = 2
            await asyncio.sleep(3.0)
            self.assertEqual(swarm.held_by_any(2), set())
            swarm.origin.is_up = True

            await swarm.wait_until_complete(2, timeout_s=4)

    @in_virtual_time
    async def test_two_versions_named_at_once_do_not_divide_the_hosts(
        self,
    ) -> None:
        """Some learned of the second one later, and went on with the first."""
        origin = SwarmOrigin()
        origin.fetch_s = 0.5
        async with Swarm(hosts=9, origin=origin) as swarm:
            late = ('host-0', 'host-3', 'host-6')
            swarm.target = 3
            swarm.targets = dict.fromkeys(late, 2)
            await asyncio.sleep(0.7)
            swarm.targets.clear()
            await swarm.wait_until_complete(3)

            # What the late hosts were reading by then, two chunks each.
            reads = sum(version == 2 for version, _ in origin.reads)
            self.assertLessEqual(reads, 2 * len(late))

    @in_virtual_time
    async def test_version_that_is_replaced_at_once_is_not_seeded(self) -> None:
        """It would serve longer than the one before by a moment only."""
        origin = SwarmOrigin()
        origin.fetch_s = 0.5
        async with Swarm(hosts=9, origin=origin) as swarm:
            swarm.target = 2
            await asyncio.sleep(0.4)
            swarm.target = 3
            await swarm.wait_until_complete(3)

            self.assertEqual(swarm.held_by_any(2), set())
