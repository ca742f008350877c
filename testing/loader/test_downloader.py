"""Tests of bringing versions to several hosts."""

import asyncio
import unittest

from testing.loader.swarm import CHUNKS, Swarm
from testing.virtual_time import in_virtual_time


class TestBringer(unittest.TestCase):
    """Every host ends with the newest version that can be had."""

    @in_virtual_time
    async def test_version_is_read_from_the_origin_about_once(self) -> None:
        """Hosts hand chunks to one another."""
        async with Swarm() as swarm:
            await swarm.until_whole(1)
            reads = len(swarm.origin.reads)

        self.assertLessEqual(reads, 1.5 * CHUNKS)

    @in_virtual_time
    async def test_host_that_joins_reads_nothing_from_the_origin(self) -> None:
        """The others told what they hold before its transfer began."""
        await self.join(named=1)

    @in_virtual_time
    async def test_host_that_joins_before_any_version_is_named(self) -> None:
        """It brings the origin's newest, which no news overtakes."""
        await self.join(named=0)

    async def join(self, named: int) -> None:
        """Start a host when the others hold all; it asks only them."""
        async with Swarm(hosts=6, late='host-5') as swarm:
            swarm.named = named
            await swarm.until_whole(1)
            await asyncio.sleep(1.0)
            swarm.schedule.cancel()
            reads = len(swarm.origin.reads)
            swarm.late = ''
            swarm.begin('host-5')
            await swarm.until_whole(1)

            self.assertEqual(len(swarm.origin.reads), reads)

    @in_virtual_time
    async def test_spoilt_chunk_is_fetched_again(self) -> None:
        """Only verified bytes are kept and handed on."""
        async with Swarm() as swarm:
            swarm.origin.spoilt = {3}
            await swarm.until_whole(1)

            self.assertEqual(swarm.origin.spoilt, set())

    @in_virtual_time
    async def test_newer_version_replaces_a_transfer_once_it_is_seeded(
        self,
    ) -> None:
        """The hosts hold all of it together, none holds it whole."""
        async with Swarm(hosts=6) as swarm:
            await swarm.until_whole(1)
            swarm.peer_s = 0.5
            swarm.named = 2
            await swarm.until_begun(2, 2)
            swarm.named = 3
            await swarm.until_begun(3, 1)
            held = [
                len(chunk_stores.by_version[2].chunks)
                for chunk_stores in swarm.chunk_stores.values()
            ]
            self.assertLess(max(held), CHUNKS)
            self.assertEqual(len(swarm.held_by_any(2)), CHUNKS)
            await swarm.until_whole(3)

    @in_virtual_time
    async def test_version_is_finished_while_the_next_cannot_be_had(
        self,
    ) -> None:
        """The origin went down after all chunks of the first had left it.

        Of the second only some had: it must not be tried over and over.
        """
        async with Swarm(hosts=6) as swarm:
            await swarm.until_whole(1)
            swarm.peer_s = 0.5
            swarm.named = 2
            await swarm.until_begun(2, CHUNKS)
            swarm.named = 3
            await swarm.until_begun(3, 2)
            swarm.origin.up = False

            await swarm.until_whole(2, limit_s=7)

    @in_virtual_time
    async def test_newest_version_comes_once_the_origin_is_back(self) -> None:
        """Being stuck is not for good."""
        async with Swarm() as swarm:
            await swarm.until_whole(1)
            swarm.origin.up = False
            swarm.named = 2
            await swarm.until_begun(1, CHUNKS)
            swarm.origin.up = True

            await swarm.until_whole(2)
