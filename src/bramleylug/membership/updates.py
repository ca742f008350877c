"""Queue of membership updates, each sent a bounded number of times."""

import math
from heapq import nsmallest
from typing import final

from bramleylug.wire.membership_pb2 import Member

TRANSMISSION_FACTOR = 0.5
MIN_TRANSMISSIONS = 3
# Urgent updates are sent this many times as often.
URGENT_FACTOR = 3
NAMES_PER_MESSAGE = 32


def transmission_limit(members: int) -> int:
    """Return how often one member sends the same update."""
    return max(
        MIN_TRANSMISSIONS,
        math.ceil(TRANSMISSION_FACTOR * math.log2(members + 1)),
    )


@final
class UpdateQueue:
    """Names of members whose records are to be sent.

    :ivar transmissions: how often the record of each name was sent.
    :ivar urgent: names whose records are sent at once and before others.
    """

    def __init__(self) -> None:
        self.transmissions: dict[str, int] = {}
        self.urgent: set[str] = set()

    def add(self, name: str, *, urgent: bool = False) -> None:
        """Enqueue the record of a member, with its count reset."""
        self.transmissions[name] = 0
        if urgent:
            self.urgent.add(name)

    def discard(self, name: str) -> None:
        self.transmissions.pop(name, None)
        self.urgent.discard(name)

    def count_duplicate(self, name: str, limit: int) -> None:
        """Count the same record received from another member as sent."""
        if name in self.transmissions:
            self._count(name, limit)

    def next_records(
        self, members: dict[str, Member], budget_bytes: int, limit: int
    ) -> list[Member]:
        """Return records for one message and count them as sent.

        :param limit: transmissions after which a name is removed.
        """
        records: list[Member] = []
        remaining_bytes = budget_bytes
        for name in self._order():
            record = members.get(name)
            size = 0 if record is None else record.ByteSize()
            if size > remaining_bytes:
                break
            remaining_bytes -= size
            self._count(name, limit)
            if record is not None:
                records.append(record)
        return records

    def _order(self) -> list[str]:
        urgent = self.urgent
        return nsmallest(
            NAMES_PER_MESSAGE,
            self.transmissions,
            key=lambda name: (name not in urgent, self.transmissions[name]),
        )

    def _count(self, name: str, limit: int) -> None:
        self.transmissions[name] += 1
        if name in self.urgent:
            limit *= URGENT_FACTOR
        if self.transmissions[name] >= limit:
            self.discard(name)
