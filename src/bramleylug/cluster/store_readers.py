"""Which processes of a zone read the store, and for whom.

The calls of a zone are then those of its readers, however many processes it
has. Every process decides by itself from the relays that it knows; where two
disagree, one reads through another that is no reader, or by itself, which is
correct in both cases.
"""

from collections.abc import Container, Iterable

from bramleylug.cluster.peers import PeerRecord, Role
from bramleylug.routing.rendezvous import owner, rank

# Mean number of processes that share a reader. Each picks its reader by hash,
# so that some readers have more.
PROCESSES_PER_READER = 16


def find_reader(
    own: PeerRecord,
    zone_peers: Iterable[PeerRecord],
    avoided: Container[str] = (),
    *,
    first: bool = False,
) -> PeerRecord | None:
    """Return the relay through which a process reads the store.

    One relay of the zone reads it for the other readers, and these for the
    processes that share them.

    :param own: record of the process.
    :param zone_peers: other live processes of its zone that are not leaving.
    :param avoided: addresses of relays that were of no use a moment ago.
    :param first: whether to return the one that reads for the other readers.
    :returns: ``None`` if it reads the store itself.
    """
    peers = tuple(zone_peers)
    relays = {
        peer.name: peer
        for peer in peers
        if peer.feed and peer.feed not in avoided
    }
    name = None
    if not first:
        name = choose_reader(own, relays, len(peers))
    if name is None:
        name = choose_reader(own, relays, 0)
    return None if name is None else relays[name]


def choose_reader(
    own: PeerRecord, relays: Iterable[str], peer_count: int
) -> str | None:
    """Return the name of the relay through which a process reads the store.

    The readers that a process may choose precede it in an order that is the
    same for all of the zone, so that no two processes wait for each other.

    :param relays: names of the other relays of its zone that may be used.
    :param peer_count: number of the other processes of its zone.
    :returns: ``None`` if it reads the store itself.
    """
    names = set(relays)
    if own.role is Role.relay and not own.draining:
        names.add(own.name)
    count = 1 + peer_count // PROCESSES_PER_READER
    readers = rank(own.zone, names)[:count]
    if own.name in readers:
        return None
    return owner(own.name, readers)
