"""Relays with duties, their store and the service, on virtual time."""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Callable
from random import Random
from typing import Any

from bramleylug.cluster.peers import HeartbeatStatus, PeerRegistry
from bramleylug.duties.agreed_time import AgreedTime
from bramleylug.duties.claims import Candidacy, Claim, decode_claim
from bramleylug.duties.reporter import UsageReporter
from bramleylug.duties.reports import decode_report
from bramleylug.duties.service import (
    CallFailed,
    Mandate,
    ScaleOrder,
    UsageReport,
)
from bramleylug.duties.steward import ClaimSource, ClaimView, Steward
from bramleylug.duties.usage import Windows
from bramleylug.duties.usage_exchange import UsageExchange
from bramleylug.fakes.duty_service import USAGE, DutyCall, DutyRecord
from bramleylug.store.changes import (
    ConditionFailed,
    Lease,
    LeaseEnded,
    Page,
    StoreItem,
    StoreUnavailable,
    Transaction,
    Write,
)
from bramleylug.store.presence import Presence
from testing.relay.builders import build_peer

EPOCH_S = 1_700_000_000.0
LATENCY_S = 0.004
TIMEOUT_S = 1.0
LEASE_S = 4.0
LEASE_LIMIT_S = 3.0
MIRROR_S = 0.1
MIRROR_TTL_S = 2.6
WINDOWS = Windows(5.0, 10.0)
CLAIM_KEY, USAGE_KEY = 'duties/claim', 'duties/usage'
TENANTS = ('garage', 'portal', 'small')


def now() -> float:
    return asyncio.get_running_loop().time()


def revision_of(item: StoreItem | None) -> int:
    return 0 if item is None else item.revision


def ignore(event: str, relay: 'PlayedRelay') -> None:
    """Let a step pass."""


class ModelStore:
    """Keys under leases and conditions.

    :ivar away: whether it answers nobody.
    """

    def __init__(self) -> None:
        self.items: dict[str, StoreItem] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 10
        self.away = False
        self.calls = 0

    def expire(self) -> None:
        for lease_id, (ends_s, _) in tuple(self.leases.items()):
            if ends_s <= now():
                self.leases.pop(lease_id)
        for key, item in tuple(self.items.items()):
            if item.lease_id and item.lease_id not in self.leases:
                self.revision += 1
                self.items.pop(key)

    def commit(self, transaction: Transaction) -> int:
        self.expire()
        for key, revision in transaction.expected.items():
            if revision_of(self.items.get(key)) != revision:
                raise ConditionFailed(key)
        self.revision += 1
        for write in transaction.writes:
            self.write(write)
        for key in transaction.removals:
            self.items.pop(key, None)
        return self.revision

    def write(self, write: Write) -> None:
        if write.lease_id and write.lease_id not in self.leases:
            raise LeaseEnded('no such lease')
        self.items[write.key] = StoreItem(
            write.key, write.value, self.revision, write.lease_id
        )


class World:
    """Everything that the relays share.

    :ivar truth: requests that began, by window and workspace.
    :ivar lost: chance that an answer is lost, though the call took effect.
    :ivar late_s: how much later such a call takes effect.
    :ivar service_away: whether the service answers nobody.
    """

    def __init__(self, relays: int, seed: int = 1) -> None:
        self.random = Random(seed)
        self.store = ModelStore()
        self.record = DutyRecord(LEASE_LIMIT_S, 50)
        self.truth: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self.lost = 0.0
        self.service_away = False
        self.loss = 0.0
        self.relays: dict[str, PlayedRelay] = {}
        self.on_event: Callable[[str, PlayedRelay], None] = ignore
        for index in range(relays):
            self.start(f'relay-{index}')

    def start(self, name: str) -> None:
        self.relays[name] = PlayedRelay(self, name)
        self.relays[name].start()

    def kill(self, name: str) -> None:
        relay = self.relays.pop(name)
        relay.dead = True
        for task in relay.tasks:
            task.cancel()

    def holder(self) -> 'PlayedRelay':
        """Return the relay that holds the duties."""
        for relay in self.relays.values():
            if relay.steward.term is not None:
                return relay
        raise AssertionError('nobody holds the duties')

    async def run(self, seconds: float, per_s: float = 60) -> None:
        """Let requests begin for a while, then nothing more."""
        ends_s = now() + seconds
        while now() < ends_s:
            await asyncio.sleep(1 / per_s)
            serving = [
                relay
                for relay in self.relays.values()
                if not relay.frozen and not relay.steward.leaving
            ]
            if serving:
                tenant = self.random.choices(TENANTS, (60, 39, 1))[0]
                window = WINDOWS.at(EPOCH_S + now())
                self.truth[window][tenant] += 1
                self.random.choice(serving).exchange.count(tenant)

    async def settle(self) -> None:
        """Wait until the last report is due."""
        await asyncio.sleep(WINDOWS.duration_s + WINDOWS.late_s)

    def stop(self) -> None:
        for name in tuple(self.relays):
            self.kill(name)

    def missed(self) -> list[int]:
        """Return the windows without a report in time."""
        return [
            window
            for window in self.truth
            if self.record.reported_s.get(window, float('inf')) + EPOCH_S
            > WINDOWS.end_s(window) + WINDOWS.late_s
        ]

    def off(self) -> dict[int, float]:
        """Return by which share of a whole window each report is off."""
        largest = max(counts.total() for counts in self.truth.values())
        return {
            window: sum(
                abs(counts[one] - self.record.reports[window].get(one, 0))
                for one in TENANTS
            )
            / largest
            for window, counts in self.truth.items()
            if window in self.record.reports
        }


