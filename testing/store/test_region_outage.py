"""Tests of a region whose store, behind a narrow link, was away."""

import asyncio
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import product

from bramleylug.platform.decoding import CONFIG_KEY
from bramleylug.routing.rendezvous import rank
from bramleylug.store.changes import StoreItem
from testing.store.region_outage import OutageRegion, OutageStore
from testing.store.region_start import build_large_config
from testing.virtual_time import in_virtual_time

RELAYS = 20
LOADERS = 17
ROUTES = 250
MORE_ROUTES = 1654
# 15.5 Mbit/s between two regions, and what weights may leave of it.
LINK_BYTES_PER_S = 1_937_500
LINK_SHARES = (1.0, 0.5)
CALM_S = 8.0
OUTAGE_S = 8.0
# Bound of the users for a configuration, from its acknowledgement on.
APPLY_S = 3.0
# Bound of other users for a change, of a process with that limit.
DRAIN_S = 2.0
# Of it, for the way of a request to its engine.
SEND_S = 0.15
# The relay that reads for the others, and one more where that was late.
MAX_COPIES = 2
# Of a change: JSON around each value, which is Base64.
OVERHEAD = 1.1
STORM = 7
STORM_GAP_S = 0.15


class Play:
    """A region on virtual time, with configurations after an outage.

    :param link_share: share of the link that is left for the store.
    :param routes: routes of a configuration beside readers that are cut off.
    """

    def __init__(self, link_share: float, routes: int = MORE_ROUTES) -> None:
        self.routes = routes
        config = StoreItem(CONFIG_KEY, build_large_config(ROUTES), 1)
        self.store = OutageStore(LINK_BYTES_PER_S * link_share, config)
        self.region = OutageRegion(self.store, RELAYS, LOADERS)
        self.names = {f'relay-{number}' for number in range(RELAYS)}
        self.written_bytes = 0

    async def run(
        self,
        *,
        is_silent: bool = False,
        cut_readers: int = 0,
        unchanged_s: float = 0,
    ) -> float:
        """Return how long the last configuration takes to be known.

        :param cut_readers: how many of the first readers stay cut off.
        :param unchanged_s: time from the outage to the first configuration.
        """
        async with self.running():
            self.store.leave(is_silent=is_silent)
            self.cut_off(cut_readers)
            await asyncio.sleep(OUTAGE_S)
            self.store.is_away = False
            self.store.sent_bytes = 0
            self.store.told.clear()
            await asyncio.sleep(unchanged_s)
            async with asyncio.timeout(60):
                return await self.write_configurations()

    async def run_beside_relays_turned_away(self, places: set[int]) -> float:
        """Return how long a change takes that some relays cannot read.

        Those before the first other one have no reader.

        :param places: of these relays in the order of readers.
        """
        async with self.running():
            names = self.readers()
            self.store.cut.update(names[place] for place in places)
            await asyncio.sleep(CALM_S)
            first = min(set(range(RELAYS)) - places)
            return await self.write_change(set(names[first:]))

    async def run_with_a_later_cut(self, later_s: float) -> float:
        """Return how long a change takes after an outage and a cut reader.

        :param later_s: time between these.
        """
        async with self.running():
            self.store.leave(is_silent=False)
            await asyncio.sleep(OUTAGE_S)
            self.store.is_away = False
            await asyncio.sleep(later_s)
            self.cut_off(1)
            return await self.write_change(self.names)

    async def run_beside_cut_readers(self, count: int, later_s: float) -> float:
        """Return how long a configuration of many routes takes.

        :param count: how many of the first readers are cut off.
        :param later_s: time from the cut to the configuration.
        """
        async with self.running():
            self.store.sent_bytes = 0
            self.cut_off(count)
            await asyncio.sleep(later_s)
            return await self.write_change(self.names, self.routes)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run all processes, and wait until they are calm."""
        async with self.region.starting():
            beats = asyncio.create_task(self.region.run_heartbeats())
            await self.region.wait_until_loaded(RELAYS + LOADERS, CALM_S)
            await asyncio.sleep(CALM_S)
            try:
                yield
            finally:
                beats.cancel()

    def readers(self) -> list[str]:
        """Return the relays in the order in which they read for the others."""
        zone = self.region.cores['relay-0'].record.zone
        return rank(zone, {f'relay-{number}' for number in range(RELAYS)})

    def cut_off(self, count: int) -> None:
        """Cut the first readers off from the store."""
        cut = self.readers()[:count]
        self.store.cut.update(cut)
        self.names.difference_update(cut)

    async def write_change(
        self, names: set[str], routes: int = ROUTES
    ) -> float:
        """Write a configuration; return how long relays take to know it."""
        revision = self.write(build_large_config(routes))
        async with asyncio.timeout(60):
            return await self.region.wait_until_known(revision, names)

    async def write_configurations(self) -> float:
        """Write some in quick succession, the last one with many routes."""
        small = build_large_config(ROUTES)
        for _ in range(STORM):
            self.write(small)
            await asyncio.sleep(STORM_GAP_S)
        revision = self.write(build_large_config(MORE_ROUTES))
        return await self.region.wait_until_known(revision, self.names)

    def write(self, value: bytes) -> int:
        self.written_bytes += len(value)
        return self.store.write(CONFIG_KEY, value)

    def copies_sent(self) -> float:
        """Return bytes over the link, in copies of what was written."""
        return self.store.sent_bytes / (self.written_bytes * 4 / 3 * OVERHEAD)


class TestStoreThatWasAway(unittest.TestCase):
    """Guards against links full of what all processes missed (CONFIG)."""

    @in_virtual_time
    async def test_region_applies_configurations_in_time_after_an_outage(
        self,
    ) -> None:
        for share, is_silent in product(LINK_SHARES, (False, True)):
            with self.subTest(share=share, is_silent=is_silent):
                play = Play(share)
                late_s = await play.run(is_silent=is_silent)

                self.assertLessEqual(late_s, APPLY_S)
                self.assertLessEqual(play.copies_sent(), MAX_COPIES)

    @in_virtual_time
    async def test_few_processes_of_a_region_read_what_all_missed(
        self,
    ) -> None:
        for is_silent, unchanged_s in product((False, True), (0, 0.4, 2.0)):
            with self.subTest(is_silent=is_silent, unchanged_s=unchanged_s):
                play = Play(1.0)
                await play.run(is_silent=is_silent, unchanged_s=unchanged_s)

                self.assertLessEqual(len(play.store.told), MAX_COPIES)

    @in_virtual_time
    async def test_region_whose_reader_stays_cut_off_applies_them_in_time(
        self,
    ) -> None:
        for share, is_silent, unchanged_s in product(
            LINK_SHARES, (False, True), (0, 0.2, 1.0)
        ):
            with self.subTest(
                share=share, is_silent=is_silent, unchanged_s=unchanged_s
            ):
                play = Play(share)
                late_s = await play.run(
                    is_silent=is_silent,
                    cut_readers=1,
                    unchanged_s=unchanged_s,
                )

                self.assertLessEqual(late_s, APPLY_S)
                self.assertLessEqual(play.copies_sent(), MAX_COPIES)

    @in_virtual_time
    async def test_region_whose_first_two_readers_stay_cut_off(self) -> None:
        for share, is_silent, unchanged_s in product(
            LINK_SHARES, (False, True), (0, 0.4)
        ):
            with self.subTest(
                share=share, is_silent=is_silent, unchanged_s=unchanged_s
            ):
                late_s = await Play(share).run(
                    is_silent=is_silent, cut_readers=2, unchanged_s=unchanged_s
                )

                self.assertLessEqual(late_s, APPLY_S)


class TestReadersWithoutTheStore(unittest.TestCase):
    """Guards against configurations that stay old behind them (CONFIG)."""

    @in_virtual_time
    async def test_relays_that_are_turned_away_with_their_reader(self) -> None:
        """They find one that the store answers."""
        for places in ({0, 3, 6, 9}, {0, 1, 2, 9, 12, 15}):
            with self.subTest(places=places):
                play = Play(1.0)
                late_s = await play.run_beside_relays_turned_away(places)

                self.assertLessEqual(late_s, APPLY_S)

    @in_virtual_time
    async def test_configuration_behind_a_reader_that_is_cut_off(self) -> None:
        """One other process reads it, however long it is on its way."""
        for routes, later_s in product(
            (600, 1000, 1400, 1654, 2200), (0, 1.0, 2.0)
        ):
            with self.subTest(routes=routes, later_s=later_s):
                await self.check_cut_readers(Play(1.0, routes), 1, later_s)

    @in_virtual_time
    async def test_configuration_behind_readers_that_are_cut_off(self) -> None:
        """They are passed over one after the other."""
        for count, share in product((2, 4), LINK_SHARES):
            with self.subTest(count=count, share=share):
                await self.check_cut_readers(Play(share), count, 0)

    async def check_cut_readers(
        self, play: Play, count: int, later_s: float
    ) -> None:
        late_s = await play.run_beside_cut_readers(count, later_s)

        self.assertLessEqual(late_s, APPLY_S)
        self.assertLessEqual(play.copies_sent(), MAX_COPIES)

    @in_virtual_time
    async def test_reader_that_is_cut_off_some_time_after_an_outage(
        self,
    ) -> None:
        """The limits are those of a calm cluster again."""
        for later_s in (6.0, 6.74, 7.85):
            with self.subTest(later_s=later_s):
                late_s = await Play(1.0).run_with_a_later_cut(later_s)

                self.assertLessEqual(late_s, DRAIN_S - SEND_S)
