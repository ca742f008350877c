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
) -> PeerRecord | None:
    """Return the relay through which a process reads the store.

    :param own: record of the process.
    :param zone_peers: other live processes of its zone that are not leaving.
    :param avoided: addresses of relays that were of no use a moment ago.
    :returns: ``None`` if it reads the store itself.
    """
    peers = tuple(zone_peers)
    relays = {
        peer.name: peer
        for peer in peers
        if peer.feed and peer.feed not in avoided
    }
    if own.role is Role.relay and not own.draining:
        relays[own.name] = own
    count = 1 + len(peers) // PROCESSES_PER_READER
    readers = rank(own.zone, relays)[:count]
    if own.name in readers:
        return None
    name = owner(own.name, readers)
    return None if name is None else relays[name]
