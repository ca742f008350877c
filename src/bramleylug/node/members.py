"""Serializes the membership view for the page ``/v1/members``."""

from typing import TYPE_CHECKING, TypedDict

from bramleylug.wire.membership_pb2 import (
    MEMBER_STATE_ALIVE,
    MEMBER_STATE_DEAD,
    MEMBER_STATE_LEFT,
    MEMBER_STATE_SUSPECT,
    Member,
)

if TYPE_CHECKING:
    from bramleylug.node.node import Node

MEMBERS_PATH = '/v1/members'
STATE_NAMES = {
    MEMBER_STATE_ALIVE: 'alive',
    MEMBER_STATE_SUSPECT: 'suspect',
    MEMBER_STATE_LEFT: 'left',
    MEMBER_STATE_DEAD: 'dead',
}


class VersionLine(TypedDict):
    """Weights that a member holds.

    :ivar progress: permille of the chunks; 1000 when complete and verified.
    """

    model: str
    version: str
    progress: int


class MemberLine(TypedDict):
    """A member as known to this instance."""

    name: str
    role: str
    zone: str
    region: str
    state: str
    draining: bool
    http_address: str
    incarnation: int
    revision: int
    since_s: int
    services: dict[str, bool]
    versions: list[VersionLine]


class MembersPage(TypedDict):
    """The membership view of one instance.

    :ivar not_ready: why its configuration is not confirmed; empty if it is.
    """

    name: str
    revision: int
    lineage: str
    not_ready: str
    zones: dict[str, str]
    members: list[MemberLine]


def describe_members(node: 'Node') -> MembersPage:
    holder = node.holder
    lines = [describe_member(member) for member in node.members]
    return MembersPage(
        name=node.settings.name,
        revision=holder.document.revision,
        lineage=holder.document.lineage,
        not_ready=holder.not_ready_reason,
        zones=dict(holder.document.zones),
        members=sorted(lines, key=_zone_and_name),
    )


def _zone_and_name(line: MemberLine) -> tuple[str, str]:
    return line['zone'], line['name']


def describe_member(member: Member) -> MemberLine:
    return MemberLine(
        name=member.name,
        role=member.role,
        zone=member.zone,
        region=member.region,
        state=STATE_NAMES[member.state],
        draining=member.draining,
        http_address=member.http_address,
        incarnation=member.incarnation,
        revision=member.revision,
        since_s=member.revision_since_s,
        services={
            service.service: service.ready for service in member.services
        },
        versions=[
            VersionLine(
                model=held.model, version=held.version, progress=held.progress
            )
            for held in member.versions
        ],
    )
