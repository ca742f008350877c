"""Registry of relays and loaders: which are alive and accept callers."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum, unique
from random import Random
from typing import NamedTuple, final

from bramleylug.cluster.permit_issuers import IssuerCandidate
from bramleylug.scheduling.demand import (
    FleetDemand,
    Level,
    LevelLoad,
    ToldDemand,
)
from bramleylug.scheduling.refusing import KnownReturns
from bramleylug.scheduling.shares import FleetUses

# A peer that is not registered in the store, or whose registration cannot be
# confirmed, counts as dead if its last heartbeat is older than this. The
# platform allows 6 s for the detection.
HEARTBEAT_TTL_S = 2.5
NEVER_S = float('-inf')
# A relay that was heard within this time is not taken for dead by others yet.
IN_TOUCH_S = 2.0
# Delay of the store's answers, beyond the usual, within which its data still
# count as current.
STORE_DELAY_S = 0.6
# With fewer relays than this in its region, a caller also gets remote ones.
MIN_SAME_REGION = 1
MAX_ADDRESSES = 64
# Relays of other regions that a process sends every heartbeat to; more of them
# take turns, so that the silence of one of them says nothing.
MAX_DIRECT_PEERS = 25


@final
@unique
class Role(StrEnum):
    """Kind of process."""

    relay = 'relay'
    loader = 'loader'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class PeerRecord:
    """A process as it registered itself in the store.

    :ivar boot: boot id; a later incarnation has a greater one.
    :ivar serving: address of a relay for callers; of a loader's engine.
    :ivar beats: UDP address for heartbeats.
    :ivar chunks: address at which a loader serves chunks.
    :ivar feed: address at which a relay passes on what it reads from the
        store; empty if it does not.
    """

    name: str
    role: Role
    boot: int
    zone: str
    region: str
    serving: str
    beats: str
    chunks: str = ''
    feed: str = ''
    draining: bool = False


class HeartbeatStatus(NamedTuple):
    """The last heartbeat of a peer."""

    boot: int
    received_s: float
    draining: bool


class Requester(NamedTuple):
    """A caller that asks the directory for addresses.

    :ivar regions: regions whose relays may accept its requests; empty for
        any.
    """

    region: str
    zone: str
    regions: frozenset[str]


@final
class PeerRegistry:
    """Peers by name.

    :param own: returns the record of this process.
    :param store_age_s: returns the age of this process's copy of the store.
    :param confirm_interval_s: interval at which that copy is confirmed.
    :ivar in_store: peers that are registered in the store.
    :ivar relays_by_region: number of relays among them; ``None`` until it is
        needed after a change.
    :ivar known: these, and peers that were removed but may be alive.
    :ivar known_relays: names of the relays among them.
    :ivar registered_s: incarnation of each, and when it was read first.
    :ivar listed_s: since when the name of this process is in the store
        without a break; ``None`` while it is not.
    :ivar was_listed_before: whether it was there when this process started.
    :ivar relays_version: changes with the known relays.
    :ivar demand: load of the other relays.
    :ivar returns: callers that this relay or another one told to return.
    :ivar uses: slots of workspaces at the other relays.
    """

    def __init__(
        self,
        own: Callable[[], PeerRecord],
        store_age_s: Callable[[], float],
        random: Random,
        confirm_interval_s: float,
    ) -> None:
        self.own = own
        # Just before a watch is answered, the previous one was sent two
        # intervals ago.
        self.max_store_age_s = 2 * confirm_interval_s + STORE_DELAY_S
        self.store_age_s = store_age_s
        self.random = random
        self.in_store: dict[str, PeerRecord] = {}
        self.known: dict[str, PeerRecord] = {}
        self.known_relays: set[str] = set()
        self.relays_by_region: Counter[str] | None = None
        self.last_heartbeats: dict[str, HeartbeatStatus] = {}
        self.registered_s: dict[str, tuple[int, float]] = {}
        self.listed_s: float | None = None
        self.was_listed_before = False
        self.relays_version = 0
        self.demand = FleetDemand()
        self.returns = KnownReturns()
        self.uses = FleetUses()

    def add(self, record: PeerRecord, now_s: float = NEVER_S) -> None:
        """Record that a peer is registered in the store.

        :param now_s: when that was read; the default is long ago.
        """
        boot, _ = self.registered_s.get(record.name, (0, 0))
        if boot != record.boot:
            self.registered_s[record.name] = record.boot, now_s
        if record.name == self.own().name and self.listed_s is None:
            self.listed_s = now_s
        self.relays_version += 1
        self.in_store[record.name] = record
        self.known[record.name] = record
        if record.role is Role.relay:
            self.known_relays.add(record.name)
        else:
            self.known_relays.discard(record.name)
        self.relays_by_region = None

    def remove(self, name: str) -> None:
        """Record that a peer is no longer registered in the store.

        It stays known until its heartbeats expire.
        """
        self.in_store.pop(name, None)
        if name == self.own().name:
            self.listed_s = None
            self.was_listed_before = False
        self.relays_by_region = None

    def record_heartbeat(self, name: str, heartbeat: HeartbeatStatus) -> None:
        self.last_heartbeats[name] = heartbeat

    def record_demand(
        self, name: str, loads: Mapping[Level, LevelLoad], now_s: float
    ) -> None:
        """Record the load that a relay tells."""
        if name in self.known_relays:
            told = ToldDemand(self.known[name].zone, loads, now_s)
            self.demand.record(name, told)

    def alive(self, role: Role, now_s: float) -> Iterable[PeerRecord]:
        """Return the peers of a role that are alive, except this process."""
        own_name = self.own().name
        is_fresh = self.is_store_fresh()
        # Registration is looked up first: the fleet is gone through often.
        registered = self.in_store if is_fresh else {}
        return [
            record
            for record in self.known.values()
            if record.role is role
            and record.name != own_name
            and (
                record.name in registered
                or self._is_alive(record, now_s, is_fresh=is_fresh)
            )
        ]

    def is_alive(self, record: PeerRecord, now_s: float) -> bool:
        """Return whether a peer is alive.

        Registration in the store counts while the copy of the store is
        current; otherwise a recent heartbeat is required.
        """
        return self._is_alive(record, now_s, is_fresh=self.is_store_fresh())

    def accepts_callers(self, record: PeerRecord, now_s: float) -> bool:
        """Return whether callers may be directed to a relay."""
        return not self._is_draining(record) and self.is_alive(record, now_s)

    def zone_peers(self, now_s: float) -> list[PeerRecord]:
        """Return the live other processes of the own zone.

        Without those that are leaving. One that only takes no callers at the
        moment is among them: in an outage of the store that is each relay. A
        loader hears no heartbeats of relays and goes by their registrations.
        """
        own = self.own()
        is_fresh = self.is_store_fresh() or own.role is Role.loader
        return [
            record
            for record in self.known.values()
            if record.zone == own.zone
            and record.name != own.name
            and self._is_alive(record, now_s, is_fresh=is_fresh)
            and not record.draining
        ]

    def relay_count(self) -> int:
        """Return the number of relays that may send to upstreams."""
        return len(self.known_relays | {self.own().name})

    def relay_names(self, region: str) -> tuple[set[str], set[str]]:
        """Return the names of relays that may send to upstreams.

        These are this one and those that are registered, or were removed
        from the store a moment ago and may still send.

        :returns: those of a region, and all others.
        """
        own = self.own()
        near: set[str] = set()
        far: set[str] = set()
        for record in (own, *self.known.values()):
            if record.role is Role.relay or record is own:
                (near if record.region == region else far).add(record.name)
        return near, far

    def issuer_candidates(
        self, now_s: float, settling_s: float
    ) -> list[IssuerCandidate]:
        """Return the other live relays, as candidates to issue permits.

        Those of the own region count as alive by their heartbeats: they end
        unseen by the store for some seconds.

        :param settling_s: how long a relay must have been registered.
        """
        own = self.own()
        is_fresh = self.is_store_fresh()
        return [
            IssuerCandidate(
                record.name,
                record.region,
                self._is_draining(record),
                now_s - self.registered_s[record.name][1] >= settling_s,
            )
            for record in self.known.values()
            if record.role is Role.relay
            and record.name != own.name
            and self._is_alive(record, now_s, is_fresh=is_fresh)
            and (record.region != own.region or self._is_heard(record, now_s))
        ]

    def registered_relays(self, region: str) -> int:
        """Return the number of relays of a region, this one included."""
        own = self.own()
        names = {
            record.name
            for record in self.in_store.values()
            if record.role is Role.relay and record.region == region
        }
        return len(names | {own.name} if own.region == region else names)

    def heard_relays(self, now_s: float) -> int:
        """Return the number of relays of the own region in touch, with own."""
        own = self.own()
        return 1 + sum(
            record.role is Role.relay
            and record.region == own.region
            and record.name != own.name
            and self._is_heard(record, now_s, IN_TOUCH_S)
            for record in self.known.values()
        )

    def is_settled(self, now_s: float, settling_s: float) -> bool:
        """Return whether the name of this process is registered for a time.

        The record of an earlier incarnation counts: the others know the name.
        """
        if self.listed_s is None:
            return False
        return self.was_listed_before or now_s - self.listed_s >= settling_s

    def is_store_fresh(self) -> bool:
        """Return whether the copy of the store is current."""
        return self.store_age_s() < self.max_store_age_s

    def addresses_for(self, requester: Requester, now_s: float) -> list[str]:
        """Return addresses of relays for a caller, preferably in its region."""
        own = self.own()
        relays = [
            record
            for record in self.alive(Role.relay, now_s)
            if self.accepts_callers(record, now_s)
        ]
        if not own.draining:
            relays.append(own)
        if not relays:
            # No relay is known to accept callers; one of these may still.
            relays = list(self.alive(Role.relay, now_s))
        chosen = [relay for relay in relays if relay.region == requester.region]
        if len(chosen) < MIN_SAME_REGION:
            chosen = [
                relay
                for relay in relays
                if not requester.regions or relay.region in requester.regions
            ]
        self.random.shuffle(chosen)
        return [relay.serving for relay in chosen[:MAX_ADDRESSES]]

    def remove_expired(self, now_s: float) -> None:
        """Forget peers that are neither in the store nor alive."""
        self.demand.remove_expired(now_s)
        for name, record in tuple(self.known.items()):
            if name not in self.in_store and not self.is_alive(record, now_s):
                self.known.pop(name)
                self.relays_version += 1
                self.known_relays.discard(name)
                self.last_heartbeats.pop(name, None)
                self.registered_s.pop(name, None)

    def _is_draining(self, record: PeerRecord) -> bool:
        heartbeat = self.last_heartbeats.get(record.name)
        if heartbeat is not None and heartbeat.boot >= record.boot:
            if heartbeat.draining:
                return True
        return record.draining

    def _is_alive(
        self, record: PeerRecord, now_s: float, *, is_fresh: bool
    ) -> bool:
        if is_fresh and record.name in self.in_store:
            return True
        if self._is_heard(record, now_s):
            return True
        # Its silence means nothing where it sends to its remote peers in turn.
        return record.name in self.in_store and self._takes_turns(record)

    def _is_heard(
        self,
        record: PeerRecord,
        now_s: float,
        within_s: float = HEARTBEAT_TTL_S,
    ) -> bool:
        heartbeat = self.last_heartbeats.get(record.name)
        return (
            heartbeat is not None
            and heartbeat.boot >= record.boot
            and now_s - heartbeat.received_s < within_s
        )

    def _takes_turns(self, record: PeerRecord) -> bool:
        """Return whether a peer is one of too many in other regions."""
        if record.region == self.own().region:
            return False
        if self.relays_by_region is None:
            self.relays_by_region = Counter(
                peer.region
                for peer in self.in_store.values()
                if peer.role is Role.relay
            )
        relay_count = self.relays_by_region.total()
        relay_count -= self.relays_by_region[record.region]
        return relay_count > MAX_DIRECT_PEERS
