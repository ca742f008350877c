"""Serving of requests that entries send to this host."""

import time
from collections.abc import Callable, Iterator
from typing import Any, final

from bramleylug.admission.limiter import Admitted, Limiter
from bramleylug.agent.gate import Gate
from bramleylug.agent.recording import AnswerRecorder, replayed_parts
from bramleylug.agent.upstream import Answer, Part, Upstream
from bramleylug.claims.actions import Replay
from bramleylug.claims.keeper import Claimed, ClaimKeeper
from bramleylug.configuration.document import Document, ServiceSpec
from bramleylug.outcomes import NotRun, Ran, Reason, Unknown
from bramleylug.wire.requests_pb2 import (
    RUN_STATE_RAN,
    RUN_STATE_UNKNOWN,
    Break,
    End,
    Load,
    Refusal,
    Reply,
    Request,
)
from bramleylug.wire.requests_pb2_grpc import ServingServicer


@final
class Serving(ServingServicer):
    """Admits requests and runs them on the upstream.

    :param document: returns the configuration in force.
    """

    def __init__(
        self,
        gate: Gate,
        limiter: Limiter,
        upstream: Upstream,
        document: Callable[[], Document],
        claims: ClaimKeeper,
    ) -> None:
        self.gate = gate
        self.limiter = limiter
        self.upstream = upstream
        self.document = document
        self.claims = claims

    def Dispatch(self, request: Request, context: Any) -> Iterator[Reply]:
        """Run one request and stream its answer."""
        match self.gate.check(request, self.document()):
            case NotRun() as refusal:
                yield self._refuse(refusal)
                return
            case ServiceSpec() as spec:
                pass
        match self.limiter.admit(spec):
            case NotRun() as refusal:
                yield self._refuse(refusal)
            case Admitted() as permit:
                yield from self._run(request, spec, permit)

    def _run(
        self, request: Request, spec: ServiceSpec, permit: Admitted
    ) -> Iterator[Reply]:
        timeout_s = (request.deadline_ms or spec.deadline_ms) / 1000
        success = False
        try:
            closed = self.gate.check(request, self.document())
            if isinstance(closed, NotRun):
                yield self._refuse(closed)
                return
            for part in self._parts(request, spec, timeout_s):
                success = isinstance(part, Ran) and part.whole
                yield self._reply(part)
        finally:
            self.limiter.release(permit, success=success)

    def _parts(
        self, request: Request, spec: ServiceSpec, timeout_s: float
    ) -> Iterator[Part]:
        if spec.idempotent or not request.idempotency_key:
            yield from self.upstream.run(request, timeout_s)
            return
        deadline_s = time.monotonic() + timeout_s
        match self.claims.claim(request, deadline_s):
            case Claimed() as claimed:
                yield from self._run_claimed(request, claimed, deadline_s)
            case Replay(answer):
                yield from replayed_parts(answer)
            case outcome:
                yield outcome

    def _run_claimed(
        self, request: Request, claimed: Claimed, deadline_s: float
    ) -> Iterator[Part]:
        """Run to the end, also when the caller has gone."""
        recorder = AnswerRecorder(self.claims, claimed)
        parts = self._run_in_time(request, deadline_s)
        try:
            for part in parts:
                recorder.add(part)
                yield part
        finally:
            for left in parts:
                recorder.add(left)
            recorder.close()

    def _run_in_time(
        self, request: Request, deadline_s: float
    ) -> Iterator[Part]:
        closed = self.gate.check(request, self.document())
        left_s = deadline_s - time.monotonic()
        if isinstance(closed, NotRun):
            yield closed
        elif left_s <= 0:
            yield NotRun(Reason.deadline, 'no time left after the claim')
        else:
            yield from self.upstream.run(request, left_s)

    def _reply(self, part: Part) -> Reply:
        match part:
            case Answer(head):
                return Reply(head=head)
            case bytes():
                return Reply(piece=part)
            case NotRun():
                return self._refuse(part)
            case Ran(whole=True):
                return Reply(end=End(), load=self._load())
            case Ran(reason=reason, message=message):
                return _broken(RUN_STATE_RAN, reason, message)
            case Unknown(reason, message):
                return _broken(RUN_STATE_UNKNOWN, reason, message)

    def _refuse(self, refusal: NotRun) -> Reply:
        return Reply(
            refusal=Refusal(
                reason=refusal.reason,
                message=refusal.message,
                retry_after_ms=int(refusal.retry_after_s * 1000),
                elsewhere=refusal.elsewhere,
            ),
            load=self._load(),
        )

    def _load(self) -> Load:
        return Load(running=self.limiter.running)


def _broken(run: int, reason: Reason | None, message: str) -> Reply:
    return Reply(
        broken=Break(
            run=run,  # type: ignore[arg-type]
            reason=reason or Reason.upstream_failed,
            message=message,
        )
    )
