"""Who waits for a slot of a service, how long and in which order.

Load that it answers: more requests than free slots, for seconds, at relays of
which each gets a few requests a second. Some of them can still be answered
within their objective, some only before their callers leave, some not at all.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, final

from bramleylug.scheduling.levels import Prospect

# A request is queued only if its expected wait is at most this share of the
# time that it may wait: the rate at which slots are freed varies.
EXPECTED_WAIT_SHARE = 0.8
# The same for requests that can no longer be in time: they give way to all
# others, so their wait varies more.
LATE_WAIT_SHARE = 0.5
# Bounds of the part of the objective that a request needs at its upstream, and
# that part while nothing is known.
MIN_FIRST_SHARE = 0.25
MAX_FIRST_SHARE = 0.5
DEFAULT_FIRST_SHARE = 0.4
# Part of the time limit that a request needs at its upstream while nothing is
# known.
DEFAULT_RUN_SHARE = 0.5
# Weight of the latest request in the averages of these times.
TIME_WEIGHT = 0.1
# A late request asks again at this multiple of its expected wait.
LATE_RECHECK = 2.0
MIN_RECHECK_S = 0.1
# Completions that the completion rate is computed from, and their maximum
# age.
RATE_SAMPLES = 64
RATE_WINDOW_S = 3.0
# Time until which upstreams are closed that take requests.
NOT_CLOSED_S = float('-inf')


@final
@dataclass(frozen=True, slots=True)
class Wait:
    """The request waits in the queue.

    :ivar until_s: when it is decided again if it has not been sent.
    :ivar in_time: whether it can be answered within its objective until then.
    """

    until_s: float
    in_time: bool = True


@final
@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused immediately.

    :ivar closed_until_s: when the first upstream takes requests again, if none
        does now; else in the past.
    """

    closed_until_s: float = NOT_CLOSED_S


class Limits(NamedTuple):
    """Latest times at which a request must get its slot.

    :ivar in_time_s: to be answered within its objective.
    :ivar whole_s: to be answered as a whole before its caller leaves.
    """

    in_time_s: float
    whole_s: float


@final
@dataclass(slots=True)
class Waiting:
    """A request in the queue.

    :ivar limits: when it must get a slot.
    :ivar returned: whether its caller was told to return.
    """

    token: int
    workspace: str
    urgency: int
    limits: Limits
    returned: bool = False


@final
@dataclass(slots=True)
class UpstreamTimes:
    """Times that requests of one kind take at their upstreams.

    :ivar first_s: until the first piece of the answer; 0 if unknown.
    :ivar run_s: until its end; 0 if unknown.
    """

    first_s: float = 0
    run_s: float = 0

    def record(self, first_s: float, run_s: float) -> None:
        """Record the times of a request that ran to its end."""
        weight = TIME_WEIGHT if self.run_s else 1
        self.first_s += weight * (first_s - self.first_s)
        self.run_s += weight * (run_s - self.run_s)

    def limits(
        self, arrived_s: float, objective_s: float, until_s: float
    ) -> Limits:
        """Return when a request must get its slot.

        :param until_s: when its caller leaves.
        """
        first_s = self.first_s or DEFAULT_FIRST_SHARE * objective_s
        first_s = min(first_s, MAX_FIRST_SHARE * objective_s)
        first_s = max(first_s, MIN_FIRST_SHARE * objective_s)
        run_s = self.run_s or DEFAULT_RUN_SHARE * (until_s - arrived_s)
        whole_s = until_s - run_s
        return Limits(min(arrived_s + objective_s - first_s, whole_s), whole_s)


@final
class CompletionRate:
    """Recent rate at which requests of this relay leave their upstreams."""

    def __init__(self) -> None:
        self.completions: deque[float] = deque(maxlen=RATE_SAMPLES)

    def record(self, now_s: float) -> None:
        self.completions.append(now_s)

    def per_s(self, now_s: float) -> float:
        """Return the rate; 0 without recent completions."""
        recent = [
            at_s for at_s in self.completions if now_s - at_s < RATE_WINDOW_S
        ]
        if not recent:
            return 0.0
        return len(recent) / max(now_s - recent[0], 1 / len(recent))


