"""Membership by gossip: who is there and what each instance tells."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import final

from bramleylug.wire.membership_pb2 import (
    GOSSIP_KIND_ACK,
    GOSSIP_KIND_PING,
    MEMBER_STATE_ALIVE,
    MEMBER_STATE_DEAD,
    MEMBER_STATE_LEFT,
    MEMBER_STATE_SUSPECT,
    Gossip,
    Member,
)

PROBE_INTERVAL_S = 0.5
DEAD_AFTER_S = 5.0
RECORDS_PER_MESSAGE = 8
SMALL_FLEET = 16
GONE_STATES = frozenset((MEMBER_STATE_LEFT, MEMBER_STATE_DEAD))


@final
@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a gossip address."""

    address: str
    message: Gossip


@final
@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The view of the members differs from before."""


@final
@dataclass(frozen=True, slots=True)
class RevisionSeen:
    """A member has a configuration revision in force."""

    revision: int
    member: str


GossipAction = Send | MembersChanged | RevisionSeen


@final
class Membership:
    """View of all members, fed with messages and the time.

    :param own: record of this instance; its owner alone changes it.
    :param random: chooses whom to probe.
    :ivar members: every known member by name, this one included.
    """

    def __init__(self, own: Member, random: Random) -> None:
        self.own = own
        self.random = random
        self.members: dict[str, Member] = {own.name: own}
        self.heard_s: dict[str, float] = {}
        self.seeds: tuple[str, ...] = ()
        self.next_probe_s = 0.0
        self.sequence = 0

    def update_own(self, edit: Callable[[Member], None]) -> None:
        """Change the own record, so that the change spreads."""
        edited = Member()
        edited.CopyFrom(self.own)
        edit(edited)
        if edited != self.own:
            edited.sequence += 1
            self.own = edited
            self.members[edited.name] = edited

    def alive(self) -> tuple[Member, ...]:
        """Return the members that are not known to be gone."""
        return tuple(
            member
            for member in self.members.values()
            if member.state not in GONE_STATES
        )

    def tick(self, now_s: float) -> list[GossipAction]:
        """Return what is due; call it several times a second."""
        actions = self._expire(now_s)
        if now_s < self.next_probe_s:
            return actions
        self.next_probe_s = now_s + PROBE_INTERVAL_S
        address = self._probe_address()
        if address is not None:
            actions.append(Send(address, self._message(GOSSIP_KIND_PING)))
        return actions

    def receive(self, message: Gossip, now_s: float) -> list[GossipAction]:
        """Take in a message that was checked to be authentic."""
        actions: list[GossipAction] = []
        changed = False
        for record in message.members:
            changed = self._merge(record, now_s) or changed
        if changed:
            actions.append(MembersChanged())
        if message.revision > self.own.revision:
            actions.append(RevisionSeen(message.revision, message.sender))
        sender = self.members.get(message.sender)
        if sender is not None:
            self.heard_s[sender.name] = now_s
            if message.kind == GOSSIP_KIND_PING:
                answer = self._message(GOSSIP_KIND_ACK)
                actions.append(Send(sender.gossip_address, answer))
        return actions

    def leave(self) -> list[GossipAction]:
        """Tell some members that this instance leaves."""
        self.update_own(_mark_left)
        others = [member for member in self.alive() if not self._is_own(member)]
        self.random.shuffle(others)
        return [
            Send(member.gossip_address, self._message(GOSSIP_KIND_PING))
            for member in others[:RECORDS_PER_MESSAGE]
        ]

    def _is_own(self, member: Member) -> bool:
        return member.name == self.own.name

    def _probe_address(self) -> str | None:
        addresses = [
            member.gossip_address
            for member in self.alive()
            if not self._is_own(member)
        ]
        known = set(addresses)
        addresses.extend(
            seed
            for seed in self.seeds
            if seed not in known and seed != self.own.gossip_address
        )
        return self.random.choice(addresses) if addresses else None

    def _message(self, kind: int) -> Gossip:
        self.sequence += 1
        others = [
            member
            for member in self.members.values()
            if not self._is_own(member)
        ]
        count = min(len(others), RECORDS_PER_MESSAGE)
        return Gossip(
            kind=kind,  # type: ignore[arg-type]
            sequence=self.sequence,
            sender=self.own.name,
            sender_incarnation=self.own.incarnation,
            revision=self.own.revision,
            members=[self.own, *self.random.sample(others, count)],
        )

    def _merge(self, record: Member, now_s: float) -> bool:
        if record.name == self.own.name:
            return self._refute(record)
        known = self.members.get(record.name)
        if known is not None and _age(record) <= _age(known):
            return False
        self.members[record.name] = record
        self.heard_s[record.name] = now_s
        return True

    def _refute(self, record: Member) -> bool:
        if record.incarnation > self.own.incarnation or (
            record.incarnation == self.own.incarnation
            and record.state == MEMBER_STATE_DEAD
        ):
            self.own.incarnation = record.incarnation + 1
        return False

    def _expire(self, now_s: float) -> list[GossipAction]:
        changed = False
        for member in self.alive():
            if self._is_own(member):
                continue
            silent_s = now_s - self.heard_s.setdefault(member.name, now_s)
            if silent_s > DEAD_AFTER_S * max(
                1, len(self.members) / SMALL_FLEET
            ):
                dead = Member()
                dead.CopyFrom(member)
                dead.state = MEMBER_STATE_DEAD
                self.members[member.name] = dead
                changed = True
        return [MembersChanged()] if changed else []


def _age(member: Member) -> tuple[int, int, int]:
    severity = {
        MEMBER_STATE_ALIVE: 0,
        MEMBER_STATE_SUSPECT: 1,
        MEMBER_STATE_LEFT: 2,
        MEMBER_STATE_DEAD: 3,
    }
    return member.incarnation, member.sequence, severity[member.state]


def _mark_left(member: Member) -> None:
    member.state = MEMBER_STATE_LEFT
    member.draining = True
