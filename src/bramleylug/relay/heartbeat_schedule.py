"""Who is told how often: near peers often, far ones less.

Answers the load of control that grows with the square of the fleet if
everybody tells everybody each time.
"""

from collections.abc import Iterable
from typing import NamedTuple, final

from bramleylug.relay.peers import PeerRecord

# However many peers there are, none waits longer: what is told of load and
# weights counts for one and a half of it.
MAX_INTERVAL_S = 1.0
# A wake-up that is early by less than this does not put a round off.
EARLY_S = 0.01


@final
class HeartbeatRates(NamedTuple):
    """How often peers are told.

    :ivar shortest_s: time between two messages to one peer, at least.
    :ivar near_per_s: messages a second to the peers of the own region
        together, unless that leaves one of them for longer than
        :data:`MAX_INTERVAL_S`.
    :ivar far_per_s: the same for all other peers.
    """

    shortest_s: float
    near_per_s: float
    far_per_s: float


@final
class HeartbeatSchedule:
    """Tells near and far peers in rounds of their own.

    :param region: region of this process.
    """

    def __init__(self, region: str, pace: HeartbeatRates) -> None:
        self.region = region
        self.pace = pace
        self.near_due_s = float('-inf')
        self.far_due_s = float('-inf')

    def due(
        self, peers: Iterable[PeerRecord], now_s: float
    ) -> list[PeerRecord]:
        """Return the peers that are to be told now."""
        near: list[PeerRecord] = []
        far: list[PeerRecord] = []
        for peer in peers:
            (near if peer.region == self.region else far).append(peer)
        told: list[PeerRecord] = []
        if now_s >= self.near_due_s - EARLY_S:
            self.near_due_s = now_s + self._interval_s(
                len(near), self.pace.near_per_s
            )
            told.extend(near)
        if now_s >= self.far_due_s - EARLY_S:
            self.far_due_s = now_s + self._interval_s(
                len(far), self.pace.far_per_s
            )
            told.extend(far)
        return told

    def _interval_s(self, count: int, per_s: float) -> float:
        longest_s = max(MAX_INTERVAL_S, self.pace.shortest_s)
        return min(longest_s, max(self.pace.shortest_s, count / per_s))
