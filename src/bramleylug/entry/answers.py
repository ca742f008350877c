"""Writing one answer to its caller, under flow control."""

import asyncio
import math
from collections.abc import Callable
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
from bramleylug.web.exchange import Exchange
from bramleylug.wire.requests_pb2 import Head

RETRY_SOON_S = 1.0
ErrorAnswer = tuple[int, dict[str, Any], dict[str, str]]
STATUS_BY_REASON = {
    Reason.unknown_service: HTTPStatus.NOT_FOUND,
    Reason.bad_request: HTTPStatus.BAD_REQUEST,
    Reason.too_large: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.bad_key: HTTPStatus.UNAUTHORIZED,
    Reason.overloaded: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.queue_full: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.deadline: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.already_ran: HTTPStatus.CONFLICT,
    Reason.ticket_void: HTTPStatus.CONFLICT,
    Reason.key_conflict: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.crash_suspect: HTTPStatus.UNPROCESSABLE_ENTITY,
}


@final
class AnswerWriter:
    """Holds at most a bounded number of bytes for one caller.

    The head is sent with the first piece of the body, or with the end: a
    try that breaks off before that has sent nothing.

    :param limit_bytes: bytes held before the upstream's stream is paused.
    :param describe: returns status, JSON and headers of an error.
    :ivar on_disconnect: called on the event loop when the caller has gone.
    """

    def __init__(
        self,
        exchange: Exchange,
        limit_bytes: int,
        describe: 'Callable[[Outcome], ErrorAnswer] | None' = None,
    ) -> None:
        self.exchange = exchange
        self.limit_bytes = limit_bytes
        self.describe = describe or error_answer
        self.head = Head()
        self.started = False
        self.waiting = False
        self.drained = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        self.on_disconnect: Callable[[], object] = _ignore
        exchange.on_drained = self._took
        exchange.on_closed = self._closed

    @property
    def caller_disconnected(self) -> bool:
        """Whether the caller has closed its connection or was cut."""
        return self.exchange.closed

    def start(self, head: Head) -> None:
        """Take the head of the answer."""
        self.head = head

    async def write(self, piece: bytes) -> None:
        """Send a piece, and wait while the caller is behind."""
        self._send_head()
        self.exchange.send(piece)
        while self._is_behind():
            self.drained.clear()
            self.waiting = True
            # The socket may have taken all between the check and the flag.
            if self._is_behind():
                await self.drained.wait()
            self.waiting = False

    def conclude(self, outcome: Outcome) -> None:
        """End the answer with what became of the request."""
        match outcome:
            case Ran(whole=True):
                self._send_head()
                self.exchange.finish()
            case _ if self.started:
                self.exchange.abort()
            case _:
                self.exchange.reply_json(*self.describe(outcome))

    def _send_head(self) -> None:
        if self.started:
            return
        self.started = True
        head = self.head
        self.exchange.start(
            head.status,
            [(header.name, header.value) for header in head.headers],
            head.content_length if head.HasField('content_length') else None,
        )

    def _is_behind(self) -> bool:
        return (
            self.exchange.pending_bytes >= self.limit_bytes
            and not self.exchange.closed
        )

    def _took(self) -> None:
        if self.waiting and not self._is_behind():
            self.loop.call_soon_threadsafe(self.drained.set)

    def _closed(self) -> None:
        self.loop.call_soon_threadsafe(self._note_gone)

    def _note_gone(self) -> None:
        self.drained.set()
        self.on_disconnect()


def error_answer(outcome: Outcome) -> ErrorAnswer:
    """Return status, JSON and headers that tell a caller of an error."""
    headers = {
        'X-Run': run_name(outcome),
        'Retry-After': str(math.ceil(RETRY_SOON_S)),
    }
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
            # Without another address to go to, at once is too early.
            soon_s = 0 if elsewhere else RETRY_SOON_S
            wait_s = retry_after_s or soon_s
            headers['Retry-After'] = str(math.ceil(wait_s))
            document['retry_after_s'] = wait_s
            document['elsewhere'] = list(elsewhere)
        case Unknown(reason) | Ran(reason=Reason() as reason):
            status = STATUS_BY_REASON.get(reason, HTTPStatus.BAD_GATEWAY)
    return int(status), document, headers


def _ignore() -> None:
    """Do nothing."""
