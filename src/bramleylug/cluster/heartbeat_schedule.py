"""Schedule of heartbeats: peers in remote regions get them less often.

Limits control traffic, which otherwise grows with the square of the number
of processes. In a large fleet, remote peers get heartbeats in turn only: what
has to reach all of them is passed on by those that hear it, and a change that
they must know at once is sent to all outside of the schedule.
"""

from collections.abc import Iterable
from typing import NamedTuple, final

from bramleylug.cluster.peers import MAX_DIRECT_PEERS, PeerRecord

# Longest interval for any number of peers: reports expire after 1.5 times this.
MAX_INTERVAL_S = 1.0
# Interval of the turns of remote peers: each message to one of them takes as
# long to prepare as those to several.
TURN_INTERVAL_S = 0.4
# Received heartbeats are collected for this time in a region with so many peers
# that they send theirs at longer intervals than the second one. Elsewhere the
# counts in them are younger, and placing would lose by it.
COLLECT_S = 0.1
COLLECT_FROM_S = 0.5
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
    :ivar turns_per_s: messages per second to more remote peers than
        :data:`MAX_DIRECT_PEERS`, which take turns.
    """

    min_interval_s: float
    local_per_s: float
    remote_per_s: float
    turns_per_s: float


@final
class HeartbeatSchedule:
    """Schedules the own region and remote regions separately.

    :param region: region of this process.
    """

    def __init__(self, region: str, rates: HeartbeatRates) -> None:
        self.region = region
        self.rates = rates
        self.local_interval_s = rates.min_interval_s
        self.local_due_s = float('-inf')
        self.remote_due_s = float('-inf')
        self.next_turn = 0

    @property
    def next_due_s(self) -> float:
        """Time before which no peer is due."""
        return min(self.local_due_s, self.remote_due_s)

    @property
    def collect_s(self) -> float:
        """Time for which received heartbeats may be collected; 0 for none.

        Peers of the region send theirs at about the interval of this process.
        """
        return COLLECT_S if self.local_interval_s > COLLECT_FROM_S else 0

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
            self.local_interval_s = self._interval_s(
                len(local), self.rates.local_per_s
            )
            self.local_due_s = now_s + self.local_interval_s
            due.extend(local)
        if now_s >= self.remote_due_s - EARLY_S:
            due.extend(self._due_remote(remote, now_s))
        return due

    def restart(self, peers: Iterable[PeerRecord], now_s: float) -> None:
        """Count the intervals from now on: all peers get a message now."""
        self.local_due_s = float('-inf')
        self.remote_due_s = float('-inf')
        self.due(peers, now_s)

    def _due_remote(
        self, remote: list[PeerRecord], now_s: float
    ) -> Iterable[PeerRecord]:
        if len(remote) <= MAX_DIRECT_PEERS:
            self.remote_due_s = now_s + self._interval_s(
                len(remote), self.rates.remote_per_s
            )
            return remote
        interval_s = max(self.rates.min_interval_s, TURN_INTERVAL_S)
        self.remote_due_s = now_s + interval_s
        count = max(1, round(self.rates.turns_per_s * interval_s))
        first = self.next_turn % len(remote)
        self.next_turn = first + count
        return [*remote, *remote][first : first + count]

    def _interval_s(self, count: int, per_s: float) -> float:
        longest_s = max(MAX_INTERVAL_S, self.rates.min_interval_s)
        return min(longest_s, max(self.rates.min_interval_s, count / per_s))
