"""Which hosts hold the replicas of a service."""

from collections.abc import Collection, Iterable

from bramleylug.configuration.document import Document, ServiceSpec
from bramleylug.routing.rendezvous import rank
from bramleylug.wire.membership_pb2 import Member


def serves(member: Member, service: str) -> bool:
    """Tell whether a member's upstream is one of a service."""
    return any(state.service == service for state in member.services)


def choose_hosts(
    spec: ServiceSpec, document: Document, members: Iterable[Member], own: str
) -> list[str]:
    """Return the agents that hold a replica, by rendezvous rank.

    Only agents in zones that are in count; a host that leaves is replaced
    by the next. ``replicas = 0`` chooses every agent of the service.

    :param own: this host, which always counts, so that it keeps up with the
        version while its zone is out.
    """
    names = {
        member.name
        for member in members
        if serves(member, spec.name)
        and not member.draining
        and document.zone_is_in(member.zone)
    }
    names.add(own)
    ranked = rank(f'replicas/{spec.name}', names)
    return ranked[: spec.replicas] if spec.replicas else ranked


def has_enough(
    spec: ServiceSpec,
    chosen: Collection[str],
    members: Iterable[Member],
) -> bool:
    """Tell whether every chosen agent serves, and they suffice."""
    ready = {
        member.name
        for member in members
        if any(
            state.service == spec.name and state.ready
            for state in member.services
        )
    }
    return len(chosen) >= spec.replicas and ready.issuperset(chosen)
