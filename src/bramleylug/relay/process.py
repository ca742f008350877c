"""What a relay and a loader have in common: beliefs, presence and beats."""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Protocol, final

from bramleylug.node.loop_thread import LoopThread
from bramleylug.relay.cluster_view import ClusterView
from bramleylug.relay.heartbeat_schedule import HeartbeatSchedule
from bramleylug.relay.heartbeats import (
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_RATES,
    HeartbeatSocket,
)
from bramleylug.relay.peers import PeerRecord, Role
from bramleylug.relay.settings import ProcessSettings
from bramleylug.store.changes import StoreChange, WatchableStore
from bramleylug.store.presence import Presence
from bramleylug.store.watcher import StoreWatcher
from bramleylug.wire.beats_pb2 import Beat

NANOSECONDS_PER_MS = 1_000_000
TIDY_S = 1.0


class Adapter(Protocol):
    """What the adapter of a platform provides."""

    store: WatchableStore

    def followed_prefixes(self, role: Role) -> tuple[str, ...]:
        """Return what a process of a role has to follow."""

    def peer_key(self, name: str) -> str:
        """Return the key that a process announces itself under."""

    def encode_peer(self, record: PeerRecord) -> bytes:
        """Return the value that announces a process."""

    def store_change_handler(
        self, view: ClusterView
    ) -> Callable[[Sequence[StoreChange]], None]:
        """Return what applies changes of the store to a belief."""


@final
class ProcessCore:
    """Keeps a belief in step with the store and with other processes.

    :param make_heartbeat: returns what to tell the relays.
    :ivar record: this process as it announces itself.
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
        self.watchers = [
            StoreWatcher(
                adapter.store,
                prefix,
                self._on_store_change,
                clock,
                wait_s=settings.confirm_interval,
            )
            for prefix in adapter.followed_prefixes(record.role)
        ]
        self.view = ClusterView(
            settings, lambda: self.record, self.watchers[0].mirror, clock
        )
        self.apply_changes = adapter.store_change_handler(self.view)
        self.presence = Presence(
            adapter.store,
            adapter.peer_key(settings.name),
            lambda: adapter.encode_peer(self.record),
        )
        self.make_heartbeat = make_heartbeat
        self.on_clean_up: Callable[[], None] = _ignore
        self.on_heartbeat: Callable[[Beat], None] = self.view.receive_heartbeat
        self.schedule = HeartbeatSchedule(settings.region, HEARTBEAT_RATES)
        self.loop = LoopThread('relay')
        self.socket: HeartbeatSocket | None = None

    def open(self) -> None:
        """Start all work beside the circuits loop."""
        self.loop.start()
        for watcher in self.watchers:
            self.loop.supervise('follow', watcher.run)
            self.loop.supervise('settle', watcher.run_deferred_removals)
        self.loop.supervise('presence', self.presence.run)
        self.loop.supervise('beats', self._beat)
        self.loop.supervise('tidy', self._tidy)

    def close(self) -> None:
        """Stop all work."""
        self.loop.stop()

    def start_draining(self) -> None:
        """Tell everybody that this process takes no new callers."""
        self.record = replace(self.record, draining=True)
        self.loop.call(self._announce_leaving)

    def withdraw(self) -> None:
        """Remove this process from the store."""
        self.loop.spawn(self.presence.withdraw)

    def send_heartbeat(self) -> None:
        """Send a beat to every relay that lives."""
        if self.socket is None:
            return
        living = self.view.peers.alive(Role.relay, self.clock())
        self.socket.send(self.make_heartbeat(), [peer.beats for peer in living])

    def send_due_heartbeats(self) -> None:
        """Send a beat to the relays whose turn it is."""
        now_s = self.clock()
        living = self.view.peers.alive(Role.relay, now_s)
        due = self.schedule.due(living, now_s)
        if due and self.socket is not None:
            self.socket.send(
                self.make_heartbeat(), [peer.beats for peer in due]
            )

    def _announce_leaving(self) -> None:
        self.presence.announce()
        self.send_heartbeat()

    def _on_store_change(self, changes: Sequence[StoreChange]) -> None:
        # The reader needs the belief, and that a watcher's mirror.
        self.apply_changes(changes)

    async def _beat(self) -> None:
        if self.socket is None:
            self.socket = await HeartbeatSocket.open(
                self.settings.beat_bind, lambda beat: self.on_heartbeat(beat)
            )
        while True:
            self.send_due_heartbeats()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _tidy(self) -> None:
        while True:
            await asyncio.sleep(TIDY_S)
            self.view.peers.remove_expired(self.clock())
            self.on_clean_up()


def uptime_s() -> float:
    """Return seconds that also count while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def boot_id() -> int:
    """Return a number that a later start of the process exceeds.

    The time of day may step back by some seconds between two starts; then
    peers reckon with the earlier one until its beats are old.
    """
    return time.time_ns() // NANOSECONDS_PER_MS


def _ignore() -> None:
    """Do nothing."""
