"""A region that runs, far from a store that is away for some time."""

import asyncio
from collections.abc import Iterable
from typing import Any

from bramleylug.cluster.peers import HeartbeatStatus
from bramleylug.platform.decoding import CONFIG_KEY
from bramleylug.platform.keyvalue import (
    READ_LIMIT_S,
    READ_TIMEOUT_S,
    WAIT_MARGIN_S,
)
from bramleylug.store.changes import (
    Lease,
    LeaseEnded,
    Page,
    StoreChanges,
    StoreItem,
    StoreUnavailable,
)
from testing.store.region_start import (
    BASE64_BYTES,
    ITEM_BYTES,
    LATENCY_S,
    TICK_S,
    Region,
    RegionStore,
    RegionStoreClient,
)

HEARTBEAT_S = 0.5


class OutageStore(RegionStore):
    """A store with a history, behind a link that sends in order.

    A watch is answered with all changes since a revision, also of one key.

    :ivar history: all changes.
    :ivar outages: number of outages, each of which ended all leases.
    :ivar told: names of the processes whose watches it answered with changes.
    :ivar is_away: whether it answers nobody.
    :ivar is_silent: whether calls then hang instead of being reset.
    """

    def __init__(self, rate: float, *items: StoreItem) -> None:
        super().__init__(rate, *items)
        self.history = list(items)
        self.free_s = 0.0
        self.news = asyncio.Event()
        self.outages = 0
        self.told: set[str] = set()
        self.is_away = False
        self.is_silent = False

    def write(self, key: str, value: bytes, lease_id: int = 0) -> int:
        """Write a key; return its revision."""
        item = StoreItem(key, value, self.revision + 1, lease_id)
        self.history.append(item)
        self.items[key] = item
        self.wake()
        return item.revision

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self.history[-1].revision

    def wake(self) -> None:
        """End the calls that are held open."""
        self.news.set()
        self.news = asyncio.Event()

    def leave(self, *, is_silent: bool) -> None:
        """Reset all connections and each new one, or let them hang."""
        self.outages += 1
        self.is_away = True
        self.is_silent = is_silent
        self.wake()

    def after(self, prefix: str, revision: int) -> tuple[StoreItem, ...]:
        """Return what was written under a prefix after a revision."""
        return tuple(
            item
            for item in self.history
            if item.key.startswith(prefix) and item.revision > revision
        )

    async def pass_link(self, size: float, limit_s: float) -> None:
        """Send bytes behind those that wait, which abandoned ones do too.

        :param limit_s: longest time until the first byte arrives.
        """
        now_s = asyncio.get_running_loop().time()
        starts_s = max(now_s, self.free_s)
        self.free_s = starts_s + size / self.rate
        self.sent_bytes += size
        if starts_s - now_s > limit_s:
            await asyncio.sleep(limit_s)
            raise StoreUnavailable('TimeoutError()')
        if self.free_s - now_s > READ_LIMIT_S:
            await asyncio.sleep(READ_LIMIT_S)
            raise StoreUnavailable('took too long')
        await asyncio.sleep(self.free_s - now_s)


class OutageClient(RegionStoreClient):
    """The way of one process to such a store."""

    store: OutageStore

    async def list_page(self, prefix: str, after: str) -> Page:
        await self._send()
        listed = tuple(
            item
            for key, item in self.store.items.items()
            if key.startswith(prefix)
        )
        revision = self.store.revision
        await self.store.pass_link(_size(listed), READ_TIMEOUT_S)
        return Page(listed, revision, more=False)

    async def wait_for_changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> StoreChanges:
        loop = asyncio.get_running_loop()
        await self._send()
        sent_s = loop.time()
        ends_s = sent_s + wait_s
        while not self.store.after(prefix, after_revision):
            try:
                async with asyncio.timeout_at(ends_s):
                    await self.store.news.wait()
            except TimeoutError:
                break
            await self._check(ends_s + WAIT_MARGIN_S - loop.time())
        changes = self.store.after(prefix, after_revision)
        revision = self.store.revision
        held_s = loop.time() - sent_s
        await self.store.pass_link(
            _size(changes), wait_s + WAIT_MARGIN_S - held_s
        )
        if changes:
            self.store.told.add(self.name)
        return StoreChanges(changes, revision, held_s)

    async def grant_lease(self, ttl_s: float) -> Lease:
        await self._send()
        return Lease(self.store.outages + 1, ttl_s)

    async def keep_lease(self, lease_id: int) -> None:
        await self._send()
        if lease_id <= self.store.outages:
            raise LeaseEnded('it ended in an outage')

    async def put(self, key: str, value: bytes, lease_id: int) -> None:
        await self._send()
        self.store.write(key, value, lease_id)

    async def _send(self) -> None:
        await asyncio.sleep(2 * LATENCY_S)
        await self._check(READ_TIMEOUT_S)

    async def _check(self, timeout_s: float) -> None:
        """Raise unless the store answers this process."""
        is_cut = self.name in self.store.cut
        if is_cut or self.store.is_away and self.store.is_silent:
            await asyncio.sleep(timeout_s)
            raise StoreUnavailable('TimeoutError()')
        if self.store.is_away:
            raise StoreUnavailable('ConnectionBroken()')


class OutageRegion(Region):
    """Processes of a zone that hear each other's heartbeats."""

    client_type = OutageClient

    def addresses(self, number: int) -> dict[str, str]:
        """Return addresses that other processes accept."""
        host = f'10.0.0.{number + 1}'
        return {'serving': f'{host}:80', 'beats': f'{host}:81'}

    async def run_heartbeats(self) -> None:
        """Let relays hear all other processes; loaders hear none.

        A relay whose copy of the store is old takes no callers, and says so.
        """
        while True:
            now_s = asyncio.get_running_loop().time()
            for core in self.relays():
                for other in self.cores.values():
                    is_ready = other.view.peers.is_store_fresh()
                    core.view.peers.record_heartbeat(
                        other.record.name,
                        HeartbeatStatus(
                            other.record.boot, now_s, draining=not is_ready
                        ),
                    )
            await asyncio.sleep(HEARTBEAT_S)

    def relays(self) -> list[Any]:
        """Return the relays, which hold all keys."""
        return [
            core
            for name, core in self.cores.items()
            if name.startswith('relay-')
        ]

    def behind(self, revision: int, names: Iterable[str]) -> list[str]:
        """Return the relays whose configuration is older than a revision."""
        held = {
            name: self.cores[name].view.mirror.items[CONFIG_KEY].revision
            for name in names
        }
        return [name for name, known in held.items() if known < revision]

    async def wait_until_known(self, revision: int, names: set[str]) -> float:
        """Return how long some relays take to know a revision."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while self.behind(revision, names):
            await asyncio.sleep(TICK_S)
        return loop.time() - began_s


def _size(items: Iterable[StoreItem]) -> float:
    return ITEM_BYTES + sum(
        ITEM_BYTES + len(item.value) * BASE64_BYTES for item in items
    )
