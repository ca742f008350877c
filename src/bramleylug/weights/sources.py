"""Choice of the peer to fetch a chunk from."""

from collections.abc import Iterable, Mapping
from random import Random

from bramleylug.weights.limits import TransferLimits
from bramleylug.weights.peers import Peer

FETCHES_PER_PEER = 2


def accepts_fetch(peer: Peer, now_s: float) -> bool:
    """Return whether another chunk may be fetched from a peer now."""
    return peer.avoid_until_s <= now_s and peer.in_flight < FETCHES_PER_PEER


def choose_source(sources: list[Peer], index: int, random: Random) -> Peer:
    """Return a peer that holds a chunk, one with free upload slots if any.

    :param sources: peers of which at least one holds the chunk.
    :param random: chooses among equally good peers.
    """
    return max(
        (peer for peer in sources if peer.chunks >> index & 1),
        key=lambda peer: (min(peer.free_upload_slots, 2), random.random()),
    )


def hosts_that_know(
    peers: Iterable[Peer], silent_s: float, now_s: float
) -> Mapping[str, str]:
    """Return the regions of the peers that know of the version, by name.

    A peer has some time to tell what it holds before it is taken not to know.
    """
    return {
        peer.name: peer.region
        for peer in peers
        if peer.holdings_known or now_s - peer.added_s < silent_s
    }


def chunks_being_read(
    peers: Iterable[Peer], limits: TransferLimits, now_s: float
) -> int:
    """Return the set of the chunks that peers are reading from the origin.

    Without those of peers that have made no progress for a while.
    """
    chunks = 0
    for peer in peers:
        if now_s - peer.home_progress_s < limits.take_over_s:
            chunks |= peer.origin_chunks
    return chunks


def held_by_any(peers: Iterable[Peer]) -> int:
    """Return the set of the chunks that at least one peer holds."""
    chunks = 0
    for peer in peers:
        chunks |= peer.chunks
    return chunks
