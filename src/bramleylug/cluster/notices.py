"""What upstreams say about themselves in their answers."""

from dataclasses import dataclass
from typing import final


@final
@dataclass(slots=True)
class UpstreamNotice:
    """What one incarnation of an upstream said about itself in its answers.

    It is kept apart from the record: an incarnation that is removed and
    registered again has not taken back what it said.

    :ivar leaving: whether it said that it is about to leave.
    :ivar paused_until_s: until when it wants nothing from this relay.
    :ivar peers_paused_until_s: the latest such time that another relay
        reported for itself; only a hint that the upstream is busy.
    :ivar updated_s: when it was last changed.
    """

    leaving: bool = False
    paused_until_s: float = float('-inf')
    peers_paused_until_s: float = float('-inf')
    updated_s: float = float('-inf')
