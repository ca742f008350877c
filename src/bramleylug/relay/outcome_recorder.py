"""Updates the state of an upstream from the outcome of each attempt."""

from typing import final

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.crash_suspects import crash_id_of
from bramleylug.cluster.rate_limit import Incarnation
from bramleylug.cluster.upstreams import Upstream
from bramleylug.observability.events import LogEvent, emit
from bramleylug.outcomes import NotRun, Outcome, Ran, Reason, Unknown
from bramleylug.relay.attempt import PROVEN_S, Attempt
from bramleylug.relay.dialect import AnswerMetadata
from bramleylug.relay.request_context import RequestContext

FAILED_STATUS = 500
REFUSED_STATUS = 400


@final
class OutcomeRecorder:
    """Records cold starts, failures and crashes that attempts reveal."""

    def __init__(self, view: ClusterView) -> None:
        self.view = view

    def record_metadata(
        self,
        attempt: Attempt,
        incarnation: Incarnation,
        metadata: AnswerMetadata,
    ) -> None:
        """Record what an incarnation states in the head of an answer.

        The rest of the answer may never arrive.
        """
        if metadata.leaving:
            self.view.record_leaving(
                incarnation.upstream_id, incarnation.started_ms
            )
        if metadata.pause_s:
            self.view.record_pause(
                incarnation.upstream_id,
                incarnation.started_ms,
                metadata.pause_s,
            )
        if metadata.limit_per_s is not None:
            self.view.record_limit(incarnation, metadata.limit_per_s)
        elif metadata.signed and not metadata.names_limit:
            self.view.record_unlimited(incarnation, attempt.sent_s)

    def record_proven(self, context: RequestContext) -> None:
        """Record that an upstream did not crash under a request's parts."""
        started_s = context.progress.answer_started_s
        self.view.suspects.record_survivals(
            context.accepted.traits.parts,
            self.view.clock() if started_s is None else started_s,
        )

    def record(
        self, context: RequestContext, upstream: Upstream, outcome: Outcome
    ) -> None:
        """Record the outcome of one attempt."""
        if outcome.reason is Reason.out_of_connections:
            # This process is at fault, not the upstream.
            return
        now_s = self.view.clock()
        if context.progress.cold_for_s:
            self.view.record_cold(upstream, context.progress.cold_for_s)
        if isinstance(outcome, Ran) and outcome.complete:
            self.view.suspects.record_success(context.accepted.fingerprint)
            if outcome.status < REFUSED_STATUS:
                self.record_proven(context)
        if isinstance(outcome, NotRun):
            if outcome.reason is Reason.connection_failed:
                upstream.record_unreachable(now_s)
                self._log_avoided(upstream, outcome.message)
                return
        if upstream.is_closing(now_s):
            # Its loader announced that running requests are cut off while
            # other weights are loaded: no failure of the upstream.
            return
        if outcome.reason is Reason.answer_cut:
            self._record_crash(context, upstream)
        if upstream.record_result(now_s, failed=is_failure(outcome)):
            self._log_avoided(upstream, 'too many of its requests fail')

    def _record_crash(
        self, context: RequestContext, upstream: Upstream
    ) -> None:
        record = upstream.record
        started_s = context.progress.answer_started_s
        written_s = 0.0 if started_s is None else self.view.clock() - started_s
        self.view.suspects.record_crashes(
            context.accepted.traits,
            crash_id_of(record.upstream_id, record.started_ms),
            parts=written_s < PROVEN_S,
        )

    def _log_avoided(self, upstream: Upstream, cause: str) -> None:
        for_s = upstream.avoid_until_s - self.view.clock()
        emit(
            LogEvent.upstream_avoided,
            upstream=upstream.record.upstream_id,
            cause=cause,
            for_s=round(for_s, 2),
        )


def is_failure(outcome: Outcome) -> bool:
    """Return whether an outcome counts as a failure of the upstream."""
    match outcome:
        case NotRun(reason):
            return reason is Reason.overloaded
        case Ran(status, complete=True):
            return status >= FAILED_STATUS
        case Unknown(Reason.slow_reader) | Ran(reason=Reason.slow_reader):
            return False
    return True
