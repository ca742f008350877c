"""View of all members: records, suspicions and departures."""

import math
from collections.abc import Callable, Mapping
from typing import final

from bramleylug.membership.periods import PROBE_INTERVAL_S
from bramleylug.membership.records import (
    SEVERITY,
    Summary,
    copy_record,
    is_gone,
    merge_records,
    with_state,
)
from bramleylug.membership.updates import UpdateQueue, transmission_limit
from bramleylug.wire.membership_pb2 import (
    MEMBER_STATE_ALIVE,
    MEMBER_STATE_DEAD,
    MEMBER_STATE_LEFT,
    MEMBER_STATE_SUSPECT,
    Member,
)

LEAST_SUSPICION_S = 3.0
SUSPICION_FACTOR = 1.25
REMINDER_SHARE = 0.5
CONFIRMED_SHARE = 0.5
DEPARTED_KEEP_S = 600.0
DEAD_KEEP_S = 10800.0
COARSE_LEAST_S = 2.0
COARSE_PER_MEMBER_S = 0.02


@final
class MembershipView:
    """Every known member by name, this one included.

    :param keep: returns the record to store for one that was heard; a copy
        does not hold on to the message it came in.
    :ivar listed: the platform's lagging host list, names to whether the
        host leaves. It shortens a suspicion and never starts one.
    :ivar changed: whether members came, went or changed since last asked.
    """

    def __init__(
        self, own: Member, keep: Callable[[Member], Member] = copy_record
    ) -> None:
        self.own = own
        self.keep = keep
        self.members: dict[str, Member] = {}
        self.summary = Summary()
        self.updates = UpdateQueue()
        self.suspicions: dict[str, float] = {}
        self.reminded: set[str] = set()
        self.gone_s: dict[str, float] = {}
        self.joined: list[str] = []
        self.listed: Mapping[str, bool] = {}
        self.changed = False
        self.published_s = -math.inf
        self.present: tuple[Member, ...] | None = None
        self._put(own, 0)

    def alive(self) -> tuple[Member, ...]:
        """Return the members that are not known to be gone."""
        if self.present is None:
            self.present = tuple(
                member
                for member in self.members.values()
                if not is_gone(member)
            )
        return self.present

    def suspicion_s(self) -> float:
        """Return the time a suspect has for its refutation."""
        rounds = math.log2(len(self.alive()) + 1)
        suspicion_s = SUSPICION_FACTOR * rounds * PROBE_INTERVAL_S
        return max(LEAST_SUSPICION_S, suspicion_s)

    def merge(
        self, heard: Member, now_s: float, *, synced: bool = False
    ) -> bool:
        """Take in a record.

        :param synced: whether it comes from another's whole view. There a
            death is old news, which the member may refute first.
        :returns: whether it was news.
        """
        if heard.name == self.own.name:
            self._refute(heard)
            return False
        known = self.members.get(heard.name)
        if synced and heard.state == MEMBER_STATE_DEAD:
            heard = with_state(heard, MEMBER_STATE_SUSPECT)
        if known is None:
            return self._add(heard, now_s, synced=synced)
        merged = merge_records(known, heard)
        if merged is known:
            self._hear_old(known, heard)
            return False
        if merged is heard:
            merged = self.keep(heard)
        urgent = _is_urgent(known, merged)
        if urgent or not synced:
            self.updates.add(merged.name, urgent=urgent)
        self._put(merged, now_s)
        return True

    def suspect(self, name: str, now_s: float) -> None:
        """Suspect a member that did not answer."""
        member = self.members.get(name)
        if member is not None and member.state == MEMBER_STATE_ALIVE:
            self.updates.add(name, urgent=True)
            self._put(with_state(member, MEMBER_STATE_SUSPECT), now_s)

    def expire(self, now_s: float) -> None:
        """Give up suspects that did not refute, forget the long gone."""
        for name, since_s in list(self.suspicions.items()):
            allowed_s = self.suspicion_s()
            if self._has_departed(name):
                allowed_s *= CONFIRMED_SHARE
            if now_s - since_s >= allowed_s:
                dead = with_state(self.members[name], MEMBER_STATE_DEAD)
                self.updates.add(name, urgent=True)
                self._put(dead, now_s)
            elif now_s - since_s >= allowed_s * REMINDER_SHARE:
                self._remind(name)
        for name, since_s in list(self.gone_s.items()):
            if now_s - since_s >= self._keep_s(name):
                self._forget(name)

    def heard_from(self, name: str, now_s: float) -> None:
        """Give a suspect that was heard itself its whole time again."""
        if self.suspicions.get(name) is not None:
            self.suspicions[name] = now_s

    def postpone(self, pause_s: float) -> None:
        """Give suspects the time that this process did not run."""
        for name in self.suspicions:
            self.suspicions[name] += pause_s

    def update_own(self, edit: Callable[[Member], None], now_s: float) -> None:
        """Change the own record, so that the change spreads.

        Limits and progress alone are told at most every few seconds, and
        the more seldom the more members there are.
        """
        edited = copy_record(self.own)
        edit(edited)
        if edited == self.own:
            return
        pause_s = max(COARSE_LEAST_S, len(self.members) * COARSE_PER_MEMBER_S)
        coarse = _without_figures(edited) == _without_figures(self.own)
        if coarse and now_s - self.published_s < pause_s:
            return
        self.published_s = now_s
        edited.sequence += 1
        urgent = _is_urgent(self.own, edited)
        self._put(edited, now_s)
        self.updates.add(edited.name, urgent=urgent)

    def _hear_old(self, known: Member, heard: Member) -> None:
        if heard == known:
            limit = transmission_limit(len(self.members))
            self.updates.heard_again(known.name, limit)
        elif heard.state != known.state and heard.state != MEMBER_STATE_ALIVE:
            # The sender missed the refutation: the answer shall carry it.
            self.updates.add(known.name)

    def _remind(self, name: str) -> None:
        """Pass a suspicion on once more; who knows better answers."""
        if name not in self.reminded:
            self.reminded.add(name)
            self.updates.add(name)

    def _add(self, heard: Member, now_s: float, *, synced: bool) -> bool:
        if is_gone(heard):
            return False
        if not synced:
            self.updates.add(heard.name)
        self.joined.append(heard.name)
        self._put(self.keep(heard), now_s)
        return True

    def _refute(self, heard: Member) -> None:
        own = self.own
        graver = SEVERITY[heard.state] > SEVERITY[own.state]
        if heard.incarnation > own.incarnation or (
            graver and heard.incarnation == own.incarnation
        ):
            refuted = copy_record(own)
            refuted.incarnation = heard.incarnation + 1
            refuted.sequence += 1
            self._put(refuted, 0)
            self.updates.add(own.name, urgent=True)

    def _put(self, record: Member, now_s: float) -> None:
        name = record.name
        self.summary.replace(self.members.get(name), record)
        self.members[name] = record
        if name == self.own.name:
            self.own = record
        if record.state == MEMBER_STATE_SUSPECT:
            self.suspicions.setdefault(name, now_s)
        else:
            self.suspicions.pop(name, None)
            self.reminded.discard(name)
        if is_gone(record):
            self.gone_s.setdefault(name, now_s)
        else:
            self.gone_s.pop(name, None)
        self._note_change()

    def _forget(self, name: str) -> None:
        self.gone_s.pop(name)
        if name != self.own.name:
            self.summary.replace(self.members.pop(name), None)
            self.updates.discard(name)

    def _note_change(self) -> None:
        self.present = None
        self.changed = True

    def _has_departed(self, name: str) -> bool:
        return bool(self.listed) and self.listed.get(name, True)

    def _keep_s(self, name: str) -> float:
        left = self.members[name].state == MEMBER_STATE_LEFT
        if left or self._has_departed(name):
            return DEPARTED_KEEP_S
        return DEAD_KEEP_S


def _is_urgent(old: Member, new: Member) -> bool:
    return (
        old.state != new.state
        or old.draining != new.draining
        or (old.incarnation != new.incarnation)
    )


def _without_figures(record: Member) -> Member:
    plain = copy_record(record)
    plain.revision = 0
    plain.revision_since_s = 0
    plain.load_permille = 0
    for service in plain.services:
        service.limit = 0
        service.running = 0
    for version in plain.versions:
        version.progress //= 1000
    return plain
