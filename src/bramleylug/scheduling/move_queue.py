"""Requests at silent upstreams that wait for a slot of another one."""

from collections.abc import Callable
from heapq import nsmallest
from itertools import count
from typing import NamedTuple, final


class Move(NamedTuple):
    """A request that waits for a slot.

    :ivar failed: how often it could not use a free slot.
    :ivar since_s: since when it waits for its upstream.
    :ivar take_slot: takes a free slot now; returns whether the request could
        use it.
    """

    failed: int
    since_s: float
    token: int
    take_slot: Callable[[], bool]


@final
class MoveQueue:
    """Waiting requests of one service.

    The one that has waited longest for its upstream goes first, as its caller
    leaves first, and all of them go before new requests.

    :ivar waiting: the requests by token.
    """

    def __init__(self) -> None:
        self.waiting: dict[int, Move] = {}
        self.tokens = count()

    @property
    def size(self) -> int:
        """Number of waiting requests."""
        return len(self.waiting)

    def push(
        self, since_s: float, take_slot: Callable[[], bool]
    ) -> Callable[[], None]:
        """Add a request; return what removes it again."""
        token = next(self.tokens)
        self.waiting[token] = Move(0, since_s, token, take_slot)

        def remove() -> None:
            self.waiting.pop(token, None)

        return remove

    def offer(self, slots: int) -> int:
        """Offer free slots to as many requests.

        One that cannot use any goes behind the others from then on.

        :returns: how many slots were taken.
        """
        taken = 0
        for move in nsmallest(slots, self.waiting.values()):
            if self.waiting.pop(move.token, None) is None:
                continue
            if move.take_slot():
                taken += 1
            else:
                self.waiting[move.token] = move._replace(failed=move.failed + 1)
        return taken
