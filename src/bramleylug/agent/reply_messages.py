"""Messages of an agent's reply to an entry."""

from bramleylug.admission.controller import LoadFigures
from bramleylug.agent.upstream import AnswerHead, AnswerPart
from bramleylug.outcomes import NotRun, Ran, Reason, Unknown
from bramleylug.wire.requests_pb2 import (
    RUN_STATE_RAN,
    RUN_STATE_UNKNOWN,
    Break,
    End,
    Load,
    Refusal,
    Reply,
)


def build_reply(part: AnswerPart, body_bytes: int, load: LoadFigures) -> Reply:
    """Return the message for one part of an answer.

    :param body_bytes: bytes of the body that were sent so far.
    """
    match part:
        case bytes():
            return Reply(piece=part)
        case AnswerHead(head):
            reply = Reply(head=head)
        case NotRun():
            reply = Reply(refusal=build_refusal(part))
        case Ran(complete=True):
            reply = Reply(end=End(body_bytes=body_bytes))
        case Ran(reason=reason, message=message):
            reply = Reply(broken=_build_break(RUN_STATE_RAN, reason, message))
        case Unknown(reason, message):
            reply = Reply(
                broken=_build_break(RUN_STATE_UNKNOWN, reason, message)
            )
    reply.load.CopyFrom(Load(**load._asdict()))
    return reply


def build_refusal(refusal: NotRun) -> Refusal:
    """Return the message for a request that was not run."""
    return Refusal(
        reason=refusal.reason,
        message=refusal.message,
        retry_after_ms=int(refusal.retry_after_s * 1000),
        elsewhere=refusal.elsewhere,
    )


def _build_break(run: int, reason: Reason | None, message: str) -> Break:
    return Break(
        run=run,  # type: ignore[arg-type]
        reason=reason or Reason.upstream_failed,
        message=message,
    )
