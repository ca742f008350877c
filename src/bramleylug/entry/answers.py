"""Writing one answer to its caller, under flow control."""

import asyncio
import math
from http import HTTPStatus
from typing import Any, final

from bramleylug.outcomes import (
    NotRun,
    Outcome,
    Ran,
    Reason,
    Unknown,
    run_name,
)
from bramleylug.web.server import Exchange
from bramleylug.wire.requests_pb2 import Head

STATUS_BY_REASON = {
    Reason.unknown_service: HTTPStatus.NOT_FOUND,
    Reason.bad_request: HTTPStatus.BAD_REQUEST,
    Reason.too_large: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.overloaded: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.queue_full: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.deadline: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.already_ran: HTTPStatus.CONFLICT,
    Reason.key_conflict: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.crash_suspect: HTTPStatus.UNPROCESSABLE_ENTITY,
}


@final
class AnswerWriter:
    """Holds at most a bounded number of bytes for one caller.

    :param limit_bytes: bytes held before the agent's stream is paused.
    """

    def __init__(self, exchange: Exchange, limit_bytes: int) -> None:
        self.exchange = exchange
        self.limit_bytes = limit_bytes
        self.started = False
        self.chunked = False
        self.drained = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        exchange.on_drained = self._wake
        exchange.on_closed = self._wake

    @property
    def caller_gone(self) -> bool:
        """Whether the caller has closed its connection."""
        return self.exchange.closed

    def start(self, head: Head) -> None:
        """Send the head of the answer."""
        self.started = True
        headers = {header.name: header.value for header in head.headers}
        length = (
            head.content_length if head.HasField('content_length') else None
        )
        self.exchange.start(head.status, headers, length)

    async def write(self, piece: bytes) -> None:
        """Send a piece, and wait while the caller is behind."""
        self.exchange.send(piece)
        while (
            self.exchange.pending_bytes >= self.limit_bytes
            and not self.exchange.closed
        ):
            self.drained.clear()
            await self.drained.wait()

    def conclude(self, outcome: Outcome) -> None:
        """End the answer with what became of the request."""
        match outcome:
            case Ran(whole=True):
                self.exchange.finish()
            case _ if self.started:
                self.exchange.abort()
            case _:
                self.exchange.reply_json(*error_answer(outcome))

    def _wake(self) -> None:
        self.loop.call_soon_threadsafe(self.drained.set)


def error_answer(
    outcome: Outcome,
) -> tuple[int, dict[str, Any], dict[str, str]]:
    """Return status, JSON and headers that tell a caller of an error."""
    headers = {'X-Run': run_name(outcome)}
    document: dict[str, Any] = {
        'code': str(outcome.reason),
        'message': outcome.message,
        'run': run_name(outcome),
    }
    status = HTTPStatus.BAD_GATEWAY
    match outcome:
        case NotRun(reason, _, retry_after_s, elsewhere):
            status = STATUS_BY_REASON.get(
                reason, HTTPStatus.SERVICE_UNAVAILABLE
            )
            headers['Retry-After'] = str(math.ceil(retry_after_s))
            document['elsewhere'] = list(elsewhere)
        case Unknown(reason) | Ran(reason=Reason() as reason):
            status = STATUS_BY_REASON.get(reason, HTTPStatus.BAD_GATEWAY)
    return int(status), document, headers
