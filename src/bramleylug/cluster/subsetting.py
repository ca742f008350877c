"""Deterministic subsetting: which upstreams a relay sends to first."""

from collections.abc import Sequence


def preferred_subset(
    own: str, relays: Sequence[str], upstreams: Sequence[str]
) -> frozenset[str]:
    """Return the upstreams that a relay prefers.

    Relays are mapped to upstreams by their positions in the given order, so
    that each upstream is preferred by about the same number of relays. A
    relay knows its own load immediately and that of other relays with a
    delay: the fewer relays share an upstream, the less it is overloaded. If
    relays have different lists, only the balance suffers (Beyer et al.,
    *Site Reliability Engineering*, 2016, chapter 20).

    :param own: name of this relay.
    """
    if own not in relays or not upstreams:
        return frozenset()
    position = relays.index(own)
    relay_count, upstream_count = len(relays), len(upstreams)
    if upstream_count <= relay_count:
        return frozenset((upstreams[position * upstream_count // relay_count],))
    return frozenset(
        upstream
        for index, upstream in enumerate(upstreams)
        if index * relay_count // upstream_count == position
    )
