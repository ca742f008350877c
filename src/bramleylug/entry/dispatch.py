"""Sending a caller's request to an agent and its answer to the caller."""

import asyncio
import time
import uuid
from collections.abc import Callable
from random import Random
from typing import Any, final

import grpc

from bramleylug.entry.answers import AnswerWriter
from bramleylug.outcomes import NotRun, Outcome, Ran, Reason, Unknown
from bramleylug.routing.picker import Candidate, Picker
from bramleylug.routing.retries import RetryBudget
from bramleylug.node.node import Node
from bramleylug.settings.daemons import EntrySettings
from bramleylug.web.server import Exchange
from bramleylug.wire.channels import open_aio_channel
from bramleylug.wire.requests_pb2 import (
    RUN_STATE_RAN,
    Header,
    Reply,
    Request,
)
from bramleylug.wire.requests_pb2_grpc import ServingStub

SERVICE_PREFIX = '/v1/services/'
MAX_TRIES = 3


@final
class Dispatcher:
    """Runs on the event loop that owns the channels to agents.

    :ivar running: requests that have not ended.
    """

    def __init__(self, settings: EntrySettings, node: Node) -> None:
        self.settings = settings
        self.node = node
        self.picker = Picker(settings.zone, Random(settings.name))
        self.budget = RetryBudget(settings.retry_share)
        self.stubs: dict[str, tuple[int, Any]] = {}
        self.running = 0

    async def serve(self, exchange: Exchange) -> None:
        """Serve one exchange to its end."""
        self.running += 1
        writer = AnswerWriter(exchange, self.settings.caller_bytes)
        try:
            outcome = await self._try_agents(build_request(exchange), writer)
        finally:
            self.running -= 1
        writer.conclude(outcome)

    async def _try_agents(
        self, request: Request, writer: AnswerWriter
    ) -> Outcome:
        deadline_s = time.monotonic() + self._deadline_s(request)
        tried: list[str] = []
        self.budget.first_try()
        outcome: Outcome = NotRun(Reason.no_upstream)
        while len(tried) < MAX_TRIES:
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                return outcome if tried else NotRun(Reason.deadline)
            document = self.node.holder.document
            chosen = self.picker.choose(
                request.service, document, self.node.members, tried
            )
            if isinstance(chosen, NotRun):
                return outcome if tried else chosen
            tried.append(chosen.candidate.name)
            request.deadline_ms = int(left_s * 1000)
            outcome = await self._try_agent(chosen.candidate, request, writer)
            if not self._may_retry(outcome, request, writer):
                return outcome
        return outcome

    def _may_retry(
        self, outcome: Outcome, request: Request, writer: AnswerWriter
    ) -> bool:
        if writer.started:
            return False
        match outcome:
            case NotRun():
                return self.budget.take()
            case Unknown():
                spec = self.node.holder.document.services[request.service]
                return spec.idempotent and self.budget.take()
            case Ran():
                return False

    async def _try_agent(
        self, candidate: Candidate, request: Request, writer: AnswerWriter
    ) -> Outcome:
        self.picker.started(candidate.name)
        call = self._stub(candidate.address).Dispatch(
            request, timeout=request.deadline_ms / 1000
        )
        try:
            return await _pass_on(call, writer)
        except grpc.aio.AioRpcError as error:
            return Unknown(Reason.connection_failed, str(error.details()))
        finally:
            call.cancel()
            self.picker.ended(candidate.name)

    def _deadline_s(self, request: Request) -> float:
        if request.deadline_ms:
            return request.deadline_ms / 1000
        return self.settings.deadline

    def _stub(self, address: str) -> Any:
        keyring = self.node.keyring
        keyring.load()
        known = self.stubs.get(address)
        if known is None or known[0] != keyring.generation:
            stub = ServingStub(open_aio_channel(address, keyring))
            known = (keyring.generation, stub)
            self.stubs[address] = known
        return known[1]


async def _pass_on(call: Any, writer: AnswerWriter) -> Outcome:
    status = 0
    while True:
        reply = await call.read()
        if not reply:
            return Unknown(Reason.answer_cut, 'agent ended without an outcome')
        match reply.WhichOneof('part'):
            case 'head':
                status = reply.head.status
                writer.start(reply.head)
            case 'piece':
                await writer.write(reply.piece)
            case 'end':
                return Ran(status)
            case _:
                return _outcome_of(reply, status)
        if writer.caller_gone:
            return Ran(status, False, Reason.slow_reader, 'caller has gone')


def _outcome_of(reply: Reply, status: int) -> Outcome:
    if reply.HasField('refusal'):
        refusal = reply.refusal
        return NotRun(
            Reason(refusal.reason),
            refusal.message,
            refusal.retry_after_ms / 1000,
            tuple(refusal.elsewhere),
        )
    broken = reply.broken
    if broken.run == RUN_STATE_RAN:
        return Ran(status, False, Reason(broken.reason), broken.message)
    return Unknown(Reason(broken.reason), broken.message)


def build_request(exchange: Exchange) -> Request:
    """Return the message for a request under ``/v1/services/``."""
    service, _, path = exchange.path.removeprefix(SERVICE_PREFIX).partition('/')
    query = f'?{exchange.query}' if exchange.query else ''
    return Request(
        request_id=exchange.header('X-Request-Id') or uuid.uuid4().hex,
        service=service,
        method=exchange.method,
        path=f'/{path}{query}',
        headers=[
            Header(name=name, value=text)
            for name, text in exchange.request.headers.items()
        ],
        body=exchange.body(),
        deadline_ms=int(exchange.header('X-Deadline-Ms', '0')),
        workspace=exchange.header('X-Workspace'),
        prefix_key=exchange.header('X-Prefix-Key'),
        idempotency_key=exchange.header('Idempotency-Key'),
    )


@final
class DispatchLoop:
    """The thread that runs the event loop of the channels."""

    def __init__(self, build: Callable[[], Dispatcher]) -> None:
        self.loop = asyncio.new_event_loop()
        self.dispatcher = build()

    def run(self) -> None:
        """Run until stopped."""
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()

    def submit(self, exchange: Exchange) -> None:
        """Serve an exchange; may be called from any thread."""
        asyncio.run_coroutine_threadsafe(
            self.dispatcher.serve(exchange), self.loop
        )

    def stop(self) -> None:
        """Stop the loop."""
        self.loop.call_soon_threadsafe(self.loop.stop)