def decide(
    limits: Limits,
    prospect: Prospect | None,
    now_s: float,
    closed_until_s: float = NOT_CLOSED_S,
) -> Wait | Refuse:
    """Decide whether a request that finds no room waits.

    It waits while it is likely to get a slot in time. Later it waits while
    slots are left over for it before it could no longer be answered as a
    whole. Otherwise it is refused at once.

    :param prospect: how soon it gets a slot; ``None`` if unknown.
    :param closed_until_s: when the first upstream takes requests again.
    """
    closed_s = max(0.0, closed_until_s - now_s)
    left_s = limits.in_time_s - now_s
    if closed_s < left_s:
        if prospect is None or prospect.wait_s <= EXPECTED_WAIT_SHARE * left_s:
            return Wait(limits.in_time_s)
    if prospect is not None:
        left_s = limits.whole_s - now_s
        expected_s = closed_s + prospect.late_wait_s
        if 0 < expected_s <= LATE_WAIT_SHARE * left_s:
            recheck_s = max(MIN_RECHECK_S, LATE_RECHECK * expected_s)
            return Wait(min(limits.whole_s, now_s + recheck_s), in_time=False)
    return Refuse(closed_until_s)


def _weigh_equally(workspace: str) -> float:
    return 1.0


@final
@dataclass(slots=True)
class WaitingLine:
    """Requests that wait for a slot of one service at one relay.

    The most urgent level goes first, unless another one has less than it is
    guaranteed. Within a level, callers that were told to return go first, then
    requests that can still be in time; workspaces take turns, and the earliest
    limit decides within one.

    :ivar entries: the waiting requests by token.
    :ivar turns: by workspace, when it is its turn again.
    :ivar weigh: returns how much more often than usual requests of a workspace
        are chosen; more than 0.
    """

    entries: dict[int, Waiting] = field(default_factory=dict)
    turns: dict[str, float] = field(default_factory=dict)
    last_turn: float = 0
    weigh: Callable[[str], float] = _weigh_equally

    @property
    def size(self) -> int:
        """Number of waiting requests."""
        return len(self.entries)

    def push(self, waiting: Waiting) -> None:
        """Add a request."""
        self.entries[waiting.token] = waiting

    def drop(self, token: int) -> None:
        """Remove a request, if it is there."""
        self.entries.pop(token, None)

    def precedes(
        self, urgency: int, rank: Callable[[int], tuple[bool, int]]
    ) -> bool:
        """Return whether a request that waits goes before a new one."""
        own = rank(urgency)
        return any(rank(one.urgency) <= own for one in self.entries.values())

    def pop(
        self,
        now_s: float,
        admits: Callable[[int], bool],
        rank: Callable[[int], tuple[bool, int]],
    ) -> Waiting | None:
        """Remove and return the request that gets the next slot.

        :param admits: whether a level may use a slot now.
        :param rank: place of a level among those that wait, lowest first.
        :returns: ``None`` if there is none.
        """
        ranks = {
            one.urgency: rank(one.urgency) for one in self.entries.values()
        }
        admitted = {urgency for urgency in ranks if admits(urgency)}
        candidates = [
            one for one in self.entries.values() if one.urgency in admitted
        ]
        if not candidates:
            return None
        chosen = min(
            candidates,
            key=lambda one: (
                ranks[one.urgency],
                not one.returned,
                now_s > one.limits.in_time_s,
                self._turn(one.workspace),
                one.limits.in_time_s,
            ),
        )
        self.entries.pop(chosen.token)
        self._record_turn(chosen.workspace)
        return chosen

    def _turn(self, workspace: str) -> float:
        """Return when it is a workspace's turn, as start-time fair queueing."""
        return max(self.turns.get(workspace, 0), self.last_turn)

    def _record_turn(self, workspace: str) -> None:
        if not self.entries:
            self.turns.clear()
            return
        self.last_turn = self._turn(workspace)
        self.turns[workspace] = self.last_turn + 1 / self.weigh(workspace)
