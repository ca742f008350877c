"""Deterministic subsetting of upstreams, to bound connections."""

import math
from collections.abc import Collection, Hashable
from typing import NamedTuple, TypeVar, final

from bramleylug.routing.rendezvous import rank

SUBSET_SIZE = 20
MIN_ENTRIES_PER_UPSTREAM = 3
CACHE_ENTRIES = 256

MemberT = TypeVar('MemberT', bound=Hashable)


class SubsetKey(NamedTuple):
    """Cache key: the inputs of :func:`choose_subset`."""

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
    """Return the upstreams that one entry connects to.

    Entries and upstreams are placed on a ring in the order of their hashes,
    at equal distances, and each entry uses the upstreams that follow it. So
    the number of entries per upstream differs by at most one, and a member
    that joins or leaves changes each subset by a few upstreams only.

    :param own_name: name of the entry whose subset is returned.
    :param entries: names of all entries; the own name may be left out.
    :param size: size of the subset; larger when there are too few entries
        for each upstream to be used by :data:`MIN_ENTRIES_PER_UPSTREAM`.
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
    """Caches subsets by their inputs; emptied at :data:`CACHE_ENTRIES`.

    :param own_name: name of this entry.
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
        """Return the subset of these upstreams; all if at most ``size``."""
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
