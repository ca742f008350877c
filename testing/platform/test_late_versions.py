"""A version that is read late counts from when it was named.

Two relays on virtual time read a store that is a model. What one of them gets,
answers of the store as well as heartbeats, waits in the queue of a full link.
"""

import asyncio
import json
import unittest
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from functools import partial
from itertools import product
from typing import Any, NamedTuple

from bramleylug.cluster.heartbeats import HEARTBEAT_INTERVAL_S
from bramleylug.cluster.process import ProcessCore
from bramleylug.store.changes import StoreChanges
from bramleylug.wire.beats_pb2 import Beat
from testing.platform.virtual_processes import build_adapter, running
from testing.relay.builders import MODEL, build_peer, build_settings
from testing.store.model_store import LATENCY_S, ModelStore, StoreLink
from testing.virtual_time import in_virtual_time

# Time after which older weights serve no request.
VERSION_LIMIT_S = 8.0
# A store that answers returns a change within this time.
STORE_LAG_S = 2.5
START_S = 6.0
OUTAGE_S = 8.0


class FullLink(NamedTuple):
    """A link whose queue grows, and a version that is named meanwhile.

    :ivar growth: seconds by which the wait in the queue grows each second.
    :ivar longest_s: longest wait in it.
    :ivar named_after_s: time from the first wait until the naming.
    """

    growth: float
    longest_s: float
    named_after_s: float

    def wait_s(self, filling_s: float) -> float:
        return min(self.longest_s, filling_s * self.growth)


class Outage(NamedTuple):
    """A time in which the store answers neither relay.

    :ivar named_before_s: time from the naming of a version until its end.
    :ivar longer_s: how much longer it lasts for the late relay.
    """

    named_before_s: float
    longer_s: float


class QueuedLink(StoreLink):
    """A way to the store on which answers wait after they have begun.

    :ivar wait_s: returns how long an answer that is sent now waits.
    """

    wait_s: Callable[[], float] = float

    async def wait_for_changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> StoreChanges:
        answer = await super().wait_for_changes(prefix, after_revision, wait_s)
        await asyncio.sleep(self.wait_s())
        return answer


class HeartbeatLink:
    """Delivers the heartbeats of one relay to another one.

    :ivar wait_s: returns how long a heartbeat that is sent now waits.
    """

    def __init__(self, receiver: ProcessCore) -> None:
        self.receiver = receiver
        self.wait_s: Callable[[], float] = float

    def send(self, heartbeat: Beat, addresses: Iterable[str]) -> None:
        if self.receiver.record.beats not in set(addresses):
            return
        asyncio.get_running_loop().call_later(
            LATENCY_S + self.wait_s(),
            self.receiver.receive_heartbeat,
            Beat.FromString(heartbeat.SerializeToString()),
        )


class TwoRelays:
    """A relay that reads late and a peer that does not."""

    def __init__(self) -> None:
        self.store = ModelStore()
        self.late = self.build_relay('relay-1')
        self.peer = self.build_relay('relay-2')
        self.late.socket = HeartbeatLink(self.peer)
        self.peer.socket = HeartbeatLink(self.late)
        self.late.view.peers.add(self.peer.record)
        self.peer.view.peers.add(self.late.record)

    def build_relay(self, name: str) -> ProcessCore:
        adapter = build_adapter(self.store)
        adapter.store = QueuedLink(self.store)
        return ProcessCore(
            build_settings(name=name, version_limit=VERSION_LIMIT_S),
            adapter,
            build_peer(name),
            lambda: Beat(name=name, boot=1),
            asyncio.get_running_loop().time,
        )

    async def play(self, fault: Callable[[], Any]) -> Any:
        """Run both relays beside a fault; return what that returns."""
        async with AsyncExitStack() as stack:
            for relay in (self.late, self.peer):
                await stack.enter_async_context(
                    running(relay, send_heartbeats(relay))
                )
            await asyncio.sleep(START_S)
            return await fault()

    def name_version(self) -> float:
        """Name a version; return when."""
        value = json.dumps({'model': MODEL, 'version': 2}).encode()
        self.store.write(f'op/version/{MODEL}', value)
        return asyncio.get_running_loop().time()

    async def fill(self, link: FullLink) -> float:
        """Fill the link; return how long older weights serve."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()

        def wait_s() -> float:
            return link.wait_s(loop.time() - began_s)

        self.late.adapter.store.wait_s = wait_s
        self.peer.socket.wait_s = wait_s
        await asyncio.sleep(link.named_after_s)
        named_s = self.name_version()
        await asyncio.sleep(2 * link.longest_s + 2.0)
        return self.late.view.versions.expires_s(MODEL, 1) - named_s

    async def cut(self, outage: Outage) -> float:
        """Cut both off; return how long before its end the limit counts."""
        late = self.late.adapter.store
        peer = self.peer.adapter.store
        late.is_cut = True
        peer.is_cut = True
        await asyncio.sleep(OUTAGE_S - outage.named_before_s)
        self.name_version()
        await asyncio.sleep(outage.named_before_s)
        peer.is_cut = False
        ended_s = asyncio.get_running_loop().time()
        await asyncio.sleep(outage.longer_s)
        late.is_cut = False
        await asyncio.sleep(4.0)
        return ended_s - self.late.view.versions.set_times(MODEL)[2]


async def send_heartbeats(relay: ProcessCore) -> None:
    while True:
        relay.send_due_heartbeats()
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


def full_links() -> Iterable[FullLink]:
    """Return links that bring a version up to 7 s late."""
    return (
        FullLink(growth, longest_s, named / 4)
        for growth, longest_s, named in product(
            (0.5, 1.0, 2.0), (1.0, 3.0, 5.0, 7.0), range(24)
        )
    )


class TestVersionReadLate(unittest.TestCase):
    """Its limit counts from when it was named."""

    @in_virtual_time
    async def test_full_link_prolongs_no_older_weights(self) -> None:
        """Guards against requests that begin on older weights (VERSION)."""
        served_s = {}
        for link in full_links():
            relays = TwoRelays()
            served_s[link] = await relays.play(partial(relays.fill, link))
        worst = max(served_s, key=served_s.__getitem__)

        self.assertLessEqual(served_s[worst], VERSION_LIMIT_S, worst)

    @in_virtual_time
    async def test_outage_for_all_is_not_held_against_a_version(self) -> None:
        """Guards against engines that are all outdated at once (SHORT)."""
        counted_s = {}
        for outage in map(
            Outage._make, product((0.1, 1.0, 3.0), (0.0, 1.0, 3.0))
        ):
            relays = TwoRelays()
            counted_s[outage] = await relays.play(partial(relays.cut, outage))
        worst = max(counted_s, key=counted_s.__getitem__)

        self.assertLessEqual(counted_s[worst], STORE_LAG_S, worst)
