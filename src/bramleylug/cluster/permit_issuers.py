"""Which relay issues the permits of an upstream.

It is a relay of the upstream's region: if regions lose each other, those that
still reach the upstream also reach its issuer. Every relay decides by itself;
the first candidate by rendezvous hashing issues.
"""

from collections.abc import Iterable
from typing import NamedTuple

from bramleylug.routing.rendezvous import owner


class IssuerCandidate(NamedTuple):
    """A live relay that may issue permits.

    :ivar draining: whether it accepts no new callers.
    :ivar settled: whether it has run long enough that others know it.
    """

    name: str
    region: str
    draining: bool
    settled: bool


def find_issuer(
    upstream_id: str, region: str, candidates: Iterable[IssuerCandidate]
) -> str | None:
    """Return the name of the relay that issues the permits of an upstream.

    :param region: region of the upstream.
    """
    ranked: dict[tuple[bool, ...], list[str]] = {}
    for one in candidates:
        rank = one.draining, one.region != region, not one.settled
        ranked.setdefault(rank, []).append(one.name)
    if not ranked:
        return None
    return owner(upstream_id, ranked[min(ranked)])


def is_majority(alive: int, registered: int) -> bool:
    """Return whether a part of a region may issue permits.

    Two halves of a region that lose each other would issue twice the limit.
    Of two relays, the one that is left goes on.
    """
    return 2 * alive >= registered
