"""Choice of the upstream for one request."""

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass
from random import Random
from typing import NamedTuple, final

from bramleylug.configuration.document import Document
from bramleylug.outcomes import NotRun, Reason
from bramleylug.wire.membership_pb2 import Member

AGENT_ROLE = 'agent'
RETRY_SOON_S = 1.0


class Candidate(NamedTuple):
    """An agent that may take a request."""

    name: str
    address: str
    zone: str
    limit: int


@final
@dataclass(frozen=True, slots=True)
class Chosen:
    """Send the request to this agent."""

    candidate: Candidate


@final
class Picker:
    """Chooses the better of two agents by own in-flight counts.

    :param zone: zone of this entry, which is preferred.
    :ivar in_flight: requests this entry has running, by agent.
    """

    def __init__(self, zone: str, random: Random) -> None:
        self.zone = zone
        self.random = random
        self.in_flight: Counter[str] = Counter()

    def choose(
        self,
        service: str,
        document: Document,
        members: Collection[Member],
        tried: Collection[str] = (),
    ) -> Chosen | NotRun:
        """Choose an agent that was not tried yet."""
        if service not in document.services:
            return NotRun(Reason.unknown_service, f'no service {service!r}')
        candidates = [
            candidate
            for candidate in find_candidates(service, document, members)
            if candidate.name not in tried
        ]
        if not candidates:
            return NotRun(
                Reason.no_upstream, 'no upstream is ready', RETRY_SOON_S
            )
        near = [
            candidate
            for candidate in candidates
            if candidate.zone == self.zone and self._has_room(candidate)
        ]
        return Chosen(self._better_of_two(near or candidates))

    def started(self, name: str) -> None:
        """Note that a request was sent to an agent."""
        self.in_flight[name] += 1

    def ended(self, name: str) -> None:
        """Note that a request to an agent has ended."""
        self.in_flight[name] -= 1

    def _has_room(self, candidate: Candidate) -> bool:
        return self.in_flight[candidate.name] < candidate.limit

    def _better_of_two(self, candidates: list[Candidate]) -> Candidate:
        pair = self.random.sample(candidates, min(2, len(candidates)))
        return min(pair, key=self._load)

    def _load(self, candidate: Candidate) -> float:
        return self.in_flight[candidate.name] / max(1, candidate.limit)


def find_candidates(
    service: str, document: Document, members: Collection[Member]
) -> list[Candidate]:
    """Return the agents that are ready to serve a service."""
    return [
        Candidate(member.name, member.grpc_address, member.zone, state.limit)
        for member in members
        if _takes_work(member, document)
        for state in member.services
        if state.service == service and state.ready
    ]


def _takes_work(member: Member, document: Document) -> bool:
    return (
        member.role == AGENT_ROLE
        and not member.draining
        and document.zone_is_in(member.zone)
    )
