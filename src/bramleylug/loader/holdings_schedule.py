"""When the other loaders are told what this one holds."""

from collections.abc import Iterable, Sequence
from typing import final

from bramleylug.relay.heartbeat_schedule import (
    MAX_INTERVAL_S,
    HeartbeatRates,
    HeartbeatSchedule,
)
from bramleylug.relay.peers import PeerRecord
from bramleylug.wire.beats_pb2 import TransferState

# While a transfer runs, near loaders hear of new chunks within a small part
# of the time that one takes; others need to know less of it.
TELL_S = 0.08
NEAR_MESSAGES_PER_S = 60.0
FAR_MESSAGES_PER_S = 75.0
TELL_PACE = HeartbeatRates(TELL_S, NEAR_MESSAGES_PER_S, FAR_MESSAGES_PER_S)
# What changed last is told for two rounds of the slowest kind: a datagram
# may be lost.
REPEAT_S = 2 * MAX_INTERVAL_S


@final
class HoldingsSchedule:
    """Tells often while something changes, and stops some time after.

    A loader that joins or comes back is a change: it would read from the
    origin what it does not know to be here.

    :ivar told: what was held when it changed last.
    :ivar known: loaders that live, by name and start.
    """

    def __init__(self, region: str) -> None:
        self.rounds = HeartbeatSchedule(region, TELL_PACE)
        self.told: list[TransferState] = []
        self.known: frozenset[tuple[str, int]] = frozenset()
        self.changed_s = float('-inf')

    def due(
        self,
        states: Sequence[TransferState],
        peers: Iterable[PeerRecord],
        now_s: float,
    ) -> list[PeerRecord]:
        """Return the loaders that are to be told now."""
        living = list(peers)
        known = frozenset((peer.name, peer.boot) for peer in living)
        if list(states) != self.told or known - self.known:
            self.told = list(states)
            self.changed_s = now_s
        self.known = known
        if now_s - self.changed_s > REPEAT_S:
            return []
        return self.rounds.due(living, now_s)
