"""Which upstreams a relay sends to first, so that relays spread by design."""

from collections.abc import Sequence


def preferred_subset(
    own: str, relays: Sequence[str], upstreams: Sequence[str]
) -> frozenset[str]:
    """Return the upstreams that a relay favours.

    Relays and upstreams are laid side by side in the given order, so that
    each upstream has about as many relays as any other. A relay knows its
    own load at once and that of the others late: the fewer relays share an
    upstream, the less it is overfilled. Views that differ cost spread and
    nothing else (deterministic subsetting, Beyer et al., *Site Reliability
    Engineering*, 2016, chapter 20).

    :param own: a name among the relays.
    """
    if own not in relays or not upstreams:
        return frozenset()
    place = relays.index(own)
    relay_count, upstream_count = len(relays), len(upstreams)
    if upstream_count <= relay_count:
        return frozenset((upstreams[place * upstream_count // relay_count],))
    return frozenset(
        upstream
        for index, upstream in enumerate(upstreams)
        if index * relay_count // upstream_count == place
    )
