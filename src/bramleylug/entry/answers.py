"""Writes an answer to its caller, with flow control."""

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

RETRY_AFTER_S = 1.0
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
    """Writes one answer while buffering a bounded number of bytes.

    The head is sent with the first piece of the body, or with the end of
    the answer, so that an attempt that fails before that has sent nothing
    and another one can be made.

    :param limit_bytes: unsent bytes at which :meth:`write` blocks.
    :param build_error: returns status, JSON and headers of an error answer.
    :ivar started: whether the head was sent.
    :ivar waiting: whether :meth:`write` waits for the caller to read.
    :ivar on_disconnect: called on the event loop when the caller has
        disconnected or was cut off.
    """

    def __init__(
        self,
        exchange: Exchange,
        limit_bytes: int,
        build_error: 'Callable[[Outcome], ErrorAnswer] | None' = None,
    ) -> None:
        self.exchange = exchange
        self.limit_bytes = limit_bytes
        self.build_error = build_error or error_answer
        self.head = Head()
        self.started = False
        self.waiting = False
        self.drained = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        self.on_disconnect: Callable[[], object] = _ignore
        exchange.on_drained = self._on_drained
        exchange.on_closed = self._on_closed

    @property
    def caller_disconnected(self) -> bool:
        """Whether the caller disconnected or was cut off."""
        return self.exchange.closed

    def start(self, head: Head) -> None:
        """Set the head of the answer; it is sent later."""
        self.head = head

    async def write(self, piece: bytes) -> None:
        """Send a piece, then wait while the buffer is full."""
        self._send_head()
        self.exchange.send(piece)
        while self._buffer_is_full():
            self.drained.clear()
            self.waiting = True
            # The socket may have been drained between the check and the flag.
            if self._buffer_is_full():
                await self.drained.wait()
            self.waiting = False

    def conclude(self, outcome: Outcome) -> None:
        """End the answer: complete, reset, or as an error answer."""
        match outcome:
            case Ran(complete=True):
                self._send_head()
                self.exchange.finish()
            case _ if self.started:
                self.exchange.abort()
            case _:
                self.exchange.reply_json(*self.build_error(outcome))

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

    def _buffer_is_full(self) -> bool:
        return (
            self.exchange.pending_bytes >= self.limit_bytes
            and not self.exchange.closed
        )

    def _on_drained(self) -> None:
        if self.waiting and not self._buffer_is_full():
            self.loop.call_soon_threadsafe(self.drained.set)

    def _on_closed(self) -> None:
        self.loop.call_soon_threadsafe(self._handle_disconnect)

    def _handle_disconnect(self) -> None:
        self.drained.set()
        self.on_disconnect()


def error_answer(outcome: Outcome) -> ErrorAnswer:
    """Return status, JSON and headers of the error answer for an outcome."""
    headers = {
        'X-Run': run_name(outcome),
        'Retry-After': str(math.ceil(RETRY_AFTER_S)),
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
            # An immediate retry helps only if another address is offered.
            default_wait_s = 0 if elsewhere else RETRY_AFTER_S
            wait_s = retry_after_s or default_wait_s
            headers['Retry-After'] = str(math.ceil(wait_s))
            document['retry_after_s'] = wait_s
            document['elsewhere'] = list(elsewhere)
        case Unknown(reason) | Ran(reason=Reason() as reason):
            status = STATUS_BY_REASON.get(reason, HTTPStatus.BAD_GATEWAY)
    return int(status), document, headers


def _ignore() -> None:
    """Do nothing on disconnect."""
