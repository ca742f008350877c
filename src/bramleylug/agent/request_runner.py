"""Running an admitted request on the upstream, at most once by its key."""

import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from http import HTTPStatus
from typing import Any, NamedTuple, final

from bramleylug.admission.controller import AdmittedRequest
from bramleylug.admission.limiter import Limiter
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
    """An admitted request.

    :ivar deadline_s: monotonic seconds when its caller gives up.
    :ivar context: gRPC context of the call; tells when the caller goes.
    """

    request: Request
    spec: ServiceSpec
    admitted: AdmittedRequest
    fingerprint: bytes
    deadline_s: float
    context: Any


def needs_claim(request: Request, spec: ServiceSpec) -> bool:
    """Tell whether a request has to be claimed before it runs."""
    return bool(request.idempotency_key) and not spec.idempotent


def verdict_parts(verdict: ClaimOutcome) -> tuple[AnswerPart, ...]:
    """Return the answer to a request that is not run."""
    match verdict:
        case Replay(answer):
            return replayed_parts(answer)
        case outcome:
            return (outcome,)


@final
class RequestRunner:
    """Sends admitted requests and watches what becomes of them.

    :param document: returns the configuration in force.
    :ivar on_first_byte: called with the seconds each answer took to begin.
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

    def run(self, request_context: RequestContext) -> Iterator[AnswerPart]:
        """Run a request and yield the parts of its answer."""
        if not needs_claim(request_context.request, request_context.spec):
            call = self.upstream.call(request_context.deadline_s)
            if not request_context.context.add_callback(call.cancel):
                call.cancel()
            yield from self._send(request_context, call)
            return
        match self.claims.claim(
            request_context.request, request_context.deadline_s
        ):
            case Claimed() | Redeemed() as claimed:
                yield from self._run_claimed(request_context, claimed)
            case verdict:
                yield from verdict_parts(verdict)

    def _run_claimed(
        self, request_context: RequestContext, claimed: Claimed | Redeemed
    ) -> Iterator[AnswerPart]:
        """Run to the end, also when the caller has gone."""
        recorder = AnswerRecorder(self.claims, claimed)
        parts = self._send(
            request_context, self.upstream.call(request_context.deadline_s)
        )
        try:
            for part in parts:
                recorder.record(part)
                yield part
        finally:
            for remaining in parts:
                recorder.record(remaining)
            recorder.close()

    def _send(
        self, request_context: RequestContext, call: UpstreamCall
    ) -> Iterator[AnswerPart]:
        refusal = self._refusal(request_context)
        if refusal is not None:
            yield refusal
            return
        token = request_context.admitted.token
        self.crash_detector.start(
            token,
            request_context.admitted.permit.boot_id,
            request_context.fingerprint,
        )
        success = False
        try:
            for part in self._observe_parts(request_context, call):
                success = isinstance(part, Ran) and part.whole
                yield part
        finally:
            self.crash_detector.end(token, success=success)

    def _refusal(self, request_context: RequestContext) -> NotRun | None:
        rejection = self.gate.check(request_context.request, self.document())
        if isinstance(rejection, NotRun):
            return rejection
        if (
            time.monotonic() >= request_context.deadline_s
            or not request_context.context.is_active()
        ):
            return NotRun(Reason.deadline, 'its caller waits no longer')
        return None

    def _observe_parts(
        self, request_context: RequestContext, call: UpstreamCall
    ) -> Iterator[AnswerPart]:
        digest = self.gate.open_digest
        started_s = time.monotonic()
        for part in call.run(request_context.request):
            checked = part
            match part:
                case AnswerHead():
                    self._observe(part, request_context.spec, started_s)
                    checked = _check_weights(part, request_context.spec, digest)
                case Unknown() | Ran(whole=False):
                    checked = self._classify_break(part, request_context, call)
            yield checked
            if isinstance(checked, Unknown):
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
                LogEvent.limit_halved,
                limit=self.limiter.limit(spec),
                cause='first bytes come late',
            )

    def _classify_break(
        self,
        outcome: Unknown | Ran,
        request_context: RequestContext,
        call: UpstreamCall,
    ) -> Unknown | Ran:
        """Find out whether the upstream died, and say so."""
        connection_lost = outcome.reason in {
            Reason.upstream_crashed,
            Reason.answer_cut,
        }
        if call.cancelled or not connection_lost:
            return outcome
        if self.crash_detector.detect_crash(request_context.admitted.token):
            return replace(outcome, reason=Reason.upstream_crashed)
        return replace(outcome, reason=Reason.answer_cut)


def _check_weights(
    answer: AnswerHead, spec: ServiceSpec, digest: str
) -> AnswerHead | Unknown:
    """Return the answer, or why it may not be passed on.

    A model engine that restarted between the gate's look and the request
    answers with other weights, or refuses for want of any.
    """
    if spec.kind != 'model' or answer.head.weights_digest == digest:
        return answer
    refused = answer.head.status >= HTTPStatus.BAD_REQUEST
    if refused and answer.head.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return answer
    return Unknown(
        Reason.weights_incomplete, 'answer is not of the weights that were open'
    )


def _ignore_latency(latency_s: float) -> None:
    """Take no notice of an answer."""
