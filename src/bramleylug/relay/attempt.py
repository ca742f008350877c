"""One attempt to send a request to an upstream and forward its answer."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from http import HTTPStatus
from typing import NamedTuple, final

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
from bramleylug.relay.silence import HedgedReader, Silence, UpstreamSilent
from bramleylug.relay.upstream_watch import UpstreamWatch
from bramleylug.web.client_connection import (
    AnswerHead,
    ClientConnection,
    ClientRequest,
    ConnectionBroken,
    MalformedAnswer,
    read_body,
)
from bramleylug.wire.requests_pb2 import Head, Header

# Answers up to this size are forwarded only when complete, so that one that
# breaks off can still be replaced by the answer of another upstream.
BUFFERED_ANSWER_BYTES = 131072
# A refusal has a short body; more than this is no refusal of an upstream.
MAX_REFUSAL_BYTES = 65536
# An upstream that has written an answer for this long is not about to crash
# under the parts of its prompt.
PROVEN_S = 1.0
# Connections of this relay end all the time; another relay may have some now.
EXHAUSTED_RETRY_S = 0.5
# From these statuses on, an answer is not worth leaving a silent upstream for.
FAILED = HTTPStatus.INTERNAL_SERVER_ERROR
STREAM_FAILED = HTTPStatus.MULTIPLE_CHOICES
# Statuses that promise a caller that nothing ran.
NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


# How an attempt may end without an answer that can be forwarded.
ANSWER_ERRORS = (
    ConnectionBroken,
    MalformedAnswer,
    EventStreamError,
    UpstreamSilent,
)


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
    :ivar proven: whether its events have arrived for :data:`PROVEN_S`.
    """

    splitter: EventSplitter | None = None
    head: AnswerHead | None = None
    cold_for_s: float = 0
    first_s: float | None = None
    last_s: float = 0
    longest_gap_s: float = 0
    answer_started_s: float | None = None
    proven: bool = False

    def begin_attempt(self) -> None:
        """Forget what is known of the answer of the previous attempt."""
        self.answer_started_s = None
        self.proven = False
        self.cold_for_s = 0

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
        bytes and comments arrive in between; ``None`` for no limit.
    :ivar patience_s: until when, after the last event, another upstream that
        has the request is preferred to one that goes on.
    :ivar start_by_s: time by which the answer must have started, because
        the upstream's weights will be too old after it. The attempt ends
        then, whether or not the request can move.
    :ivar quiet_first_s: until the upstream is silent if nothing at all is
        received from it, before the answer starts.
    :ivar quiet_idle_s: the same after an event; whether another request has
        shown that it is silent is checked from then on.
    """

    first_s: float | None
    idle_s: float | None
    start_by_s: float | None = None
    patience_s: float = 0
    quiet_first_s: float = math.inf
    quiet_idle_s: float = math.inf

    def before_start(self, now_s: float) -> Silence:
        """Return the silence before the answer starts."""
        end_s = math.inf if self.start_by_s is None else self.start_by_s
        return self._silence(now_s, self.first_s, end_s, self.quiet_first_s)

    def after_event(self, now_s: float) -> Silence:
        """Return the silence before the next event."""
        return self._silence(now_s, self.idle_s, math.inf, self.quiet_idle_s)

    def _silence(
        self,
        now_s: float,
        timeout_s: float | None,
        end_s: float,
        quiet_limit_s: float,
    ) -> Silence:
        look_s = math.inf if timeout_s is None else now_s + timeout_s
        return Silence(
            now_s,
            look_s,
            end_s,
            now_s + self.patience_s,
            quiet_limit_s,
            now_s + self.quiet_idle_s,
        )


class BegunAnswer(NamedTuple):
    """An answer of which nothing has been forwarded.

    :ivar pieces: the pieces of its body that were read.
    """

    head: AnswerHead
    metadata: AnswerMetadata
    pieces: deque[bytes]


@final
class Attempt:
    """Sends a request to an upstream and forwards its answer.

    :ivar sent: whether any byte of the request may have been sent.
    :ivar answer_started: whether the first event of a stream has arrived.
    :ivar on_sent: called when the request is sent.
    :ivar check_sending: called before the request is sent; returns why it
        must not be.
    :ivar reader: waits while the upstream is silent.
    :ivar begun: the answer that :meth:`prepare` has waited for.
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
        self.check_sending: Callable[[], NotRun | None] = _ignore
        self.reader = HedgedReader(clock)
        self.begun: BegunAnswer | None = None
        self.on_answer_started: Callable[[], None] = _ignore
        self.on_proven: Callable[[], None] = _ignore
        self.on_metadata: Callable[[AnswerMetadata], None] = _ignore_metadata
        self.status = 0

    async def run(
        self,
        upstream: Upstream,
        metadata: Callable[[], RequestMetadata],
        pool: ConnectionPool,
        dialect: Dialect,
        timeouts: AttemptTimeouts,
    ) -> Outcome:
        """Run the attempt to its end; cancelling it closes the connection.

        One that was prepared goes on with its answer.
        """
        self.progress.begin_attempt()
        if self.begun is None:
            refusal = await self._begin(upstream, metadata, pool, dialect)
            if refusal is not None:
                return refusal
        answer: AnswerMetadata | None = None
        try:
            outcome, answer = await self._answer(dialect, timeouts)
        except ANSWER_ERRORS as error:
            outcome = self._broken(error)
        finally:
            if answer is None or answer.closes_connection:
                self.close()
        if answer is not None:
            self._release(upstream, pool, answer)
        return outcome

    async def prepare(
        self,
        upstream: Upstream,
        metadata: Callable[[], RequestMetadata],
        pool: ConnectionPool,
        dialect: Dialect,
        timeouts: AttemptTimeouts,
    ) -> Outcome | None:
        """Send the request and wait for an answer that can be forwarded.

        Nothing is forwarded before :meth:`run`. A failed run of the upstream
        is not waited for: another one may do better. Cancelling it closes the
        connection.

        :returns: how the attempt ended if there is no such answer.
        """
        refusal = await self._begin(upstream, metadata, pool, dialect)
        if refusal is not None:
            return refusal
        outcome: Outcome | None = None
        prepared = False
        try:
            outcome = await self._prepare(dialect, timeouts)
            prepared = outcome is None
        except ANSWER_ERRORS as error:
            outcome = self._broken(error)
        finally:
            if not prepared:
                self.close()
        return outcome

    def close(self) -> None:
        """Close the connection if there is one."""
        if self.reader.connection is not None:
            self.reader.connection.close()

    async def _begin(
        self,
        upstream: Upstream,
        metadata: Callable[[], RequestMetadata],
        pool: ConnectionPool,
        dialect: Dialect,
    ) -> NotRun | None:
        """Connect and send the request; return why it was not sent."""
        connection = await self._connect(upstream, pool)
        if isinstance(connection, NotRun):
            return connection
        try:
            self._send(connection, dialect, metadata())
        except ConnectionBroken as error:
            return NotRun(Reason.connection_failed, str(error))
        self._watch(connection, upstream)
        self.sent = True
        self.sent_s = self.clock()
        self.on_sent()
        return None

    def _watch(self, connection: ClientConnection, upstream: Upstream) -> None:
        watch = UpstreamWatch(upstream, self.request.request_id, self.clock)
        connection.on_input = watch.record_input
        self.reader.connection = connection
        self.reader.watch = watch

    async def _prepare(
        self, dialect: Dialect, timeouts: AttemptTimeouts
    ) -> Outcome | None:
        silence = replace(timeouts, first_s=None).before_start(self.clock())
        head, answer = await self._read_head(dialect, silence)
        self.progress.cold_for_s = answer.cold_for_s
        if answer.not_run:
            return _not_run(head)
        self.status = head.status
        check_answer(head, answer)
        lowest_failed = FAILED
        if self.progress.splitter is not None:
            lowest_failed = STREAM_FAILED
        if head.status >= lowest_failed:
            return Ran(head.status)
        pieces: deque[bytes] = deque()
        if self.progress.splitter is not None:
            if self.writer.started:
                self._check_continuation(head)
            last_id = self.progress.splitter.last_id
            pieces = await self._read_first_event(last_id, silence)
        self.begun = BegunAnswer(head, answer, pieces)
        return None

    async def _read_first_event(
        self, last_id: str, silence: Silence
    ) -> deque[bytes]:
        """Return the pieces up to the end of the first event after an id."""
        splitter = EventSplitter(last_id)
        splitter.restart(continues=self.writer.started)
        pieces: deque[bytes] = deque()
        while not splitter.event_count:
            piece = await self.reader.read(
                self.reader.opened.read_piece, silence
            )
            if not piece:
                raise ConnectionBroken('answer ended before an event')
            pieces.append(piece)
            splitter.feed(piece)
        return pieces

    def _release(
        self, upstream: Upstream, pool: ConnectionPool, answer: AnswerMetadata
    ) -> None:
        self.progress.cold_for_s = answer.cold_for_s
        if not answer.closes_connection:
            pool.release(
                upstream.record, self.reader.opened, answer.keep_alive_s
            )

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
        refusal = self.check_sending()
        if refusal is not None:
            pool.release(upstream.record, connection, None)
            return refusal
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
        self, dialect: Dialect, timeouts: AttemptTimeouts
    ) -> tuple[Outcome, AnswerMetadata]:
        if self.begun is None:
            silence = timeouts.before_start(self.clock())
            head, answer = await self._read_head(dialect, silence)
            if answer.not_run:
                await read_body(self.reader.opened, MAX_REFUSAL_BYTES)
                return _not_run(head), answer
            self.status = head.status
            check_answer(head, answer)
        else:
            head, answer, _ = self.begun
        ok = head.status < HTTPStatus.MULTIPLE_CHOICES
        if ok and self.progress.splitter is not None:
            await self._forward_events(
                head, dialect, self.progress.splitter, timeouts
            )
        else:
            await self._forward_body(head, dialect)
        return Ran(head.status), answer

    async def _read_head(
        self, dialect: Dialect, silence: Silence
    ) -> tuple[AnswerHead, AnswerMetadata]:
        head = await self.reader.read(self.reader.opened.read_head, silence)
        answer = dialect.read_answer(head)
        self._check_request_id(answer, self.reader.opened)
        self.on_metadata(answer)
        return head, answer

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

    async def _forward_body(self, head: AnswerHead, dialect: Dialect) -> None:
        if self.writer.started:
            raise MalformedAnswer(
                f'status {head.status} instead of further events'
            )
        buffer: list[bytes] = []
        buffered_bytes = 0
        while piece := await self._read_piece():
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
        silence = timeouts.before_start(self.clock())
        read = partial(self._read_events, splitter)
        event_count = splitter.event_count
        while complete := await self.reader.read(read, silence):
            now_s = self.clock()
            has_event = splitter.event_count > event_count
            event_count = splitter.event_count
            if has_event:
                self._record_events(now_s)
                self.progress.record_piece(now_s)
            await self.writer.write(complete)
            # A slow caller is no fault of the upstream.
            if has_event:
                silence = timeouts.after_event(self.clock())
            else:
                silence.extend(self.clock() - now_s)
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

    async def _read_events(self, splitter: EventSplitter) -> bytes:
        """Return complete events or comments; empty at the answer's end."""
        while piece := await self._read_piece():
            complete = splitter.feed(piece)
            if complete:
                return complete
        return b''

    async def _read_piece(self) -> bytes:
        if self.begun is not None and self.begun.pieces:
            return self.begun.pieces.popleft()
        return await self.reader.opened.read_piece()

    def _record_events(self, now_s: float) -> None:
        started_s = self.progress.answer_started_s
        if started_s is None:
            self.progress.answer_started_s = now_s
            self.answer_started = True
            self.on_answer_started()
        elif not self.progress.proven and now_s - started_s >= PROVEN_S:
            self.progress.proven = True
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

    def _broken(self, error: Exception) -> Outcome:
        is_silent = isinstance(error, UpstreamSilent)
        reason = Reason.upstream_failed if is_silent else Reason.answer_cut
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


