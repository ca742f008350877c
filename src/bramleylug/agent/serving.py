"""Serving of requests that entries send to this host."""

import time
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Any, final

from bramleylug.admission.controller import AdmissionController, Pass
from bramleylug.admission.queue import Arrival
from bramleylug.admission.suspects import Standing
from bramleylug.agent.replies import build_reply
from bramleylug.agent.runner import Job, Runner, needs_claim, parts_of
from bramleylug.agent.upstream import Answer, Part
from bramleylug.claims.keys import request_fingerprint
from bramleylug.configuration.document import Document, ServiceSpec
from bramleylug.outcomes import NotRun, Ran, Reason
from bramleylug.wire.requests_pb2 import Reply, Request
from bramleylug.wire.requests_pb2_grpc import ServingServicer


@final
class Serving(ServingServicer):
    """Admits requests and runs them on the upstream.

    :param document: returns the configuration in force.
    """

    def __init__(
        self,
        runner: Runner,
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
            figures = self.admission.figures(
                self.document().services.get(request.service)
            )
            yield build_reply(part, body_bytes, figures)

    def _serve(self, request: Request, context: Any) -> Iterator[Part]:
        match self.runner.gate.check(request, self.document()):
            case NotRun() as refusal:
                yield refusal
            case ServiceSpec() as spec:
                yield from self._serve_open(request, spec, context)

    def _serve_open(
        self, request: Request, spec: ServiceSpec, context: Any
    ) -> Iterator[Part]:
        if needs_claim(request, spec):
            known = self.runner.claims.recall(request)
            if known is not None:
                yield from parts_of(known)
                return
        fingerprint = request_fingerprint(request)
        standing = self.runner.guard.standing(fingerprint, request.crashes)
        if standing is Standing.barred:
            yield NotRun(
                Reason.crash_suspect, 'upstreams died when they ran this'
            )
            return
        timeout_s = (request.deadline_ms or spec.deadline_ms) / 1000
        arrival = Arrival(
            self.admission.next_token(),
            request.workspace,
            request.priority,
            len(request.body),
            time.monotonic() + timeout_s,
            standing is Standing.alone,
        )
        context.add_callback(lambda: self.admission.cancel(arrival.token))
        match self.admission.admit(arrival, lambda: self._spec(spec)):
            case NotRun() as refusal:
                yield refusal
            case Pass() as turn:
                yield from self._run(
                    Job(
                        request,
                        spec,
                        turn,
                        fingerprint,
                        arrival.deadline_s,
                        context,
                    )
                )

    def _run(self, job: Job) -> Iterator[Part]:
        status = 0
        success = False
        try:
            for part in self.runner.run(job):
                if isinstance(part, Answer):
                    status = part.head.status
                success = isinstance(part, Ran) and part.whole
                yield part
        finally:
            healthy = success and status < HTTPStatus.INTERNAL_SERVER_ERROR
            self.admission.end(job.turn, job.spec, success=healthy)

    def _spec(self, known: ServiceSpec) -> ServiceSpec:
        return self.document().services.get(known.name, known)
