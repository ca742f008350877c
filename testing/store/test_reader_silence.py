"""Changes of the store are known in time although a reader falls silent.

Two relays of a zone on virtual time; one of them reads the store for both.
"""

import asyncio
import unittest
from collections.abc import Callable
from contextlib import asynccontextmanager
from itertools import product
from typing import Any, NamedTuple
from urllib.parse import urlsplit

from bramleylug.cluster.process import ProcessCore
from bramleylug.cluster.store_readers import find_reader
from bramleylug.web.http_client import CallAnswer
from bramleylug.wire.beats_pb2 import Beat
from testing.relay.builders import build_peer, build_settings
from testing.store.model_store import LATENCY_S, ModelStore, StoreLink
from testing.virtual_time import in_virtual_time

# Bound of the users: two seconds from the acknowledgement on. A request takes
# some time from the choice of its engine until it arrives there.
LIMIT_S = 2.0
SEND_S = 0.15
CUT_S = 3.5
# Regions of a large deployment share a link, on which a request waits.
LONG_LIMIT_S = 4.0
LONG_SEND_S = 1.0


class RecordingAdapter:
    """Adapter that records when each change was applied.

    :ivar applied: time at which each key was applied first.
    """

    def __init__(self, store: StoreLink) -> None:
        self.store = store
        self.applied: dict[str, float] = {}

    def watched_prefixes(self, role: Any) -> tuple[str, ...]:
        return ('',)

    def feed_prefix(self, zone: str) -> str:
        return f'feeds/{zone}/'

    def peer_key(self, name: str) -> str:
        return name

    def encode_peer(self, record: Any) -> bytes:
        return b''

    def store_change_handler(self, view: Any) -> Callable[..., None]:
        def apply(changes: Any) -> None:
            now_s = asyncio.get_running_loop().time()
            for change in changes:
                self.applied.setdefault(change.key, now_s)

        return apply


class FeedExchange(NamedTuple):
    """A call of a reader, with room for its answer."""

    path: str
    query: str
    answers: list[CallAnswer]

    def reply(self, status: int, raw: bytes, headers: Any = ()) -> None:
        lowered = {name.lower(): text for name, text in dict(headers).items()}
        self.answers.append(CallAnswer(int(status), raw, 0.0, lowered))


class ZoneClients:
    """Calls processes of the zone.

    :ivar suspended: whether they do not answer.
    """

    def __init__(self, cores: dict[str, ProcessCore]) -> None:
        self.cores = cores
        self.suspended = False

    async def get(
        self, address: str, target: str, *, timeout_s: float, **options: Any
    ) -> CallAnswer:
        parts = urlsplit(target)
        exchange = FeedExchange(parts.path, parts.query, [])
        async with asyncio.timeout(timeout_s):
            await asyncio.sleep(LATENCY_S)
            await self.cores[address].serve_feed(exchange)
            await asyncio.sleep(LATENCY_S)
            while self.suspended:
                await asyncio.sleep(0.05)
        return exchange.answers[0]


class Zone:
    """Relays of one zone that know each other."""

    def __init__(self, count: int = 2, **settings: Any) -> None:
        self.store = ModelStore()
        clock = asyncio.get_running_loop().time
        peers = [
            build_peer(f'relay-{number}', feed=f'127.0.0.{number}:1')
            for number in range(count)
        ]
        self.adapters = [RecordingAdapter(StoreLink(self.store)) for _ in peers]
        self.cores = [
            ProcessCore(
                build_settings(name=peer.name, **settings),
                adapter,
                peer,
                Beat,
                clock,
            )
            for peer, adapter in zip(peers, self.adapters, strict=True)
        ]
        self.clients = ZoneClients(
            {core.record.feed: core for core in self.cores}
        )
        for core in self.cores:
            core.store.readers.clients = self.clients
            for peer in peers:
                core.view.peers.add(peer)
        self.reader = next(
            number
            for number, own in enumerate(peers)
            if find_reader(own, set(peers) - {own}) is None
        )
        self.followers = [
            adapter
            for number, adapter in enumerate(self.adapters)
            if number != self.reader
        ]

    @asynccontextmanager
    async def running(self) -> Any:
        tasks = [
            asyncio.create_task(watcher.run())
            for core in self.cores
            for watcher in core.watchers
        ]
        try:
            yield self
        finally:
            await self._stop(tasks)

    def cut_reader(self) -> None:
        self.adapters[self.reader].store.is_cut = True

    def delays(self) -> dict[str, float]:
        """Return how late the followers applied each change."""
        late_s = float('inf')
        return {
            item.key: max(
                adapter.applied.get(item.key, late_s)
                for adapter in self.followers
            )
            - written_s
            for written_s, item in self.store.written[1:]
        }

    async def _stop(self, tasks: list[asyncio.Task[None]]) -> None:
        """End the tasks; close loops, which hold descriptors till then."""
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for core in self.cores:
            core.loop.loop.close()


