"""Which upstreams an entry talks to, so that connections stay few."""

import math
from collections.abc import Collection, Hashable
from typing import NamedTuple, TypeVar, final

from bramleylug.routing.rendezvous import rank

SUBSET_SIZE = 20
MIN_ENTRIES_PER_UPSTREAM = 3
CACHE_ENTRIES = 256

MemberT = TypeVar('MemberT', bound=Hashable)


class SubsetKey(NamedTuple):
    """What a subset depends on."""

    own_name: str
    entries: frozenset[str]
    upstreams: frozenset[str]
    size: int


def choose_subset(
    own_name: str,
    entries: Collection[str],
    upstreams: Collection[str],
    size: int = SUBSET_SIZE,
) -> frozenset[str]:
    """Return the upstreams that one entry talks to.

    Both sides are put on a circle in the order of their hashes, spread
    evenly, and each entry takes the upstreams that follow it. So every
    upstream is taken by as many entries as any other, within one, and a
    member that comes or goes shifts each entry's share by a few.

    :param entries: names of all entries that choose, the own one included.
    :param size: upstreams to take; more where the entries are too few for
        each upstream to be taken by :data:`COVERAGE` of them.
    """
    count = len(upstreams)
    ring = rank('entries', {*entries, own_name})
    subset_size = max(
        size, math.ceil(MIN_ENTRIES_PER_UPSTREAM * count / len(ring))
    )
    if subset_size >= count:
        return frozenset(upstreams)
    order = rank('upstreams', upstreams)
    first = ring.index(own_name) * count // len(ring)
    return frozenset(
        order[(first + offset) % count] for offset in range(subset_size)
    )


@final
class SubsetCache:
    """Keeps subsets until a member comes or goes.

    :param own: name of this entry.
    """

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.subsets: dict[SubsetKey, frozenset[str]] = {}

    def get(
        self,
        entries: frozenset[str],
        upstreams: frozenset[str],
        size: int = SUBSET_SIZE,
    ) -> frozenset[str]:
        """Return the subset for these members."""
        if len(upstreams) <= size:
            return upstreams
        key = SubsetKey(self.own_name, entries, upstreams, size)
        if key not in self.subsets:
            if len(self.subsets) >= CACHE_ENTRIES:
                self.subsets.clear()
            self.subsets[key] = choose_subset(
                self.own_name, entries, upstreams, size
            )
        return self.subsets[key]
