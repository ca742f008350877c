"""Deterministic subsetting: which upstreams a relay sends to first."""

from collections.abc import Sequence

# Relays that send to one engine first, at most about so many: each of them
# tells the others of every request that it sends there.
SHARERS = 12
# Engines that a relay sends to first; with one, there would be no choice.
MIN_SHARED = 2
MAX_SHARED = 6


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


def shared_subset(
    position: int, relay_count: int, engines: Sequence[str]
) -> Sequence[str]:
    """Return the engines that a relay sends to first, with a few others.

    As the choice is between engines, each relay gets several, next to each
    other in the given order. Those of neighbours overlap.

    :param position: place of the relay among all of them.
    """
    engine_count = len(engines)
    first = position * engine_count // relay_count
    last = (position + 1) * engine_count // relay_count
    shared = SHARERS * engine_count // relay_count
    size = max(last - first, min(MAX_SHARED, max(MIN_SHARED, shared)))
    return [
        engines[(first + number) % engine_count]
        for number in range(min(size, engine_count))
    ]
