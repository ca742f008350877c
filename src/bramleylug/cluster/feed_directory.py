"""Finds a reader of the store for a process that knows no peer yet.

A process learns its peers from the store. Processes that start at the same
moment would therefore each read all of it, over the same links; so the relays
of a zone register where they pass on what they read under keys of their own,
which are short, and a process that starts lists only these first.
"""

import asyncio
from collections.abc import Callable, Container, Mapping
from contextlib import suppress
from typing import final

from bramleylug.cluster.peers import PeerRecord, Role
from bramleylug.cluster.store_readers import choose_reader
from bramleylug.settings.addresses import is_address
from bramleylug.store.changes import StoreItem, WatchableStore

# How long a listing is used.
LISTING_TTL_S = 0.5
# How long a process waits for its own registration, so that of relays that
# start together each knows the ones before it; and how long a loader waits for
# the first relay to register.
REGISTRATION_WAIT_S = 0.5
LOOK_INTERVAL_S = 0.25
# A zone has about as many loaders as relays, which register no feed.
PROCESSES_PER_RELAY = 2


@final
class FeedDirectory:
    """Feeds of the relays of a zone, as registered in the store.

    :param store: the store itself.
    :param prefix: of the keys of the zone's feeds; what follows is the name of
        the relay.
    :param own: returns the record of this process.
    :param clock: seconds that also count while the host is suspended.
    :ivar registered: set once this process has registered itself.
    :ivar feeds: address of each feed, by the name of its relay.
    """

    def __init__(
        self,
        store: WatchableStore,
        prefix: str,
        own: Callable[[], PeerRecord],
        clock: Callable[[], float],
    ) -> None:
        self.store = store
        self.prefix = prefix
        self.own = own
        self.registered = asyncio.Event()
        self.clock = clock
        self.feeds: Mapping[str, str] = {}
        self.listed_s = float('-inf')
        self.lock = asyncio.Lock()

    async def find(self, avoided: Container[str]) -> str:
        """Return the address of a reader; empty to read the store itself.

        :param avoided: addresses that were of no use a moment ago.
        :raises StoreUnavailable: when the feeds cannot be listed.
        """
        own = self.own()
        async with self.lock:
            if self.clock() > self.listed_s + LISTING_TTL_S:
                await self._list_known()
        feeds = {
            name: feed
            for name, feed in self.feeds.items()
            if name != own.name and feed not in avoided
        }
        peer_count = PROCESSES_PER_RELAY * len(self.feeds)
        name = choose_reader(own, feeds, peer_count)
        return '' if name is None else feeds[name]

    async def _list_known(self) -> None:
        """List the feeds; a loader waits a while for the first one."""
        with suppress(TimeoutError):
            async with asyncio.timeout(REGISTRATION_WAIT_S):
                await self.registered.wait()
        ends_s = self.clock() + REGISTRATION_WAIT_S
        await self._list()
        while not self.feeds and self.own().role is Role.loader:
            if self.clock() >= ends_s:
                break
            await asyncio.sleep(LOOK_INTERVAL_S)
            await self._list()

    async def _list(self) -> None:
        page = await self.store.list_page(self.prefix, '')
        self.feeds = {
            name: feed
            for name, feed in map(self._decode, page.items)
            if name and is_address(feed)
        }
        self.listed_s = self.clock()

    def _decode(self, item: StoreItem) -> tuple[str, str]:
        """Return the name of a relay and what should be an address."""
        name = item.key.removeprefix(self.prefix)
        return name, item.value.decode(errors='replace')
