"""Serves callers' requests: selection, attempts, retries and logging."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from math import isfinite
from random import Random
from typing import final

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.route_table import RetryPolicy, Route
from bramleylug.cluster.upstreams import Upstream, incarnation_of
from bramleylug.entry.answers import AnswerWriter
from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import (
    REQUEST_SECONDS,
    REQUESTS,
    RUNNING,
    count,
)
from bramleylug.outcomes import NotRun, Outcome, Ran, Reason, Unknown, run_name
from bramleylug.relay.attempt import Attempt, AttemptTimeouts, may_retry
from bramleylug.relay.connection_pool import ConnectionPool
from bramleylug.relay.dialect import Dialect, RequestMetadata
from bramleylug.relay.dispatch_queue import DispatchQueue
from bramleylug.relay.error_responses import error_response
from bramleylug.relay.handover import Handover
from bramleylug.relay.hedge import SecondAttempt
from bramleylug.relay.outcome_recorder import OutcomeRecorder
from bramleylug.relay.planned_stop import PlannedStop
from bramleylug.relay.request_checks import RequestChecks
from bramleylug.relay.request_context import (
    MILLISECONDS,
    RequestContext,
    leaving_refusal,
    merge_outcomes,
)
from bramleylug.relay.retry_budget import SharedRetryBudget
from bramleylug.relay.settings import RelaySettings
from bramleylug.relay.silence import CALLER_PATIENCE_S
from bramleylug.scheduling.placing import (
    UpstreamSelector,
    ineligible_reason,
)
from bramleylug.scheduling.demand import DemandMeter
from bramleylug.web.descriptors import DescriptorBudget
from bramleylug.web.exchange import Exchange

# Another upstream is looked for after this many latency objectives for an
# idempotent request, and after the given time without an event for a stream.
# Callers abandon a stream after 2 s or more.
TIMEOUT_OBJECTIVES = 3.0
MIN_TIMEOUT_S = 0.4
STREAM_FIRST_EVENT_S = 1.5
STREAM_IDLE_S = 1.2
# An upstream is silent if nothing at all is received from it while a request
# waits there for this time, and for the timeout of an idempotent request.
QUIET_LIMIT_S = 1.0
# Streams that have begun are silent for much less, even if the prompts of
# others are read in between.
QUIET_STREAM_S = 0.5
# Requests sent on outdated weights may still start for this part of the margin
# before the version limit; the rest is for closing the connection.
LATE_START_S = 0.3
# A request that one relay cannot handle may be handled by another one.
INTERNAL_RETRY_S = 0.5


@final
class Relay:
    """Serves requests on the event loop of the upstream connections.

    :param clock: seconds that also count while the host is suspended.
    :param descriptors: limits the connections to upstreams; by default there
        is no limit.
    :ivar running: requests that have not ended.
    :ivar demand: those by service and urgency.
    :ivar on_begun: called with the workspace of each request that an upstream
        has begun to answer, once.
    """

    def __init__(
        self,
        settings: RelaySettings,
        view: ClusterView,
        dialect: Dialect,
        clock: Callable[[], float],
        descriptors: DescriptorBudget | None = None,
    ) -> None:
        random = Random(settings.name)  # noqa: S311
        self.settings = settings
        self.view = view
        self.dialect = dialect
        self.clock = clock
        self.checks = RequestChecks(view, settings, random)
        selector = UpstreamSelector(
            view.upstreams, settings.zone, settings.region, random
        )
        self.dispatch_queue = DispatchQueue(view, selector, self.checks, clock)
        self.outcome_recorder = OutcomeRecorder(view)
        self.retry_budget = SharedRetryBudget(
            settings.retry_share,
            settings.retry_reserve,
            view.peers.relay_count,
            clock,
        )
        self.handover = Handover(
            self.dispatch_queue, self.checks, self.retry_budget
        )
        self.pool = ConnectionPool(clock, descriptors or DescriptorBudget())
        self.planned_stop = PlannedStop(clock)
        self.running = 0
        self.demand = DemandMeter()
        self.dispatch_queue.demand = self.demand
        self.on_begun: Callable[[str], None] = _ignore_workspace
        self.shares = self.dispatch_queue.shares

    async def serve(self, exchange: Exchange) -> None:
        """Serve one exchange to its end.

        An exception is answered: as not run before the first attempt, later
        as unknown.
        """
        self._count_running(1)
        try:
            await self._serve(exchange)
        finally:
            self._count_running(-1)

    async def _serve(self, exchange: Exchange) -> None:
        arrived_s = self.clock()
        writer = AnswerWriter(
            exchange, self.settings.caller_bytes, error_response
        )
        task = asyncio.current_task()
        if task is not None:
            writer.on_disconnect = task.cancel
        context: RequestContext | None = None
        outcome: Outcome
        match self._accept(exchange, writer, arrived_s):
            case NotRun() as refusal:
                outcome = refusal
            case RequestContext() as context:
                self.demand.of(context.level).asked.record(arrived_s)
                self.shares.record_arrival(context)
                outcome = await self._serve_with_timeout(context)
        writer.on_disconnect = _ignore
        writer.conclude(outcome)
        self._record(exchange.request_id, context, outcome, arrived_s)

    def _accept(
        self, exchange: Exchange, writer: AnswerWriter, arrived_s: float
    ) -> RequestContext | NotRun:
        """Return the context of a request, or its refusal."""
        try:
            request = self.dialect.read_request(exchange)
            accepted = self.checks.check(request)
            if isinstance(accepted, NotRun):
                return accepted
            return RequestContext.from_request(
                request, accepted, writer, arrived_s
            )
        except Exception as error:  # noqa: BLE001
            emit(
                LogEvent.worker_failed,
                work='relay',
                error=repr(error),
                request_id=exchange.request_id,
            )
            return NotRun(Reason.internal, repr(error), INTERNAL_RETRY_S)

    async def _serve_with_timeout(self, context: RequestContext) -> Outcome:
        """Return an outcome in every case: answer, error or timeout."""
        if not self.planned_stop.leaves_time_for(context):
            return leaving_refusal()
        try:
            async with asyncio.timeout(context.until_s - self.clock()) as limit:
                with self.planned_stop.watch(context, limit):
                    return await self._run_attempts(context)
        except TimeoutError:
            return context.timeout_outcome()
        except asyncio.CancelledError:
            if not context.writer.caller_disconnected:
                raise
            return Unknown(Reason.slow_reader, 'caller disconnected')
        except Exception as error:  # noqa: BLE001
            emit(LogEvent.worker_failed, work='relay', error=repr(error))
            return Unknown(Reason.internal, repr(error))
        finally:
            if context.hedge is not None:
                context.hedge.discard()

    async def _run_attempts(self, context: RequestContext) -> Outcome:
        outcome: Outcome | None = None
        upstream = await self.dispatch_queue.assign(context, first=True)
        while isinstance(upstream, Upstream):
            refusal = self._recheck(context)
            if refusal is not None:
                return merge_outcomes(outcome, refusal)
            latest = await self._attempt(context, upstream)
            outcome = merge_outcomes(outcome or context.hedged_outcome, latest)
            if not may_retry(
                context.route, latest, started=context.writer.started
            ):
                return outcome
            if (
                context.may_have_run
                and context.route.retry_policy is RetryPolicy.never
            ):
                return outcome
            following = await self.handover.next_upstream(context)
            if following is None:
                return outcome
            upstream = following
        return merge_outcomes(outcome, upstream)

    def _recheck(self, context: RequestContext) -> NotRun | None:
        """Return why a request must not be sent any more."""
        if context.hedge is not None:
            # It was checked when it was sent to this upstream.
            return None
        return context.renew(self.checks)

    def _check_sending(
        self, context: RequestContext, upstream: Upstream, route: Route
    ) -> NotRun | None:
        """Return why a request is not sent to an upstream after all.

        Connecting takes time, in which the configuration, the upstream and
        what restricts the choice of one may have changed.

        :param route: the route with which the attempt began.
        """
        refusal = context.renew(self.checks)
        if refusal is not None:
            return refusal
        requirements = context.requirements()
        reason = ineligible_reason(
            upstream, requirements, self.view.constraints(), self.clock()
        )
        if upstream.leaving or upstream.removed:
            reason = 'upstream is leaving'
        if upstream.record.service != requirements.service:
            reason = 'it serves another service'
        if context.route != route:
            reason = 'the route has changed'
        return NotRun(Reason.outdated_choice, reason) if reason else None

    async def _attempt(
        self, context: RequestContext, upstream: Upstream
    ) -> Outcome:
        hedge = context.hedge
        context.hedge = None
        attempt = (
            self._start_attempt(context, upstream)
            if hedge is None
            else hedge.attempt
        )
        outcome: Outcome | None = None
        try:
            outcome = await attempt.run(
                upstream,
                partial(self._metadata, context, upstream),
                self.pool,
                self.dialect,
                self._timeouts(context, upstream),
            )
        finally:
            self._record_attempt(context, upstream, attempt, outcome)
        self._record_outcome(context, upstream, attempt, outcome)
        return outcome

    def _start_attempt(
        self, context: RequestContext, upstream: Upstream
    ) -> Attempt:
        """Return an attempt that counts as running at its upstream."""
        context.load = upstream.load(self.clock())
        if not context.tried:
            self.retry_budget.record_first_attempt(context.accepted.service)
        attempt = Attempt(
            context.request,
            context.route,
            context.writer,
            context.progress,
            self.clock,
        )
        upstream.running += 1
        upstream.unstarted += 1
        upstream.work.record_sent(
            id(attempt),
            context.request.size.prompt_tokens,
            self.clock(),
            context.estimate,
        )
        self.view.work.announce(upstream)
        self.demand.of(context.level).running += 1
        self.shares.record_sent(context)
        attempt.on_sent = partial(
            context.tried.append, upstream.record.upstream_id
        )
        attempt.check_sending = partial(
            self._check_sending, context, upstream, context.route
        )
        attempt.reader.hedge = partial(self._hedge, context)
        attempt.reader.queue_move = partial(
            self.dispatch_queue.queue_move, context.accepted.service
        )
        attempt.on_answer_started = partial(
            self._begin_answer, context, upstream, attempt
        )
        attempt.on_proven = partial(
            self.outcome_recorder.record_proven, context
        )
        attempt.on_metadata = partial(
            self.outcome_recorder.record_metadata,
            attempt,
            incarnation_of(upstream.record),
        )
        return attempt

    def _begin_answer(
        self, context: RequestContext, upstream: Upstream, attempt: Attempt
    ) -> None:
        self._record_started(upstream, attempt)
        self._record_begun(context)

    def _record_begun(self, context: RequestContext) -> None:
        if not context.has_begun:
            context.has_begun = True
            self.on_begun(context.workspace_name)

    def _hedge(self, context: RequestContext) -> SecondAttempt | None:
        """Return a second attempt, if another upstream can be tried now."""
        if not self.handover.try_move(context) or context.moving_to is None:
            return None
        upstream = context.moving_to
        attempt = self._start_attempt(context, upstream)
        context.hedge = SecondAttempt(
            attempt,
            upstream,
            partial(
                attempt.prepare,
                upstream,
                partial(self._metadata, context, upstream),
                self.pool,
                self.dialect,
                self._timeouts(context, upstream),
            ),
            partial(self._record_hedge, context, upstream, attempt),
        )
        return context.hedge

    def _record_hedge(
        self,
        context: RequestContext,
        upstream: Upstream,
        attempt: Attempt,
        outcome: Outcome | None,
    ) -> None:
        """Record a second attempt that does not take over."""
        context.hedge = None
        context.moving_to = None
        self._record_attempt(context, upstream, attempt, outcome)
        if attempt.sent and not isinstance(outcome, NotRun):
            context.hedged_outcome = Unknown(
                Reason.upstream_failed, 'another upstream may have run it'
            )
        if outcome is not None:
            self._record_outcome(context, upstream, attempt, outcome)
        context.progress.cold_for_s = 0

    def _record_outcome(
        self,
        context: RequestContext,
        upstream: Upstream,
        attempt: Attempt,
        outcome: Outcome,
    ) -> None:
        """Record what an attempt says about its upstream, if anything."""
        if attempt.sent or outcome.reason is Reason.connection_failed:
            self.outcome_recorder.record(context, upstream, outcome)

    def _record_attempt(
        self,
        context: RequestContext,
        upstream: Upstream,
        attempt: Attempt,
        outcome: Outcome | None,
    ) -> None:
        upstream.running -= 1
        self.demand.of(context.level).running -= 1
        if not attempt.answer_started:
            self._record_started(upstream, attempt)
        if attempt.sent:
            upstream.responsiveness.record_ended(self.clock())
            context.may_have_run |= not isinstance(outcome, NotRun)
        self.dispatch_queue.record_completion(context.accepted.service)

    def _record_started(self, upstream: Upstream, attempt: Attempt) -> None:
        """Record that an answer has started, or never will."""
        upstream.record_started(id(attempt))
        self.view.work.announce(upstream)

    def _metadata(
        self, context: RequestContext, upstream: Upstream
    ) -> RequestMetadata:
        model = context.request.model
        version = 0
        if model and self.view.versions.newest(model):
            held = upstream.weights_of(model, self.clock())
            version = 0 if held is None else held.version
        return RequestMetadata(
            upstream.record.upstream_id,
            context.workspace_name,
            context.until_s - self.clock(),
            self._upstream_urgency(context),
            version,
            context.resume_after,
        )

    def _upstream_urgency(self, context: RequestContext) -> int:
        """Return the urgency that orders the requests of an upstream."""
        accepted = context.accepted
        table = self.view.table
        if table is None:
            return accepted.urgency
        ranks = table.urgencies.get(accepted.service, ())
        if len(ranks) < 2 or accepted.rank not in ranks:
            return accepted.urgency
        return sum(rank < accepted.rank for rank in ranks)

    def _timeouts(
        self, context: RequestContext, upstream: Upstream
    ) -> AttemptTimeouts:
        """Return the timeouts of an attempt.

        If the upstream's weights will expire, the answer must start at most
        :data:`LATE_START_S` after that: a request that is still queued at
        the engine would otherwise start on weights that are too old.
        """
        timeouts = timeouts_of(context.route)
        held = upstream.weights_of(context.request.model, self.clock())
        if held is None:
            return timeouts
        expires_s = self.view.versions.expires_s(
            context.request.model, held.version
        )
        if expires_s is None:
            return timeouts
        return replace(timeouts, start_by_s=expires_s + LATE_START_S)

    def _count_running(self, change: int) -> None:
        self.running += change
        RUNNING.set({'instance': self.settings.name}, self.running)

    def _record(
        self,
        request_id: str,
        context: RequestContext | None,
        outcome: Outcome,
        arrived_s: float,
    ) -> None:
        now_s = self.clock()
        took_s = now_s - arrived_s
        if context is not None and isinstance(outcome, NotRun):
            self.demand.of(context.level).refused.record(now_s)
        if context is not None and isinstance(outcome, Ran):
            if not context.route.streamed:
                self._record_begun(context)
            if outcome.complete:
                self.planned_stop.durations.record(context.route.name, took_s)
                queue = self.dispatch_queue.queue_of(context.level.service)
                queue.record_times(context, took_s)
                self.shares.record_duration(
                    context.accepted.service, took_s - context.waited_s
                )
        table = self.view.table
        service = '' if context is None else context.accepted.service
        count(REQUESTS, service=service, outcome=run_name(outcome))
        REQUEST_SECONDS.observe({'service': service}, took_s)
        emit(
            LogEvent.request_decided,
            request_id=request_id,
            outcome=run_name(outcome),
            reason=str(outcome.reason or ''),
            status=outcome.status if isinstance(outcome, Ran) else 0,
            detail=outcome.message,
            service=service,
            took_ms=round(took_s * MILLISECONDS),
            configuration=0 if table is None else table.version,
            store_age_ms=_milliseconds(self.view.store_age_s()),
            **_accepted_fields(context),
        )


def timeouts_of(route: Route) -> AttemptTimeouts:
    """Return the timeouts that depend on the route alone."""
    timeout_s = TIMEOUT_OBJECTIVES * route.objective_s
    quiet_limit_s = max(QUIET_LIMIT_S, timeout_s)
    match route.retry_policy:
        case RetryPolicy.always:
            return AttemptTimeouts(
                max(MIN_TIMEOUT_S, timeout_s),
                None,
                quiet_first_s=quiet_limit_s,
                quiet_idle_s=quiet_limit_s,
            )
        case RetryPolicy.resume:
            return AttemptTimeouts(
                STREAM_FIRST_EVENT_S,
                STREAM_IDLE_S,
                patience_s=max(CALLER_PATIENCE_S, route.patience_s),
                quiet_first_s=QUIET_LIMIT_S,
                quiet_idle_s=QUIET_STREAM_S,
            )
        case RetryPolicy.never:
            return AttemptTimeouts(
                None,
                None,
                quiet_first_s=quiet_limit_s,
                quiet_idle_s=quiet_limit_s,
            )


def _milliseconds(seconds: float) -> int | None:
    """Return whole milliseconds; ``None`` for an infinite time."""
    return round(seconds * MILLISECONDS) if isfinite(seconds) else None


def _accepted_fields(context: RequestContext | None) -> dict[str, object]:
    """Return the log fields of a request that was accepted."""
    if context is None:
        return {}
    return {
        'route': context.route.name,
        'given_ms': round((context.until_s - context.arrived_s) * MILLISECONDS),
        'workspace': context.workspace_name,
        'accepted_configuration': context.accepted_version,
        'sent_configuration': context.accepted.version,
        'regions': _describe_regions(context.accepted.regions),
        'upstreams': context.tried,
        'load': context.load,
        'estimate_ms': context.estimate_ms(),
        'urgency': context.accepted.urgency,
        'level': context.level.urgency,
        'returned': context.returned,
        'expected_wait_ms': round(context.expected_wait_s * MILLISECONDS),
        'waited_ms': round(context.waited_s * MILLISECONDS),
        'first_ms': context.first_piece_ms(),
        'gap_ms': round(context.progress.longest_gap_s * MILLISECONDS),
    }


def _describe_regions(regions: frozenset[str] | None) -> str:
    if regions is None:
        return 'any'
    return ','.join(sorted(regions)) or 'none'


def _ignore() -> None:
    """Do nothing."""


def _ignore_workspace(workspace: str) -> None:
    """Do nothing."""
