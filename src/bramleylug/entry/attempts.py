"""One attempt of a request at one agent."""

import asyncio
from typing import Any, final

import grpc

from bramleylug.entry.answer_validator import AnswerValidator
from bramleylug.entry.answers import AnswerWriter
from bramleylug.entry.channels import AgentChannel
from bramleylug.outcomes import NotRun, Outcome, Ran, Reason, Unknown
from bramleylug.wire.requests_pb2 import (
    RUN_STATE_RAN,
    Break,
    Head,
    Load,
    Refusal,
    Reply,
    Request,
)

MS_PER_S = 1000
# The agent refuses a request that was queued until its deadline as not run;
# the call lasts a little longer, so that this refusal can arrive.
REFUSAL_GRACE_S = 0.2
CALLER_DISCONNECTED = 'caller disconnected'


@final
class Attempt:
    """Sends a request to an agent and forwards its answer.

    :ivar load: load in the last reply that reported one.
    :ivar connected: whether a connection to the agent was established.
    """

    def __init__(self, request: Request, writer: AnswerWriter) -> None:
        self.request = request
        self.writer = writer
        self.validator = AnswerValidator(request.method)
        self.load: Load | None = None
        self.connected = False

    async def run(self, channel: AgentChannel) -> Outcome:
        """Run the attempt to its end.

        A failure is reported as not run only if the request was not sent or
        the agent refused it: a call that failed may have reached the agent.
        """
        self.connected = await channel.connect()
        if not self.connected:
            return NotRun(Reason.connection_failed, 'agent is unreachable')
        if self.writer.caller_disconnected:
            return NotRun(Reason.slow_reader, CALLER_DISCONNECTED)
        call = channel.stub.Dispatch(
            self.request,
            timeout=self.request.deadline_ms / MS_PER_S + REFUSAL_GRACE_S,
        )
        self.writer.on_disconnect = call.cancel
        try:
            return await self._forward(call)
        except grpc.aio.AioRpcError as error:
            return self._outcome_of_rpc_error(error)
        except asyncio.CancelledError:
            if not self.writer.caller_disconnected:
                raise
            return self._caller_disconnected()
        finally:
            call.cancel()

    async def _forward(self, call: Any) -> Outcome:
        while True:
            reply = await call.read()
            if not reply:
                return self._truncated('agent ended without an outcome')
            if reply.HasField('load'):
                self.load = reply.load
            outcome = await self._handle_reply(reply)
            if outcome is not None:
                return outcome
            if self.writer.caller_disconnected:
                return self._caller_disconnected()

    async def _handle_reply(self, reply: Reply) -> Outcome | None:
        match reply.WhichOneof('part'):
            case 'piece':
                return await self._handle_piece(reply.piece)
            case 'head':
                return self._handle_head(reply.head)
            case 'end':
                error = self.validator.validate_end(reply.end)
                return (
                    self._truncated(error)
                    if error
                    else Ran(self.validator.status)
                )
            case 'refusal' if self.validator.head is None:
                return outcome_of_refusal(reply.refusal)
            case 'broken':
                return self._outcome_of_break(reply.broken)
        return self._truncated('agent sent an unknown part')

    def _handle_head(self, head: Head) -> Outcome | None:
        error = self.validator.validate_head(head)
        if error:
            return self._truncated(error)
        self.writer.start(head)
        return None

    async def _handle_piece(self, piece: bytes) -> Outcome | None:
        error = self.validator.validate_piece(piece)
        if error:
            return self._truncated(error)
        await self.writer.write(piece)
        return None

    def _outcome_of_break(self, broken: Break) -> Outcome:
        reason = reason_from(broken.reason)
        if broken.run == RUN_STATE_RAN:
            return Ran(self.validator.status, False, reason, broken.message)
        return Unknown(reason, broken.message)

    def _outcome_of_rpc_error(self, error: grpc.aio.AioRpcError) -> Outcome:
        reason = Reason.connection_failed
        if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            reason = Reason.deadline
        if self.validator.head is not None:
            details = str(error.details())
            return Ran(self.validator.status, False, reason, details)
        return Unknown(reason, str(error.details()))

    def _truncated(self, message: str) -> Outcome:
        if self.validator.head is None:
            return Unknown(Reason.answer_cut, message)
        return Ran(self.validator.status, False, Reason.answer_cut, message)

    def _caller_disconnected(self) -> Outcome:
        if self.validator.head is None:
            return Unknown(Reason.slow_reader, CALLER_DISCONNECTED)
        return Ran(
            self.validator.status,
            False,
            Reason.slow_reader,
            CALLER_DISCONNECTED,
        )


def reason_from(text: str) -> Reason:
    """Return an agent's reason; ``internal`` for one of a later release."""
    try:
        return Reason(text)
    except ValueError:
        return Reason.internal


def outcome_of_refusal(refusal: Refusal) -> NotRun:
    """Convert an agent's refusal to an outcome."""
    return NotRun(
        reason_from(refusal.reason),
        refusal.message,
        refusal.retry_after_ms / MS_PER_S,
        tuple(refusal.elsewhere),
    )