def check_answer(head: AnswerHead, answer: AnswerMetadata) -> None:
    """Check that an answer of an upstream that ran may be forwarded.

    :raises MalformedAnswer: when it may not.
    """
    ok = head.status < HTTPStatus.MULTIPLE_CHOICES
    if answer.encoded or (ok and not answer.signed):
        raise MalformedAnswer('answer was not produced by the upstream')
    if head.status in NOT_RUN_STATUSES:
        raise MalformedAnswer(f'status {head.status} for a request that ran')


def _not_run(head: AnswerHead) -> NotRun:
    reason = Reason.overloaded
    if head.status == HTTPStatus.MISDIRECTED_REQUEST:
        reason = Reason.wrong_version
    return NotRun(reason, f'upstream answered with status {head.status}')


def _ignore() -> None:
    """Do nothing."""


def _ignore_metadata(metadata: AnswerMetadata) -> None:
    """Do nothing."""


def _kind_of(head: AnswerHead) -> tuple[int, str]:
    """Return the status and the media type of an answer."""
    media_type, _, _ = head.headers.get('content-type', '').partition(';')
    return head.status, media_type.strip().lower()


def _content_length(head: AnswerHead) -> int | None:
    text = head.headers.get('content-length', '')
    return int(text) if text.isdecimal() else None
