"""Actions that the membership protocol returns for its driver to perform."""

from dataclasses import dataclass
from typing import final

from bramleylug.wire.membership_pb2 import Gossip


@final
@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a gossip address."""

    address: str
    message: Gossip


@final
@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The membership view has changed."""


@final
@dataclass(frozen=True, slots=True)
class RevisionSeen:
    """A member has a later configuration revision in force."""

    revision: int
    member: str


GossipAction = Send | MembersChanged | RevisionSeen
