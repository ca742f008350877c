"""Shares the file descriptors of a process between kinds of connections."""

import sys
from collections import Counter
from collections.abc import Mapping
from enum import Enum, unique
from threading import Lock
from typing import NamedTuple, final


@final
@unique
class DescriptorUse(Enum):
    """What a connection is for."""

    callers = 'callers'
    directory = 'directory'
    feed = 'feed'
    pages = 'pages'
    chunks = 'chunks'
    upstreams = 'upstreams'
    rejected = 'rejected'


@final
class DescriptorBudget:
    """Counts the connections of a process, so that they fit its limit.

    A use is guaranteed some descriptors, which stay free for it; what is
    shared goes to whoever asks first. Thread-safe.

    :param shared: descriptors that every use may take.
    :param guaranteed: further descriptors that only one use may take.
    :ivar taken: descriptors taken at present, by use.
    :ivar shared_taken: those of them that were taken from the shared ones.
    """

    def __init__(
        self,
        shared: int = sys.maxsize,
        guaranteed: Mapping[DescriptorUse, int] | None = None,
    ) -> None:
        self.lock = Lock()
        self.shared = shared
        self.guaranteed = dict(guaranteed or {})
        self.taken: Counter[DescriptorUse] = Counter()
        self.shared_taken = 0

    def limit_of(self, use: DescriptorUse) -> int:
        """Return the most descriptors that a use can have."""
        return self.shared + self.guaranteed.get(use, 0)

    def take(self, use: DescriptorUse) -> 'DescriptorLease | None':
        """Take a descriptor; ``None`` if none is left for this use."""
        with self.lock:
            if self.taken[use] >= self.guaranteed.get(use, 0):
                if self.shared_taken >= self.shared:
                    return None
                self.shared_taken += 1
            self.taken[use] += 1
        return DescriptorLease(self, use)

    def give_back(self, use: DescriptorUse) -> None:
        """Return a descriptor; called by its lease."""
        with self.lock:
            if self.taken[use] > self.guaranteed.get(use, 0):
                self.shared_taken -= 1
            self.taken[use] -= 1


class DescriptorShare(NamedTuple):
    """The part of a budget that connections of one use may take."""

    budget: DescriptorBudget
    use: DescriptorUse

    def take(self) -> 'DescriptorLease | None':
        """Take a descriptor; ``None`` if none is left."""
        return self.budget.take(self.use)


@final
class DescriptorLease:
    """One descriptor of a budget, until it is released."""

    def __init__(self, budget: DescriptorBudget, use: DescriptorUse) -> None:
        self.budget = budget
        self.use = use
        self.released = False

    def release(self) -> None:
        """Return it; a second call has no effect."""
        if not self.released:
            self.released = True
            self.budget.give_back(self.use)


def unlimited_share() -> DescriptorShare:
    """Return a share without a limit."""
    return DescriptorShare(DescriptorBudget(), DescriptorUse.callers)
