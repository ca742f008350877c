"""Queue of waiting requests with fair sharing between workspaces."""

from heapq import heapify, heappop, heappush
from itertools import count
from typing import NamedTuple, final

QUANTUM = 1.0
BYTES_PER_COST_UNIT = 16384


class Arrival(NamedTuple):
    """A request that waits to be admitted.

    :ivar token: identifies the request in admission decisions.
    :ivar deadline_s: monotonic time at which its caller gives up.
    :ivar exclusive: whether no other request may run at the same time.
    """

    token: int
    workspace: str
    priority: int
    body_bytes: int
    deadline_s: float
    exclusive: bool = False

    @property
    def cost(self) -> float:
        """Cost charged to its workspace's deficit counter."""
        return 1 + self.body_bytes / BYTES_PER_COST_UNIT


class HeapEntry(NamedTuple):
    """Entry of a workspace's heap: by priority, then by order of arrival."""

    rank: int
    number: int
    arrival: Arrival


@final
class FairQueue:
    """Deficit round robin over workspaces (Shreedhar and Varghese, 1995).

    Priorities order the requests within one workspace only; they give it no
    advantage over other workspaces.

    :ivar body_bytes: total body size of the waiting requests.
    :ivar exclusive_count: waiting requests that have to run exclusively.
    """

    def __init__(self) -> None:
        self.heaps: dict[str, list[HeapEntry]] = {}
        self.deficits: dict[str, float] = {}
        self.sequence_numbers = count()
        self.body_bytes = 0
        self.size = 0
        self.exclusive_count = 0

    def push(self, arrival: Arrival) -> None:
        heap = self.heaps.setdefault(arrival.workspace, [])
        self.deficits.setdefault(arrival.workspace, 0)
        heappush(
            heap,
            HeapEntry(-arrival.priority, next(self.sequence_numbers), arrival),
        )
        self.size += 1
        self.exclusive_count += int(arrival.exclusive)
        self.body_bytes += arrival.body_bytes

    def pop(self) -> Arrival:
        """Remove and return the next request in round-robin order."""
        while True:
            workspace = next(iter(self.heaps))
            heap = self.heaps[workspace]
            cost = heap[0].arrival.cost
            if self.deficits[workspace] >= cost:
                self.deficits[workspace] -= cost
                arrival = heappop(heap).arrival
                self._record_removal(arrival)
                return arrival
            self.deficits[workspace] += QUANTUM
            self.heaps[workspace] = self.heaps.pop(workspace)

    def drop(self, arrival: Arrival) -> None:
        kept = [
            entry
            for entry in self.heaps[arrival.workspace]
            if entry.arrival is not arrival
        ]
        heapify(kept)
        self.heaps[arrival.workspace] = kept
        self._record_removal(arrival)

    def find_last(self, workspace: str) -> Arrival:
        """Return the request of a workspace that would run last."""
        return max(self.heaps[workspace]).arrival

    def find_exclusive(self) -> Arrival | None:
        """Return a request that has to run exclusively, if one waits."""
        if not self.exclusive_count:
            return None
        return next(arrival for arrival in self.waiting() if arrival.exclusive)

    def waiting(self) -> list[Arrival]:
        return [entry.arrival for heap in self.heaps.values() for entry in heap]

    def _record_removal(self, arrival: Arrival) -> None:
        self.size -= 1
        self.exclusive_count -= int(arrival.exclusive)
        self.body_bytes -= arrival.body_bytes
        if not self.heaps[arrival.workspace]:
            del self.heaps[arrival.workspace]
            del self.deficits[arrival.workspace]
