"""Whether this relay is in touch with the others of its region."""

from bramleylug.cluster.peers import PeerRegistry

# Exactly half of a region: the other half may be one, too.
TIE_PART = 0.5


def part_in_touch(peers: PeerRegistry, now_s: float) -> float:
    """Return which part of what all relays share this relay may count on.

    All of it with a current copy of the store, from which it would learn that
    others take it for gone. Without, while it hears more than half of its
    region, half of it in one half of the region; none otherwise.
    """
    if peers.is_store_fresh():
        return 1.0
    heard = 2 * peers.heard_relays(now_s)
    registered = peers.registered_relays(peers.own().region)
    if heard > registered:
        return 1.0
    return TIE_PART if heard == registered else 0.0
