"""Runs admitted requests on the upstream, at most once per claimed key."""

import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from http import HTTPStatus
from typing import Any, NamedTuple, final

from bramleylug.admission.controller import AdmittedRequest
from bramleylug.admission.limiter import RETRY_AFTER_S, Limiter
from bramleylug.agent.answer_recorder import AnswerRecorder, replayed_parts
from bramleylug.agent.crash_detector import CrashDetector
from bramleylug.agent.upstream import (
    AnswerHead,
    AnswerPart,
    Upstream,
    UpstreamCall,
)
from bramleylug.agent.weights_gate import WeightsGate
from bramleylug.claims.actions import ClaimOutcome, Replay
from bramleylug.claims.service import Claimed, ClaimService
from bramleylug.claims.tickets import Redeemed
from bramleylug.configuration.document import Document, ServiceSpec
from bramleylug.observability.events import LogEvent, emit
from bramleylug.outcomes import NotRun, Ran, Reason, Unknown
from bramleylug.wire.requests_pb2 import Request


class RequestContext(NamedTuple):
    """An admitted request and what is needed to run it.

    :ivar admitted: its admission, which is ended after the run.
    :ivar fingerprint: identifies equal requests, to find those that crash
        upstreams.
    :ivar deadline_s: monotonic seconds at which its caller gives up.
    :ivar call_context: gRPC context of the call; it reports cancellation.
    """

    request: Request
    spec: ServiceSpec
    admitted: AdmittedRequest
    fingerprint: bytes
    deadline_s: float
    call_context: Any


def needs_claim(request: Request, spec: ServiceSpec) -> bool:
    """Return whether a request has to be claimed before it runs."""
    return bool(request.idempotency_key) and not spec.idempotent


def outcome_parts(outcome: ClaimOutcome) -> tuple[AnswerPart, ...]:
    """Return the parts of the answer to a request that is not run."""
    match outcome:
        case Replay(answer):
            return replayed_parts(answer)
        case part:
            return (part,)


@final
class RequestRunner:
    """Sends admitted requests to the upstream and classifies their outcome.

    :param document: returns the configuration in force.
    :ivar on_first_byte: called with the seconds to an answer's first byte.
    """

    def __init__(
        self,
        gate: WeightsGate,
        limiter: Limiter,
        upstream: Upstream,
        claims: ClaimService,
        crash_detector: CrashDetector,
        document: Callable[[], Document],
    ) -> None:
        self.gate = gate
        self.limiter = limiter
        self.upstream = upstream
        self.claims = claims
        self.crash_detector = crash_detector
        self.document = document
        self.on_first_byte: Callable[[float], None] = _ignore_latency

    def run(self, context: RequestContext) -> Iterator[AnswerPart]:
        """Run a request and yield the parts of its answer."""
        if not needs_claim(context.request, context.spec):
            call = self.upstream.call(context.deadline_s)
            if not context.call_context.add_callback(call.cancel):
                call.cancel()
            yield from self._send(context, call)
            return
        match self.claims.claim(context.request, context.deadline_s):
            case Claimed() | Redeemed() as claimed:
                yield from self._run_claimed(context, claimed)
            case outcome:
                yield from outcome_parts(outcome)

    def _run_claimed(
        self, context: RequestContext, claimed: Claimed | Redeemed
    ) -> Iterator[AnswerPart]:
        """Run a claimed request to its end, also when the caller disconnects.

        The answer is kept for the resend.
        """
        recorder = AnswerRecorder(self.claims, claimed)
        parts = self._send(context, self.upstream.call(context.deadline_s))
        try:
            for part in parts:
                recorder.record(part)
                yield part
        finally:
            for remaining in parts:
                recorder.record(remaining)
            recorder.close()

    def _send(
        self, context: RequestContext, call: UpstreamCall
    ) -> Iterator[AnswerPart]:
        refusal = self._refusal(context)
        if refusal is not None:
            yield refusal
            return
        token = context.admitted.token
        self.crash_detector.start(
            token,
            context.admitted.permit.boot_id,
            context.fingerprint,
        )
        success = False
        try:
            for part in self._observe_parts(context, call):
                success = isinstance(part, Ran) and part.complete
                yield part
        finally:
            self.crash_detector.end(token, success=success)

    def _refusal(self, context: RequestContext) -> NotRun | None:
        checked = self.gate.check(context.request, self.document())
        if isinstance(checked, NotRun):
            return checked
        if context.admitted.permit.boot_id != self.limiter.boot_id:
            return NotRun(
                Reason.overloaded,
                'the upstream has restarted since the request was admitted',
                RETRY_AFTER_S,
            )
        if (
            time.monotonic() >= context.deadline_s
            or not context.call_context.is_active()
        ):
            return NotRun(
                Reason.deadline, 'deadline passed or caller disconnected'
            )
        return None

    def _observe_parts(
        self, context: RequestContext, call: UpstreamCall
    ) -> Iterator[AnswerPart]:
        # The gate may have been opened for other weights since its check.
        digest = context.request.pinned_digest or self.gate.open_digest
        started_s = time.monotonic()
        for part in call.run(context.request):
            result = part
            match part:
                case AnswerHead():
                    self._observe(part, context.spec, started_s)
                    result = _check_weights(part, context.spec, digest)
                case Unknown() | Ran(complete=False):
                    result = self._classify_break(part, context, call)
            yield result
            if isinstance(result, Unknown):
                return

    def _observe(
        self, answer: AnswerHead, spec: ServiceSpec, started_s: float
    ) -> None:
        self.gate.observe_answer(answer.head.weights_digest, answer.boot_id)
        if answer.boot_id:
            self.limiter.observe_boot(answer.boot_id)
        now_s = time.monotonic()
        self.on_first_byte(now_s - started_s)
        adaptation = self.limiter.adaptation
        if adaptation.observe_first_byte(now_s - started_s, now_s):
            emit(
                LogEvent.limit_lowered,
                limit=self.limiter.limit(spec),
                cause='time to the first byte is too long',
            )

    def _classify_break(
        self,
        outcome: Unknown | Ran,
        context: RequestContext,
        call: UpstreamCall,
    ) -> Unknown | Ran:
        """Replace the reason: upstream crash, or only a cut connection."""
        connection_lost = outcome.reason in {
            Reason.upstream_crashed,
            Reason.answer_cut,
        }
        if call.cancelled or not connection_lost:
            return outcome
        if self.crash_detector.detect_crash(context.admitted.token):
            return replace(outcome, reason=Reason.upstream_crashed)
        return replace(outcome, reason=Reason.answer_cut)


def _check_weights(
    answer: AnswerHead, spec: ServiceSpec, digest: str
) -> AnswerHead | Unknown:
    """Return the answer, or why it may not be passed on.

    A model engine that restarted between the check of the gate and the
    request answers with other weights, or refuses since it has none.
    """
    if spec.kind != 'model' or answer.head.weights_digest == digest:
        return answer
    refused = answer.head.status >= HTTPStatus.BAD_REQUEST
    if refused and answer.head.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return answer
    return Unknown(
        Reason.weights_incomplete,
        'upstream answered with other weights than it reported',
    )


def _ignore_latency(latency_s: float) -> None:
    """Do nothing; the default of ``on_first_byte``."""
