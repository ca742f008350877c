"""Schedule of heartbeats: peers in remote regions get them less often.

Limits control traffic, which otherwise grows with the square of the number
of processes.
"""

from collections.abc import Iterable
from typing import NamedTuple, final

from bramleylug.relay.peers import PeerRecord

# Longest interval for any number of peers: reports expire after 1.5 times this.
MAX_INTERVAL_S = 1.0
# A timer that fires early by less than this does not skip a heartbeat.
EARLY_S = 0.01


@final
class HeartbeatRates(NamedTuple):
    """Limits of the heartbeat rate.

    :ivar min_interval_s: shortest interval between messages to a peer.
    :ivar local_per_s: messages per second to all peers of the own
        region together, unless that makes the interval of a peer longer than
        :data:`MAX_INTERVAL_S`.
    :ivar remote_per_s: the same for all other peers.
    """

    min_interval_s: float
    local_per_s: float
    remote_per_s: float


@final
class HeartbeatSchedule:
    """Schedules the own region and remote regions separately.

    :param region: region of this process.
    """

    def __init__(self, region: str, rates: HeartbeatRates) -> None:
        self.region = region
        self.rates = rates
        self.local_due_s = float('-inf')
        self.remote_due_s = float('-inf')

    def due(
        self, peers: Iterable[PeerRecord], now_s: float
    ) -> list[PeerRecord]:
        """Return the peers to send to now."""
        local: list[PeerRecord] = []
        remote: list[PeerRecord] = []
        for peer in peers:
            (local if peer.region == self.region else remote).append(peer)
        due: list[PeerRecord] = []
        if now_s >= self.local_due_s - EARLY_S:
            self.local_due_s = now_s + self._interval_s(
                len(local), self.rates.local_per_s
            )
            due.extend(local)
        if now_s >= self.remote_due_s - EARLY_S:
            self.remote_due_s = now_s + self._interval_s(
                len(remote), self.rates.remote_per_s
            )
            due.extend(remote)
        return due

    def _interval_s(self, count: int, per_s: float) -> float:
        longest_s = max(MAX_INTERVAL_S, self.rates.min_interval_s)
        return min(longest_s, max(self.rates.min_interval_s, count / per_s))