class Play(NamedTuple):
    """Two changes and a silence of the reader, by their times.

    :ivar first_s: time of the first change in the reader's wait.
    :ivar second_s: time of the second one, after the first.
    :ivar silent_s: time of the silence, after the first change.
    """

    first_s: float
    second_s: float
    silent_s: float


def all_orders() -> list[Play]:
    """Return all orders within a wait and its pause, in steps of 50 ms."""
    return [
        Play(first / 20, second / 20 + 0.01, silent / 20 + 0.005)
        for first, second, silent in product(
            range(0, 26, 3), range(0, 30, 2), range(-10, 30, 2)
        )
    ]


async def play(
    steps: Play, silence: Callable[[Zone], None], limit_s: float
) -> dict[str, float]:
    """Return how late the follower applied the changes of a play."""
    zone = Zone(change_limit=limit_s)
    loop = asyncio.get_running_loop()
    async with zone.running():
        await asyncio.sleep(5.0)
        start_s = 1.0 + steps.first_s
        loop.call_later(start_s, zone.store.write, 'first-change')
        loop.call_later(
            start_s + steps.second_s, zone.store.write, 'second-change'
        )
        loop.call_later(start_s + steps.silent_s, silence, zone)
        await asyncio.sleep(start_s + steps.second_s + CUT_S + limit_s)
    return zone.delays()


class TestSilentReader(unittest.TestCase):
    """A relay in touch obeys each change in time, whoever reads for it."""

    @in_virtual_time
    async def test_reader_that_is_cut_off_delays_no_change(self) -> None:
        """Guards against requests to an engine that has left (DRAIN)."""
        await self.check(Zone.cut_reader)

    @in_virtual_time
    async def test_reader_that_is_suspended_delays_no_change(self) -> None:
        """It also holds back what it knows."""

        def suspend(zone: Zone) -> None:
            zone.cut_reader()
            zone.clients.suspended = True

        await self.check(suspend)

    @in_virtual_time
    async def test_longer_limit_leaves_time_for_the_way_to_an_engine(
        self,
    ) -> None:
        """All of it was spent on waiting for the reader."""
        await self.check(Zone.cut_reader, LONG_LIMIT_S, LONG_SEND_S)

    async def check(
        self,
        silence: Callable[[Zone], None],
        limit_s: float = LIMIT_S,
        send_s: float = SEND_S,
    ) -> None:
        latest = {
            steps: max((await play(steps, silence, limit_s)).values())
            for steps in all_orders()
        }
        worst = max(latest, key=latest.__getitem__)

        self.assertLessEqual(latest[worst], limit_s - send_s, worst)


class TestStoreCalls(unittest.TestCase):
    """The store is called no more often than needed."""

    @in_virtual_time
    async def test_calm_zone_has_one_caller(self) -> None:
        """Each watch that ends without a change is one call of the reader."""
        zone = Zone(12)
        async with zone.running():
            await asyncio.sleep(61.0)
            calls = [len(one.store.calls) for one in zone.followers]
            reader_calls = len(zone.adapters[zone.reader].store.calls)

        # The listing at the start, and one watch for some.
        self.assertLessEqual(max(calls), 1)
        self.assertLessEqual(reader_calls, 61)

    @in_virtual_time
    async def test_zone_with_a_silent_reader_does_not_call_as_one(self) -> None:
        """Its followers call at different moments, then share another one."""
        zone = Zone(12)
        async with zone.running():
            await asyncio.sleep(5.0)
            zone.cut_reader()
            cut_s = asyncio.get_running_loop().time()
            await asyncio.sleep(CUT_S)
        calls = [
            [
                call
                for call in one.store.calls + one.store.listings
                if call > cut_s
            ]
            for one in zone.followers
        ]
        first = [min(of_one) for of_one in calls]

        self.assertGreater(max(first) - min(first), 0.05)
        # One call of each, and those of the one that reads for the others.
        self.assertLessEqual(sum(map(len, calls)), 11 + 4)
