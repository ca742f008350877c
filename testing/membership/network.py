"""Datagrams between members in virtual time, with loss, cuts and pauses."""

from collections.abc import Collection
from heapq import heappop, heappush
from itertools import count
from random import Random

from bramleylug.membership.actions import RevisionSeen, Send
from bramleylug.membership.gossip import Membership
from bramleylug.membership.records import is_gone
from bramleylug.wire.membership_pb2 import Gossip, Member
from testing.builders import build_member

LATENCY_S = 0.002
TICK_S = 0.1


class Network:
    """Members whose messages are delivered in virtual time.

    :ivar loss: share of the messages that get lost.
    :ivar cut: addresses that hear only one another.
    :ivar paused: addresses whose process does not run.
    """

    def __init__(self, names: Collection[str] = (), seed: int = 1) -> None:
        self.random = Random(seed)
        self.now_s = 0.0
        self.loss = 0.0
        self.cut: Collection[str] = ()
        self.paused: set[str] = set()
        self.members: dict[str, Membership] = {}
        self.queue: list[tuple[float, int, str, Gossip]] = []
        self.numbers = count()
        for name in names:
            self.add(build_member(name))

    def add(self, own: Member) -> Membership:
        """Start a member whose seed is the first one."""
        seed = next(iter(self.members), own.gossip_address)
        member = Membership(own, Random(own.name), lambda: self.now_s)
        member.seeds = (seed,)
        self.members[own.gossip_address] = member
        return member

    def get(self, name: str) -> Membership:
        """Return a member by its name."""
        return self.members[f'{name}:1']

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += TICK_S
            self._deliver()
            for address, member in self.members.items():
                if address not in self.paused:
                    self._act(address, member, member.tick(self.now_s))

    def views(self) -> list[set[str]]:
        """Return who each running member holds to be there."""
        return [
            {record.name for record in member.alive()}
            for address, member in self.members.items()
            if address not in self.paused
        ]

    def held_gone(self, name: str) -> int:
        """Return how many members hold one to be gone."""
        return sum(
            name in member.members and is_gone(member.members[name])
            for member in self.members.values()
        )

    def deliver(self, address: str, message: Gossip) -> None:
        """Hand one message to a member at once."""
        member = self.members[address]
        self._act(address, member, member.receive(message, self.now_s))

    def _deliver(self) -> None:
        while self.queue and self.queue[0][0] <= self.now_s:
            _, _, address, message = heappop(self.queue)
            if address in self.members and address not in self.paused:
                self.deliver(address, message)

    def _act(
        self, address: str, member: Membership, actions: list[object]
    ) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(address, action)
            elif isinstance(action, RevisionSeen):
                member.set_revision(action.revision)

    def _send(self, sender: str, action: Send) -> None:
        apart = (sender in self.cut) != (action.address in self.cut)
        if apart or self.random.random() < self.loss:
            return
        heappush(
            self.queue,
            (
                self.now_s + LATENCY_S,
                next(self.numbers),
                action.address,
                action.message,
            ),
        )
