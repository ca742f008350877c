"""What a relay learns from how a request ended at an upstream."""

from typing import final

from bramleylug.observability.events import LogEvent, emit
from bramleylug.outcomes import NotRun, Outcome, Ran, Reason, Unknown
from bramleylug.relay.cluster_view import ClusterView
from bramleylug.relay.crash_suspects import crash_id_of
from bramleylug.relay.job import Job
from bramleylug.relay.upstreams import Upstream

FAILED_STATUS = 500


@final
class OutcomeRecorder:
    """Keeps the belief about upstreams in step with their answers."""

    def __init__(self, view: ClusterView) -> None:
        self.view = view

    def learn(self, job: Job, upstream: Upstream, outcome: Outcome) -> None:
        """Take in how one send ended."""
        now_s = self.view.clock()
        if job.progress.cold_for_s:
            self.view.note_cold(upstream, job.progress.cold_for_s)
        if isinstance(outcome, Ran) and outcome.whole:
            self.view.suspects.note_success(job.accepted.fingerprint)
        if isinstance(outcome, NotRun):
            if outcome.reason is Reason.connection_failed:
                upstream.note_unreachable(now_s)
                self._tell_avoided(upstream, outcome.message)
                return
        if upstream.is_closing(now_s):
            # Its loader told that it cuts what runs to load other weights.
            return
        if outcome.reason is Reason.answer_cut:
            self._suspect(job, upstream)
        if upstream.note_result(now_s, failed=is_failure(outcome)):
            self._tell_avoided(upstream, 'too many of its requests fail')

    def _suspect(self, job: Job, upstream: Upstream) -> None:
        record = upstream.record
        crash_id = crash_id_of(record.upstream_id, record.started_ms)
        self.view.suspects.report(job.accepted.fingerprint, crash_id)

    def _tell_avoided(self, upstream: Upstream, cause: str) -> None:
        for_s = upstream.avoid_until_s - self.view.clock()
        emit(
            LogEvent.upstream_avoided,
            upstream=upstream.record.upstream_id,
            cause=cause,
            for_s=round(for_s, 2),
        )


def is_failure(outcome: Outcome) -> bool:
    """Tell whether an outcome speaks against the upstream."""
    match outcome:
        case NotRun(reason):
            return reason is Reason.overloaded
        case Ran(status, whole=True):
            return status >= FAILED_STATUS
        case Unknown(Reason.slow_reader) | Ran(reason=Reason.slow_reader):
            return False
    return True
