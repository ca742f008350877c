"""Choice of the peer to fetch a chunk from."""

from collections.abc import Iterable
from random import Random

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


def held_by_any(peers: Iterable[Peer]) -> int:
    """Return the set of the chunks that at least one peer holds."""
    chunks = 0
    for peer in peers:
        chunks |= peer.chunks
    return chunks
