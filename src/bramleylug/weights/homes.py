"""Homes of chunks: the hosts that bring a chunk into each region."""

from collections.abc import Mapping, Sequence
from heapq import nlargest
from typing import NamedTuple, final

from xxhash import xxh64_intdigest

from bramleylug.routing.rendezvous import owner

HOMES_PER_REGION = 4
# All chunks are ranked anew when the region grows by more hosts than this.
JOINS_LIMIT = 8
# Hex digits of a chunk's hash that seed its 64-bit rendezvous weights.
SEED_DIGITS = 16
HEX = 16


class RankedHost(NamedTuple):
    """A host and its rendezvous weight for one chunk."""

    weight: int
    name: str


@final
class Homes:
    """Homes of every chunk, chosen by rendezvous hashing.

    In each region, the hosts with the highest weights for a chunk are
    its homes: the first fetches the chunk, the others take over in order of
    rank. One region leads for each chunk, also by rendezvous hashing: only
    its homes read the chunk from the origin, the other regions fetch it
    from them.

    A host that joins or leaves changes only the chunks it ranks for. Hosts
    whose views of the membership differ cause duplicate transfers and
    nothing else.

    :param chunk_hashes: SHA-256 of each chunk, in hex.
    :param name: name of this host.
    :param region: region of this host.
    :ivar hosts: region of each host by its name.
    :ivar lead_regions: lead region of each chunk.
    :ivar local_rankings: homes in this host's region of each chunk.
    :ivar home_ranks: this host's rank, from 0, by the chunks it is a home
        of.
    :ivar lead_home_names: homes in the lead region, by chunk; filled on
        demand.
    """

    def __init__(
        self, chunk_hashes: Sequence[str], name: str, region: str
    ) -> None:
        self.chunk_hashes = chunk_hashes
        self.name = name
        self.region = region
        self.seeds = [
            int(digest[:SEED_DIGITS], base=HEX) for digest in chunk_hashes
        ]
        self.hosts: dict[str, str] = {}
        self.regions: frozenset[str] = frozenset()
        self.lead_regions: list[str] = []
        self.local_rankings: list[list[RankedHost]] = [[] for _ in chunk_hashes]
        self.home_ranks: dict[int, int] = {}
        self.local_host_count = 1
        self.lead_home_names: dict[int, list[str]] = {}

    def replace_hosts(self, hosts: Mapping[str, str]) -> bool:
        """Replace the hosts; this host is always one of them.

        :param hosts: region of each host by its name.
        :returns: whether anything changed.
        """
        hosts = {**hosts, self.name: self.region}
        if hosts == self.hosts:
            return False
        before = {
            host for host, region in self.hosts.items() if region == self.region
        }
        after = {
            host for host, region in hosts.items() if region == self.region
        }
        self.local_host_count = len(after)
        rebuild = len(after) > JOINS_LIMIT + len(before)
        self.hosts = hosts
        self.lead_home_names.clear()
        self._rank_regions()
        for index, ranking in enumerate(self.local_rankings):
            if rebuild or any(ranked.name not in after for ranked in ranking):
                self.local_rankings[index] = self._rank_hosts(index, after)
            elif after != before:
                self._insert_joined(index, ranking, after - before)
        self.home_ranks = self._find_home_ranks()
        return True

    def lead_region(self, index: int) -> str:
        """Return the region whose homes read a chunk from the origin."""
        return self.lead_regions[index]

    def local_homes(self, index: int) -> list[str]:
        """Return a chunk's homes in this host's region, by rank."""
        return [ranked.name for ranked in self.local_rankings[index]]

    def lead_homes(self, index: int) -> list[str]:
        """Return a chunk's homes in its lead region, by rank."""
        if index not in self.lead_home_names:
            lead_region = self.lead_regions[index]
            names = {
                host
                for host, region in self.hosts.items()
                if region == lead_region
            }
            best = self._rank_hosts(index, names)
            self.lead_home_names[index] = [ranked.name for ranked in best]
        return self.lead_home_names[index]

    def _rank_regions(self) -> None:
        regions = frozenset(self.hosts.values())
        if regions == self.regions:
            return
        self.regions = regions
        self.lead_regions = [
            owner(digest, regions) or self.region
            for digest in self.chunk_hashes
        ]

    def _rank_hosts(self, index: int, names: set[str]) -> list[RankedHost]:
        seed = self.seeds[index]
        return nlargest(
            HOMES_PER_REGION,
            [
                RankedHost(xxh64_intdigest(name.encode(), seed), name)
                for name in names
            ],
        )

    def _insert_joined(
        self, index: int, ranking: list[RankedHost], joined: set[str]
    ) -> None:
        seed = self.seeds[index]
        lowest_weight = (
            ranking[-1].weight if len(ranking) == HOMES_PER_REGION else -1
        )
        for name in joined:
            weight = xxh64_intdigest(name.encode(), seed)
            if weight > lowest_weight:
                ranking.append(RankedHost(weight, name))
        ranking.sort(reverse=True)
        del ranking[HOMES_PER_REGION:]

    def _find_home_ranks(self) -> dict[int, int]:
        return {
            index: home_rank
            for index, ranking in enumerate(self.local_rankings)
            for home_rank, ranked in enumerate(ranking)
            if ranked.name == self.name
        }
