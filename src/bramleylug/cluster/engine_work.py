"""What this process has at one upstream, and how fast that is served."""

import math
from dataclasses import dataclass, field
from typing import NamedTuple, final

from bramleylug.scheduling.estimate import EngineLoad, EngineModel, WorkEstimate
from bramleylug.scheduling.pace import MAX_PACE, PassTimes

# A first event that is later than estimated by this factor shows a slow
# engine; less than that is shown by any prompt of others.
LATE_FACTOR = 1.5
MIN_EXPECTED_S = 0.01
# Age at which what another relay told is no longer true.
TOLD_TTL_S = 1.5


class Unread(NamedTuple):
    """A request whose answer has not started.

    :ivar tokens: tokens of its prompt.
    :ivar expected_s: when its answer was expected to start; infinite if
        unknown.
    """

    sent_s: float
    tokens: int
    expected_s: float

    def lateness(self, now_s: float) -> float:
        """Return how many times longer than expected it has waited."""
        waited_s = now_s - self.sent_s
        return waited_s / max(self.expected_s - self.sent_s, MIN_EXPECTED_S)


class ToldWork(NamedTuple):
    """What another relay has at an engine.

    :ivar unread: requests whose answers have not started.
    :ivar unread_tokens: tokens of their prompts.
    :ivar pace: as that relay's streams show; 0 if they show nothing.
    """

    at_s: float
    unread: int
    unread_tokens: int
    pace: float


class ReportedWork(NamedTuple):
    """What a loader reports of an engine, and all relays of their requests.

    :ivar requests: requests that it has.
    :ivar pace: as its loader reports; 1 if unknown.
    :ivar at_s: when that was received.
    """

    slots: int
    requests: float
    pace: float
    at_s: float


@final
@dataclass(slots=True)
class UpstreamWork:
    """Requests of this process at one incarnation of an upstream.

    :ivar unread: by token, those whose answers have not started.
    :ivar told: by relay, what it has there.
    """

    unread: dict[int, Unread] = field(default_factory=dict)
    told: dict[str, ToldWork] = field(default_factory=dict)
    passes: PassTimes = field(default_factory=PassTimes)

    def record_sent(
        self,
        token: int,
        tokens: int,
        now_s: float,
        estimate: WorkEstimate | None,
    ) -> None:
        """Record a request that is sent.

        :param tokens: tokens of its prompt.
        :param estimate: what it is to get; ``None`` if unknown.
        """
        first_s = math.inf if estimate is None else estimate.first_s
        self.unread[token] = Unread(now_s, tokens, now_s + first_s)

    def record_started(self, token: int) -> None:
        """Record that its answer has started, or never will."""
        self.unread.pop(token, None)

    def load(
        self, model: EngineModel, reported: ReportedWork, now_s: float
    ) -> EngineLoad:
        """Return the load of an engine as far as this process knows."""
        told = [
            one for one in self.told.values() if now_s - one.at_s < TOLD_TTL_S
        ]
        paces = [(one.at_s, one.pace) for one in told if one.pace]
        paces.append((reported.at_s, reported.pace))
        pace = self.passes.pace(max(paces)[1], model.write_s(1), now_s)
        return EngineLoad(
            reported.slots,
            reported.requests,
            len(self.unread) + sum(other.unread for other in told),
            sum(own.tokens for own in self.unread.values())
            + sum(other.unread_tokens for other in told),
            max(pace, self.lateness(now_s)),
        )

    def lateness(self, now_s: float) -> float:
        """Return the pace that a late first event shows; 1 if none is late."""
        if not self.unread:
            return 1.0
        late = max(one.lateness(now_s) for one in self.unread.values())
        return min(MAX_PACE, late) if late > LATE_FACTOR else 1.0
