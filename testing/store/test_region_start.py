"""Tests of processes that start together, far from the store."""

import unittest

from bramleylug.cluster.store_readers import choose_reader
from bramleylug.platform.decoding import CONFIG_KEY
from bramleylug.routing.rendezvous import rank
from bramleylug.store.changes import StoreItem
from testing.store.region_start import (
    Region,
    RegionStore,
    build_large_config,
)
from testing.virtual_time import in_virtual_time

ROUTES = 1812
RELAYS = 20
LOADERS = 21
PROCESSES = RELAYS + LOADERS
# 16 Mbit/s between two regions.
LINK_BYTES_PER_S = 2_000_000
# Of the 15 s until requests are served again, engines without weights need ten.
LIMIT_S = 5.0
# Copies of the configuration that may pass the link: a few readers' ones.
MAX_COPIES = 6


def build_region() -> Region:
    config = build_large_config(ROUTES)
    store = RegionStore(LINK_BYTES_PER_S, StoreItem(CONFIG_KEY, config, 1))
    return Region(store, RELAYS, LOADERS)


def copies_sent(region: Region) -> float:
    """Return bytes over the link, in copies of the configuration."""
    config = region.store.items[CONFIG_KEY].value
    return region.store.sent_bytes / (len(config) * 4 / 3)


class TestRegionStart(unittest.TestCase):
    """Guards against links full of copies of the store (RECOVER, CONFIG)."""

    @in_virtual_time
    async def test_region_that_lost_power_reads_few_copies(self) -> None:
        """The registrations of before have not expired yet."""
        region = build_region()
        region.register_feeds()
        async with region.starting():
            await region.wait_until_loaded(PROCESSES, LIMIT_S)

        self.assertLessEqual(copies_sent(region), MAX_COPIES)

    @in_virtual_time
    async def test_region_that_nobody_is_registered_in_reads_few_copies(
        self,
    ) -> None:
        region = build_region()
        async with region.starting():
            await region.wait_until_loaded(PROCESSES, LIMIT_S)

        self.assertLessEqual(copies_sent(region), 2 * MAX_COPIES)

    @in_virtual_time
    async def test_reader_that_does_not_come_back(self) -> None:
        """It is registered, and accepts calls, but never answers."""
        region = build_region()
        region.register_feeds()
        frozen = first_reader(region)
        region.freeze(frozen)
        region.store.cut.add(frozen)
        async with region.starting():
            await region.wait_until_loaded(PROCESSES - 1, LIMIT_S)

        self.assertLessEqual(copies_sent(region), 2 * MAX_COPIES)

    @in_virtual_time
    async def test_reader_that_is_cut_off_from_the_store(self) -> None:
        """It answers that it has not read the store."""
        region = build_region()
        region.register_feeds()
        cut = first_reader(region)
        region.store.cut.add(cut)
        async with region.starting():
            await region.wait_until_loaded(PROCESSES - 1, LIMIT_S)

        self.assertLessEqual(copies_sent(region), 2 * MAX_COPIES)

    @in_virtual_time
    async def test_process_whose_zone_is_gone_reads_the_store_itself(
        self,
    ) -> None:
        """The others are registered and have no power."""
        region = build_region()
        region.register_feeds()
        others = [name for name in region.cores if name.startswith('relay-')]
        others.remove(last_reader(region))
        async with region.starting(
            *others, *(f'loader-{number}' for number in range(LOADERS))
        ):
            await region.wait_until_loaded(1, LIMIT_S)


def last_reader(region: Region) -> str:
    """Return the relay that is a reader only without all the others."""
    relays = [name for name in region.cores if name.startswith('relay-')]
    zone = region.cores['loader-0'].record.zone
    return rank(zone, relays)[-1]


def first_reader(region: Region) -> str:
    """Return the relay that most loaders would read through."""
    relays = [name for name in region.cores if name.startswith('relay')]
    loader = region.cores['loader-0'].record
    name = choose_reader(loader, relays, 0)
    assert name is not None
    return name
