"""Homes of chunks: which hosts bring a chunk into each region."""

from collections.abc import Mapping, Sequence
from heapq import nlargest
from typing import NamedTuple, final

from xxhash import xxh64_intdigest

from bramleylug.routing.rendezvous import owner

HOME_RANKS = 4
JOINS_LIMIT = 8
SEED_DIGITS = 16
HEX = 16


class Ranked(NamedTuple):
    """A host and its rendezvous weight for one chunk."""

    weight: int
    name: str


@final
class Homes:
    """Rendezvous ranks of the hosts of every region for every chunk.

    A host that joins or leaves changes only the chunks it ranks for. Views
    that differ between hosts cost duplicate transfers and nothing else.

    :param chunk_hashes: SHA-256 of each chunk, in hex.
    :param region: region of this host.
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
        self.leads: list[str] = []
        self.local: list[list[Ranked]] = [[] for _ in chunk_hashes]
        self.duties: dict[int, int] = {}
        self.local_count = 1
        self.remote: dict[int, list[str]] = {}

    def replace_hosts(self, hosts: Mapping[str, str]) -> bool:
        """Replace the hosts, by name with their region.

        :returns: whether anything changed.
        """
        hosts = {**hosts, self.name: self.region}
        if hosts == self.hosts:
            return False
        before = {host for host, at in self.hosts.items() if at == self.region}
        after = {host for host, at in hosts.items() if at == self.region}
        self.local_count = len(after)
        anew = len(after) > JOINS_LIMIT + len(before)
        self.hosts = hosts
        self.remote.clear()
        self._rank_regions()
        for index, ranking in enumerate(self.local):
            if anew or any(ranked.name not in after for ranked in ranking):
                self.local[index] = self._best(index, after)
            elif after != before:
                self._join(index, ranking, after - before)
        self.duties = self._find_duties()
        return True

    def lead(self, index: int) -> str:
        """Return the region whose home reads a chunk from the origin."""
        return self.leads[index]

    def local_homes(self, index: int) -> list[str]:
        """Return the hosts of this region for a chunk, its home first."""
        return [ranked.name for ranked in self.local[index]]

    def lead_homes(self, index: int) -> list[str]:
        """Return the hosts of the lead region for a chunk, its home first."""
        if index not in self.remote:
            lead = self.leads[index]
            names = {
                host for host, region in self.hosts.items() if region == lead
            }
            best = self._best(index, names)
            self.remote[index] = [ranked.name for ranked in best]
        return self.remote[index]

    def _rank_regions(self) -> None:
        regions = frozenset(self.hosts.values())
        if regions == self.regions:
            return
        self.regions = regions
        self.leads = [
            owner(digest, regions) or self.region
            for digest in self.chunk_hashes
        ]

    def _best(self, index: int, names: set[str]) -> list[Ranked]:
        seed = self.seeds[index]
        return nlargest(
            HOME_RANKS,
            [
                Ranked(xxh64_intdigest(name.encode(), seed), name)
                for name in names
            ],
        )

    def _join(
        self, index: int, ranking: list[Ranked], joined: set[str]
    ) -> None:
        seed = self.seeds[index]
        floor = ranking[-1].weight if len(ranking) == HOME_RANKS else -1
        for name in joined:
            weight = xxh64_intdigest(name.encode(), seed)
            if weight > floor:
                ranking.append(Ranked(weight, name))
        ranking.sort(reverse=True)
        del ranking[HOME_RANKS:]

    def _find_duties(self) -> dict[int, int]:
        return {
            index: place
            for index, ranking in enumerate(self.local)
            for place, ranked in enumerate(ranking)
            if ranked.name == self.name
        }
