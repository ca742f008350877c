"""One try of a request at one agent."""

import asyncio
from typing import Any, final

import grpc

from bramleylug.entry.answers import AnswerWriter
from bramleylug.entry.channels import AgentChannel
from bramleylug.entry.checks import AnswerCheck
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

MILLISECONDS = 1000
# The agent refuses what waited until its deadline, as not run; leave that
# word time to arrive.
VERDICT_S = 0.2
GONE = 'caller has gone'


@final
class Attempt:
    """Sends a request to an agent and passes its answer on.

    :ivar load: the latest load that rode on a reply.
    :ivar reached: whether a connection to the agent stood.
    """

    def __init__(self, request: Request, writer: AnswerWriter) -> None:
        self.request = request
        self.writer = writer
        self.check = AnswerCheck(request.method)
        self.load: Load | None = None
        self.reached = False

    async def run(self, channel: AgentChannel) -> Outcome:
        """Run the try to its end.

        Nothing was sent where no connection stood: only that is told as
        not run without a word of the agent.
        """
        self.reached = await channel.connect()
        if not self.reached:
            return NotRun(Reason.connection_failed, 'agent is unreachable')
        if self.writer.caller_disconnected:
            return NotRun(Reason.slow_reader, GONE)
        call = channel.stub.Dispatch(
            self.request,
            timeout=self.request.deadline_ms / MILLISECONDS + VERDICT_S,
        )
        self.writer.on_disconnect = call.cancel
        try:
            return await self._pass_on(call)
        except grpc.aio.AioRpcError as error:
            return self._broken_off(error)
        except asyncio.CancelledError:
            if not self.writer.caller_disconnected:
                raise
            return self._abandoned()
        finally:
            call.cancel()

    async def _pass_on(self, call: Any) -> Outcome:
        while True:
            reply = await call.read()
            if not reply:
                return self._cut('agent ended without an outcome')
            if reply.HasField('load'):
                self.load = reply.load
            outcome = await self._take(reply)
            if outcome is not None:
                return outcome
            if self.writer.caller_disconnected:
                return self._abandoned()

    async def _take(self, reply: Reply) -> Outcome | None:
        match reply.WhichOneof('part'):
            case 'piece':
                return await self._take_piece(reply.piece)
            case 'head':
                return self._take_head(reply.head)
            case 'end':
                fault = self.check.take_end(reply.end)
                return self._cut(fault) if fault else Ran(self.check.status)
            case 'refusal' if self.check.head is None:
                return refused_by(reply.refusal)
            case 'broken':
                return self._broken(reply.broken)
        return self._cut('agent sent an unknown part')

    def _take_head(self, head: Head) -> Outcome | None:
        fault = self.check.take_head(head)
        if fault:
            return self._cut(fault)
        self.writer.start(head)
        return None

    async def _take_piece(self, piece: bytes) -> Outcome | None:
        fault = self.check.take_piece(piece)
        if fault:
            return self._cut(fault)
        await self.writer.write(piece)
        return None

    def _broken(self, broken: Break) -> Outcome:
        reason = reason_from(broken.reason)
        if broken.run == RUN_STATE_RAN:
            return Ran(self.check.status, False, reason, broken.message)
        return Unknown(reason, broken.message)

    def _broken_off(self, error: grpc.aio.AioRpcError) -> Outcome:
        reason = Reason.connection_failed
        if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            reason = Reason.deadline
        if self.check.head is not None:
            details = str(error.details())
            return Ran(self.check.status, False, reason, details)
        return Unknown(reason, str(error.details()))

    def _cut(self, message: str) -> Outcome:
        if self.check.head is None:
            return Unknown(Reason.answer_cut, message)
        return Ran(self.check.status, False, Reason.answer_cut, message)

    def _abandoned(self) -> Outcome:
        if self.check.head is None:
            return Unknown(Reason.slow_reader, GONE)
        return Ran(self.check.status, False, Reason.slow_reader, GONE)


def reason_from(text: str) -> Reason:
    """Return the reason an agent gave; one of a later release is internal."""
    try:
        return Reason(text)
    except ValueError:
        return Reason.internal


def refused_by(refusal: Refusal) -> NotRun:
    """Return an agent's refusal as an outcome."""
    return NotRun(
        reason_from(refusal.reason),
        refusal.message,
        refusal.retry_after_ms / MILLISECONDS,
        tuple(refusal.elsewhere),
    )
