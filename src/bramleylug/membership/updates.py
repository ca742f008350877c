"""News that a member passes on a bounded number of times."""

import math
from heapq import nsmallest
from typing import final

from bramleylug.wire.membership_pb2 import Member

SPREAD_FACTOR = 0.5
LEAST_TRANSMISSIONS = 3
URGENT_FACTOR = 3
NAMES_PER_MESSAGE = 32


def transmission_limit(members: int) -> int:
    """Return how often one member passes a piece of news on."""
    return max(
        LEAST_TRANSMISSIONS, math.ceil(SPREAD_FACTOR * math.log2(members + 1))
    )


@final
class UpdateQueue:
    """Names whose records are news, with how often each was sent.

    :ivar urgent: names that are passed on at once and before others.
    """

    def __init__(self) -> None:
        self.sent: dict[str, int] = {}
        self.urgent: set[str] = set()

    def add(self, name: str, *, urgent: bool = False) -> None:
        """Pass the record of a name on, from the start again."""
        self.sent[name] = 0
        if urgent:
            self.urgent.add(name)

    def discard(self, name: str) -> None:
        """Pass a name on no more."""
        self.sent.pop(name, None)
        self.urgent.discard(name)

    def heard_again(self, name: str, limit: int) -> None:
        """Count that another member passed the same record on."""
        if name in self.sent:
            self._count(name, limit)

    def take(
        self, members: dict[str, Member], budget_bytes: int, limit: int
    ) -> list[Member]:
        """Return records for one message and count them as sent.

        :param limit: transmissions after which a name is dropped.
        """
        chosen: list[Member] = []
        left = budget_bytes
        for name in self._order():
            record = members.get(name)
            size = 0 if record is None else record.ByteSize()
            if size > left:
                break
            left -= size
            self._count(name, limit)
            if record is not None:
                chosen.append(record)
        return chosen

    def _order(self) -> list[str]:
        urgent = self.urgent
        return nsmallest(
            NAMES_PER_MESSAGE,
            self.sent,
            key=lambda name: (name not in urgent, self.sent[name]),
        )

    def _count(self, name: str, limit: int) -> None:
        self.sent[name] += 1
        if name in self.urgent:
            limit *= URGENT_FACTOR
        if self.sent[name] >= limit:
            self.discard(name)
