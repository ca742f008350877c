"""Processes of a region that start together, on virtual time."""

import asyncio
from contextlib import asynccontextmanager
from typing import Any

from bramleylug.cluster.peers import PeerRecord, Role
from bramleylug.cluster.process import ProcessCore
from bramleylug.platform.adapter import PlatformAdapter
from bramleylug.platform.decoding import CONFIG_KEY
from bramleylug.platform.keyvalue import READ_LIMIT_S
from bramleylug.store.changes import (
    Lease,
    Page,
    StoreChanges,
    StoreItem,
    StoreUnavailable,
)
from bramleylug.store.zone_readers import CONNECT_TIMEOUT_S
from bramleylug.web.http_client import CallAnswer
from bramleylug.wire.beats_pb2 import Beat
from testing.platform.builders import build_config
from testing.relay.builders import (
    build_loader_settings,
    build_peer,
    build_settings,
)
from testing.store.test_reader_silence import ZoneClients

LATENCY_S = 0.004
TICK_S = 0.01
# Of a listing: JSON around each value, which is Base64.
ITEM_BYTES = 120
BASE64_BYTES = 4 / 3
# A route of the users' configurations has about 270 bytes.
ROUTE_PADDING = 'r' * 40


def build_large_config(routes: int) -> bytes:
    """Return a configuration with many routes, as the store holds it."""
    template = {
        'host': 'advisor.example',
        'kind': 'streaming',
        'timeout_ms': 6000,
        'target_latency_ms': 404,
        'priority': 1,
        'service': 'advisor',
        'max_attempts': 2,
        'public': False,
        'resumable': True,
    }
    return build_config(
        routes=[
            {
                **template,
                'name': f'{ROUTE_PADDING}-{number}',
                'path_prefix': f'/{number}/',
            }
            for number in range(routes)
        ]
    )


class RegionStore:
    """A store whose answers pass one link that all callers share.

    :param rate: bytes/s of the link.
    :ivar sent_bytes: bytes that passed the link, abandoned ones included.
    """

    def __init__(self, rate: float, *items: StoreItem) -> None:
        self.rate = rate
        self.items = {item.key: item for item in items}
        self.running = 0
        self.sent_bytes = 0.0
        self.cut: set[str] = set()

    async def pass_link(self, size: float, limit_s: float) -> None:
        """Send bytes at an equal share of the rate.

        :raises StoreUnavailable: when that takes longer than the limit.
        """
        self.running += 1
        ends_s = asyncio.get_running_loop().time() + limit_s
        left = size
        try:
            while left > 0:
                if asyncio.get_running_loop().time() > ends_s:
                    raise StoreUnavailable('took too long')
                share = min(left, self.rate * TICK_S / self.running)
                left -= share
                self.sent_bytes += share
                await asyncio.sleep(TICK_S)
        finally:
            self.running -= 1


class RegionStoreClient:
    """The way of one process to the store."""

    era = 0

    def __init__(self, store: RegionStore, name: str) -> None:
        self.store = store
        self.name = name

    async def list_page(self, prefix: str, after: str) -> Page:
        await self._send()
        listed = tuple(
            item
            for key, item in self.store.items.items()
            if key.startswith(prefix)
        )
        size = sum(
            ITEM_BYTES + len(item.value) * BASE64_BYTES for item in listed
        )
        await self.store.pass_link(size, READ_LIMIT_S)
        return Page(listed, len(self.store.items) + 1, more=False)

    async def wait_for_changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> StoreChanges:
        await self._send()
        await asyncio.sleep(wait_s)
        return StoreChanges((), len(self.store.items) + 1, wait_s)

    async def grant_lease(self, ttl_s: float) -> Lease:
        await self._send()
        return Lease(1, ttl_s)

    async def keep_lease(self, lease_id: int) -> None:
        await self._send()

    async def put(self, key: str, value: bytes, lease_id: int) -> None:
        await self._send()
        revision = len(self.store.items) + 1
        self.store.items[key] = StoreItem(key, value, revision, lease_id)

    async def _send(self) -> None:
        """Reach the store; a call that is cut off hangs."""
        await asyncio.sleep(2 * LATENCY_S)
        if self.name in self.store.cut:
            await asyncio.sleep(1.0)
            raise StoreUnavailable('no answer')