class PlayedRelay:
    """One relay; everything it sends and receives may be held up or lost.

    :ivar skew_s: error of its time of day.
    :ivar store_cut: whether the store is out of its reach.
    """

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.era = 0
        self.skew_s = world.random.uniform(-0.03, 0.03)
        self.dead = False
        self.running = asyncio.Event()
        self.running.set()
        self.store_cut = False
        self.service_cut = False
        self.mirror: dict[str, StoreItem] = {}
        self.mirrored_s = float('-inf')
        self.tasks: list[asyncio.Task[None]] = []
        self.peers = PeerRegistry(
            lambda: build_peer(name), self.mirror_age_s, Random(name), 1.0
        )
        own = Claim(name, world.random.getrandbits(60))
        self.exchange = UsageExchange(
            own,
            WINDOWS,
            AgreedTime(now, lambda: EPOCH_S + now() + self.skew_s),
            self.peers,
            self.send,
            bool,
        )
        self.presence = Presence(self, f'peers/{name}', bytes, LEASE_S)
        self.presence.clock = now
        self.steward = Steward(
            own,
            CLAIM_KEY,
            self,
            self.presence,
            ClaimSource(self.look, self.alive),
            Candidacy.from_start(LEASE_S, now()),
            now,
        )
        self.reporter = UsageReporter(
            USAGE_KEY, CLAIM_KEY, self, self, self.exchange, self.alive
        )
        self.steward.duties = [self.reporter]

    @property
    def frozen(self) -> bool:
        return not self.running.is_set()

    def start(self) -> None:
        for work in (self.presence.run(), self._run(), self._tell()):
            self.tasks.append(asyncio.create_task(work))

    def mirror_age_s(self) -> float:
        return now() - self.mirrored_s

    def look(self) -> ClaimView:
        item = self.mirror.get(CLAIM_KEY)
        holder = None if item is None else decode_claim(item.value)
        if holder == self.steward.own and not self.steward.holds():
            holder = None
        self.exchange.follow(holder)
        stored = self.mirror.get(USAGE_KEY)
        report = None if stored is None else decode_report(stored.value)
        if report is not None:
            self.exchange.record_reported(report.window)
        return ClaimView(item, self.mirror_age_s() < MIRROR_TTL_S)

    def alive(self) -> list[str]:
        return [
            key.removeprefix('peers/')
            for key in self.mirror
            if key.startswith('peers/') and not key.endswith(f'/{self.name}')
        ]

    def copy_store(self) -> None:
        if self.store_cut or self.world.store.away:
            return
        self.world.store.expire()
        self.mirror = dict(self.world.store.items)
        self.mirrored_s = now()
        for key in self.mirror:
            if key.startswith('peers/'):
                other = key.removeprefix('peers/')
                self.peers.add(build_peer(other))

    def hear_others(self) -> None:
        """Get the heartbeats of those that run."""
        for name, other in self.world.relays.items():
            if not other.frozen:
                heartbeat = HeartbeatStatus(1, now(), False)
                self.peers.record_heartbeat(name, heartbeat)

    def send(self, beat: Any, address: str) -> None:
        target = self.world.relays.get(address.partition(':')[0])
        if target is None or self.world.random.random() < self.world.loss:
            return
        raw = type(beat).FromString(beat.SerializeToString())
        asyncio.get_running_loop().call_later(LATENCY_S, target.receive, raw)

    def receive(self, beat: Any) -> None:
        if self.dead or self.frozen:
            return
        if beat.HasField('usage'):
            self.exchange.receive(beat.usage)
        else:
            self.exchange.receive_receipt(beat.name, beat.receipt)

    async def list_page(self, prefix: str, after: str) -> Page:
        await self._pass(self.store_cut or self.world.store.away)
        self.world.store.expire()
        items = tuple(
            item
            for key, item in self.world.store.items.items()
            if key.startswith(prefix)
        )
        await self.running.wait()
        return Page(items, self.world.store.revision, more=False)

    async def grant_lease(self, ttl_s: float) -> Lease:
        await self._pass(self.store_cut or self.world.store.away)
        lease_id = len(self.world.store.leases) + self.world.store.revision
        self.world.store.revision += 100
        self.world.store.leases[lease_id] = (now() + ttl_s, ttl_s)
        await self.running.wait()
        return Lease(lease_id, ttl_s)

    async def keep_lease(self, lease_id: int) -> None:
        await self._pass(self.store_cut or self.world.store.away)
        self.world.store.expire()
        if lease_id not in self.world.store.leases:
            raise LeaseEnded('ended')
        ttl_s = self.world.store.leases[lease_id][1]
        self.world.store.leases[lease_id] = (now() + ttl_s, ttl_s)
        await self.running.wait()

    async def end_lease(self, lease_id: int) -> None:
        await self._pass(self.store_cut or self.world.store.away)
        self.world.store.leases.pop(lease_id, None)
        self.world.store.expire()

    async def put(self, key: str, value: bytes, lease_id: int) -> None:
        await self.commit(
            Transaction(expected={}, writes=(Write(key, value, lease_id),))
        )

    async def commit(self, transaction: Transaction) -> int:
        self.world.on_event('before commit', self)
        await self._pass(self.store_cut or self.world.store.away)
        is_lost = self.world.random.random() < self.world.lost
        if is_lost and self.world.random.random() < 0.5:
            asyncio.get_running_loop().call_later(
                self.world.random.uniform(0, 3), self._apply_late, transaction
            )
            await asyncio.sleep(TIMEOUT_S)
            raise StoreUnavailable('lost', uncertain=True)
        revision = self.world.store.commit(transaction)
        self.world.on_event('after commit', self)
        await self._pass(self.store_cut)
        if is_lost:
            await asyncio.sleep(TIMEOUT_S)
            raise StoreUnavailable('lost', uncertain=True)
        return revision

    async def report_usage(self, mandate: Mandate, report: UsageReport) -> None:
        await self._call(mandate, USAGE, report._asdict())

    async def order(self, mandate: Mandate, order: ScaleOrder) -> None:
        subject = (order.service, order.zone)
        await self._call(mandate, subject, {'desired_count': order.wanted})

    async def _call(
        self, mandate: Mandate, subject: tuple[str, ...], document: Any
    ) -> None:
        self.world.on_event('before call', self)
        is_away = self.world.service_away or self.service_cut
        try:
            await self._pass(is_away)
        except StoreUnavailable as error:
            raise CallFailed('silent', answered=False) from error
        call = DutyCall(
            now(), self.name, mandate.holder, mandate.token, subject
        )
        taken = self.world.record.take(call, document)
        self.world.on_event('after call', self)
        is_lost = self.world.random.random() < self.world.lost
        await self.running.wait()
        if is_lost or not taken:
            raise CallFailed('lost', answered=not is_lost)

    async def _pass(self, is_cut: bool) -> None:
        """Go one way; a call that is cut off ends after its time."""
        self.world.store.calls += 1
        await self.running.wait()
        await asyncio.sleep(TIMEOUT_S if is_cut else LATENCY_S)
        await self.running.wait()
        if is_cut:
            raise StoreUnavailable('cut')

    async def _run(self) -> None:
        while True:
            await self.running.wait()
            self.copy_store()
            self.hear_others()
            await self.steward.step()
            await asyncio.sleep(0.25)

    async def _tell(self) -> None:
        while True:
            await self.running.wait()
            self.exchange.clean_up()
            self.exchange.tell()
            await asyncio.sleep(0.2 if self.steward.leaving else 1.0)

    def _apply_late(self, transaction: Transaction) -> None:
        try:
            self.world.store.commit(transaction)
        except (ConditionFailed, LeaseEnded):
            return
