"""Which other processes of the system live, and which callers may use."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum, unique
from random import Random
from typing import NamedTuple, final

# A peer that has announced itself in the store and is heard lives; without
# one of the two it counts as gone after this time. The bound that the
# platform sets is six seconds.
HEARD_S = 2.5
# The store's word counts while it is this much older than it usually gets.
STORE_LATE_S = 0.6
# Fewer entries than this in a caller's region and those beyond are named too.
LEAST_NEAR = 1
MOST_NAMED = 64


@final
@unique
class Role(StrEnum):
    """What a process does."""

    relay = 'relay'
    loader = 'loader'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class PeerRecord:
    """A process as it announced itself.

    :ivar boot: tells incarnations apart; a later one is greater.
    :ivar serving: address for callers, or of the upstream beside a loader.
    :ivar beats: address for datagrams.
    :ivar chunks: address that a loader hands chunks out on.
    """

    name: str
    role: Role
    boot: int
    zone: str
    region: str
    serving: str
    beats: str
    chunks: str = ''
    draining: bool = False


class HeartbeatStatus(NamedTuple):
    """The last beat of a peer."""

    boot: int
    at_s: float
    draining: bool


class Requester(NamedTuple):
    """A caller that asks where to connect.

    :ivar regions: where its requests may be taken in; empty for anywhere.
    """

    region: str
    zone: str
    regions: frozenset[str]


@final
class PeerRegistry:
    """Peers by name.

    :param own: record of this process.
    :param store_age_s: returns how old this process's view of the store is.
    :param confirm_interval_s: time in which that view is confirmed.
    """

    def __init__(
        self,
        own: Callable[[], PeerRecord],
        store_age_s: Callable[[], float],
        random: Random,
        confirm_interval_s: float,
    ) -> None:
        self.own = own
        # Just before a wait is answered, the one before it was sent two
        # intervals ago.
        self.store_fresh_s = 2 * confirm_interval_s + STORE_LATE_S
        self.store_age_s = store_age_s
        self.random = random
        self.in_store: dict[str, PeerRecord] = {}
        self.known: dict[str, PeerRecord] = {}
        self.last_heartbeats: dict[str, HeartbeatStatus] = {}

    def add(self, record: PeerRecord) -> None:
        """Note that a peer stands in the store."""
        self.in_store[record.name] = record
        self.known[record.name] = record

    def remove(self, name: str) -> None:
        """Note that a peer no longer stands in the store."""
        self.in_store.pop(name, None)

    def record_heartbeat(self, name: str, heard: HeartbeatStatus) -> None:
        """Note a beat."""
        self.last_heartbeats[name] = heard

    def alive(self, role: Role, now_s: float) -> Iterable[PeerRecord]:
        """Return the peers of a role that live, this process aside."""
        own_name = self.own().name
        is_fresh = self._is_store_fresh()
        return [
            record
            for record in self.known.values()
            if record.role is role
            and record.name != own_name
            and self._is_alive(record, now_s, is_fresh=is_fresh)
        ]

    def is_alive(self, record: PeerRecord, now_s: float) -> bool:
        """Tell whether a peer is to be reckoned with.

        The store's word is taken while it is fresh; without it, only a
        peer that is heard lives.
        """
        return self._is_alive(record, now_s, is_fresh=self._is_store_fresh())

    def accepts_callers(self, record: PeerRecord, now_s: float) -> bool:
        """Tell whether a relay may be named to callers."""
        heard = self.last_heartbeats.get(record.name)
        if heard is not None and heard.boot >= record.boot:
            if heard.draining:
                return False
        return not record.draining and self.is_alive(record, now_s)

    def relay_count(self) -> int:
        """Return the relays that may send to upstreams, this one included.

        Those that were withdrawn a moment ago may still send.
        """
        names = {
            record.name
            for record in self.known.values()
            if record.role is Role.relay
        }
        return max(1, len(names | {self.own().name}))

    def addresses_for(self, requester: Requester, now_s: float) -> list[str]:
        """Return the addresses that a caller may use, near ones alone."""
        own = self.own()
        relays = [
            record
            for record in self.alive(Role.relay, now_s)
            if self.accepts_callers(record, now_s)
        ]
        if not own.draining:
            relays.append(own)
        if not relays:
            # Nobody is sure to serve; callers may still find one that does.
            relays = list(self.alive(Role.relay, now_s))
        near = [one for one in relays if one.region == requester.region]
        if len(near) < LEAST_NEAR:
            near = [
                one
                for one in relays
                if not requester.regions or one.region in requester.regions
            ]
        self.random.shuffle(near)
        return [one.serving for one in near[:MOST_NAMED]]

    def remove_expired(self, now_s: float) -> None:
        """Drop peers that have neither stood in the store nor been heard."""
        for name, record in tuple(self.known.items()):
            if name not in self.in_store and not self.is_alive(record, now_s):
                self.known.pop(name)
                self.last_heartbeats.pop(name, None)

    def _is_store_fresh(self) -> bool:
        return self.store_age_s() < self.store_fresh_s

    def _is_alive(
        self, record: PeerRecord, now_s: float, *, is_fresh: bool
    ) -> bool:
        if is_fresh and record.name in self.in_store:
            return True
        heard = self.last_heartbeats.get(record.name)
        if heard is None or heard.boot < record.boot:
            return False
        return now_s - heard.at_s < HEARD_S
