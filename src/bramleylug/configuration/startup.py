"""When a process that started may trust the configuration it has."""

from dataclasses import dataclass, field
from typing import final

PEERS_TO_ASK = 3
GRACE_S = 1.0
NOTHING_HEARD = 'neither the store nor a peer has answered yet'


@final
@dataclass(slots=True)
class Startup:
    """What was heard since the start.

    :ivar started_s: seconds of the clock at the start.
    :ivar store_answered: whether the store returned the document.
    :ivar answered: peers that returned what they have in force.
    """

    started_s: float
    store_answered: bool = False
    answered: set[str] = field(default_factory=set)

    def doubt(
        self, now_s: float, *, others: int, held: int, highest: int
    ) -> str:
        """Return why the held revision may be too old; empty when it is not.

        :param others: members known beside this one.
        :param held: revision in force here.
        :param highest: highest revision any peer told of.
        """
        if held < highest:
            return f'revision {highest} is accepted, {held} is in force here'
        early = now_s - self.started_s < GRACE_S
        if self.store_answered:
            return 'no peer was heard yet' if early and not others else ''
        if not others:
            return NOTHING_HEARD
        needed = min(PEERS_TO_ASK, others)
        if early or len(self.answered) < needed:
            return (
                f'the store is down; {len(self.answered)} of {needed} peers '
                'told their revision'
            )
        return ''
