"""Gossip membership protocol after SWIM.

Each member probes one other member a second. When no acknowledgement comes it
asks a few more members to probe the target; when these fail too it suspects
the target, which has some time to refute. Membership updates are piggybacked
on these messages a bounded number of times. Anti-entropy, the periodic
exchange of digests of the full view, repairs what was lost.
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
from bramleylug.membership.records import is_valid, with_state
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

UPDATE_FANOUT = 4
UPDATE_INTERVAL_S = 0.5
UPDATE_ROUNDS = 2
WARNING_EXTRA_ROUNDS = 2
# With more queued records than this, updates are sent even if none is urgent.
BACKLOG_NAMES = 8
BACKLOG_FANOUT = 2
SEED_INTERVAL_S = 5.0
ALONE_SEED_INTERVAL_S = 1.0
ALONE_SEED_COUNT = 3
LEAVE_FANOUT = 8
# A longer gap between two ticks means that this process was paused.
PAUSE_THRESHOLD_S = 3.0
REPLAYED = 'replayed'


@final
class Membership:
    """Protocol state of one member, without I/O.

    The driver passes in messages and the time and performs the returned
    actions.

    :param own: record of this member; only its owner changes it.
    :param random: selects the members to probe and to send updates to.
    :param wall_clock: returns seconds since the epoch.
    :ivar seeds: addresses to ping while they are not known members.
    :ivar dropped: number of rejected messages by cause.
    :ivar highest_revision: highest configuration revision reported by any
        member.
    """

    def __init__(
        self,
        own: Member,
        random: Random,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.view = MembershipView(own)
        self.random = random
        self.wall_clock = wall_clock
        self.crash_suspects = CrashSuspects()
        self.composer = Composer(self.view, self.crash_suspects, random)
        self.detector = FailureDetector(self.composer)
        self.reconciler = Reconciler(self.composer)
        self.dropped: Counter[str] = Counter()
        self.seeds: tuple[str, ...] = ()
        self.highest_revision = 0
        self.last_tick_s: float | None = None
        self.next_seed_s = 0.0
        self.next_update_s = 0.0
        self.update_rounds = 0
        self.next_revision_s = 0.0
        self.revision_rounds = 0

    @property
    def own(self) -> Member:
        """Record of this member."""
        return self.view.own

    @property
    def members(self) -> Mapping[str, Member]:
        """Every known member by name, including those left or dead."""
        return self.view.members

    def alive(self) -> tuple[Member, ...]:
        return self.view.alive()

    def update_own(self, edit: Callable[[Member], None], now_s: float) -> None:
        """Edit the own record and spread the change."""
        self.view.update_own(edit, now_s)

    def set_revision(self, revision: int) -> None:
        """Announce to all members that a configuration revision is in force."""
        if revision > self.composer.revision:
            self.composer.revision = revision
            self.highest_revision = max(self.highest_revision, revision)
            # A new revision is forwarded at once, even if the interval after
            # an earlier announcement has not passed.
            self.next_revision_s = 0
            self.revision_rounds = UPDATE_ROUNDS

    def announce(self, *, warning: bool = False) -> None:
        """Send updates to some members soon, before the next probes.

        :param warning: whether to send with the next ticks, even if updates
            were sent just before; a request that crashes upstreams may be
            retried at any moment.
        """
        self.update_rounds = UPDATE_ROUNDS
        if warning:
            self.next_update_s = 0.0
            self.update_rounds += WARNING_EXTRA_ROUNDS

    def add_suspect(self, fingerprint: bytes, crash_id: bytes) -> None:
        """Announce to all members a request that crashed an upstream."""
        self.crash_suspects.add(fingerprint, crash_id, self.wall_clock())
        self.announce(warning=True)

    def tick(self, now_s: float) -> list[GossipAction]:
        """Return the actions that are due; call several times a second."""
        last_s = self.last_tick_s
        self.last_tick_s = now_s
        if last_s is not None and now_s - last_s > PAUSE_THRESHOLD_S:
            self.view.postpone_suspicions(now_s - last_s)
            self.detector.cancel_probe()
        if self.view.joined:
            self.reconciler.expedite(now_s)
        self.view.expire(now_s)
        self.crash_suspects.expire(self.wall_clock())
        return [
            *self.detector.tick(now_s),
            *self._announce_revision(now_s),
            *self._send_updates(now_s),
            *self._ping_seeds(now_s),
            *self.reconciler.tick(now_s),
            *self._report_change(),
        ]

    def receive(self, message: Gossip, now_s: float) -> list[GossipAction]:
        """Handle a message whose authenticity was verified."""
        cause = self._rejection_cause(message)
        if cause:
            self.dropped[cause] += 1
            return self._correct_sender(message) if cause == REPLAYED else []
        actions: list[GossipAction] = []
        if message.kind != GOSSIP_KIND_SYNC:
            for record in message.members:
                self.view.merge(record, now_s)
        if self.crash_suspects.merge(message.suspects, self.wall_clock()):
            self.announce(warning=True)
        self.view.extend_suspicion(message.sender, now_s)
        self.highest_revision = max(self.highest_revision, message.revision)
        actions.extend(self._reply(message, now_s))
        if message.revision > self.composer.revision:
            actions.append(RevisionSeen(message.revision, message.sender))
        return [*actions, *self._report_change()]

    def leave(self, now_s: float) -> list[GossipAction]:
        """Mark this member as left and announce that to some members."""
        self.view.update_own(_mark_left, now_s)
        return [
            self.composer.compose_update(member)
            for member in self.composer.sample(LEAVE_FANOUT)
        ]

    def _rejection_cause(self, message: Gossip) -> str:
        if message.sender == self.own.name:
            return 'reflected'
        known = self.members.get(message.sender)
        if known and message.sender_incarnation < known.incarnation:
            return REPLAYED
        return '' if all(map(is_valid, message.members)) else 'malformed'

    def _correct_sender(self, message: Gossip) -> list[GossipAction]:
        """Reply to a sender with an outdated incarnation.

        A process that restarted with its clock set back thereby learns that
        it has to take a higher incarnation.
        """
        known = self.members[message.sender]
        if message.kind != GOSSIP_KIND_PING:
            return []
        return [
            Send(
                record.gossip_address,
                self.composer.compose(GOSSIP_KIND_RUMOR, _as_dead(known)),
            )
            for record in message.members
            if record.name == message.sender
        ]

    def _reply(self, message: Gossip, now_s: float) -> list[Send]:
        sender = self.members.get(message.sender)
        if sender is None:
            return []
        match message.kind:
            case kind if kind == GOSSIP_KIND_PING:
                ack = self.composer.compose(GOSSIP_KIND_ACK, sender)
                ack.sequence = message.sequence
                return [Send(sender.gossip_address, ack)]
            case kind if kind == GOSSIP_KIND_ACK:
                return self.detector.handle_ack(message)
            case kind if kind == GOSSIP_KIND_PING_REQUEST:
                return self.detector.handle_ping_request(message, now_s)
        return [
            Send(sender.gossip_address, reply)
            for reply in self._reconcile(message, now_s)
        ]

    def _reconcile(self, message: Gossip, now_s: float) -> list[Gossip]:
        match message.kind:
            case kind if kind == GOSSIP_KIND_DIGEST:
                return self.reconciler.answer_digest(message)
            case kind if kind == GOSSIP_KIND_SYNC:
                return self.reconciler.handle_sync(message, now_s)
        return []

    def _announce_revision(self, now_s: float) -> list[Send]:
        """Announce the revision number alone; members pull the document."""
        if now_s < self.next_revision_s or not self.revision_rounds:
            return []
        self.next_revision_s = now_s + UPDATE_INTERVAL_S
        self.revision_rounds -= 1
        return [
            Send(
                member.gossip_address,
                self.composer.compose_empty(GOSSIP_KIND_RUMOR),
            )
            for member in self.composer.sample(UPDATE_FANOUT)
        ]

    def _send_updates(self, now_s: float) -> list[Send]:
        updates = self.view.updates
        urgent = bool(self.update_rounds or updates.urgent)
        backlog = len(updates.transmissions) > BACKLOG_NAMES
        if now_s < self.next_update_s or not (urgent or backlog):
            return []
        if self.update_rounds <= UPDATE_ROUNDS:
            self.next_update_s = now_s + UPDATE_INTERVAL_S
        self.update_rounds = max(0, self.update_rounds - 1)
        count = UPDATE_FANOUT if urgent else BACKLOG_FANOUT
        return [
            self.composer.compose_update(member)
            for member in self.composer.sample(count)
        ]

    def _ping_seeds(self, now_s: float) -> list[Send]:
        if now_s < self.next_seed_s:
            return []
        alone = len(self.alive()) == 1
        interval_s = SEED_INTERVAL_S
        count = 1
        if alone:
            interval_s = ALONE_SEED_INTERVAL_S
            count = ALONE_SEED_COUNT
        self.next_seed_s = now_s + interval_s
        absent = self._addresses_to_ping()
        chosen = self.random.sample(sorted(absent), min(len(absent), count))
        return [
            Send(
                address,
                self.composer.compose(GOSSIP_KIND_PING, absent[address]),
            )
            for address in chosen
        ]

    def _addresses_to_ping(self) -> dict[str, Member | None]:
        """Return addresses without a known alive member: seeds and the dead."""
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


def _as_dead(member: Member) -> Member:
    return with_state(member, MEMBER_STATE_DEAD)


def _mark_left(member: Member) -> None:
    member.state = MEMBER_STATE_LEFT
    member.draining = True
