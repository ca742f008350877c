"""Membership by gossip, after SWIM: who is there and what each one tells.

Each member probes one other a second, asks a few more to probe it when no
answer comes, suspects it when theirs fail too, and gives it time to refute.
News rides on these messages a bounded number of times; digests of the whole
view, exchanged now and then, mend what got lost.
"""

import time
from collections import Counter
from collections.abc import Callable, Mapping
from random import Random
from typing import final

from bramleylug.membership.actions import (
    GossipAction,
    MembersChanged,
    RevisionSeen,
    Send,
)
from bramleylug.membership.messages import Composer
from bramleylug.membership.probes import FailureDetector
from bramleylug.membership.reconciliation import Reconciler
from bramleylug.membership.records import is_sound, with_state
from bramleylug.membership.suspects import CrashSuspects
from bramleylug.membership.view import MembershipView
from bramleylug.wire.membership_pb2 import (
    GOSSIP_KIND_ACK,
    GOSSIP_KIND_DIGEST,
    GOSSIP_KIND_PING,
    GOSSIP_KIND_PING_REQUEST,
    GOSSIP_KIND_RUMOR,
    GOSSIP_KIND_SYNC,
    MEMBER_STATE_DEAD,
    MEMBER_STATE_LEFT,
    Gossip,
    Member,
)

RUMOR_FANOUT = 4
RUMOR_INTERVAL_S = 0.5
RUMOR_ROUNDS = 2
WARNING_ROUNDS = 2
BACKLOG_NAMES = 8
BACKLOG_FANOUT = 2
SEED_INTERVAL_S = 5.0
LONELY_INTERVAL_S = 1.0
SEEDS_AT_ONCE = 3
LEAVE_FANOUT = 8
PAUSE_S = 3.0
REPLAYED = 'replayed'


