"""Schedule of heartbeats: peers in remote regions get them less often.

Limits the control traffic, which grows with the square of the number of
processes if each sends to every other at a fixed interval.
"""

from collections.abc import Iterable
from typing import NamedTuple, final

from bramleylug.relay.peers import PeerRecord

# Longest interval, whatever the number of peers: reports of load and weights
# expire after 1.5 times this.
MAX_INTERVAL_S = 1.0
# Heartbeats that are due within this time are sent at once, so that a timer
# that fires slightly early does not skip one.
EARLY_S = 0.01


@final
class HeartbeatRates(NamedTuple):
    """Limits on how often heartbeats are sent.

    :ivar min_interval_s: shortest interval between two messages to a peer.
    :ivar same_region_per_s: messages per second to all peers in the own
        region together, unless the interval for one of them would exceed
        :data:`MAX_INTERVAL_S`.
    :ivar remote_region_per_s: the same for all other peers.
    """

    min_interval_s: float
    same_region_per_s: float
    remote_region_per_s: float


@final
class HeartbeatSchedule:
    """Schedules peers in the own and in remote regions separately.

    :param region: region of this process.
    """

    def __init__(self, region: str, rates: HeartbeatRates) -> None:
        self.region = region
        self.rates = rates
        self.same_region_due_s = float('-inf')
        self.remote_region_due_s = float('-inf')

    def due(
        self, peers: Iterable[PeerRecord], now_s: float
    ) -> list[PeerRecord]:
        """Return the peers that get a message now."""
        same_region: list[PeerRecord] = []
        remote: list[PeerRecord] = []
        for peer in peers:
            (same_region if peer.region == self.region else remote).append(peer)
        due: list[PeerRecord] = []
        if now_s >= self.same_region_due_s - EARLY_S:
            self.same_region_due_s = now_s + self._interval_s(
                len(same_region), self.rates.same_region_per_s
            )
            due.extend(same_region)
        if now_s >= self.remote_region_due_s - EARLY_S:
            self.remote_region_due_s = now_s + self._interval_s(
                len(remote), self.rates.remote_region_per_s
            )
            due.extend(remote)
        return due

    def _interval_s(self, count: int, per_s: float) -> float:
        max_interval_s = max(MAX_INTERVAL_S, self.rates.min_interval_s)
        return min(
            max_interval_s, max(self.rates.min_interval_s, count / per_s)
        )
