"""Choice of the hosts that hold the replicas of a service."""

from collections.abc import Collection, Iterable
from typing import final

from bramleylug.configuration.document import Document, ServiceSpec
from bramleylug.routing.rendezvous import rank
from bramleylug.wire.membership_pb2 import Member

CHOICE_INTERVAL_S = 1.0


def is_service_member(member: Member, service: str) -> bool:
    """Return whether a member's upstream belongs to a service."""
    return any(state.service == service for state in member.services)


def choose_hosts(
    spec: ServiceSpec, document: Document, members: Iterable[Member], own: str
) -> list[str]:
    """Return the agents that hold a replica, by rendezvous rank.

    Agents that drain, or whose zone is out of service, are not chosen; the
    next in rank replace them. ``replicas = 0`` chooses every
    agent of the service.

    :param own: this host, a candidate in any case, so that it keeps up with
        the version while its zone is out of service.
    """
    names = {
        member.name
        for member in members
        if is_service_member(member, spec.name)
        and not member.draining
        and document.zone_is_in(member.zone)
    }
    names.add(own)
    ranked = rank(f'replicas/{spec.name}', names)
    return ranked[: spec.replicas] if spec.replicas else ranked


def enough_ready(
    spec: ServiceSpec,
    chosen: Collection[str],
    members: Iterable[Member],
) -> bool:
    """Return whether all replicas are placed and their agents are ready."""
    ready = {
        member.name
        for member in members
        if any(
            state.service == spec.name and state.ready
            for state in member.services
        )
    }
    return len(chosen) >= spec.replicas and ready.issuperset(chosen)


@final
class ReplicaHosts:
    """The chosen hosts, cached for a second or until the next revision.

    Iterating over the members of a large fleet on every step would cost
    more than all else an agent does.

    :param own: name of this host.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self.revision = -1
        self.chosen_s = float('-inf')
        self.hosts: list[str] = []

    def choose(
        self,
        spec: ServiceSpec,
        document: Document,
        members: Iterable[Member],
        now_s: float,
    ) -> list[str]:
        """Return the agents that hold a replica."""
        stale = now_s - self.chosen_s >= CHOICE_INTERVAL_S
        if stale or document.revision != self.revision:
            self.hosts = choose_hosts(spec, document, members, self.own)
            self.revision = document.revision
            self.chosen_s = now_s
        return self.hosts
