"""What this process knows of the store, and how old that knowledge is."""

from collections.abc import Iterable
from typing import final

from bramleylug.store.changes import Removal, StoreChange, StoreItem

# A leased entry that lapsed while the store was away is given this long to
# come back after contact is regained: the platform names about two seconds.
RETURN_GRACE_S = 2.0
# A store that works well sends an answer off within some milliseconds. What
# is taken off for it covers a busy event loop here.
ANSWER_LAG_S = 0.25


@final
class Mirror:
    """Items below one prefix, applied in the order of their revisions.

    Removals of leased items that arrive just after the store was away are
    held back for :data:`RETURN_GRACE_S`: their owners may be about to write
    them again.

    :param away_s: time without contact after which the store counts as
        having been away.
    :ivar items: items by key.
    :ivar confirmed_s: when the last answered read was sent; everything that
        had been acknowledged before is known.
    :ivar changes_written_after_s: changes first reported by the last answer
        were written after this time, if the store answers at once.
    :ivar made_s: the last answer was made after that.
    :ivar lapsing: keys whose removal is held back, with the time it is due.
    """

    def __init__(self, away_s: float) -> None:
        self.away_s = away_s
        self.items: dict[str, StoreItem] = {}
        self.revisions: dict[str, int] = {}
        self.revision = 0
        self.confirmed_s = float('-inf')
        self.changes_written_after_s = float('-inf')
        self.made_s = float('-inf')
        self.regained_s = float('-inf')
        self.lapsing: dict[str, float] = {}

    @property
    def loaded(self) -> bool:
        """Whether all items have been read once."""
        return self.revision > 0

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the knowledge was last confirmed."""
        return now_s - self.confirmed_s

    def confirm(
        self, sent_s: float, now_s: float, begun_after_s: float = 0
    ) -> bool:
        """Note that a read that was sent at a time has been answered.

        :param begun_after_s: seconds after which the answer began. A wait
            that was not answered at once ended with the first change.
        :returns: whether the store had been away.
        """
        away = self.loaded and now_s - self.confirmed_s > self.away_s
        waited_s = begun_after_s - ANSWER_LAG_S
        before_s = max(self.confirmed_s, self.made_s)
        self.made_s = max(before_s, sent_s + max(0.0, waited_s))
        self.changes_written_after_s = self.made_s if waited_s > 0 else before_s
        if away:
            self.regained_s = now_s
        self.confirmed_s = max(self.confirmed_s, sent_s)
        return away

    def apply(
        self, changes: Iterable[StoreChange], revision: int, now_s: float
    ) -> list[StoreChange]:
        """Apply changes; return those that were news."""
        news: list[StoreChange] = []
        for change in changes:
            if change.revision <= self.revisions.get(change.key, 0):
                continue
            self.revisions[change.key] = change.revision
            if self._apply(change, now_s):
                news.append(change)
        self.revision = max(self.revision, revision)
        return news

    def replace(
        self, items: Iterable[StoreItem], revision: int, now_s: float
    ) -> list[StoreChange]:
        """Take in all items as they were read anew."""
        found = tuple(items)
        present = {item.key for item in found}
        missing = [
            Removal(key, max(revision, self.revisions.get(key, 0) + 1))
            for key in self.items
            if key not in present
        ]
        return self.apply((*found, *missing), revision, now_s)

    def apply_due_removals(self, now_s: float) -> list[StoreChange]:
        """Carry out the removals whose time has come."""
        due = [key for key, due_s in self.lapsing.items() if due_s <= now_s]
        removed: list[StoreChange] = []
        for key in due:
            self.lapsing.pop(key)
            item = self.items.pop(key, None)
            if item is not None:
                removed.append(Removal(key, self.revisions[key]))
        return removed

    def _apply(self, change: StoreChange, now_s: float) -> bool:
        match change:
            case StoreItem(key=key):
                self.lapsing.pop(key, None)
                self.items[key] = change
                return True
            case Removal(key=key):
                item = self.items.get(key)
                if item is None:
                    return False
                grace_ends_s = self.regained_s + RETURN_GRACE_S
                if item.lease_id and now_s < grace_ends_s:
                    self.lapsing.setdefault(key, grace_ends_s)
                    return False
                self.items.pop(key)
        return True
