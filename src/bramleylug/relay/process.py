"""What a relay and a loader have in common: beliefs, presence and beats."""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Protocol, final

from bramleylug.node.loop_thread import LoopThread
from bramleylug.relay.beats import BEAT_PACE, BEAT_S, BeatSocket
from bramleylug.relay.belief import Belief
from bramleylug.relay.peers import PeerRecord, Role
from bramleylug.relay.rounds import Rounds
from bramleylug.relay.settings import ProcessSettings
from bramleylug.store.changes import Change, FollowedStore
from bramleylug.store.follower import Follower
from bramleylug.store.presence import Presence
from bramleylug.wire.beats_pb2 import Beat

NANOSECONDS_PER_MS = 1_000_000
TIDY_S = 1.0


class Adapter(Protocol):
    """What the adapter of a platform provides."""

    store: FollowedStore

    def prefixes(self, role: Role) -> tuple[str, ...]:
        """Return what a process of a role has to follow."""

    def peer_key(self, name: str) -> str:
        """Return the key that a process announces itself under."""

    def encode_peer(self, record: PeerRecord) -> bytes:
        """Return the value that announces a process."""

    def news_reader(self, belief: Belief) -> Callable[[Sequence[Change]], None]:
        """Return what applies changes of the store to a belief."""


@final
class ProcessCore:
    """Keeps a belief in step with the store and with other processes.

    :param make_beat: returns what to tell the relays.
    :ivar record: this process as it announces itself.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        adapter: Adapter,
        record: PeerRecord,
        make_beat: Callable[[], Beat],
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.adapter = adapter
        self.clock = clock
        self.record = record
        self.followers = [
            Follower(
                adapter.store,
                prefix,
                self._on_news,
                clock,
                wait_s=settings.confirm_interval,
            )
            for prefix in adapter.prefixes(record.role)
        ]
        self.belief = Belief(
            settings, lambda: self.record, self.followers[0].mirror, clock
        )
        self.read_news = adapter.news_reader(self.belief)
        self.presence = Presence(
            adapter.store,
            adapter.peer_key(settings.name),
            lambda: adapter.encode_peer(self.record),
        )
        self.make_beat = make_beat
        self.on_tidy: Callable[[], None] = _ignore
        self.hear: Callable[[Beat], None] = self.belief.hear
        self.rounds = Rounds(settings.region, BEAT_PACE)
        self.loop = LoopThread('relay')
        self.beats: BeatSocket | None = None

    def open(self) -> None:
        """Start all work beside the circuits loop."""
        self.loop.start()
        for follower in self.followers:
            self.loop.keep('follow', follower.run)
            self.loop.keep('settle', follower.settle)
        self.loop.keep('presence', self.presence.run)
        self.loop.keep('beats', self._beat)
        self.loop.keep('tidy', self._tidy)

    def close(self) -> None:
        """Stop all work."""
        self.loop.stop()

    def leave(self) -> None:
        """Tell everybody that this process takes no new callers."""
        self.record = replace(self.record, draining=True)
        self.loop.call(self._announce_leaving)

    def withdraw(self) -> None:
        """Remove this process from the store."""
        self.loop.spawn(self.presence.withdraw)

    def tell(self) -> None:
        """Send a beat to every relay that lives."""
        if self.beats is None:
            return
        living = self.belief.peers.living(Role.relay, self.clock())
        self.beats.send(self.make_beat(), [peer.beats for peer in living])

    def tell_due(self) -> None:
        """Send a beat to the relays whose turn it is."""
        now_s = self.clock()
        living = self.belief.peers.living(Role.relay, now_s)
        due = self.rounds.due(living, now_s)
        if due and self.beats is not None:
            self.beats.send(self.make_beat(), [peer.beats for peer in due])

    def _announce_leaving(self) -> None:
        self.presence.announce()
        self.tell()

    def _on_news(self, changes: Sequence[Change]) -> None:
        # The reader needs the belief, and that a follower's mirror.
        self.read_news(changes)

    async def _beat(self) -> None:
        if self.beats is None:
            self.beats = await BeatSocket.open(
                self.settings.beat_bind, lambda beat: self.hear(beat)
            )
        while True:
            self.tell_due()
            await asyncio.sleep(BEAT_S)

    async def _tidy(self) -> None:
        while True:
            await asyncio.sleep(TIDY_S)
            self.belief.peers.forget(self.clock())
            self.on_tidy()


def uptime_s() -> float:
    """Return seconds that also count while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def boot_number() -> int:
    """Return a number that a later start of the process exceeds.

    The time of day may step back by some seconds between two starts; then
    peers reckon with the earlier one until its beats are old.
    """
    return time.time_ns() // NANOSECONDS_PER_MS


def _ignore() -> None:
    """Do nothing."""
