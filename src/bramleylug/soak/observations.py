"""What clients, engines and the operator observe during a soak."""

from dataclasses import dataclass, field
from enum import Enum, unique
from typing import NamedTuple, final

# A relay disturbed within this time before a run is exempt from the limits.
STABLE_RELAY_S = 3.0


@final
@unique
class Outcome(Enum):
    """How a request ended for its client.

    ``left`` is a stream that its client gave up before its deadline.
    """

    complete = 'whole'
    refused = 'refused'
    failed = 'failed'
    denied = 'denied'
    left = 'left'


class RequestRecord(NamedTuple):
    """A request as its client saw it.

    :ivar booking: whether it was a booking, or else a stream.
    :ivar sent_s: Unix time at which it was sent.
    :ivar error: what was wrong with a complete answer; empty if valid.
    :ivar key: API key that it carried.
    :ivar relay: name of the relay that it was sent to.
    :ivar ended_s: Unix time at which it ended.
    :ivar harmful: whether a part of its prompt crashes engines.
    """

    request_id: str
    booking: bool
    sent_s: float
    outcome: Outcome
    error: str
    key: str
    relay: str
    ended_s: float
    harmful: bool = False


class Run(NamedTuple):
    """The run of a request on an engine.

    :ivar at_s: Unix time of its start.
    :ivar version: version of the weights at its start; 0 for none.
    :ivar leaving: whether the engine said in its answer that it leaves.
    :ivar limit_per_s: limit that it named in its answer; ``None`` for none.
    """

    request_id: str
    at_s: float
    version: int
    engine: str
    zone: str
    leaving: bool
    limit_per_s: float | None = None


class Rejection(NamedTuple):
    """A request that an engine turned away with a time to come back.

    :ivar at_s: Unix time of its arrival.
    :ivar retry_after_s: time for which its relay must send nothing.
    """

    request_id: str
    at_s: float
    retry_after_s: float
    engine: str


class HarmfulRun(NamedTuple):
    """A request that began to run and crashed its engine.

    :ivar at_s: Unix time of its start.
    """

    request_id: str
    at_s: float
    engine: str


class Unanswered(NamedTuple):
    """A whole request that its relay read without any answer.

    :ivar at_s: Unix time at which it was sent.
    """

    request_id: str
    at_s: float
    relay: str


class SilentPage(NamedTuple):
    """A page of a relay that did not answer beside many connections.

    :ivar from_s: Unix time at which the connections began.
    :ivar until_s: Unix time at which the page was given up.
    """

    relay: str
    page: str
    from_s: float
    until_s: float


class Interval(NamedTuple):
    """An interval of Unix time, with the name of what it applies to."""

    name: str
    from_s: float
    until_s: float


@final
@dataclass(slots=True)
class Observations:
    """Everything observed during a soak; times are Unix times.

    :ivar engine_violations: violations that engines reported themselves.
    :ivar duty_violations: those that the service of the duties reported.
    :ivar corrupt_runs: runs with layers taken from corrupt chunks, however
        recently these had turned corrupt.
    :ivar targets_set_s: when each version became the target version.
    :ivar revocations: intervals in which a key was revoked.
    :ivar evacuations: intervals in which a zone was evacuated.
    :ivar disturbances: intervals in which faults affected a relay, by its
        name, or the store, with an empty name.
    :ivar faults: intervals in which faults were injected, by their kind.
    :ivar configurations_s: when each configuration was published.
    :ivar harmful_runs: requests that crashed engines.
    :ivar crashes_s: when engines crashed under such requests.
    :ivar unanswered: requests that were read and not answered.
    :ivar silent_pages: pages of relays that did not answer.
    :ivar faults_ended_s: when the effects of the last fault had to be over.
    """

    requests: list[RequestRecord] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    rejections: list[Rejection] = field(default_factory=list)
    engine_violations: list[str] = field(default_factory=list)
    duty_violations: list[str] = field(default_factory=list)
    corrupt_runs: set[str] = field(default_factory=set)
    targets_set_s: dict[int, float] = field(default_factory=dict)
    revocations: list[Interval] = field(default_factory=list)
    evacuations: list[Interval] = field(default_factory=list)
    disturbances: list[Interval] = field(default_factory=list)
    faults: list[Interval] = field(default_factory=list)
    configurations_s: list[float] = field(default_factory=list)
    harmful_runs: list[HarmfulRun] = field(default_factory=list)
    crashes_s: list[float] = field(default_factory=list)
    unanswered: list[Unanswered] = field(default_factory=list)
    silent_pages: list[SilentPage] = field(default_factory=list)
    faults_ended_s: float = float('inf')

    def was_disturbed(self, relay: str, since_s: float) -> bool:
        """Return whether a fault affected a relay after a time."""
        return any(
            interval.name == relay and interval.until_s > since_s
            for interval in self.disturbances
        )

    def was_disturbed_within(
        self, relay: str, from_s: float, until_s: float
    ) -> bool:
        """Return whether a fault affected a relay in a span of Unix time.

        It still does for :data:`STABLE_RELAY_S` after its end.
        """
        return any(
            interval.name == relay
            and interval.from_s < until_s
            and from_s < interval.until_s + STABLE_RELAY_S
            for interval in self.disturbances
        )

    def is_exempt(self, request_id: str, at_s: float, since_s: float) -> bool:
        """Return whether a time limit does not apply to a run.

        It does not apply if a fault affected the store after the limit began
        to count, or the relay within :data:`STABLE_RELAY_S` before the run.

        :param at_s: Unix time of the run.
        :param since_s: Unix time at which the limit began to count.
        """
        relays = {
            request.relay
            for request in self.requests
            if request.request_id == request_id
        }
        store_disturbed = any(
            not interval.name
            and interval.from_s < at_s
            and since_s < interval.until_s
            for interval in self.disturbances
        )
        return store_disturbed or any(
            self.was_disturbed_within(relay, at_s, at_s) for relay in relays
        )
