"""One send of a request to one upstream."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar, final

from bramleylug.entry.answers import AnswerWriter
from bramleylug.outcomes import NotRun, Outcome, Ran, Reason, Unknown
from bramleylug.relay.connection_pool import UpstreamPool
from bramleylug.relay.dialect import (
    AnswerMetadata,
    CallerRequest,
    Dialect,
    RequestMetadata,
)
from bramleylug.relay.event_splitter import EventSplitter, EventStreamError
from bramleylug.relay.route_table import RetryPolicy, Route
from bramleylug.relay.upstreams import Upstream
from bramleylug.web.client import (
    AnswerHead,
    ClientConnection,
    ClientRequest,
    ConnectionBroken,
    MalformedAnswer,
    read_rest,
)
from bramleylug.wire.requests_pb2 import Head, Header

ResultT = TypeVar('ResultT')
# Answers up to this size are passed on once they are whole, so that one
# that breaks off can still be had from another upstream.
WHOLE_ANSWER_BYTES = 131072
# Statuses that promise a caller that nothing ran.
PROMISES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


@final
class UpstreamSilent(Exception):
    """The upstream sent nothing for longer than it is waited for."""


@final
@dataclass(slots=True)
class Progress:
    """What of an answer has been passed on, over all its sends.

    :ivar splitter: events of a stream; ``None`` for any other answer.
    :ivar head: head of the first answer, which the caller has.
    :ivar cold_for_s: how long the last upstream said it stays cold.
    :ivar first_s: when the first piece was passed on.
    :ivar last_s: when the last piece was passed on.
    :ivar longest_gap_s: longest time between two pieces.
    """

    splitter: EventSplitter | None = None
    head: AnswerHead | None = None
    cold_for_s: float = 0
    first_s: float | None = None
    last_s: float = 0
    longest_gap_s: float = 0

    def note_piece(self, now_s: float) -> None:
        """Note that a piece is passed on."""
        if self.first_s is None:
            self.first_s = now_s
        else:
            gap_s = now_s - self.last_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_s = now_s


@final
@dataclass(frozen=True, slots=True)
class AttemptTimeouts:
    """How long an upstream may be silent before another one is tried.

    :ivar head_s: before the answer begins, or its first event.
    :ivar gap_s: between pieces.
    :ivar begin_by_s: when the answer has to have begun at the latest; the
        weights are too old then.
    """

    head_s: float | None
    gap_s: float | None
    begin_by_s: float | None = None

    def first_s(self, now_s: float) -> float | None:
        """Return how long the begin of the answer is awaited."""
        if self.begin_by_s is None:
            return self.head_s
        left_s = max(0.0, self.begin_by_s - now_s)
        return left_s if self.head_s is None else min(left_s, self.head_s)


@final
class Attempt:
    """Sends a request to an upstream and passes its answer on.

    :ivar reached: whether any byte of the request may have been sent.
    :ivar begun: whether the answer has begun.
    :ivar on_begun: called when it begins.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        writer: AnswerWriter,
        progress: Progress,
        clock: Callable[[], float],
    ) -> None:
        self.clock = clock
        self.request = request
        self.route = route
        self.writer = writer
        self.progress = progress
        self.reached = False
        self.begun = False
        self.on_begun: Callable[[], None] = _ignore
        self.status = 0

    async def run(
        self,
        upstream: Upstream,
        metadata: RequestMetadata,
        pool: UpstreamPool,
        dialect: Dialect,
        patience: AttemptTimeouts,
    ) -> Outcome:
        """Run the send to its end; cancelling closes the connection."""
        try:
            connection = await pool.take(upstream.record)
        except (OSError, TimeoutError) as error:
            return NotRun(Reason.connection_failed, repr(error))
        if self.writer.caller_disconnected:
            pool.give_back(upstream.record, connection, None)
            return NotRun(Reason.slow_reader, 'caller has gone')
        try:
            connection.send(
                ClientRequest(
                    self.request.method,
                    self.request.target,
                    dialect.write_request(self.request, metadata),
                    self.request.body,
                )
            )
        except ConnectionBroken as error:
            return NotRun(Reason.connection_failed, str(error))
        self.reached = True
        terms: AnswerMetadata | None = None
        try:
            outcome, terms = await self._answer(connection, dialect, patience)
        except (ConnectionBroken, MalformedAnswer) as error:
            outcome = self._broken(Reason.answer_cut, error)
        except EventStreamError as error:
            outcome = self._broken(Reason.answer_cut, error)
        except UpstreamSilent as error:
            outcome = self._broken(Reason.upstream_failed, error)
        finally:
            if terms is None or terms.closes_connection:
                connection.close()
        if terms is not None:
            self.progress.cold_for_s = terms.cold_for_s
            if not terms.closes_connection:
                pool.give_back(upstream.record, connection, terms.keep_alive_s)
        return outcome

    async def _answer(
        self,
        connection: ClientConnection,
        dialect: Dialect,
        patience: AttemptTimeouts,
    ) -> tuple[Outcome, AnswerMetadata]:
        first_s = patience.first_s(self.clock())
        head = await _within(first_s, connection.read_head)
        terms = dialect.read_answer(head)
        if terms.request_id not in {'', self.request.request_id}:
            raise MalformedAnswer('answer belongs to another request')
        if terms.not_run:
            await read_rest(connection)
            return _not_run(head), terms
        self.status = head.status
        ok = head.status < HTTPStatus.MULTIPLE_CHOICES
        if terms.encoded or (ok and not terms.signed):
            raise MalformedAnswer("answer is not the upstream's own")
        if head.status in PROMISES:
            raise MalformedAnswer(f'{head.status} for a request that ran')
        if ok and self.progress.splitter is not None:
            await self._pass_events(
                connection, head, dialect, self.progress.splitter, patience
            )
        else:
            await self._pass_whole(connection, head, dialect)
        return Ran(head.status), terms

    async def _pass_whole(
        self, connection: ClientConnection, head: AnswerHead, dialect: Dialect
    ) -> None:
        if self.writer.started:
            raise MalformedAnswer(f'{head.status} in place of more events')
        held: list[bytes] = []
        held_bytes = 0
        while piece := await connection.read_piece():
            held.append(piece)
            held_bytes += len(piece)
            if held_bytes > WHOLE_ANSWER_BYTES and not self.writer.started:
                self._start(head, dialect, _announced(head))
            if self.writer.started:
                await self.writer.write(b''.join(held))
                held.clear()
        if not self.writer.started:
            length = None if self.request.method == 'HEAD' else held_bytes
            self._start(head, dialect, length)
            self.progress.note_piece(self.clock())
            if held:
                await self.writer.write(b''.join(held))

    async def _pass_events(
        self,
        connection: ClientConnection,
        head: AnswerHead,
        dialect: Dialect,
        splitter: EventSplitter,
        patience: AttemptTimeouts,
    ) -> None:
        splitter.restart()
        if self.progress.head is None:
            self.progress.head = head
            self._start(head, dialect, None)
        wait_s = patience.first_s(self.clock())
        while piece := await _within(wait_s, connection.read_piece):
            whole = splitter.feed(piece)
            if whole:
                wait_s = patience.gap_s
                self._begin()
                self.progress.note_piece(self.clock())
                await self.writer.write(whole)
        if splitter.rest:
            raise ConnectionBroken('stream ended inside an event')

    def _begin(self) -> None:
        if not self.begun:
            self.begun = True
            self.on_begun()

    def _start(
        self, head: AnswerHead, dialect: Dialect, length: int | None
    ) -> None:
        started = Head(
            status=head.status,
            headers=[
                Header(name=name, value=text)
                for name, text in dialect.write_answer(head)
            ],
        )
        if length is not None:
            started.content_length = length
        self.writer.start(started)

    def _broken(self, reason: Reason, error: Exception) -> Outcome:
        if self.status:
            return Ran(self.status, False, reason, str(error))
        return Unknown(reason, str(error))


