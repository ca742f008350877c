"""Local copy of the items under a key prefix, with the age of its contents."""

from collections.abc import Iterable
from typing import final

from bramleylug.node.process_pauses import ProcessPauses
from bramleylug.store.changes import (
    Position,
    ReaderTimes,
    Removal,
    StoreChange,
    StoreItem,
)

# According to the platform, the owners of leased items that expired during an
# outage of the store need about two seconds to write them again.
RECOVERY_GRACE_S = 2.0
# After the store came back from an older copy, all owners write again what
# the copy lacks or has outdated; until then the newer knowledge is kept.
RESTORE_GRACE_S = 3.0
# The store answers within some milliseconds; the rest of this allowance covers
# a busy event loop in this process.
ANSWER_LAG_S = 0.25


@final
class Mirror:
    """Items under one prefix, updated in the order of their revisions.

    Removals of leased items that arrive just after an outage of the store are
    deferred for :data:`RECOVERY_GRACE_S`: their owners may be about to write
    them again. A pause of this process is no outage of the store.

    When the store came back from an older copy of itself, its first listing
    proves only what it contains: for :data:`RESTORE_GRACE_S` keys that it
    lacks stay, and keys that had been removed stay removed, unless a change
    made in the new era says otherwise.

    :param outage_s: time without an answer that counts as an outage.
    :param pauses: when this process stood still; none are known without it.
    :ivar items: items by key.
    :ivar revisions: revision of the latest change of each key, also of keys
        that were removed since.
    :ivar revision: revision up to which all changes have been applied.
    :ivar confirmed_s: when the latest answered read was sent; every write
        acknowledged before is contained.
    :ivar changes_written_after_s: changes first reported by the last answer
        were written after this time, if the store answers at once.
    :ivar answered_s: lower bound of the time at which the store produced its
        last answer.
    :ivar heard_s: lower bound of the time at which the last answer of the
        store arrived, at this process or at the one that passed it on.
    :ivar deferred_removals: keys with the time at which their removal is due.
    :ivar withheld_items: items of an older copy whose keys had been removed.
    :ivar era: era of the store that the revisions belong to.
    :ivar restored_s: when the first listing of a later era was applied.
    """

    def __init__(
        self, outage_s: float, pauses: ProcessPauses | None = None
    ) -> None:
        self.outage_s = outage_s
        self.pauses = ProcessPauses() if pauses is None else pauses
        self.items: dict[str, StoreItem] = {}
        self.revisions: dict[str, int] = {}
        self.revision = 0
        self.confirmed_s = float('-inf')
        self.changes_written_after_s = float('-inf')
        self.answered_s = float('-inf')
        self.heard_s = float('-inf')
        self.recovered_s = float('-inf')
        self.deferred_removals: dict[str, float] = {}
        self.withheld_items: dict[str, StoreItem] = {}
        self.era = 0
        self.restored_s = float('-inf')

    @property
    def loaded(self) -> bool:
        """Whether all items have been read at least once."""
        return self.revision > 0

    @property
    def position(self) -> Position:
        """State of the store up to which all changes have been applied."""
        return Position(self.era, self.revision)

    @property
    def has_deferred(self) -> bool:
        """Whether changes wait until they are due."""
        return bool(self.deferred_removals or self.withheld_items)

    def age_s(self, now_s: float) -> float:
        return now_s - self.confirmed_s

    def confirm(
        self, sent_s: float, now_s: float, first_byte_after_s: float = 0
    ) -> bool:
        """Record that a read sent at ``sent_s`` has been answered.

        :param first_byte_after_s: seconds after which the answer began. A wait
            that the store held open ended with the first change. An answer
            that is read after a pause of this process may have begun before.
        :returns: whether this ends an outage.
        """
        ends_outage = self.loaded and self._silent_s(now_s) > self.outage_s
        arrived_s = max(sent_s, self.pauses.earliest_arrival_s(now_s))
        self.heard_s = max(self.heard_s, arrived_s)
        began_s = min(sent_s + first_byte_after_s, arrived_s) - ANSWER_LAG_S
        before_s = max(self.confirmed_s, self.answered_s)
        self.answered_s = max(before_s, sent_s, began_s)
        self.changes_written_after_s = (
            self.answered_s if began_s > sent_s else before_s
        )
        if ends_outage:
            self.recovered_s = now_s
        self.confirmed_s = max(self.confirmed_s, sent_s)
        return ends_outage

    def confirm_relayed(
        self, sent_s: float, now_s: float, times: ReaderTimes
    ) -> bool:
        """Record an answer that another process passed on.

        :param sent_s: when that process was called.
        :returns: whether this ends an outage.
        """
        ends_outage = self.loaded and self._silent_s(now_s) > self.outage_s
        self.heard_s = max(self.heard_s, sent_s + times.heard_after_s)
        confirmed_s = sent_s + times.confirmed_after_s
        before_s = max(self.confirmed_s, self.answered_s)
        self.changes_written_after_s = max(
            before_s, sent_s + times.written_after_s
        )
        self.answered_s = max(self.answered_s, confirmed_s)
        if confirmed_s > self.confirmed_s:
            self.confirmed_s = confirmed_s
            if ends_outage:
                self.recovered_s = now_s
                return True
        return False

    def stored_item(self, key: str) -> StoreItem | None:
        """Return an item; ``None`` also if its removal is deferred."""
        return None if key in self.deferred_removals else self.items.get(key)

    def stored_items(self) -> Iterable[StoreItem]:
        """Return the items that the store has, as far as known.

        Those whose removal is deferred are not among them.
        """
        held = [
            item
            for key, item in self.items.items()
            if key not in self.deferred_removals
        ]
        return [*held, *self.withheld_items.values()]

    def apply(
        self, changes: Iterable[StoreChange], revision: int, now_s: float
    ) -> list[StoreChange]:
        """Apply changes; return those that altered the mirror."""
        applied: list[StoreChange] = []
        for change in changes:
            if change.revision <= self.revisions.get(change.key, 0):
                continue
            self.revisions[change.key] = change.revision
            if self._apply(change, now_s):
                applied.append(change)
        self.revision = max(self.revision, revision)
        return applied

    def replace(
        self,
        items: Iterable[StoreItem],
        revision: int,
        now_s: float,
        era: int = 0,
    ) -> list[StoreChange]:
        """Apply a complete listing; keys that it lacks are removed.

        It may be that of a reader that lags behind, and says nothing of keys
        that were written after it.

        :param era: era of the store in which it was listed.
        """
        listed = tuple(items)
        if era != self.era and self.loaded:
            return self._restore(listed, revision, now_s, era)
        self.era = era
        present = {item.key for item in listed}
        missing = [
            Removal(key, max(revision, self.revisions.get(key, 0) + 1))
            for key, item in self.items.items()
            if key not in present and item.revision <= revision
        ]
        return self.apply((*listed, *missing), revision, now_s)

    def apply_due_removals(self, now_s: float) -> list[StoreChange]:
        """Apply what was deferred and is due now, and return it."""
        due = [
            key
            for key, due_s in self.deferred_removals.items()
            if due_s <= now_s
        ]
        settled: list[StoreChange] = []
        for key in due:
            self.deferred_removals.pop(key)
            item = self.items.pop(key, None)
            if item is not None:
                settled.append(Removal(key, self.revisions.get(key, 0)))
        if now_s >= self.restored_s + RESTORE_GRACE_S:
            settled.extend(self.withheld_items.values())
            self.items.update(self.withheld_items)
            self.withheld_items.clear()
        return settled

    def _silent_s(self, now_s: float) -> float:
        """Return for how long this process ran without an answer."""
        paused_s = self.pauses.paused_s(self.confirmed_s, now_s)
        return now_s - self.confirmed_s - paused_s

    def _restore(
        self,
        listed: tuple[StoreItem, ...],
        revision: int,
        now_s: float,
        era: int,
    ) -> list[StoreChange]:
        """Apply the first listing of a later era."""
        removed_keys = self.revisions.keys() - self.items.keys()
        present = {item.key for item in listed}
        self.era = era
        self.restored_s = now_s
        self.recovered_s = now_s
        self.revisions = {}
        self.revision = 0
        self.deferred_removals = {
            key: now_s + RESTORE_GRACE_S
            for key in self.items
            if key not in present
        }
        self.withheld_items = {
            item.key: item for item in listed if item.key in removed_keys
        }
        self.revisions.update(
            (key, item.revision) for key, item in self.withheld_items.items()
        )
        return self.apply(
            (item for item in listed if item.key not in removed_keys),
            revision,
            now_s,
        )

    def _apply(self, change: StoreChange, now_s: float) -> bool:
        self.withheld_items.pop(change.key, None)
        match change:
            case StoreItem(key=key):
                self.deferred_removals.pop(key, None)
                self.items[key] = change
                return True
            case Removal(key=key):
                item = self.items.get(key)
                if item is None:
                    return False
                grace_ends_s = self.recovered_s + RECOVERY_GRACE_S
                if item.lease_id and now_s < grace_ends_s:
                    self.deferred_removals.setdefault(key, grace_ends_s)
                    return False
                self.items.pop(key)
        return True
