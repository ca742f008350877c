"""State of one request while the relay serves it."""

from dataclasses import dataclass, field
from typing import final

from bramleylug.cluster.route_table import Route
from bramleylug.cluster.upstreams import Upstream
from bramleylug.entry.answers import AnswerWriter
from bramleylug.outcomes import NotRun, Outcome, Ran, Reason, Unknown
from bramleylug.relay.attempt import AnswerProgress
from bramleylug.relay.dialect import CallerRequest
from bramleylug.relay.event_splitter import EventSplitter
from bramleylug.relay.hedge import SecondAttempt
from bramleylug.relay.request_checks import Accepted, RequestChecks
from bramleylug.scheduling.placing import Requirements
from bramleylug.scheduling.demand import Level
from bramleylug.scheduling.estimate import WorkEstimate

MILLISECONDS = 1000
# The relay's own timeout answer is sent this long before the time limit of
# the route, so that it arrives in time.
TIMEOUT_MARGIN_S = 0.03
# Another relay can serve the request immediately; the caller only has to ask
# the directory for its address.
OTHER_RELAY_RETRY_S = 0.05


@final
@dataclass(slots=True)
class RequestContext:
    """One accepted request and the state of its attempts.

    :ivar accepted_version: version of the configuration under which it was
        accepted at first.
    :ivar until_s: latest time of the final answer to the caller.
    :ivar tried: ids of the upstreams that received it.
    :ivar waited_s: time it waited in the queue for a free slot.
    :ivar load: requests running at its last upstream when it was sent.
    :ivar estimate: what it was to get at its last upstream; ``None`` if
        unknown.
    :ivar moving_to: the upstream for which its silent one is given up.
    :ivar hedge: the second attempt, at that upstream.
    :ivar hedged_outcome: how a second attempt ended that may have run.
    :ivar may_have_run: whether an upstream received it and did not answer
        that it was not run.
    :ivar stopped: whether a planned stop of this relay shortens its time
        limit.
    :ivar has_begun: whether an upstream has begun to answer it.
    :ivar level: what its load is counted under, from its first acceptance.
    :ivar returned: whether its caller was refused and told to return now.
    :ivar expected_wait_s: how long it was expected to wait for a slot, when it
        found none.
    """

    request: CallerRequest
    accepted: Accepted
    writer: AnswerWriter
    arrived_s: float
    until_s: float
    accepted_version: int
    progress: AnswerProgress = field(default_factory=AnswerProgress)
    tried: list[str] = field(default_factory=list)
    waited_s: float = 0
    load: float = 0
    estimate: WorkEstimate | None = None
    moving_to: Upstream | None = None
    hedge: SecondAttempt | None = None
    hedged_outcome: Outcome | None = None
    may_have_run: bool = False
    stopped: bool = False
    has_begun: bool = False
    level: Level = Level('', 0)
    returned: bool = False
    expected_wait_s: float = 0

    @classmethod
    def from_request(
        cls,
        request: CallerRequest,
        accepted: Accepted,
        writer: AnswerWriter,
        arrived_s: float,
    ) -> 'RequestContext':
        """Return a context limited by the caller's deadline and the route."""
        limit_s = accepted.route.timeout_s
        if request.deadline_s is not None:
            limit_s = min(limit_s, request.deadline_s)
        until_s = arrived_s + limit_s - TIMEOUT_MARGIN_S
        context = cls(
            request, accepted, writer, arrived_s, until_s, accepted.version
        )
        context.level = Level(accepted.service, accepted.rank)
        context.accept(accepted)
        return context

    def accept(self, accepted: Accepted) -> None:
        """Handle the request as accepted from now on.

        Its time limit stays that of the first acceptance.
        """
        self.accepted = accepted
        if self.tried:
            return
        self.progress.splitter = (
            EventSplitter(self.request.resume_after)
            if accepted.route.streamed
            else None
        )

    def renew(self, checks: RequestChecks) -> NotRun | None:
        """Check the request again; return why it must not be sent."""
        renewed = checks.renew(
            self.request, self.accepted, sent=bool(self.tried)
        )
        if isinstance(renewed, NotRun):
            return renewed
        if renewed is not self.accepted:
            self.accept(renewed)
        return None

    @property
    def route(self) -> Route:
        return self.accepted.route

    @property
    def workspace_name(self) -> str:
        """Name of the workspace; empty on a public route."""
        workspace = self.accepted.workspace
        return '' if workspace is None else workspace.name

    @property
    def resume_after(self) -> str:
        """Id of the last event that the caller has received."""
        splitter = self.progress.splitter
        if splitter is None:
            return self.request.resume_after
        return splitter.last_id

    def requirements(self) -> Requirements:
        """Return what it requires of its next upstream."""
        return Requirements(
            service=self.accepted.service,
            model=self.request.model,
            regions=self.accepted.regions,
            tried=frozenset(self.tried),
            size=self.request.size,
            objective_s=self.route.objective_s,
            pause_objective_s=self.route.pause_objective_s,
        )

    def first_piece_ms(self) -> int:
        """Return the time to the first piece; 0 if there was none."""
        first_s = self.progress.first_s
        if first_s is None:
            return 0
        return round((first_s - self.arrived_s) * MILLISECONDS)

    def estimate_ms(self) -> int | None:
        """Return the estimated time to the first event; ``None`` without."""
        if self.estimate is None:
            return None
        return round(self.estimate.first_s * MILLISECONDS)

    def timeout_outcome(self) -> Outcome:
        """Return the outcome when the time limit has been reached."""
        if self.may_have_run or self.writer.started:
            reason = Reason.leaving if self.stopped else Reason.deadline
            return Unknown(reason, 'no answer in time')
        if self.stopped:
            return leaving_refusal()
        return NotRun(Reason.deadline, 'no free slot in time')


def leaving_refusal() -> NotRun:
    """Return the refusal of a relay that stops as planned."""
    return NotRun(Reason.leaving, 'use another relay', OTHER_RELAY_RETRY_S)


def merge_outcomes(previous: Outcome | None, latest: Outcome) -> Outcome:
    """Return the outcome of a request after one more attempt.

    Once an upstream may have run the request, a later refusal does not
    change that.
    """
    if isinstance(previous, Unknown | Ran) and isinstance(latest, NotRun):
        return previous
    return latest
