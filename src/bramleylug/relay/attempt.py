"""One attempt to send a request to an upstream and forward its answer."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar, final

from bramleylug.cluster.route_table import RetryPolicy, Route
from bramleylug.cluster.upstreams import Upstream
from bramleylug.entry.answers import AnswerWriter
from bramleylug.outcomes import NotRun, Outcome, Ran, Reason, Unknown
from bramleylug.relay.connection_pool import ConnectionPool, NoDescriptorFree
from bramleylug.relay.dialect import (
    AnswerMetadata,
    CallerRequest,
    Dialect,
    RequestMetadata,
)
from bramleylug.relay.event_splitter import EventSplitter, EventStreamError
from bramleylug.web.client_connection import (
    AnswerHead,
    ClientConnection,
    ClientRequest,
    ConnectionBroken,
    MalformedAnswer,
    read_body,
)
from bramleylug.wire.requests_pb2 import Head, Header

ResultT = TypeVar('ResultT')
# Answers up to this size are forwarded only when complete, so that one that
# breaks off can still be replaced by the answer of another upstream.
BUFFERED_ANSWER_BYTES = 131072
# A refusal has a short body; more than this is no refusal of an upstream.
MAX_REFUSAL_BYTES = 65536
# While an upstream is silent, or none can continue a stream, another one is
# looked for at this interval.
RECHECK_INTERVAL_S = 0.2
# An upstream that has written an answer for this long is not about to crash
# under the parts of its prompt.
PROVEN_S = 1.0
# Connections of this relay end all the time; another relay may have some now.
EXHAUSTED_RETRY_S = 0.5
# Statuses that promise a caller that nothing ran.
NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


@final
class UpstreamSilent(Exception):
    """The upstream sent nothing, and the request moves or must not wait."""


@final
@dataclass(slots=True)
class AnswerProgress:
    """Which part of the answer has been forwarded, over all attempts.

    :ivar splitter: splits a stream into events; ``None`` for other answers.
    :ivar head: head of the answer whose events the caller has received, or
        receives first.
    :ivar cold_for_s: how long the last upstream reported to stay cold.
    :ivar first_s: when the first piece was forwarded.
    :ivar last_s: when the last piece was forwarded.
    :ivar longest_gap_s: longest time between two pieces.
    :ivar answer_started_s: when the first event of the last attempt, or its
        whole answer, arrived; ``None`` before.
    """

    splitter: EventSplitter | None = None
    head: AnswerHead | None = None
    cold_for_s: float = 0
    first_s: float | None = None
    last_s: float = 0
    longest_gap_s: float = 0
    answer_started_s: float | None = None

    def record_piece(self, now_s: float) -> None:
        """Record the time at which a piece is forwarded."""
        if self.first_s is None:
            self.first_s = now_s
        else:
            gap_s = now_s - self.last_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_s = now_s


@final
@dataclass(frozen=True, slots=True)
class AttemptTimeouts:
    """How long an upstream may send nothing before another is looked for.

    :ivar first_s: until the head of the answer, or the first event of a
        stream; ``None`` for no limit.
    :ivar idle_s: between two complete events of a stream, however many
        bytes arrive in between; ``None`` for no limit.
    :ivar start_by_s: time by which the answer must have started, because
        the upstream's weights will be too old after it. The attempt ends
        then, whether or not the request can move.
    """

    first_s: float | None
    idle_s: float | None
    start_by_s: float | None = None


@final
@dataclass(slots=True)
class Silence:
    """Time during which an upstream sends no head and no complete event.

    :ivar since_s: when it began.
    :ivar look_s: when another upstream is looked for; infinite for never.
    :ivar end_s: when the attempt must end; infinite for never.
    """

    since_s: float
    look_s: float
    end_s: float

    @classmethod
    def begin(
        cls, now_s: float, timeout_s: float | None, end_s: float | None = None
    ) -> 'Silence':
        """Return a silence that begins now."""
        return cls(
            now_s,
            math.inf if timeout_s is None else now_s + timeout_s,
            math.inf if end_s is None else end_s,
        )

    def left_s(self, now_s: float) -> float | None:
        """Return the time until the next check; ``None`` for no limit."""
        next_s = min(self.look_s, self.end_s)
        return None if next_s == math.inf else max(0.0, next_s - now_s)

    def check(self, now_s: float, may_move: Callable[[], bool]) -> None:
        """Put off the next check unless the attempt must end.

        :param may_move: whether the request moves to another upstream now.
        :raises UpstreamSilent: when the attempt must end.
        """
        if now_s >= self.end_s or may_move():
            raise UpstreamSilent(
                f'upstream sent nothing for {now_s - self.since_s:.1f} s'
            )
        self.look_s = now_s + RECHECK_INTERVAL_S


@final
class Attempt:
    """Sends a request to an upstream and forwards its answer.

    :ivar sent: whether any byte of the request may have been sent.
    :ivar answer_started: whether the first event of a stream has arrived.
    :ivar on_sent: called when the request is sent.
    :ivar may_move: asked while the upstream is silent; if it returns
        ``True``, the attempt ends and the request moves to another upstream.
    :ivar on_answer_started: called when the first event arrives.
    :ivar on_proven: called when events have arrived for :data:`PROVEN_S`.
    :ivar sent_s: when the request was sent.
    :ivar on_metadata: called with what the head of an answer states, before
        its body is read.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        writer: AnswerWriter,
        progress: AnswerProgress,
        clock: Callable[[], float],
    ) -> None:
        self.clock = clock
        self.request = request
        self.route = route
        self.writer = writer
        self.progress = progress
        self.sent = False
        self.sent_s = math.inf
        self.answer_started = False
        self.on_sent: Callable[[], None] = _ignore
        self.may_move: Callable[[], bool] = _stay
        self.proven = False
        progress.answer_started_s = None
        self.on_answer_started: Callable[[], None] = _ignore
        self.on_proven: Callable[[], None] = _ignore
        self.on_metadata: Callable[[AnswerMetadata], None] = _ignore_metadata
        self.status = 0

    async def run(
        self,
        upstream: Upstream,
        metadata: RequestMetadata,
        pool: ConnectionPool,
        dialect: Dialect,
        timeouts: AttemptTimeouts,
    ) -> Outcome:
        """Run the attempt to its end; cancelling it closes the connection."""
        connection = await self._connect(upstream, pool)
        if isinstance(connection, NotRun):
            return connection
        try:
            self._send(connection, dialect, metadata)
        except ConnectionBroken as error:
            return NotRun(Reason.connection_failed, str(error))
        self.sent = True
        self.sent_s = self.clock()
        self.on_sent()
        answer: AnswerMetadata | None = None
        try:
            outcome, answer = await self._answer(connection, dialect, timeouts)
        except (ConnectionBroken, MalformedAnswer) as error:
            outcome = self._broken(Reason.answer_cut, error)
        except EventStreamError as error:
            outcome = self._broken(Reason.answer_cut, error)
        except UpstreamSilent as error:
            outcome = self._broken(Reason.upstream_failed, error)
        finally:
            if answer is None or answer.closes_connection:
                connection.close()
        if answer is not None:
            self.progress.cold_for_s = answer.cold_for_s
            if not answer.closes_connection:
                pool.release(upstream.record, connection, answer.keep_alive_s)
        return outcome

    async def _connect(
        self, upstream: Upstream, pool: ConnectionPool
    ) -> ClientConnection | NotRun:
        """Return a connection, or why nothing is sent on one."""
        try:
            connection = await pool.acquire(upstream.record)
        except NoDescriptorFree as error:
            return NotRun(
                Reason.out_of_connections, str(error), EXHAUSTED_RETRY_S
            )
        except (OSError, TimeoutError) as error:
            return NotRun(Reason.connection_failed, repr(error))
        if self.writer.caller_disconnected:
            pool.release(upstream.record, connection, None)
            return NotRun(Reason.slow_reader, 'caller disconnected')
        if upstream.leaving or upstream.removed:
            # It may have left since it was chosen: connecting takes time.
            connection.close()
            return NotRun(Reason.connection_failed, 'upstream is leaving')
        return connection

    def _send(
        self,
        connection: ClientConnection,
        dialect: Dialect,
        metadata: RequestMetadata,
    ) -> None:
        request = ClientRequest(
            self.request.method,
            self.request.target,
            dialect.write_request(self.request, metadata),
            self.request.body,
        )
        try:
            connection.send(request)
        except Exception:
            connection.close()
            raise

    async def _answer(
        self,
        connection: ClientConnection,
        dialect: Dialect,
        timeouts: AttemptTimeouts,
    ) -> tuple[Outcome, AnswerMetadata]:
        head = await self._read(
            connection.read_head, self._silence_before_start(timeouts)
        )
        answer = dialect.read_answer(head)
        self._check_request_id(answer, connection)
        self.on_metadata(answer)
        if answer.not_run:
            await read_body(connection, MAX_REFUSAL_BYTES)
            return _not_run(head), answer
        self.status = head.status
        ok = head.status < HTTPStatus.MULTIPLE_CHOICES
        if answer.encoded or (ok and not answer.signed):
            raise MalformedAnswer('answer was not produced by the upstream')
        if head.status in NOT_RUN_STATUSES:
            raise MalformedAnswer(
                f'status {head.status} for a request that ran'
            )
        if ok and self.progress.splitter is not None:
            await self._forward_events(
                connection, head, dialect, self.progress.splitter, timeouts
            )
        else:
            await self._forward_body(connection, head, dialect)
        return Ran(head.status), answer

    def _check_request_id(
        self, answer: AnswerMetadata, connection: ClientConnection
    ) -> None:
        """Check that an answer belongs to this request.

        :raises MalformedAnswer: when its id is another one, or when it has
            none and may be a late answer to an earlier request on the same
            connection.
        """
        if answer.request_id == self.request.request_id:
            return
        if answer.request_id or connection.answered_count:
            raise MalformedAnswer('answer belongs to another request')

    async def _forward_body(
        self, connection: ClientConnection, head: AnswerHead, dialect: Dialect
    ) -> None:
        if self.writer.started:
            raise MalformedAnswer(
                f'status {head.status} instead of further events'
            )
        buffer: list[bytes] = []
        buffered_bytes = 0
        while piece := await connection.read_piece():
            buffer.append(piece)
            buffered_bytes += len(piece)
            if buffered_bytes > BUFFERED_ANSWER_BYTES:
                if not self.writer.started:
                    self._start(head, dialect, _content_length(head))
                self.progress.record_piece(self.clock())
                await self.writer.write(b''.join(buffer))
                buffer.clear()
        if not self.writer.started:
            length = None if self.request.method == 'HEAD' else buffered_bytes
            self._start(head, dialect, length)
            self.progress.record_piece(self.clock())
            self.progress.answer_started_s = self.clock()
            if buffer:
                await self.writer.write(b''.join(buffer))

    async def _forward_events(
        self,
        connection: ClientConnection,
        head: AnswerHead,
        dialect: Dialect,
        splitter: EventSplitter,
        timeouts: AttemptTimeouts,
    ) -> None:
        continues = self.writer.started
        if continues:
            self._check_continuation(head)
        else:
            # A head of which nothing was sent says nothing about this answer.
            self.progress.head = head
            self._start(head, dialect, None)
        splitter.restart(continues=continues)
        silence = self._silence_before_start(timeouts)
        while piece := await self._read(connection.read_piece, silence):
            events = splitter.feed(piece)
            if events:
                now_s = self.clock()
                self._record_events(now_s)
                self.progress.record_piece(now_s)
                await self.writer.write(events)
                # Counts from here: a slow caller is no fault of the upstream.
                silence = Silence.begin(self.clock(), timeouts.idle_s)
        if splitter.partial:
            raise ConnectionBroken('stream ended inside an event')
        if continues and not self.answer_started:
            # Whether events are missing is not known; the caller may ask.
            raise ConnectionBroken('no event follows the last one')

    def _check_continuation(self, head: AnswerHead) -> None:
        """Check that an answer can go on with a stream that has started.

        :raises MalformedAnswer: when it is another kind of answer.
        """
        first = self.progress.head
        if first is None or _kind_of(head) != _kind_of(first):
            raise MalformedAnswer('answer does not continue the stream')

    async def _read(
        self, read: Callable[[], Awaitable[ResultT]], silence: Silence
    ) -> ResultT:
        """Read from the upstream, however long it takes unless it must end.

        :raises UpstreamSilent: when the request moves to another upstream, or
            the answer has not started in time.
        """
        while True:
            try:
                async with asyncio.timeout(silence.left_s(self.clock())):
                    return await read()
            except TimeoutError:
                silence.check(self.clock(), self.may_move)

    def _silence_before_start(self, timeouts: AttemptTimeouts) -> Silence:
        return Silence.begin(
            self.clock(), timeouts.first_s, timeouts.start_by_s
        )

    def _record_events(self, now_s: float) -> None:
        started_s = self.progress.answer_started_s
        if started_s is None:
            self.progress.answer_started_s = now_s
            self.answer_started = True
            self.on_answer_started()
        elif not self.proven and now_s - started_s >= PROVEN_S:
            self.proven = True
            self.on_proven()

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


