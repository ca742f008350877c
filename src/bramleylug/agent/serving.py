"""Serves the requests that entries send to this host."""

import time
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Any, final

from bramleylug.admission.controller import AdmissionController, AdmittedRequest
from bramleylug.admission.queue import Arrival
from bramleylug.admission.suspects import SuspectStatus
from bramleylug.agent.reply_messages import build_refusal, build_reply
from bramleylug.agent.request_runner import (
    RequestContext,
    RequestRunner,
    needs_claim,
    outcome_parts,
)
from bramleylug.agent.upstream import AnswerHead, AnswerPart
from bramleylug.claims.actions import ClaimOutcome
from bramleylug.claims.keys import request_fingerprint
from bramleylug.claims.tickets import TICKET_VALID_S
from bramleylug.configuration.document import Document, ServiceSpec
from bramleylug.outcomes import NotRun, Ran, Reason
from bramleylug.wire.requests_pb2 import (
    Reply,
    Request,
    Ticket,
    TicketRequest,
)
from bramleylug.wire.requests_pb2_grpc import ServingServicer


@final
class Serving(ServingServicer):
    """gRPC service that admits requests and runs them on the upstream.

    :param document: returns the configuration in force.
    """

    def __init__(
        self,
        runner: RequestRunner,
        admission: AdmissionController,
        document: Callable[[], Document],
    ) -> None:
        self.runner = runner
        self.admission = admission
        self.document = document

    def Dispatch(self, request: Request, context: Any) -> Iterator[Reply]:
        """Run one request and stream its answer."""
        body_bytes = 0
        for part in self._serve(request, context):
            if isinstance(part, bytes):
                body_bytes += len(part)
            load = self.admission.load(
                self.document().services.get(request.service)
            )
            yield build_reply(part, body_bytes, load)

    def IssueTicket(self, request: TicketRequest, context: Any) -> Ticket:
        """Return an idempotency key that only this process may run.

        It needs no claim in the store, so that requests run during an
        outage of the store.
        """
        wanted = Request(service=request.service)
        match self.runner.gate.check(wanted, self.document()):
            case NotRun() as refusal:
                return Ticket(refusal=build_refusal(refusal))
            case ServiceSpec(idempotent=True):
                refusal = NotRun(
                    Reason.bad_request,
                    'service is idempotent and needs no ticket',
                )
                return Ticket(refusal=build_refusal(refusal))
        ticket = self.runner.claims.tickets.issue(time.monotonic())
        return Ticket(ticket=ticket, valid_ms=TICKET_VALID_S * 1000)

    def _serve(self, request: Request, context: Any) -> Iterator[AnswerPart]:
        kept_result = self._find_kept_result(request)
        if kept_result is not None:
            yield from outcome_parts(kept_result)
            return
        match self.runner.gate.check(request, self.document()):
            case NotRun() as refusal:
                yield refusal
            case ServiceSpec() as spec:
                yield from self._admit_and_run(request, spec, context)

    def _find_kept_result(self, request: Request) -> ClaimOutcome | None:
        """Return the kept result of a resent request, if there is one.

        Hosts that drain return it too.
        """
        spec = self.document().services.get(request.service)
        if spec is None or not needs_claim(request, spec):
            return None
        return self.runner.claims.find_result(request)

    def _admit_and_run(
        self, request: Request, spec: ServiceSpec, context: Any
    ) -> Iterator[AnswerPart]:
        fingerprint = request_fingerprint(request)
        suspect_status = self.runner.crash_detector.suspect_status(
            fingerprint, request.crashes
        )
        if suspect_status is SuspectStatus.barred:
            yield NotRun(
                Reason.crash_suspect, 'upstreams crashed running this request'
            )
            return
        timeout_s = (request.deadline_ms or spec.deadline_ms) / 1000
        arrival = Arrival(
            self.admission.next_token(),
            request.workspace,
            request.priority,
            len(request.body),
            time.monotonic() + timeout_s,
            suspect_status is SuspectStatus.alone,
        )
        context.add_callback(lambda: self.admission.cancel(arrival.token))
        match self.admission.admit(arrival, lambda: self._current_spec(spec)):
            case NotRun() as refusal:
                yield refusal
            case AdmittedRequest() as admitted:
                yield from self._run(
                    RequestContext(
                        request,
                        spec,
                        admitted,
                        fingerprint,
                        arrival.deadline_s,
                        context,
                    )
                )

    def _run(self, request_context: RequestContext) -> Iterator[AnswerPart]:
        status = 0
        success = False
        try:
            for part in self.runner.run(request_context):
                if isinstance(part, AnswerHead):
                    status = part.head.status
                success = isinstance(part, Ran) and part.complete
                yield part
        finally:
            healthy = success and status < HTTPStatus.INTERNAL_SERVER_ERROR
            self.admission.end(
                request_context.admitted, request_context.spec, success=healthy
            )

    def _current_spec(self, spec: ServiceSpec) -> ServiceSpec:
        return self.document().services.get(spec.name, spec)