class RegionClients(ZoneClients):
    """Calls processes of the region.

    :ivar frozen: addresses that take calls and never answer.
    :ivar dark: addresses without power, which connections are not made to.
    """

    frozen: frozenset[str] = frozenset()
    dark: frozenset[str] = frozenset()

    async def get(
        self, address: str, target: str, *, timeout_s: float, **options: Any
    ) -> CallAnswer:
        if address in self.dark:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise TimeoutError
        if address in self.frozen:
            await asyncio.sleep(timeout_s)
            raise TimeoutError
        return await super().get(
            address, target, timeout_s=timeout_s, **options
        )


class Region:
    """Relays and loaders of one zone that is a region.

    :ivar client_type: the way of a process to the store.
    :ivar loaded_s: when each process had read what it needs, by name.
    """

    client_type: type[RegionStoreClient] = RegionStoreClient

    def __init__(self, store: RegionStore, relays: int, loaders: int) -> None:
        self.store = store
        records = [
            *(
                build_peer(
                    f'relay-{number}',
                    feed=f'127.0.0.1:{number + 1}',
                    **self.addresses(number),
                )
                for number in range(relays)
            ),
            *(
                build_peer(
                    f'loader-{number}',
                    role=Role.loader,
                    **self.addresses(relays + number),
                )
                for number in range(loaders)
            ),
        ]
        self.cores = {record.name: self._core(record) for record in records}
        self.clients = RegionClients(
            {core.record.feed: core for core in self.cores.values()}
        )
        for core in self.cores.values():
            core.store.readers.clients = self.clients
        self.loaded_s: dict[str, float] = {}

    @asynccontextmanager
    async def starting(self, *absent: str) -> Any:
        """Start all processes but some, which have no power."""
        self.clients.dark = self._feeds(*absent)
        tasks = [
            asyncio.create_task(work)
            for name, core in self.cores.items()
            if name not in absent
            for work in self._work(core)
        ]
        try:
            yield self
        finally:
            await self._stop(tasks)

    def addresses(self, number: int) -> dict[str, str]:
        """Return the addresses of a process, if they are of importance."""
        return {}

    def freeze(self, name: str) -> None:
        """Let a process take calls and answer none."""
        self.clients.frozen = self._feeds(name)

    async def wait_until_loaded(self, count: int, timeout_s: float) -> None:
        """Wait until some processes have read what they need."""
        async with asyncio.timeout(timeout_s):
            while len(self.loaded_s) < count:
                await asyncio.sleep(TICK_S)

    def register_feeds(self) -> None:
        """Write the registrations of relays that have lost power."""
        for core in self.cores.values():
            item = core.presence.fixed_item
            if item is not None:
                self.store.items[item.key] = StoreItem(*item, 1, 1)

    async def _stop(self, tasks: list[asyncio.Task[None]]) -> None:
        """End the tasks; close loops, which hold descriptors till then."""
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for core in self.cores.values():
            core.loop.loop.close()

    def _feeds(self, *names: str) -> frozenset[str]:
        return frozenset(self.cores[name].record.feed for name in names)

    def _core(self, record: PeerRecord) -> ProcessCore:
        adapter = PlatformAdapter('127.0.0.1:1')
        adapter.store = self.client_type(self.store, record.name)
        build = build_settings
        if record.role is Role.loader:
            build = build_loader_settings
        return ProcessCore(
            build(name=record.name),
            adapter,
            record,
            Beat,
            asyncio.get_running_loop().time,
        )

    def _work(self, core: ProcessCore) -> Any:
        yield core.presence.run()
        yield from (watcher.run() for watcher in core.watchers)
        yield self._record_load(core)

    async def _record_load(self, core: ProcessCore) -> None:
        if core.record.role is Role.loader:
            await self._read_configuration(core)
        while not all(watcher.mirror.loaded for watcher in core.watchers):
            await asyncio.sleep(TICK_S)
        self.loaded_s[core.record.name] = core.clock()

    async def _read_configuration(self, core: ProcessCore) -> None:
        while True:
            try:
                page = await core.store.list_page(CONFIG_KEY, '')
            except StoreUnavailable:
                await asyncio.sleep(LATENCY_S)
                continue
            if page.items:
                return
