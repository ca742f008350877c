"""Core of relay and loader: cluster view, registration and heartbeats."""

import asyncio
import time
from collections.abc import Callable, Container, Iterable, Sequence
from dataclasses import replace
from functools import partial
from random import Random
from typing import Protocol, final

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.feed_directory import FeedDirectory
from bramleylug.cluster.feed_pages import serve_feed
from bramleylug.cluster.heartbeat_schedule import HeartbeatSchedule
from bramleylug.cluster.heartbeats import (
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_RATES,
    HeartbeatSocket,
)
from bramleylug.cluster.peers import PeerRecord, PeerRegistry, Role
from bramleylug.cluster.settings import ProcessSettings
from bramleylug.cluster.store_readers import find_reader
from bramleylug.cluster.version_news import due_news
from bramleylug.node.datagrams import BATCH_S
from bramleylug.node.loop_thread import LoopThread
from bramleylug.node.process_pauses import ProcessPauses, watch_pauses
from bramleylug.node.ticks import sleep_until_tick
from bramleylug.observability.events import LogEvent, emit
from bramleylug.store.changes import StoreChange, WatchableStore
from bramleylug.store.presence import FixedItem, Presence
from bramleylug.store.read_schedule import ReadSchedule
from bramleylug.store.watcher import StoreWatcher
from bramleylug.store.zone_readers import ZoneReaders
from bramleylug.store.zone_store import ZoneStore
from bramleylug.web.exchange import Exchange
from bramleylug.wire.beats_pb2 import Beat, PermitMessage, RelayWork

NANOSECONDS_PER_MS = 1_000_000
CLEAN_UP_INTERVAL_S = 1.0
# An upstream that ends cuts many requests at once; one heartbeat tells of all.
ANNOUNCE_DELAY_S = 0.02
MILLISECONDS = 1000
# Heartbeats tell no longer silence of the store.
MAX_TOLD_AGE_S = 600.0


class Adapter(Protocol):
    """Interface to the platform that every process needs."""

    store: WatchableStore

    def watched_prefixes(self, role: Role) -> tuple[str, ...]:
        """Return the key prefixes that a process of a role watches."""

    def feed_prefix(self, zone: str) -> str:
        """Return the prefix of the keys that name the feeds of a zone."""

    def peer_key(self, name: str) -> str:
        """Return the key that a process registers itself under."""

    def encode_peer(self, record: PeerRecord) -> bytes:
        """Return the value that a process registers itself with."""

    def store_change_handler(
        self, view: ClusterView
    ) -> Callable[[Sequence[StoreChange]], None]:
        """Return a function that applies changes of the store to a view."""


