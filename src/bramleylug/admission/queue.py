"""Waiting requests, fair between workspaces."""

from heapq import heapify, heappop, heappush
from itertools import count
from typing import NamedTuple, final

QUANTUM = 1.0
BYTES_PER_UNIT = 16384


class Arrival(NamedTuple):
    """A request that wants to be sent.

    :ivar token: names it in the actions.
    :ivar deadline_s: steady seconds when its caller gives up.
    :ivar alone: whether nothing else may run beside it.
    """

    token: int
    workspace: str
    priority: int
    body_bytes: int
    deadline_s: float
    alone: bool = False

    @property
    def cost(self) -> float:
        """What it takes of its workspace's share."""
        return 1 + self.body_bytes / BYTES_PER_UNIT


class Place(NamedTuple):
    """Order within a workspace: priority first, then arrival."""

    rank: int
    number: int
    arrival: Arrival


@final
class FairQueue:
    """Deficit round robin over workspaces (Shreedhar and Varghese, 1995).

    Priorities order the requests of one workspace; they take nothing from
    another.

    :ivar body_bytes: bytes of the requests that wait.
    """

    def __init__(self) -> None:
        self.heaps: dict[str, list[Place]] = {}
        self.deficits: dict[str, float] = {}
        self.numbers = count()
        self.body_bytes = 0
        self.size = 0
        self.lone = 0

    def push(self, arrival: Arrival) -> None:
        """Let a request wait."""
        heap = self.heaps.setdefault(arrival.workspace, [])
        self.deficits.setdefault(arrival.workspace, 0)
        heappush(heap, Place(-arrival.priority, next(self.numbers), arrival))
        self.size += 1
        self.lone += int(arrival.alone)
        self.body_bytes += arrival.body_bytes

    def pop(self) -> Arrival:
        """Return and drop the request whose turn it is."""
        while True:
            workspace = next(iter(self.heaps))
            heap = self.heaps[workspace]
            cost = heap[0].arrival.cost
            if self.deficits[workspace] >= cost:
                self.deficits[workspace] -= cost
                arrival = heappop(heap).arrival
                self._dropped(arrival)
                return arrival
            self.deficits[workspace] += QUANTUM
            self.heaps[workspace] = self.heaps.pop(workspace)

    def drop(self, arrival: Arrival) -> None:
        """Drop one waiting request."""
        kept = [
            place
            for place in self.heaps[arrival.workspace]
            if place.arrival is not arrival
        ]
        heapify(kept)
        self.heaps[arrival.workspace] = kept
        self._dropped(arrival)

    def last_of(self, workspace: str) -> Arrival:
        """Return the request of a workspace that would run last."""
        return max(self.heaps[workspace]).arrival

    def find_alone(self) -> Arrival | None:
        """Return a request that has to run alone, if one waits."""
        if not self.lone:
            return None
        return next(one for one in self.waiting() if one.alone)

    def waiting(self) -> list[Arrival]:
        """Return all waiting requests."""
        return [place.arrival for heap in self.heaps.values() for place in heap]

    def _dropped(self, arrival: Arrival) -> None:
        self.size -= 1
        self.lone -= int(arrival.alone)
        self.body_bytes -= arrival.body_bytes
        if not self.heaps[arrival.workspace]:
            del self.heaps[arrival.workspace]
            del self.deficits[arrival.workspace]
