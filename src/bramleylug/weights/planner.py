"""Which chunk to fetch next, and from where."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import final

from bramleylug.routing.rendezvous import rank
from bramleylug.weights.manifest import Manifest

TAKE_OVER_S = 4.0


@final
@dataclass(frozen=True, slots=True)
class FromOrigin:
    """Fetch a chunk from the origin."""

    index: int


@final
@dataclass(frozen=True, slots=True)
class FromPeer:
    """Fetch a chunk from a peer."""

    index: int
    peer: str


Fetch = FromOrigin | FromPeer


@final
class Planner:
    """Plans the transfer of one version to one host.

    Each chunk has a home by rendezvous hashing, which reads it from the
    origin; the others read it from its home, and take over by rank when
    it stays away.

    :param name: name of this host's agent.
    """

    def __init__(self, name: str, manifest: Manifest, now_s: float) -> None:
        self.name = name
        self.manifest = manifest
        self.started_s = now_s

    def plan(
        self,
        held: Collection[int],
        in_flight: Collection[int],
        peers: Mapping[str, str],
        now_s: float,
    ) -> list[Fetch]:
        """Return the fetches that may start, homes' own chunks first.

        :param peers: names of the agents that want this version.
        """
        missing = [
            index
            for index in range(len(self.manifest.chunk_hashes))
            if index not in held and index not in in_flight
        ]
        fetches = [self._fetch(index, peers, now_s) for index in missing]
        return sorted(fetches, key=lambda fetch: isinstance(fetch, FromPeer))

    def _fetch(
        self, index: int, peers: Mapping[str, str], now_s: float
    ) -> Fetch:
        names = {self.name, *peers}
        ranked = rank(self.manifest.chunk_hashes[index], names)
        place = ranked.index(self.name)
        if now_s - self.started_s >= place * TAKE_OVER_S:
            return FromOrigin(index)
        return FromPeer(index, ranked[0])
