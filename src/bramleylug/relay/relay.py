"""Serving a caller's request by sending it to upstreams."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import final

from bramleylug.entry.answers import AnswerWriter
from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import (
    REQUEST_SECONDS,
    REQUESTS,
    RETRIES,
    RUNNING,
    count,
)
from bramleylug.outcomes import NotRun, Outcome, Ran, Reason, Unknown, run_name
from bramleylug.relay.attempt import Attempt, AttemptTimeouts, may_go_on
from bramleylug.relay.cluster_view import ClusterView
from bramleylug.relay.connection_pool import UpstreamPool
from bramleylug.relay.dialect import CallerRequest, Dialect, RequestMetadata
from bramleylug.relay.dispatch_queue import DispatchQueue
from bramleylug.relay.error_responses import describe_outcome
from bramleylug.relay.job import MILLISECONDS, Job, outcome_of
from bramleylug.relay.outcome_recorder import OutcomeRecorder
from bramleylug.relay.request_checks import RequestChecks
from bramleylug.relay.retry_budget import SharedRetryBudget
from bramleylug.relay.route_table import RetryPolicy, Route
from bramleylug.relay.settings import RelaySettings
from bramleylug.relay.upstream_selection import UpstreamSelector
from bramleylug.relay.upstreams import Upstream
from bramleylug.web.exchange import Exchange

# An idempotent request is tried elsewhere after this many objectives of
# silence; a stream after this time without an event. Callers give a stream
# up after two seconds or more.
SILENT_OBJECTIVES = 3.0
SILENT_LEAST_S = 0.4
STREAM_HEAD_S = 1.5
STREAM_GAP_S = 1.2
# Part of the margin before weights are too old in which what was sent may
# still begin; the rest is for closing the connection.
BEGIN_AFTER_DUE_S = 0.3


@final
class Relay:
    """Runs on the event loop that owns the connections to upstreams.

    :param clock: seconds that also count while the host is suspended.
    :ivar running: requests that have not ended.
    """

    def __init__(
        self,
        settings: RelaySettings,
        view: ClusterView,
        dialect: Dialect,
        clock: Callable[[], float],
    ) -> None:
        random = Random(settings.name)  # noqa: S311
        self.settings = settings
        self.view = view
        self.dialect = dialect
        self.clock = clock
        self.checks = RequestChecks(view, settings, random)
        placer = UpstreamSelector(
            view.upstreams, settings.zone, settings.region, random
        )
        self.hall = DispatchQueue(view, placer, clock)
        self.lessons = OutcomeRecorder(view)
        self.budget = SharedRetryBudget(
            settings.retry_share,
            settings.retry_reserve,
            view.peers.relay_count,
            clock,
        )
        self.pool = UpstreamPool(clock)
        self.running = 0

    async def serve(self, exchange: Exchange) -> None:
        """Serve one exchange to its end."""
        self._count_running(1)
        arrived_s = self.clock()
        writer = AnswerWriter(
            exchange, self.settings.caller_bytes, describe_outcome
        )
        task = asyncio.current_task()
        if task is not None:
            writer.on_disconnect = task.cancel
        request = self.dialect.read_request(exchange)
        accepted = self.checks.judge(request)
        job: Job | None = None
        outcome: Outcome
        if isinstance(accepted, NotRun):
            outcome = accepted
        else:
            job = Job.from_request(request, accepted, writer, arrived_s)
            outcome = await self._guard(job)
        self._count_running(-1)
        writer.on_disconnect = _ignore
        writer.conclude(outcome)
        self._record(request, job, outcome, arrived_s)

    async def _guard(self, job: Job) -> Outcome:
        """Serve within the time there is, whatever goes wrong."""
        try:
            async with asyncio.timeout(job.until_s - self.clock()):
                return await self._try_upstreams(job)
        except TimeoutError:
            return job.too_late()
        except asyncio.CancelledError:
            if not job.writer.caller_disconnected:
                raise
            return Unknown(Reason.slow_reader, 'caller has gone')
        except Exception as error:  # noqa: BLE001
            emit(LogEvent.worker_failed, work='relay', error=repr(error))
            return Unknown(Reason.internal, repr(error))

    async def _try_upstreams(self, job: Job) -> Outcome:
        outcome: Outcome | None = None
        while True:
            upstream = await self.hall.find_place(job, first=outcome is None)
            if isinstance(upstream, NotRun):
                return outcome_of(outcome, upstream)
            latest = await self._send(job, upstream)
            outcome = outcome_of(outcome, latest)
            if not may_go_on(job.route, latest, started=job.writer.started):
                return outcome
            if job.may_have_run and job.route.retry_policy is RetryPolicy.never:
                return outcome
            if not self._may_retry(job):
                return outcome

    def _may_retry(self, job: Job) -> bool:
        if not job.tried:
            # Nothing arrived anywhere: connecting elsewhere costs no retry.
            return True
        if len(job.tried) >= job.route.max_attempts:
            return False
        service = job.accepted.service
        granted = self.budget.take(service)
        count(RETRIES, service=service, granted=str(granted).lower())
        return granted

    async def _send(self, job: Job, upstream: Upstream) -> Outcome:
        if job.accepted.workspace and not self.checks.keys_are_fresh():
            return self.checks.stale_keys()
        now_s = self.clock()
        if upstream.is_cold(now_s) and upstream.cold is not None:
            upstream.cold.take(now_s)
        job.load = upstream.load(now_s)
        if not job.tried:
            self.budget.first_try(job.accepted.service)
        attempt = Attempt(
            job.request, job.route, job.writer, job.progress, self.clock
        )
        upstream.running += 1
        upstream.starting += 1
        attempt.on_begun = upstream.note_begun
        outcome: Outcome | None = None
        try:
            outcome = await attempt.run(
                upstream,
                self._delivery(job, upstream),
                self.pool,
                self.dialect,
                self._patience(job, upstream),
            )
        finally:
            self._note_sent(job, upstream, attempt, outcome)
        self.lessons.learn(job, upstream, outcome)
        return outcome

    def _note_sent(
        self,
        job: Job,
        upstream: Upstream,
        attempt: Attempt,
        outcome: Outcome | None,
    ) -> None:
        upstream.running -= 1
        if not attempt.begun:
            upstream.note_begun()
        if attempt.reached:
            job.tried.append(upstream.record.upstream_id)
            job.may_have_run |= not isinstance(outcome, NotRun)
        self.hall.note_freed(job.accepted.service)

    def _delivery(self, job: Job, upstream: Upstream) -> RequestMetadata:
        model = job.request.model
        version = 0
        if model and self.view.versions.newest(model):
            held = upstream.weights_of(model, self.clock())
            version = 0 if held is None else held.version
        return RequestMetadata(
            upstream.record.upstream_id,
            job.workspace_name,
            job.until_s - self.clock(),
            job.accepted.urgency,
            version,
            job.resume_after,
        )

    def _patience(self, job: Job, upstream: Upstream) -> AttemptTimeouts:
        """Return how long to wait; not past the time of old weights.

        A request that is still queued at the engine then would begin on
        weights that are too old.
        """
        patience = patience_of(job.route)
        held = upstream.weights_of(job.request.model, self.clock())
        if held is None:
            return patience
        due_s = self.view.versions.expires_s(job.request.model, held.version)
        if due_s is None:
            return patience
        return replace(patience, begin_by_s=due_s + BEGIN_AFTER_DUE_S)

    def _count_running(self, change: int) -> None:
        self.running += change
        RUNNING.set({'instance': self.settings.name}, self.running)

    def _record(
        self,
        request: CallerRequest,
        job: Job | None,
        outcome: Outcome,
        arrived_s: float,
    ) -> None:
        took_s = self.clock() - arrived_s
        table = self.view.table
        service = '' if job is None else job.accepted.service
        count(REQUESTS, service=service, outcome=run_name(outcome))
        REQUEST_SECONDS.observe({'service': service}, took_s)
        emit(
            LogEvent.request_decided,
            request_id=request.request_id,
            outcome=run_name(outcome),
            reason=str(outcome.reason or ''),
            status=outcome.status if isinstance(outcome, Ran) else 0,
            detail=outcome.message,
            service=service,
            took_ms=round(took_s * MILLISECONDS),
            configuration=0 if table is None else table.version,
            store_age_ms=round(self.view.store_age_s() * MILLISECONDS),
            **_inputs(job),
        )


def patience_of(route: Route) -> AttemptTimeouts:
    """Return how long an upstream may be silent for a route's requests."""
    match route.retry_policy:
        case RetryPolicy.always:
            silent_s = SILENT_OBJECTIVES * route.objective_s
            return AttemptTimeouts(max(SILENT_LEAST_S, silent_s), None)
        case RetryPolicy.resume:
            return AttemptTimeouts(STREAM_HEAD_S, STREAM_GAP_S)
        case RetryPolicy.never:
            return AttemptTimeouts(None, None)


def _inputs(job: Job | None) -> dict[str, object]:
    """Return what decided a request, for its log line."""
    if job is None:
        return {}
    return {
        'route': job.route.name,
        'given_ms': round((job.until_s - job.arrived_s) * MILLISECONDS),
        'workspace': job.workspace_name,
        'upstreams': job.tried,
        'load': job.load,
        'waited_ms': round(job.waited_s * MILLISECONDS),
        'first_ms': job.first_ms(),
        'gap_ms': round(job.progress.longest_gap_s * MILLISECONDS),
    }


def _ignore() -> None:
    """Do nothing."""