@final
class ProcessCore:
    """Keeps the cluster view current and sends heartbeats.

    :param make_heartbeat: returns the heartbeat for the relays.
    :ivar record: this process as it registers itself in the store.
    :ivar on_clean_up: called every second.
    :ivar on_heartbeat: called with every heartbeat received.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        adapter: Adapter,
        record: PeerRecord,
        make_heartbeat: Callable[[], Beat],
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.adapter = adapter
        self.clock = clock
        self.record = record
        pauses = ProcessPauses()
        schedule = ReadSchedule(
            settings.change_limit,
            settings.confirm_interval,
            Random(settings.name).random(),  # noqa: S311
        )
        feeds = FeedDirectory(
            adapter.store,
            adapter.feed_prefix(record.zone),
            lambda: self.record,
            clock,
        )
        self.store = ZoneStore(
            adapter.store,
            ZoneReaders(
                self.reader_address,
                clock,
                schedule,
                lambda: adapter.store.era,
                confirms=record.role is Role.relay,
            ),
            clock,
            find_feed=feeds.find,
            probe_prefix=adapter.peer_key(settings.name),
        )
        self.watchers = [
            StoreWatcher(
                self.store,
                prefix,
                self._on_store_change,
                clock,
                schedule,
                pauses,
            )
            for prefix in adapter.watched_prefixes(record.role)
        ]
        self.store.reach.on_hopeless = self.watchers[0].feed.announce
        self.view = ClusterView(
            settings, lambda: self.record, self.watchers[0].mirror, clock
        )
        self.view.permits.send = self.send_permits
        self.view.work.send = partial(_send_work, self)
        self.apply_changes = adapter.store_change_handler(self.view)
        self.presence = Presence(
            self.store,
            adapter.peer_key(settings.name),
            lambda: adapter.encode_peer(self.record),
            settings.calm_window,
            feed_item(adapter, record),
            feeds.registered.set,
            partial(find_earlier_record, self.view.peers, adapter)
            if record.role is Role.relay
            else None,
        )
        self.presence.clock = clock
        self.make_heartbeat = make_heartbeat
        self.on_clean_up: Callable[[], None] = _ignore
        self.on_heartbeat: Callable[[Beat], None] = self.receive_heartbeat
        self.schedule = HeartbeatSchedule(settings.region, HEARTBEAT_RATES)
        self.loop = LoopThread('relay')
        self.socket: HeartbeatSocket | None = None
        self.announcement: asyncio.TimerHandle | None = None

    @property
    def pauses(self) -> ProcessPauses:
        """Return when this process stood still."""
        return self.view.pauses

    def reader_address(
        self, avoided: Container[str], *, first: bool = False
    ) -> str:
        """Return where to read the store; empty for the store itself.

        :param avoided: addresses that were of no use a moment ago.
        :param first: whether it is to be the relay that reads the store for
            the other readers of the zone.
        """
        if not self.view.mirror.loaded:
            return ''
        peers = self.view.peers.zone_peers(self.clock())
        reader = find_reader(self.record, peers, avoided, first=first)
        return '' if reader is None else reader.feed

    async def serve_feed(self, exchange: Exchange) -> None:
        """Answer another process that reads the store through this one."""
        await serve_feed(exchange, self.watchers[0].feed, self.store.reach)

    def open(self) -> None:
        """Start the background tasks, outside the circuits loop."""
        self.loop.start()
        self.loop.supervise(
            'pauses', lambda: watch_pauses(self.pauses, self.clock)
        )
        for watcher in self.watchers:
            self.loop.supervise('follow', watcher.run)
            self.loop.supervise('settle', watcher.run_deferred_removals)
        self.loop.supervise('presence', self.presence.run)
        self.loop.supervise('beats', self._run_heartbeats)
        self.loop.supervise('tidy', self._run_clean_up)

    def close(self) -> None:
        self.loop.stop()

    def start_draining(self) -> None:
        """Announce that this process accepts no new callers."""
        self.record = replace(self.record, draining=True)
        self.loop.call(self._announce_draining)

    def withdraw(self) -> None:
        """Remove this process from the store."""
        self.loop.spawn(self.presence.withdraw)

    def full_heartbeat(self) -> Beat:
        """Return the heartbeat for the relays, with the news of the store."""
        heartbeat = self.make_heartbeat()
        age_s = self.clock() - self.view.mirror.heard_s
        if age_s <= MAX_TOLD_AGE_S:
            heartbeat.store_heard_age_ms = round(age_s * MILLISECONDS)
        return heartbeat

    def send_heartbeat(self) -> None:
        """Send a heartbeat to every relay that is alive."""
        if self.socket is None:
            return
        alive = self.view.peers.alive(Role.relay, self.clock())
        self.socket.send(self.full_heartbeat(), [peer.beats for peer in alive])

    def send_permits(self, relay: str, messages: list[PermitMessage]) -> None:
        """Send messages about permits to a relay."""
        peer = self.view.peers.known.get(relay)
        if peer is not None and self.socket is not None:
            heartbeat = Beat(name=self.settings.name, permits=messages)
            self.socket.send(heartbeat, [peer.beats])

    def send_heartbeat_to(self, name: str) -> None:
        """Send a heartbeat to one relay outside of the schedule."""
        peer = self.view.peers.known.get(name)
        is_relay = peer is not None and peer.role is Role.relay
        if peer is not None and is_relay and self.socket is not None:
            self.socket.send(self.full_heartbeat(), [peer.beats])

    def announce_soon(self) -> None:
        """Send one heartbeat to every relay for what happens at this moment.

        Runs on the event loop.
        """
        if self.announcement is None:
            self.announcement = asyncio.get_running_loop().call_later(
                ANNOUNCE_DELAY_S, self._announce
            )

    def send_due_heartbeats(self) -> None:
        """Send a heartbeat to the relays that are due for one.

        Loaders of the zone are told of versions that were just named.
        """
        now_s = self.clock()
        alive = self.view.peers.alive(Role.relay, now_s)
        due = self.schedule.due(alive, now_s)
        if due and self.socket is not None:
            self.socket.send(
                self.full_heartbeat(), [peer.beats for peer in due]
            )
        news = due_news(self.view, now_s)
        if news.named and self.socket is not None:
            heartbeat = Beat(
                name=self.settings.name,
                boot=self.record.boot,
                draining=self.record.draining,
                named=news.named,
            )
            self.socket.send(heartbeat, news.addresses)

    def receive_heartbeat(self, heartbeat: Beat) -> None:
        """Apply a heartbeat of another process.

        A heartbeat of an incarnation lower than one already heard is
        answered with that one. A process whose clock went back between two
        starts learns from it that it must continue with a later incarnation
        (Das et al., *SWIM*, 2002, section 4.2).
        """
        if heartbeat.known_boot:
            self._raise_incarnation(heartbeat)
            return
        if self.view.receive_heartbeat(heartbeat) or self.socket is None:
            return
        peer = self.view.peers.known.get(heartbeat.name)
        if peer is not None:
            known = self.view.peers.last_heartbeats[heartbeat.name].boot
            refutation = Beat(name=self.settings.name, known_boot=known)
            self.socket.send(refutation, [peer.beats])

    def _raise_incarnation(self, refutation: Beat) -> None:
        boot = self.record.boot
        if refutation.known_boot <= boot:
            return
        emit(
            LogEvent.incarnation_raised,
            peer=refutation.name,
            known=refutation.known_boot,
            boot=boot,
        )
        self.record = replace(self.record, boot=refutation.known_boot + 1)
        self.presence.announce()
        self.send_heartbeat()

    def _announce(self) -> None:
        self.announcement = None
        self.send_heartbeat()

    def _announce_draining(self) -> None:
        self.presence.announce()
        self.send_heartbeat()

    def _on_store_change(self, changes: Sequence[StoreChange]) -> None:
        # The handler is created last: it needs the cluster view, which needs
        # the mirror of a watcher.
        self.apply_changes(changes)

    async def _run_heartbeats(self) -> None:
        if self.socket is None:
            self.socket = HeartbeatSocket.open(
                self.settings.beat_bind,
                lambda heartbeat: self.on_heartbeat(heartbeat),
                self._collect_s,
            )
            self.view.work.read = self.socket.port.read
        while True:
            self.send_due_heartbeats()
            await sleep_until_tick(HEARTBEAT_INTERVAL_S)

    def _collect_s(self) -> float:
        """Return for how long received heartbeats are collected.

        A loader gets holdings, on which its next fetches depend.
        """
        collect_s = self.schedule.collect_s
        if self.record.role is Role.loader:
            return min(BATCH_S, collect_s)
        return collect_s

    async def _run_clean_up(self) -> None:
        while True:
            await sleep_until_tick(CLEAN_UP_INTERVAL_S)
            self.view.peers.remove_expired(self.clock())
            self.on_clean_up()


def _send_work(
    core: ProcessCore, relays: Iterable[str], work: RelayWork
) -> None:
    """Send what a relay has at an engine to other relays."""
    if core.socket is None:
        return
    known = core.view.peers.known
    core.socket.send(
        Beat(name=core.settings.name, work=[work]),
        [known[name].beats for name in relays if name in known],
    )


def feed_item(adapter: Adapter, record: PeerRecord) -> FixedItem | None:
    """Return the item that registers the feed of a process, if it has one."""
    if not record.feed:
        return None
    key = f'{adapter.feed_prefix(record.zone)}{record.name}'
    return FixedItem(key, record.feed.encode())


async def find_earlier_record(peers: PeerRegistry, adapter: Adapter) -> None:
    """Find out whether the others know the name of this relay already.

    Its record in the store is then that of an earlier incarnation.
    """
    key = adapter.peer_key(peers.own().name)
    page = await adapter.store.list_page(key, '')
    if page.find(key) is not None:
        peers.was_listed_before = True


def uptime_s() -> float:
    """Return seconds that also count while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def boot_id() -> int:
    """Return a number that increases with every start of the process.

    It is the time of day in milliseconds. If that steps back between two
    starts, peers answer the heartbeats of the new incarnation with the
    number that they know, and it continues with a greater one.
    """
    return time.time_ns() // NANOSECONDS_PER_MS


def _ignore() -> None:
    """Do nothing."""
