"""Decides when a started process may use the configuration it holds."""

from dataclasses import dataclass, field
from typing import final

PEERS_TO_ASK = 3
# Time after the start in which peers may still become known or answer.
GRACE_S = 1.0
NOTHING_ANSWERED = 'neither the store nor a peer has answered yet'


@final
@dataclass(slots=True)
class StartupConfirmation:
    """Answers of the store and the peers since the start.

    :ivar started_s: seconds of the clock at the start.
    :ivar store_answered: whether the store returned the document.
    :ivar answered: peers that returned their revision in force.
    """

    started_s: float
    store_answered: bool = False
    answered: set[str] = field(default_factory=set)

    def unconfirmed_reason(
        self, now_s: float, *, others: int, held: int, highest: int
    ) -> str:
        """Return why the held revision may be outdated; empty if it is not.

        :param others: number of other known members.
        :param held: revision in force in this process.
        :param highest: highest revision reported by any peer.
        """
        if held < highest:
            return f'revision {highest} is accepted, but {held} is in force'
        early = now_s - self.started_s < GRACE_S
        if self.store_answered:
            return 'no peer is known yet' if early and not others else ''
        if not others:
            return NOTHING_ANSWERED
        needed = min(PEERS_TO_ASK, others)
        if early or len(self.answered) < needed:
            return (
                f'the store is down; {len(self.answered)} of {needed} peers '
                'reported their revision'
            )
        return ''
