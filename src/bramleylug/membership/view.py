"""Membership view: member records, suspicions and departed members."""

import math
from collections.abc import Callable, Mapping
from typing import final

from bramleylug.membership.periods import PROBE_INTERVAL_S
from bramleylug.membership.records import (
    SEVERITY,
    ViewSummary,
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

MIN_SUSPICION_S = 3.0
SUSPICION_FACTOR = 1.25
# Part of the suspicion time-out after which a suspicion is sent once more.
REPEAT_SUSPICION_SHARE = 0.5
# Part of the time-out that is left to a suspect that the host list marks as
# leaving or does not contain.
DEPARTED_SUSPICION_SHARE = 0.5
DEPARTED_RETENTION_S = 600.0
# Dead members are pinged for this long, so that a partition can heal.
DEAD_RETENTION_S = 10800.0
VOLATILE_MIN_INTERVAL_S = 2.0
VOLATILE_INTERVAL_PER_MEMBER_S = 0.02


@final
class MembershipView:
    """Every known member by name, including this one.

    :param copy: returns the record to store for a received one; a copy, since
        the received record would keep its whole message in memory.
    :ivar suspicions: start of the time-out of each suspected member.
    :ivar gone_s: time at which each member left or was declared dead.
    :ivar joined: new members that the failure detector has not seen yet.
    :ivar listed_hosts: whether each host of the platform's host list is
        leaving, by name. The list lags, so it shortens a suspicion and
        never starts one.
    :ivar changed: whether any record changed since the driver was notified.
    """

    def __init__(
        self, own: Member, copy: Callable[[Member], Member] = copy_record
    ) -> None:
        self.own = own
        self.copy = copy
        self.members: dict[str, Member] = {}
        self.summary = ViewSummary()
        self.updates = UpdateQueue()
        self.suspicions: dict[str, float] = {}
        self.repeated_suspicions: set[str] = set()
        self.gone_s: dict[str, float] = {}
        self.joined: list[str] = []
        self.listed_hosts: Mapping[str, bool] = {}
        self.changed = False
        self.own_published_s = -math.inf
        self.alive_cache: tuple[Member, ...] | None = None
        self._put(own, 0)

    def alive(self) -> tuple[Member, ...]:
        """Return the members that have neither left nor died."""
        if self.alive_cache is None:
            self.alive_cache = tuple(
                member
                for member in self.members.values()
                if not is_gone(member)
            )
        return self.alive_cache

    def suspicion_timeout_s(self) -> float:
        """Return the time that a suspect has to refute the suspicion."""
        rounds = math.log2(len(self.alive()) + 1)
        suspicion_timeout_s = SUSPICION_FACTOR * rounds * PROBE_INTERVAL_S
        return max(MIN_SUSPICION_S, suspicion_timeout_s)

    def merge(
        self, received: Member, now_s: float, *, synced: bool = False
    ) -> bool:
        """Merge a record.

        :param synced: whether it comes from anti-entropy. There a death may
            be outdated, so the member is suspected first and may refute.
        :returns: whether the view changed.
        """
        if received.name == self.own.name:
            self._refute(received)
            return False
        known = self.members.get(received.name)
        if synced and received.state == MEMBER_STATE_DEAD:
            received = with_state(received, MEMBER_STATE_SUSPECT)
        if known is None:
            return self._add(received, now_s, synced=synced)
        merged = merge_records(known, received)
        if merged is known:
            self._handle_known(known, received)
            return False
        if merged is received:
            merged = self.copy(received)
        urgent = _is_urgent(known, merged)
        if urgent or not synced:
            self.updates.add(merged.name, urgent=urgent)
        self._put(merged, now_s)
        return True

    def suspect(self, name: str, now_s: float) -> None:
        member = self.members.get(name)
        if member is not None and member.state == MEMBER_STATE_ALIVE:
            self.updates.add(name, urgent=True)
            self._put(with_state(member, MEMBER_STATE_SUSPECT), now_s)

    def expire(self, now_s: float) -> None:
        """Declare suspects dead that did not refute; remove old departures."""
        for name, since_s in list(self.suspicions.items()):
            allowed_s = self.suspicion_timeout_s()
            if self._has_departed(name):
                allowed_s *= DEPARTED_SUSPICION_SHARE
            if now_s - since_s >= allowed_s:
                dead = with_state(self.members[name], MEMBER_STATE_DEAD)
                self.updates.add(name, urgent=True)
                self._put(dead, now_s)
            elif now_s - since_s >= allowed_s * REPEAT_SUSPICION_SHARE:
                self._repeat_suspicion(name)
        for name, since_s in list(self.gone_s.items()):
            if now_s - since_s >= self._retention_s(name):
                self._remove(name)

    def extend_suspicion(self, name: str, now_s: float) -> None:
        """Restart the suspicion time-out of a member that sent a message."""
        if self.suspicions.get(name) is not None:
            self.suspicions[name] = now_s

    def postpone_suspicions(self, pause_s: float) -> None:
        """Extend all suspicions by the time that this process was paused."""
        for name in self.suspicions:
            self.suspicions[name] += pause_s

    def update_own(self, edit: Callable[[Member], None], now_s: float) -> None:
        """Edit the own record and spread the change.

        Changes of only the configuration revision, concurrency limits, load
        or progress are published at most every few seconds, and less often
        the more members there are.
        """
        edited = copy_record(self.own)
        edit(edited)
        if edited == self.own:
            return
        min_interval_s = max(
            VOLATILE_MIN_INTERVAL_S,
            len(self.members) * VOLATILE_INTERVAL_PER_MEMBER_S,
        )
        only_volatile = _without_volatile_fields(
            edited
        ) == _without_volatile_fields(self.own)
        if only_volatile and now_s - self.own_published_s < min_interval_s:
            return
        self.own_published_s = now_s
        edited.sequence += 1
        urgent = _is_urgent(self.own, edited)
        self._put(edited, now_s)
        self.updates.add(edited.name, urgent=urgent)

    def _handle_known(self, known: Member, received: Member) -> None:
        if received == known:
            limit = transmission_limit(len(self.members))
            self.updates.count_duplicate(known.name, limit)
        elif (
            received.state != known.state
            and received.state != MEMBER_STATE_ALIVE
        ):
            # The sender missed the refutation; the reply will contain it.
            self.updates.add(known.name)

    def _repeat_suspicion(self, name: str) -> None:
        """Send a suspicion once more; members that know better reply."""
        if name not in self.repeated_suspicions:
            self.repeated_suspicions.add(name)
            self.updates.add(name)

    def _add(self, received: Member, now_s: float, *, synced: bool) -> bool:
        if is_gone(received):
            return False
        if not synced:
            self.updates.add(received.name)
        self.joined.append(received.name)
        self._put(self.copy(received), now_s)
        return True

    def _refute(self, received: Member) -> None:
        own = self.own
        more_severe = SEVERITY[received.state] > SEVERITY[own.state]
        if received.incarnation > own.incarnation or (
            more_severe and received.incarnation == own.incarnation
        ):
            refuted = copy_record(own)
            refuted.incarnation = received.incarnation + 1
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
            self.repeated_suspicions.discard(name)
        if is_gone(record):
            self.gone_s.setdefault(name, now_s)
        else:
            self.gone_s.pop(name, None)
        self._mark_changed()

    def _remove(self, name: str) -> None:
        self.gone_s.pop(name)
        if name != self.own.name:
            self.summary.replace(self.members.pop(name), None)
            self.updates.discard(name)

    def _mark_changed(self) -> None:
        self.alive_cache = None
        self.changed = True

    def _has_departed(self, name: str) -> bool:
        return bool(self.listed_hosts) and self.listed_hosts.get(name, True)

    def _retention_s(self, name: str) -> float:
        left = self.members[name].state == MEMBER_STATE_LEFT
        if left or self._has_departed(name):
            return DEPARTED_RETENTION_S
        return DEAD_RETENTION_S


def _is_urgent(old: Member, new: Member) -> bool:
    return (
        old.state != new.state
        or old.draining != new.draining
        or (old.incarnation != new.incarnation)
    )


def _without_volatile_fields(record: Member) -> Member:
    stable = copy_record(record)
    stable.revision = 0
    stable.revision_since_s = 0
    stable.load_permille = 0
    for service in stable.services:
        service.limit = 0
        service.running = 0
    for version in stable.versions:
        version.progress //= 1000
    return stable
