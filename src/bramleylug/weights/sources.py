"""Peers as sources of chunks."""

from collections.abc import Iterable
from random import Random

from bramleylug.weights.peers import Peer

FETCHES_PER_PEER = 2


def is_free(peer: Peer, now_s: float) -> bool:
    """Tell whether another chunk may be fetched from a peer."""
    return peer.avoid_until_s <= now_s and peer.in_flight < FETCHES_PER_PEER


def choose_source(sources: list[Peer], index: int, random: Random) -> Peer:
    """Return a source of a chunk, one with free upload slots if any."""
    return max(
        (peer for peer in sources if peer.chunks >> index & 1),
        key=lambda peer: (min(peer.free_upload_slots, 2), random.random()),
    )


def held_by_any(peers: Iterable[Peer]) -> int:
    """Return the chunks that any of the peers holds."""
    chunks = 0
    for peer in peers:
        chunks |= peer.chunks
    return chunks
