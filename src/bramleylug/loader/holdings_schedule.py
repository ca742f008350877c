"""Schedules heartbeats that tell other loaders which chunks are held."""

import asyncio
from collections.abc import Iterable, Sequence
from contextlib import suppress
from typing import final

from bramleylug.cluster.heartbeat_schedule import (
    MAX_INTERVAL_S,
    HeartbeatRates,
    HeartbeatSchedule,
)
from bramleylug.cluster.peers import PeerRecord
from bramleylug.node.ticks import until_tick_s
from bramleylug.wire.beats_pb2 import TransferState

# How often changes of the held chunks are looked for between transfers.
IDLE_INTERVAL_S = 0.3
# During a transfer, loaders of the same region learn of a new chunk within a
# fraction of the time that fetching one takes. Loaders of other regions need
# fewer updates.
HOLDINGS_INTERVAL_S = 0.08
SAME_REGION_MESSAGES_PER_S = 60.0
REMOTE_REGION_MESSAGES_PER_S = 75.0
HOLDINGS_RATES = HeartbeatRates(
    HOLDINGS_INTERVAL_S,
    SAME_REGION_MESSAGES_PER_S,
    REMOTE_REGION_MESSAGES_PER_S,
    REMOTE_REGION_MESSAGES_PER_S,
)
# After a change, heartbeats go on for two of the longest intervals, because a
# datagram may be lost.
REPEAT_S = 2 * MAX_INTERVAL_S


@final
class HoldingsSchedule:
    """Sends heartbeats while holdings change and for a while afterwards.

    A loader that joins or restarts counts as a change: it would otherwise
    read chunks from the origin that it does not know to be held here.

    :ivar states: holdings at the last change.
    :ivar known_peers: live loaders, by name and boot id.
    :ivar hurried: set while a heartbeat to every loader is due.
    """

    def __init__(self, region: str) -> None:
        self.schedule = HeartbeatSchedule(region, HOLDINGS_RATES)
        self.states: list[TransferState] = []
        self.known_peers: frozenset[tuple[str, int]] = frozenset()
        self.changed_s = float('-inf')
        self.hurried = asyncio.Event()

    def hurry(self) -> None:
        """Have every loader get a heartbeat at once."""
        self.hurried.set()

    def is_active(self, now_s: float) -> bool:
        """Return whether heartbeats are being sent."""
        return now_s - self.changed_s <= REPEAT_S

    async def wait(self, now_s: float) -> None:
        """Wait until heartbeats may be due again."""
        wait_s = until_tick_s(asyncio.get_running_loop(), IDLE_INTERVAL_S)
        if self.is_active(now_s):
            due_s = self.schedule.next_due_s - now_s
            wait_s = max(HOLDINGS_INTERVAL_S, due_s)
        with suppress(TimeoutError):
            await asyncio.wait_for(self.hurried.wait(), wait_s)

    def due(
        self,
        states: Sequence[TransferState],
        peers: Iterable[PeerRecord],
        now_s: float,
    ) -> list[PeerRecord]:
        """Return the loaders that get a heartbeat now."""
        live_peers = list(peers)
        known_peers = frozenset((peer.name, peer.boot) for peer in live_peers)
        if list(states) != self.states or known_peers - self.known_peers:
            self.states = list(states)
            self.changed_s = now_s
        self.known_peers = known_peers
        if self.hurried.is_set():
            self.hurried.clear()
            self.changed_s = now_s
            self.schedule.restart(live_peers, now_s)
            return live_peers
        if not self.is_active(now_s):
            return []
        return self.schedule.due(live_peers, now_s)