def may_retry(route: Route, outcome: Outcome, *, started: bool) -> bool:
    """Return whether the request may be sent to another upstream.

    :param started: whether the caller has received part of the answer.
    """
    match outcome:
        case NotRun(Reason.slow_reader | Reason.out_of_connections):
            return False
        case NotRun():
            return not started or route.retry_policy is RetryPolicy.resume
        case Ran(complete=True):
            return False
    match route.retry_policy:
        case RetryPolicy.always:
            return not started
        case RetryPolicy.resume:
            return True
        case RetryPolicy.never:
            return False


def _not_run(head: AnswerHead) -> NotRun:
    reason = Reason.overloaded
    if head.status == HTTPStatus.MISDIRECTED_REQUEST:
        reason = Reason.wrong_version
    return NotRun(reason, f'upstream answered with status {head.status}')


def _ignore() -> None:
    """Do nothing."""


def _stay() -> bool:
    return False


def _ignore_metadata(metadata: AnswerMetadata) -> None:
    """Do nothing."""


def _kind_of(head: AnswerHead) -> tuple[int, str]:
    """Return the status and the media type of an answer."""
    media_type, _, _ = head.headers.get('content-type', '').partition(';')
    return head.status, media_type.strip().lower()


def _content_length(head: AnswerHead) -> int | None:
    text = head.headers.get('content-length', '')
    return int(text) if text.isdecimal() else None
