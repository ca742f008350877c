"""Simulated network between membership objects in virtual time."""

from collections.abc import Collection, Iterable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from bramleylug.membership.actions import GossipAction, RevisionSeen, Send
from bramleylug.membership.gossip import Membership
from bramleylug.wire.membership_pb2 import Gossip, Member

LATENCY_S = 0.002
TICK_S = 0.1


class Delivery(NamedTuple):
    """A message in transit, ordered by its arrival time.

    :ivar sequence: orders messages that arrive at the same time.
    """

    at_s: float
    sequence: int
    address: str
    message: Gossip


class VirtualNetwork:
    """Delivers messages with loss, a network partition and paused members.

    :ivar loss: share of the messages that are lost.
    :ivar partition: addresses on one side of a network partition.
    :ivar paused: addresses of members that do not run.
    :ivar pull_s: time a member needs to pull a revision that it learned of.
    :ivar pending_pulls: heap of (completion time, address, revision).
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now_s = 0.0
        self.loss = 0.0
        self.pull_s = 0.0
        self.partition: Collection[str] = ()
        self.paused: set[str] = set()
        self.members: dict[str, Membership] = {}
        self.queue: list[Delivery] = []
        self.pending_pulls: list[tuple[float, str, int]] = []
        self.sequence_numbers = count()

    def add(self, own: Member) -> Membership:
        """Add a member; its seed is the first member."""
        seed = next(iter(self.members), own.gossip_address)
        member = Membership(own, Random(own.name), self.clock)
        member.seeds = (seed,)
        self.members[own.gossip_address] = member
        return member

    def clock(self) -> float:
        return self.now_s

    def run(self, duration_s: float) -> None:
        """Advance the time in steps of ``TICK_S``."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.step()

    def step(self) -> None:
        """Advance by one tick: deliver messages, then run every member."""
        self.now_s += TICK_S
        while self.queue and self.queue[0].at_s <= self.now_s:
            delivery = heappop(self.queue)
            if delivery.address not in self.paused:
                self.deliver(delivery.address, delivery.message)
        while self.pending_pulls and self.pending_pulls[0][0] <= self.now_s:
            _, address, revision = heappop(self.pending_pulls)
            self.members[address].set_revision(revision)
        for address in self.members:
            if address not in self.paused:
                self.tick(address)

    def tick(self, address: str) -> None:
        """Run one member's timers."""
        self.execute(address, self.members[address].tick(self.now_s))

    def deliver(self, address: str, message: Gossip) -> None:
        """Deliver a message to a member immediately."""
        member = self.members.get(address)
        if member is not None:
            self.execute(address, member.receive(message, self.now_s))

    def execute(self, address: str, actions: Iterable[GossipAction]) -> None:
        """Execute the actions that a member returned."""
        for action in actions:
            match action:
                case Send():
                    self.send(address, action)
                case RevisionSeen(revision, _):
                    due_s = self.now_s + self.pull_s
                    heappush(self.pending_pulls, (due_s, address, revision))

    def send(self, sender: str, action: Send) -> None:
        """Queue a message unless it is lost or crosses the partition."""
        crosses_partition = (sender in self.partition) != (
            action.address in self.partition
        )
        if crosses_partition or self.random.random() < self.loss:
            return
        heappush(
            self.queue,
            Delivery(
                self.now_s + LATENCY_S,
                next(self.sequence_numbers),
                action.address,
                action.message,
            ),
        )
