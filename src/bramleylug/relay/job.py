"""One request on its way through the relay."""

from dataclasses import dataclass, field
from typing import final

from bramleylug.entry.answers import AnswerWriter
from bramleylug.outcomes import NotRun, Outcome, Ran, Reason, Unknown
from bramleylug.relay.attempt import Progress
from bramleylug.relay.dialect import CallerRequest
from bramleylug.relay.event_splitter import EventSplitter
from bramleylug.relay.request_checks import Accepted
from bramleylug.relay.route_table import Route
from bramleylug.relay.upstream_selection import Requirements

MILLISECONDS = 1000
# A caller is told that nothing came in time a moment before its route's
# time is over, so that the answer arrives within it.
FINAL_MARGIN_S = 0.03


@final
@dataclass(slots=True)
class Job:
    """One request on its way through the relay.

    :ivar until_s: when its caller gets a final answer at the latest.
    :ivar tried: upstreams that it reached.
    :ivar waited_s: time it waited here for a free slot.
    :ivar load: requests that its last upstream had when it was sent.
    :ivar may_have_run: whether an upstream got it and did not deny that it
        ran.
    """

    request: CallerRequest
    accepted: Accepted
    writer: AnswerWriter
    arrived_s: float
    until_s: float
    progress: Progress = field(default_factory=Progress)
    tried: list[str] = field(default_factory=list)
    waited_s: float = 0
    load: float = 0
    may_have_run: bool = False

    @classmethod
    def from_request(
        cls,
        request: CallerRequest,
        accepted: Accepted,
        writer: AnswerWriter,
        arrived_s: float,
    ) -> 'Job':
        """Return a job that ends with its deadline or its route's time."""
        limit_s = accepted.route.timeout_s
        if request.deadline_s is not None:
            limit_s = min(limit_s, request.deadline_s)
        until_s = arrived_s + limit_s - FINAL_MARGIN_S
        job = cls(request, accepted, writer, arrived_s, until_s)
        if accepted.route.streamed:
            job.progress.splitter = EventSplitter(request.resume_after)
        return job

    @property
    def route(self) -> Route:
        """Route of the request."""
        return self.accepted.route

    @property
    def workspace_name(self) -> str:
        """Name of the customer; empty on a public route."""
        workspace = self.accepted.workspace
        return '' if workspace is None else workspace.name

    @property
    def resume_after(self) -> str:
        """Last event that the caller has."""
        splitter = self.progress.splitter
        if splitter is None:
            return self.request.resume_after
        return splitter.last_id

    def demand(self) -> Requirements:
        """Return what it asks of the choice of an upstream."""
        return Requirements(
            service=self.accepted.service,
            model=self.request.model,
            regions=self.accepted.regions,
            tried=frozenset(self.tried),
        )

    def first_ms(self) -> int:
        """Return the time to the first piece; 0 where there was none."""
        first_s = self.progress.first_s
        if first_s is None:
            return 0
        return round((first_s - self.arrived_s) * MILLISECONDS)

    def too_late(self) -> Outcome:
        """Return what became of it when its time was over."""
        if self.may_have_run or self.writer.started:
            return Unknown(Reason.deadline, 'no answer in time')
        return NotRun(Reason.deadline, 'no room in time')


def outcome_of(before: Outcome | None, latest: Outcome) -> Outcome:
    """Return what became of a request after one more step.

    Once an upstream may have run it, no later refusal makes it not run.
    """
    if isinstance(before, Unknown | Ran) and isinstance(latest, NotRun):
        return before
    return latest
