"""What membership asks its driver to do."""

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
    """The view of the members differs from before."""


@final
@dataclass(frozen=True, slots=True)
class RevisionSeen:
    """A member has a configuration revision in force."""

    revision: int
    member: str


GossipAction = Send | MembersChanged | RevisionSeen