@final
class Membership:
    """One instance of the protocol, fed with messages and the time.

    :param own: record of this instance; its owner alone changes it.
    :param random: chooses whom to probe and whom to tell.
    :param wall: seconds since the epoch.
    :ivar seeds: addresses that are asked while they are not known members.
    :ivar dropped: messages that were not taken in, by cause.
    :ivar highest_revision: highest configuration revision heard of.
    """

    def __init__(
        self,
        own: Member,
        random: Random,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.view = MembershipView(own)
        self.random = random
        self.wall = wall
        self.suspects = CrashSuspects()
        self.composer = Composer(self.view, self.suspects, random)
        self.detector = FailureDetector(self.composer)
        self.reconciler = Reconciler(self.composer)
        self.dropped: Counter[str] = Counter()
        self.seeds: tuple[str, ...] = ()
        self.highest_revision = 0
        self.ticked_s: float | None = None
        self.seed_s = 0.0
        self.rumor_s = 0.0
        self.rumor_rounds = 0
        self.revision_s = 0.0
        self.revision_rounds = 0

    @property
    def own(self) -> Member:
        """Record of this instance."""
        return self.view.own

    @property
    def members(self) -> Mapping[str, Member]:
        """Every known member by name, those that are gone included."""
        return self.view.members

    def alive(self) -> tuple[Member, ...]:
        """Return the members that are not known to be gone."""
        return self.view.alive()

    def update_own(self, edit: Callable[[Member], None], now_s: float) -> None:
        """Change the own record, so that the change spreads."""
        self.view.update_own(edit, now_s)

    def set_revision(self, revision: int) -> None:
        """Tell all members that a configuration revision is in force."""
        if revision > self.composer.revision:
            self.composer.revision = revision
            self.highest_revision = max(self.highest_revision, revision)
            # A hop must not wait for the interval that an earlier one began.
            self.revision_s = 0
            self.revision_rounds = RUMOR_ROUNDS

    def announce(self, *, warning: bool = False) -> None:
        """Tell some members soon, rather than with the next probes.

        :param warning: whether to tell with the next ticks, however fresh
            other news is; a request that crashes upstreams may be sent
            again at any moment.
        """
        self.rumor_rounds = RUMOR_ROUNDS
        if warning:
            self.rumor_s = 0.0
            self.rumor_rounds += WARNING_ROUNDS

    def add_suspect(self, fingerprint: bytes, crash_id: bytes) -> None:
        """Tell all members of a request that crashed an upstream."""
        self.suspects.report(fingerprint, crash_id, self.wall())
        self.announce(warning=True)

    def tick(self, now_s: float) -> list[GossipAction]:
        """Return what is due; call it several times a second."""
        last_s = self.ticked_s
        self.ticked_s = now_s
        if last_s is not None and now_s - last_s > PAUSE_S:
            self.view.postpone(now_s - last_s)
            self.detector.forget_probe()
        if self.view.joined:
            self.reconciler.hurry(now_s)
        self.view.expire(now_s)
        self.suspects.expire(self.wall())
        return [
            *self.detector.tick(now_s),
            *self._tell_revision(now_s),
            *self._spread(now_s),
            *self._ask_seeds(now_s),
            *self.reconciler.tick(now_s),
            *self._report_change(),
        ]

    def receive(self, message: Gossip, now_s: float) -> list[GossipAction]:
        """Take in a message that was checked to be authentic."""
        cause = self._find_fault(message)
        if cause:
            self.dropped[cause] += 1
            return self._correct(message) if cause == REPLAYED else []
        actions: list[GossipAction] = []
        if message.kind != GOSSIP_KIND_SYNC:
            for record in message.members:
                self.view.merge(record, now_s)
        if self.suspects.merge(message.suspects, self.wall()):
            self.announce(warning=True)
        self.view.heard_from(message.sender, now_s)
        self.highest_revision = max(self.highest_revision, message.revision)
        actions.extend(self._answer(message, now_s))
        if message.revision > self.composer.revision:
            actions.append(RevisionSeen(message.revision, message.sender))
        return [*actions, *self._report_change()]

    def leave(self, now_s: float) -> list[GossipAction]:
        """Tell some members that this instance leaves."""
        self.view.update_own(_mark_left, now_s)
        return [
            self.composer.rumor(member)
            for member in self.composer.sample(LEAVE_FANOUT)
        ]

    def _find_fault(self, message: Gossip) -> str:
        if message.sender == self.own.name:
            return 'reflected'
        known = self.members.get(message.sender)
        if known and message.sender_incarnation < known.incarnation:
            return REPLAYED
        return '' if all(map(is_sound, message.members)) else 'malformed'

    def _correct(self, message: Gossip) -> list[GossipAction]:
        """Tell a process that restarted with a clock set back."""
        known = self.members[message.sender]
        if message.kind != GOSSIP_KIND_PING:
            return []
        return [
            Send(
                record.gossip_address,
                self.composer.compose(GOSSIP_KIND_RUMOR, _as_gone(known)),
            )
            for record in message.members
            if record.name == message.sender
        ]

    def _answer(self, message: Gossip, now_s: float) -> list[Send]:
        sender = self.members.get(message.sender)
        if sender is None:
            return []
        match message.kind:
            case kind if kind == GOSSIP_KIND_PING:
                answer = self.composer.compose(GOSSIP_KIND_ACK, sender)
                answer.sequence = message.sequence
                return [Send(sender.gossip_address, answer)]
            case kind if kind == GOSSIP_KIND_ACK:
                return self.detector.acknowledge(message)
            case kind if kind == GOSSIP_KIND_PING_REQUEST:
                return self.detector.probe_for(message, now_s)
        return [
            Send(sender.gossip_address, reply)
            for reply in self._reconcile(message, now_s)
        ]

    def _reconcile(self, message: Gossip, now_s: float) -> list[Gossip]:
        match message.kind:
            case kind if kind == GOSSIP_KIND_DIGEST:
                return self.reconciler.answer(message)
            case kind if kind == GOSSIP_KIND_SYNC:
                return self.reconciler.take(message, now_s)
        return []

    def _tell_revision(self, now_s: float) -> list[Send]:
        """Tell the bare number; what it stands for is pulled."""
        if now_s < self.revision_s or not self.revision_rounds:
            return []
        self.revision_s = now_s + RUMOR_INTERVAL_S
        self.revision_rounds -= 1
        return [
            Send(member.gossip_address, self.composer.bare(GOSSIP_KIND_RUMOR))
            for member in self.composer.sample(RUMOR_FANOUT)
        ]

    def _spread(self, now_s: float) -> list[Send]:
        updates = self.view.updates
        urgent = bool(self.rumor_rounds or updates.urgent)
        backlog = len(updates.sent) > BACKLOG_NAMES
        if now_s < self.rumor_s or not (urgent or backlog):
            return []
        if self.rumor_rounds <= RUMOR_ROUNDS:
            self.rumor_s = now_s + RUMOR_INTERVAL_S
        self.rumor_rounds = max(0, self.rumor_rounds - 1)
        count = RUMOR_FANOUT if urgent else BACKLOG_FANOUT
        return [
            self.composer.rumor(member)
            for member in self.composer.sample(count)
        ]

    def _ask_seeds(self, now_s: float) -> list[Send]:
        if now_s < self.seed_s:
            return []
        lonely = len(self.alive()) == 1
        interval_s = SEED_INTERVAL_S
        count = 1
        if lonely:
            interval_s = LONELY_INTERVAL_S
            count = SEEDS_AT_ONCE
        self.seed_s = now_s + interval_s
        absent = self._absent()
        chosen = self.random.sample(sorted(absent), min(len(absent), count))
        return [
            Send(
                address,
                self.composer.compose(GOSSIP_KIND_PING, absent[address]),
            )
            for address in chosen
        ]

    def _absent(self) -> dict[str, Member | None]:
        """Return addresses that may answer although nobody is known there."""
        present = {member.gossip_address for member in self.alive()}
        absent: dict[str, Member | None] = dict.fromkeys(self.seeds)
        for name in self.view.gone_s:
            member = self.members[name]
            if member.state == MEMBER_STATE_DEAD:
                absent[member.gossip_address] = member
        return {
            address: member
            for address, member in absent.items()
            if address not in present and address != self.own.gossip_address
        }

    def _report_change(self) -> list[MembersChanged]:
        if not self.view.changed:
            return []
        self.view.changed = False
        return [MembersChanged()]


def _as_gone(member: Member) -> Member:
    return with_state(member, MEMBER_STATE_DEAD)


def _mark_left(member: Member) -> None:
    member.state = MEMBER_STATE_LEFT
    member.draining = True