def may_go_on(route: Route, outcome: Outcome, *, started: bool) -> bool:
    """Tell whether the request may be sent to another upstream.

    :param started: whether the caller has a part of the answer.
    """
    match outcome:
        case NotRun(Reason.slow_reader):
            return False
        case NotRun():
            return not started or route.retry_policy is RetryPolicy.resume
        case Ran(whole=True):
            return False
    match route.retry_policy:
        case RetryPolicy.always:
            return not started
        case RetryPolicy.resume:
            return True
        case RetryPolicy.never:
            return False


async def _within(
    limit_s: float | None, read: Callable[[], Awaitable[ResultT]]
) -> ResultT:
    try:
        async with asyncio.timeout(limit_s):
            return await read()
    except TimeoutError as error:
        raise UpstreamSilent(f'upstream was silent for {limit_s} s') from error


def _not_run(head: AnswerHead) -> NotRun:
    reason = Reason.overloaded
    if head.status == HTTPStatus.MISDIRECTED_REQUEST:
        reason = Reason.wrong_version
    return NotRun(reason, f'upstream answered {head.status}')


def _ignore() -> None:
    """Do nothing."""


def _announced(head: AnswerHead) -> int | None:
    text = head.headers.get('content-length', '')
    return int(text) if text.isdecimal() else None
