"""Tests of the relay with real connections to scripted engines."""

import asyncio
import time
import unittest
from dataclasses import replace
from itertools import product
from typing import NamedTuple
from unittest.mock import patch

from bramleylug.cluster.cluster_view import (
    MAX_BEHIND_S,
    AnnouncedConfiguration,
    ClusterView,
)
from bramleylug.cluster.route_table import RetryPolicy
from bramleylug.cluster.held_weights import HeldWeights
from bramleylug.relay.relay import Relay
from bramleylug.store.mirror import Mirror
from bramleylug.web.server import WebServer
from testing.relay.builders import (
    MODEL,
    build_caller_request,
    build_peer,
    build_route,
    build_settings,
    build_table,
    build_upstream_record,
)
from testing.relay.scripted_engines import (
    LAST_CHUNK,
    OK_HEAD,
    RESET,
    UNFRAMED_HEAD,
    FakeDialect,
    RecordingExchange,
    ScriptedEngine,
    chunk,
    complete_answer,
    event,
    plain_event,
)

# More than the relay buffers before it forwards an answer.
LARGE_BODY = b'0123456789abcdef' * 20000
NOT_RUN = complete_answer(b'', 503, b'X-Not-Run: 1\r\n')


def fail_after(limit, function):
    """Return a function that raises after a number of calls."""
    calls = iter(range(limit))

    def call(*arguments):
        if next(calls, None) is None:
            raise RuntimeError(f'called more than {limit} times')
        return function(*arguments)

    return call


class RelayCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with engines that are selected in a fixed order."""

    async def serve(
        self,
        *engines,
        disconnect_after_s=None,
        request=None,
        loads=(),
        **fields,
    ):
        """Serve one request; the first engine is the least loaded one.

        :param loads: requests of other relays at each engine, which has 100
            slots.
        """
        self.relay = self.build_relay(build_route(**fields))
        self.engines = [await engine.open() for engine in engines]
        for number, engine in enumerate(self.engines):
            self.addAsyncCleanup(engine.close)
            self.relay.view.upstreams.register(
                build_upstream_record(
                    f'engine-{number}', address=engine.address, slots=100
                )
            )
            # The difference in free slots makes the order practically fixed.
            self.report_load(number, loads[number] if loads else 99 * number)
        if request is not None:
            self.relay.dialect.request = request
        exchange = RecordingExchange()
        task = asyncio.create_task(self.relay.serve(exchange))
        if disconnect_after_s is not None:
            await asyncio.sleep(disconnect_after_s)
            exchange.disconnect()
        await task
        return exchange

    def let_weights_expire(self, after_s):
        """Name a newer version of the weights when the relay is built."""
        build_relay = self.build_relay

        def build(route):
            relay = build_relay(route)
            now_s = time.monotonic()
            relay.view.versions.add_target(
                MODEL, 2, now_s, due_s=now_s + after_s
            )
            return relay

        self.build_relay = build

    def build_relay(self, route):
        """Return a relay whose copy of the store is current."""
        mirror = Mirror(3.0)
        now_s = time.monotonic()
        mirror.confirm(now_s + 60, now_s)
        settings = build_settings()
        view = ClusterView(settings, build_peer, mirror, time.monotonic)
        view.apply_route_table(build_table(route))
        return Relay(settings, view, FakeDialect(), time.monotonic)

    def spend_retry_budget(self):
        """Let the relays that are built have no retry budget."""
        build_relay = self.build_relay

        def build(route):
            relay = build_relay(route)
            relay.retry_budget.share = 0
            relay.retry_budget.reserve = 0
            return relay

        self.build_relay = build

    def report_load(self, number, running):
        """Report how many requests another relay runs at an engine."""
        upstream = self.relay.view.upstreams.by_id[f'engine-{number}']
        upstream.reported_running['relay-9'] = (running, time.monotonic())

    def arrivals(self):
        """Return how many requests each engine received."""
        return [len(engine.heads) for engine in self.engines]


class TestStreams(RelayCase):
    """Streams are forwarded by event and resumed on other engines."""

    async def test_stream_is_forwarded(self) -> None:
        """The signature and all events reach the caller."""
        engine = ScriptedEngine(
            [OK_HEAD, event(1), event(2) + event(3), LAST_CHUNK]
        )

        exchange = await self.serve(engine)

        self.assertEqual((exchange.status, exchange.ended), (200, 'whole'))
        self.assertEqual(exchange.sent.count(b'data:'), 3)
        self.assertEqual(exchange.headers_sent, {'X-Signature': 's'})

    async def test_broken_stream_is_resumed_on_another_engine(self) -> None:
        """No event is missing or repeated."""
        first = ScriptedEngine([OK_HEAD, event(1) + event(2)[:-9], None])
        second = ScriptedEngine([OK_HEAD, event(2), event(3), LAST_CHUNK])

        exchange = await self.serve(first, second)

        self.assertEqual(exchange.ended, 'whole')
        self.assertEqual(
            exchange.sent,
            b'id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n',
        )
        self.assertIn('X-After: 1\r\n', self.engines[1].heads[0])

    async def test_stalled_stream_is_resumed_on_another_engine(self) -> None:
        """The connection to an engine that stops sending is closed."""
        first = ScriptedEngine([OK_HEAD, event(1), 30.0])
        second = ScriptedEngine([OK_HEAD, event(2), LAST_CHUNK])

        exchange = await self.serve(first, second)

        self.assertEqual(exchange.ended, 'whole')
        self.assertEqual(exchange.sent.count(b'data:'), 2)
        await asyncio.wait_for(self.engines[0].closed.wait(), 0.5)

    async def test_dribbling_stream_is_resumed_on_another_engine(self) -> None:
        """Bytes that never complete an event are no progress."""
        dribble = [part for _ in range(40) for part in (chunk(b'x'), 0.1)]
        first = ScriptedEngine([OK_HEAD, event(1), *dribble])
        second = ScriptedEngine([OK_HEAD, event(2), LAST_CHUNK])
        began_s = time.monotonic()

        exchange = await self.serve(first, second)

        self.assertEqual(exchange.ended, 'whole')
        self.assertEqual(exchange.sent.count(b'data:'), 2)
        self.assertLess(time.monotonic() - began_s, 3.0)

    async def test_slow_stream_is_not_cut(self) -> None:
        """Every event arrives well before the idle timeout."""
        parts = [
            part for number in range(2, 6) for part in (0.4, event(number))
        ]
        engine = ScriptedEngine([OK_HEAD, event(1), *parts, LAST_CHUNK])

        exchange = await self.serve(engine)

        self.assertEqual(exchange.ended, 'whole')
        self.assertEqual(exchange.sent.count(b'data:'), 5)

    async def test_last_attempt_is_not_cut_for_silence(self) -> None:
        """The engine is silent for two seconds."""
        engine = ScriptedEngine(
            [OK_HEAD, event(1), 2.0, event(2), event(3), LAST_CHUNK]
        )
        other = ScriptedEngine(NOT_RUN)

        exchange = await self.serve(engine, other, max_attempts=1)

        self.assertEqual(exchange.ended, 'whole')
        self.assertEqual(exchange.sent.count(b'data:'), 3)
        self.assertEqual(self.arrivals(), [1, 0])

    async def test_broken_stream_without_resumption_is_cut_off(self) -> None:
        """An incomplete answer must not look complete."""
        first = ScriptedEngine([OK_HEAD, event(1), None])
        second = ScriptedEngine([OK_HEAD, event(2), LAST_CHUNK])

        exchange = await self.serve(
            first, second, retry_policy=RetryPolicy.never
        )

        self.assertEqual(exchange.ended, 'cut')
        self.assertEqual(self.arrivals(), [1, 0])

    async def test_stream_that_starts_over_is_not_joined(self) -> None:
        """The engine ignores the event after which it should resume."""
        first = ScriptedEngine([OK_HEAD, event(1), event(2), None])
        second = ScriptedEngine([OK_HEAD, event(1), event(2), LAST_CHUNK])

        exchange = await self.serve(first, second)

        self.assertEqual(exchange.ended, 'cut')
        self.assertEqual(exchange.sent.count(b'data:'), 2)

    async def test_attempts_are_limited(self) -> None:
        """A route sets the maximum number of upstreams."""
        engines = [ScriptedEngine([OK_HEAD, None]) for _ in range(3)]

        exchange = await self.serve(*engines, max_attempts=2)

        self.assertEqual(sum(self.arrivals()), 2)
        self.assertEqual(exchange.status, 502)


class TestContinuedStreams(RelayCase):
    """Only events of the same stream follow those that the caller has."""

    def setUp(self) -> None:
        """Break off in different ways after the second event."""
        cut_event = chunk(plain_event(3)[:-9]) + LAST_CHUNK
        self.ends = (None, RESET, cut_event)

    async def test_head_of_an_answer_without_an_event_is_not_sent(self) -> None:
        """Guards against the head of one engine with another one's events."""
        first_head = OK_HEAD.replace(b'X-Signature: s', b'X-Signature: first')
        for end in (None, RESET, event(1)[:-9]):
            first = ScriptedEngine([first_head, end, None])
            second = ScriptedEngine([OK_HEAD, event(1), event(2), LAST_CHUNK])

            exchange = await self.serve(first, second)

            with self.subTest(end=end):
                self.assertEqual(exchange.headers_sent, {'X-Signature': 's'})
                self.assertEqual(
                    (exchange.ended, exchange.sent),
                    ('whole', plain_event(1) + plain_event(2)),
                )

    async def test_head_stays_that_of_the_first_event(self) -> None:
        """The caller has received it."""
        first_head = OK_HEAD.replace(b'X-Signature: s', b'X-Signature: first')
        first = ScriptedEngine([first_head, event(1), None])
        second = ScriptedEngine([OK_HEAD, event(2), LAST_CHUNK])

        exchange = await self.serve(first, second)

        self.assertEqual(exchange.headers_sent, {'X-Signature': 'first'})
        self.assertEqual(exchange.ended, 'whole')

    async def test_other_answer_never_ends_a_stream_as_whole(self) -> None:
        """Guards against errors in the middle of a stream, or as its end."""
        others = {
            'empty': [OK_HEAD, LAST_CHUNK],
            'no content': b'HTTP/1.1 204 X\r\nX-Signature: s\r\n\r\n',
            'without an id': [OK_HEAD, chunk(b'data: no\n\n'), LAST_CHUNK],
            'text': [OK_HEAD, chunk(b'error\n\n'), LAST_CHUNK],
            'page': complete_answer(
                b'event\n\n', 200, b'Content-Type: text/html\r\n'
            ),
            'unframed text': [UNFRAMED_HEAD, b'error\n\n', None],
            'slow text': [OK_HEAD, chunk(b'err'), 0.2, chunk(b'or\n\n')],
            'head in the body': [OK_HEAD, chunk(OK_HEAD), LAST_CHUNK],
            **{
                f'status {status}': complete_answer(b'error\n\n', status)
                for status in (201, 206, 404, 408, 421, 429, 500, 503, 504)
            },
            'unsigned': [OK_HEAD.replace(b'X-Signature', b'X-Other')],
            'unreadable': b'error\n\n',
        }
        for name, answer in others.items():
            for end in self.ends:
                exchange = await self.serve(
                    ScriptedEngine([OK_HEAD, event(1), event(2), end, None]),
                    ScriptedEngine(answer, None),
                )
                with self.subTest(name=name, end=end):
                    self.assertEqual(
                        (exchange.ended, exchange.sent),
                        ('cut', plain_event(1) + plain_event(2)),
                    )

    async def test_whole_stream_of_a_third_engine_follows(self) -> None:
        """An answer without an event is one attempt that failed."""
        exchange = await self.serve(
            ScriptedEngine([OK_HEAD, event(1), None]),
            ScriptedEngine([OK_HEAD, LAST_CHUNK]),
            ScriptedEngine([OK_HEAD, event(2), LAST_CHUNK]),
            max_attempts=3,
        )

        self.assertEqual(
            (exchange.ended, exchange.sent),
            ('whole', plain_event(1) + plain_event(2)),
        )

    async def test_comment_may_come_before_the_next_event(self) -> None:
        """It keeps the connection alive and has no id."""
        exchange = await self.serve(
            ScriptedEngine([OK_HEAD, event(1), None]),
            ScriptedEngine(
                [OK_HEAD, chunk(b': wait\n\n'), event(2), LAST_CHUNK]
            ),
        )

        self.assertEqual(exchange.ended, 'whole')

    async def test_endless_comments_are_no_event_of_a_stream(self) -> None:
        """Guards against streams that comments keep at a faulty engine."""
        comments = [part for _ in range(40) for part in (0.05, chunk(b':\n\n'))]
        with patch('bramleylug.relay.relay.STREAM_IDLE_S', 0.3):
            exchange = await self.serve(
                ScriptedEngine([OK_HEAD, event(1), *comments]),
                ScriptedEngine([OK_HEAD, event(2), LAST_CHUNK]),
            )

        self.assertEqual(exchange.ended, 'whole')
        self.assertIn(plain_event(2), exchange.sent)
        self.assertLess(exchange.sent.count(b':\n\n'), 40)

    async def test_caller_that_resumes_by_itself_gets_the_whole_answer(
        self,
    ) -> None:
        """Also when no event is left: it is that engine's own answer."""
        for parts in ([event(2)], []):
            exchange = await self.serve(
                ScriptedEngine([OK_HEAD, *parts, LAST_CHUNK]),
                request=build_caller_request(resume_after='1'),
            )
            with self.subTest(parts=parts):
                self.assertEqual(
                    (exchange.status, exchange.ended), (200, 'whole')
                )


class TestLeavingWhileConnecting(RelayCase):
    """An engine that leaves between its choice and the sending gets nothing."""

    async def serve_while(self, change):
        """Make a change while the relay connects to the first engine."""
        build_relay = self.build_relay

        def build(route):
            relay = build_relay(route)
            acquire = relay.pool.acquire

            async def acquire_slowly(record):
                connection = await acquire(record)
                if record.upstream_id == 'engine-0':
                    change(relay.view, record)
                return connection

            relay.pool.acquire = acquire_slowly
            return relay

        self.build_relay = build
        return await self.serve(
            ScriptedEngine(complete_answer(b'first')),
            ScriptedEngine(complete_answer(b'second')),
            retry_policy=RetryPolicy.never,
            streamed=False,
        )

    async def test_request_goes_to_another_engine(self) -> None:
        """Guards against arrivals later than a limit on draining (DRAIN)."""
        changes = (
            lambda view, record: view.register_upstream(
                replace(record, draining=True)
            ),
            lambda view, record: view.record_leaving(
                record.upstream_id, record.started_ms
            ),
            lambda view, record: view.remove_upstream(record.upstream_id),
        )
        for number, change in enumerate(changes):
            exchange = await self.serve_while(change)
            with self.subTest(number):
                self.assertEqual(self.arrivals(), [0, 1])
                self.assertEqual(exchange.sent, b'second')


class TestRepeatedRefusals(RelayCase):
    """A refusal that is written once more refuses no other request."""

    def setUp(self) -> None:
        self.repeated = tuple(
            product(
                (503, 429, 421),
                (b'', b'X-Id: request-1\r\n'),
                ('at once', 'late', 'before the answer', 'in pieces'),
            )
        )

    def engine(self, status, request_id, when):
        """Return an engine that repeats its first refusal."""
        refusal = complete_answer(b'', status, b'X-Not-Run: 1\r\n' + request_id)
        answer = complete_answer(b'ran', 200, b'X-Id: request-2\r\n')
        match when:
            case 'at once':
                return ScriptedEngine([refusal + refusal], answer)
            case 'late':
                return ScriptedEngine([refusal, 0.02, refusal], answer)
            case 'before the answer':
                return ScriptedEngine(refusal, [refusal, answer])
        return ScriptedEngine(refusal, [refusal[:20], 0.02, refusal[20:]])

    def other_engine(self):
        """Return an engine that runs both requests."""
        return ScriptedEngine(
            *(
                complete_answer(b'other', 200, b'X-Id: request-%d\r\n' % number)
                for number in (1, 2)
            )
        )

    async def serve_two(self, engine, other, **fields):
        """Serve a request that is refused, and one on its connection."""
        await self.serve(
            engine, other, streamed=False, max_attempts=2, **fields
        )
        await asyncio.sleep(0.03)
        self.relay.dialect.request = build_caller_request(
            request_id='request-2'
        )
        exchange = RecordingExchange()
        await self.relay.serve(exchange)
        return exchange

    async def test_request_that_may_run_once_is_not_refused(self) -> None:
        """Guards against "not run" for a request that runs (REFUSED, TWICE)."""
        for repeated in self.repeated:
            exchange = await self.serve_two(
                self.engine(*repeated),
                self.other_engine(),
                retry_policy=RetryPolicy.never,
            )
            ran = len(self.engines[0].heads) + len(self.engines[1].heads)
            with self.subTest(repeated=repeated):
                # One arrival each, and one for the retry of the refused one.
                self.assertEqual(ran, 3)
                self.assertIn(exchange.status, (200, 502))
                self.assertNotIn('Retry-After', exchange.headers_sent)

    async def test_idempotent_request_is_answered_by_another_engine(
        self,
    ) -> None:
        for repeated in self.repeated:
            exchange = await self.serve_two(
                self.engine(*repeated),
                self.other_engine(),
                retry_policy=RetryPolicy.always,
            )
            with self.subTest(repeated=repeated):
                self.assertEqual(exchange.status, 200)


class SilenceCase(RelayCase):
    """Base of tests with short timeouts of silence."""

    def setUp(self) -> None:
        """Look for another engine after 0.2 s of silence in a stream."""
        for name in ('STREAM_FIRST_EVENT_S', 'STREAM_IDLE_S'):
            patched = patch(f'bramleylug.relay.relay.{name}', 0.2)
            patched.start()
            self.addCleanup(patched.stop)


class TestSilentStreams(SilenceCase):
    """Silence alone does not end a stream that has started."""

    def silent(self):
        """Return an engine that is silent in the middle of its stream."""
        return ScriptedEngine(
            [OK_HEAD, event(1), 0.7, event(2), event(3), LAST_CHUNK]
        )

    def assert_whole(self, exchange, arrivals):
        """Check that the caller got the whole stream."""
        self.assertEqual(exchange.ended, 'whole')
        self.assertEqual(exchange.sent.count(b'data:'), 3)
        self.assertEqual(self.arrivals(), arrivals)

    async def test_stream_is_not_cut_when_the_retry_budget_is_spent(
        self,
    ) -> None:
        """Another engine has free slots."""
        self.spend_retry_budget()

        exchange = await self.serve(self.silent(), ScriptedEngine(NOT_RUN))

        self.assert_whole(exchange, [1, 0])

    async def test_stream_is_not_cut_without_another_engine(self) -> None:
        """Only its own engine is registered."""
        exchange = await self.serve(self.silent())

        self.assert_whole(exchange, [1])

    async def test_stream_is_not_cut_while_other_engines_are_full(
        self,
    ) -> None:
        """The other engine has no free slot."""
        exchange = await self.serve(
            self.silent(), ScriptedEngine(NOT_RUN), loads=(0, 100)
        )

        self.assert_whole(exchange, [1, 0])

    async def test_one_free_slot_takes_over_one_silent_stream(self) -> None:
        """Another one that is silent at the same time stays where it is."""
        parts = [OK_HEAD, event(1), 0.7, event(2), event(3), LAST_CHUNK]
        resumed = [OK_HEAD, event(2), event(3), 0.7, LAST_CHUNK]
        first = asyncio.create_task(
            self.serve(
                ScriptedEngine(parts, parts), ScriptedEngine(resumed, resumed)
            )
        )
        await asyncio.sleep(0.02)
        second = RecordingExchange()

        await self.relay.serve(second)

        self.assert_whole(await first, [2, 1])
        self.assert_whole(second, [2, 1])
        running = [
            (upstream.running, upstream.unstarted)
            for upstream in self.relay.view.upstreams.by_id.values()
        ]
        self.assertEqual(running, [(0, 0), (0, 0)])

    async def test_silent_engine_is_left_when_the_caller_disconnects(
        self,
    ) -> None:
        """Another engine is being looked for at that time."""
        engine = ScriptedEngine([OK_HEAD, event(1), 30.0])

        await self.serve(engine, disconnect_after_s=0.5)

        await asyncio.wait_for(self.engines[0].closed.wait(), 0.5)
        self.assertEqual(self.relay.running, 0)


class TestHedgedRequests(SilenceCase):
    """A silent engine is left only for one whose answer has begun.

    Requests moved to engines that refused them, or were silent as well, and
    were cut off although the first engine went on.
    """

    def silent(self):
        """Return an engine that goes on 0.5 s after others are tried."""
        return ScriptedEngine(
            [OK_HEAD, event(1), 0.8, event(2), event(3), LAST_CHUNK]
        )

    def assert_whole(self, exchange, arrivals):
        """Check that the caller got the whole stream, and nothing is left."""
        self.assertEqual(exchange.ended, 'whole')
        self.assertEqual(exchange.sent.count(b'data:'), 3)
        self.assertEqual(self.arrivals(), arrivals)
        running = [
            (upstream.running, upstream.unstarted)
            for upstream in self.relay.view.upstreams.by_id.values()
        ]
        self.assertEqual(running, [(0, 0)] * len(self.engines))

    async def test_stream_refused_by_another_engine_is_not_cut(self) -> None:
        """The other engine has no room after all, or fails."""
        for answer in (NOT_RUN, None, complete_answer(b'', 500)):
            with self.subTest(answer):
                exchange = await self.serve(
                    self.silent(), ScriptedEngine(answer)
                )

                self.assert_whole(exchange, [1, 1])

    async def test_stream_is_not_cut_if_no_other_engine_listens(self) -> None:
        """The other engine has just ended."""
        ended = await ScriptedEngine().open()
        await ended.close()
        ended.open = lambda: asyncio.sleep(0, ended)

        exchange = await self.serve(self.silent(), ended)

        self.assert_whole(exchange, [1, 0])

    async def test_stream_stays_while_the_other_engine_is_silent(self) -> None:
        """Both engines are silent; the first one goes on before."""
        for parts in ([5.0], [OK_HEAD, 5.0], [OK_HEAD, chunk(b'id: 2'), 5.0]):
            with self.subTest(parts):
                exchange = await self.serve(
                    self.silent(), ScriptedEngine(parts)
                )

                self.assert_whole(exchange, [1, 1])
                await asyncio.wait_for(self.engines[1].closed.wait(), 0.5)

    async def test_answer_that_comes_first_is_forwarded(self) -> None:
        """No event has come from either engine; the first one is sooner."""
        first = ScriptedEngine([0.6, OK_HEAD, event(1), event(2), event(3)])
        first.answers[0].append(LAST_CHUNK)

        exchange = await self.serve(first, ScriptedEngine([5.0]))

        self.assert_whole(exchange, [1, 1])

    async def test_engine_that_breaks_off_is_left_for_the_other(self) -> None:
        """The other engine has the request at that time."""
        first = ScriptedEngine([OK_HEAD, event(1), 0.5, None])
        other = ScriptedEngine([0.4, OK_HEAD, event(2), event(3), LAST_CHUNK])

        exchange = await self.serve(first, other)

        self.assert_whole(exchange, [1, 1])

    async def test_both_engines_are_left_when_the_caller_disconnects(
        self,
    ) -> None:
        """Neither works on for nobody."""
        engines = (
            ScriptedEngine([OK_HEAD, event(1), 30.0]),
            ScriptedEngine([30.0]),
        )

        await self.serve(*engines, disconnect_after_s=0.5)

        for engine in self.engines:
            await asyncio.wait_for(engine.closed.wait(), 0.5)
        self.assertEqual(self.arrivals(), [1, 1])
        self.assertEqual(self.relay.running, 0)
        for upstream in self.relay.view.upstreams.by_id.values():
            self.assertEqual((upstream.running, upstream.unstarted), (0, 0))

    async def test_idempotent_request_gets_the_first_answer(self) -> None:
        """The other engine refuses it, or has not answered yet."""
        for other in (NOT_RUN, [5.0]):
            with self.subTest(other):
                exchange = await self.serve(
                    ScriptedEngine([0.7, complete_answer(b'late')]),
                    ScriptedEngine(other),
                    retry_policy=RetryPolicy.always,
                    streamed=False,
                    objective_s=0.05,
                )

                self.assertEqual(
                    (exchange.status, exchange.sent), (200, b'late')
                )
                self.assertEqual(self.arrivals(), [1, 1])


class TestSilenceBeforeTheAnswer(SilenceCase):
    """Silence alone does not end a request that waits for its answer."""

    async def test_stream_is_not_refused_before_its_first_event(self) -> None:
        """The engine has sent nothing, or only the head of its answer."""
        for parts in ([0.7, OK_HEAD], [OK_HEAD, 0.7]):
            engine = ScriptedEngine([*parts, event(1), LAST_CHUNK])

            exchange = await self.serve(
                engine, ScriptedEngine(NOT_RUN), max_attempts=1
            )

            self.assertEqual((exchange.status, exchange.ended), (200, 'whole'))
            self.assertEqual(exchange.sent.count(b'data:'), 1)
            self.assertEqual(self.arrivals(), [1, 0])

    async def test_idempotent_request_is_not_failed_for_silence(self) -> None:
        """No other engine has a free slot."""
        engine = ScriptedEngine([0.7, complete_answer(b'late')])

        exchange = await self.serve(
            engine,
            ScriptedEngine(NOT_RUN),
            retry_policy=RetryPolicy.always,
            streamed=False,
            objective_s=0.05,
            loads=(0, 100),
        )

        self.assertEqual((exchange.status, exchange.sent), (200, b'late'))
        self.assertEqual(self.arrivals(), [1, 0])

    async def test_request_that_is_never_answered_ends_at_its_time_limit(
        self,
    ) -> None:
        """It is not refused before, and nothing is known of its run."""
        engine = ScriptedEngine([30.0])

        exchange = await self.serve(engine, timeout_s=0.8)

        self.assertEqual(exchange.status, 504)
        self.assertEqual(exchange.headers_sent['X-Run'], 'unknown')
        await asyncio.wait_for(self.engines[0].closed.wait(), 0.5)


class TestStartedStreams(RelayCase):
    """A started stream waits for an engine that can continue it."""

    def setUp(self) -> None:
        """Build an engine that cuts its stream and one that continues it."""
        self.cut = ScriptedEngine([OK_HEAD, event(1), None])
        self.other = ScriptedEngine([OK_HEAD, event(2), LAST_CHUNK])

    async def serve_until(self, change, *engines, **fields):
        """Serve a stream; make a change after 0.5 s."""
        task = asyncio.create_task(self.serve(*engines, **fields))
        await asyncio.sleep(0.5)
        change()
        return await task

    def assert_continued(self, exchange, arrivals):
        """Check that the caller got both events."""
        self.assertEqual(exchange.ended, 'whole')
        self.assertEqual(exchange.sent.count(b'data:'), 2)
        self.assertEqual(self.arrivals(), arrivals)

    async def test_cut_stream_goes_on_when_a_slot_is_freed(self) -> None:
        """The other engine is full when the stream is cut."""
        exchange = await self.serve_until(
            lambda: self.report_load(1, 99),
            self.cut,
            self.other,
            loads=(0, 100),
        )

        self.assert_continued(exchange, [1, 1])

    async def test_cut_stream_goes_on_when_an_engine_registers(self) -> None:
        """Its own engine is the only one when the stream is cut."""
        await self.other.open()
        self.addAsyncCleanup(self.other.close)

        exchange = await self.serve_until(
            lambda: self.relay.view.upstreams.register(
                build_upstream_record('engine-1', address=self.other.address)
            ),
            self.cut,
        )

        self.assert_continued(exchange, [1])
        self.assertEqual(len(self.other.heads), 1)

    async def test_stream_refused_after_a_cut_waits_for_a_third_engine(
        self,
    ) -> None:
        """The second engine turns it away while the third one is full."""
        exchange = await self.serve_until(
            lambda: self.report_load(2, 99),
            self.cut,
            ScriptedEngine(NOT_RUN),
            self.other,
            loads=(0, 99, 100),
            max_attempts=3,
        )

        self.assert_continued(exchange, [1, 1, 1])

    async def test_cut_stream_waits_for_the_retry_budget(self) -> None:
        """The budget grows with the requests of other callers."""
        self.spend_retry_budget()

        exchange = await self.serve_until(
            lambda: setattr(self.relay.retry_budget, 'reserve', 100),
            self.cut,
            self.other,
        )

        self.assert_continued(exchange, [1, 1])

    async def test_cut_stream_without_attempts_left_ends_at_once(self) -> None:
        """No engine may continue it, however long it waits."""
        began_s = time.monotonic()

        exchange = await self.serve(self.cut, self.other, max_attempts=1)

        self.assertEqual(exchange.ended, 'cut')
        self.assertLess(time.monotonic() - began_s, 0.2)

    async def test_waiting_stream_ends_when_its_caller_disconnects(
        self,
    ) -> None:
        """It waits for another engine, alone or in the queue."""
        for engines in ((self.cut,), (self.cut, self.other)):
            self.cut.answers = [[OK_HEAD, event(1), None]]
            began_s = time.monotonic()

            await self.serve(*engines, disconnect_after_s=0.3, loads=(0, 100))

            self.assertLess(time.monotonic() - began_s, 0.5)
            self.assertEqual(self.relay.running, 0)
            self.assertEqual(self.relay.dispatch_queue.waiters, {})

    async def test_cut_stream_ends_before_its_caller_gives_up(self) -> None:
        """The caller may resume it by itself in the time that is left."""
        began_s = time.monotonic()

        with patch('bramleylug.relay.handover.CALLER_PATIENCE_S', 0.5):
            exchange = await self.serve(self.cut, timeout_s=6.0)

        self.assertEqual(exchange.ended, 'cut')
        self.assertLess(time.monotonic() - began_s, 2.0)

    async def test_cut_stream_ends_at_its_time_limit(self) -> None:
        """No engine can continue it before."""
        began_s = time.monotonic()

        exchange = await self.serve(self.cut, timeout_s=0.8)

        self.assertEqual(exchange.ended, 'cut')
        self.assertGreater(time.monotonic() - began_s, 0.7)
        self.assertEqual(self.relay.running, 0)


class TestUnframedAnswers(RelayCase):
    """An answer may have no length and end with its connection."""

    async def test_unframed_answer_is_forwarded_whole(self) -> None:
        """One that is buffered and one that is forwarded as it arrives."""
        for body in (b'', b'ok', LARGE_BODY):
            with self.subTest(len(body)):
                exchange = await self.serve(
                    ScriptedEngine([UNFRAMED_HEAD, body, 0.05, None]),
                    streamed=False,
                )

                self.assertEqual(exchange.ended, 'whole')
                self.assertEqual(exchange.sent, body)

    async def test_large_answer_is_forwarded_before_its_end(self) -> None:
        """The relay's memory does not grow with the answer."""
        engine = ScriptedEngine([UNFRAMED_HEAD, LARGE_BODY, 5.0, None])

        exchange = await self.serve(
            engine, streamed=False, disconnect_after_s=0.5
        )

        self.assertEqual(exchange.sent, LARGE_BODY)

    async def test_unframed_stream_is_forwarded_whole(self) -> None:
        engine = ScriptedEngine(
            [UNFRAMED_HEAD, plain_event(1), 0.05, plain_event(2), None]
        )

        exchange = await self.serve(engine)

        self.assertEqual(exchange.ended, 'whole')
        self.assertEqual(exchange.sent, plain_event(1) + plain_event(2))

    async def test_connection_of_an_unframed_answer_is_not_reused(self) -> None:
        """The next request would be taken for sent and be lost."""
        engine = ScriptedEngine(
            [UNFRAMED_HEAD, b'ok', None], complete_answer(b'next')
        )
        await self.serve(engine, streamed=False)
        exchange = RecordingExchange()

        await self.relay.serve(exchange)

        self.assertEqual(exchange.sent, b'next')

    async def test_reset_unframed_answer_is_replaced(self) -> None:
        """The answer of another engine takes its place."""
        exchange = await self.serve(
            ScriptedEngine([UNFRAMED_HEAD, b'part', 0.05, RESET]),
            ScriptedEngine(complete_answer(b'whole')),
            retry_policy=RetryPolicy.always,
            streamed=False,
        )

        self.assertEqual(exchange.ended, 'whole')
        self.assertEqual(exchange.sent, b'whole')

    async def test_reset_unframed_answer_is_never_passed_off_as_whole(
        self,
    ) -> None:
        """Before its first byte the caller gets an error, later a cut."""
        for body, ended in (
            (b'', 'own'),
            (b'part', 'own'),
            (LARGE_BODY, 'cut'),
        ):
            with self.subTest(len(body)):
                exchange = await self.serve(
                    ScriptedEngine([UNFRAMED_HEAD, body, 0.05, RESET]),
                    ScriptedEngine(complete_answer(b'whole')),
                    retry_policy=RetryPolicy.never,
                    streamed=False,
                )

                self.assertEqual(exchange.ended, ended)
                self.assertEqual(self.arrivals(), [1, 0])

    async def test_reset_unframed_stream_is_resumed(self) -> None:
        """Also where it is reset between two events."""
        first = ScriptedEngine([UNFRAMED_HEAD, plain_event(1), 0.05, RESET])
        second = ScriptedEngine([UNFRAMED_HEAD, plain_event(2), None])

        exchange = await self.serve(first, second)

        self.assertEqual(exchange.ended, 'whole')
        self.assertEqual(exchange.sent, plain_event(1) + plain_event(2))

    async def test_stream_that_ends_inside_an_event_is_resumed(self) -> None:
        """Its end is no end of the answer, however it is framed."""
        half = plain_event(2)[:-1]
        length = len(plain_event(1) + half)
        framed = complete_answer(plain_event(1) + half)
        for case, answer in (
            ('chunked', [OK_HEAD, event(1), chunk(half), LAST_CHUNK]),
            ('unframed', [UNFRAMED_HEAD, plain_event(1), half, None]),
            (f'length {length}', [framed]),
        ):
            with self.subTest(case):
                exchange = await self.serve(
                    ScriptedEngine(answer),
                    ScriptedEngine([OK_HEAD, event(2), LAST_CHUNK]),
                )

                self.assertEqual(exchange.ended, 'whole')
                self.assertEqual(exchange.sent, plain_event(1) + plain_event(2))

    async def test_stream_that_ends_inside_an_event_is_cut_off(self) -> None:
        """Without resumption the caller must see that it is incomplete."""
        half = plain_event(2)[:-1]
        for answer in (
            [OK_HEAD, event(1), chunk(half), LAST_CHUNK],
            [UNFRAMED_HEAD, plain_event(1), half, None],
            [complete_answer(plain_event(1) + half)],
        ):
            with self.subTest(answer):
                exchange = await self.serve(
                    ScriptedEngine(answer), retry_policy=RetryPolicy.never
                )

                self.assertEqual(exchange.ended, 'cut')
                self.assertEqual(exchange.sent, plain_event(1))


class Received(NamedTuple):
    """Bytes that a caller received, and whether a reset ended them."""

    raw: bytes
    reset: bool


class TestAnswersOnTheWire(RelayCase):
    """What a caller sees on its socket of answers that have no framing."""

    async def receive(self, version: bytes, *answer) -> Received:
        """Send a request through a port of the relay and read to the end."""
        engine = await ScriptedEngine(list(answer)).open()
        self.addAsyncCleanup(engine.close)
        relay = self.build_relay(
            build_route(streamed=False, retry_policy=RetryPolicy.never)
        )
        relay.view.upstreams.register(
            build_upstream_record(address=engine.address)
        )
        loop = asyncio.get_running_loop()
        web = WebServer(
            '127.0.0.1:0',
            lambda exchange: asyncio.run_coroutine_threadsafe(
                relay.serve(exchange), loop
            ),
        )
        web.start()
        self.addCleanup(web.stop)
        reader, writer = await asyncio.open_connection(web.host, web.port)
        writer.write(
            b'POST /ask/1 HTTP/%s\r\nHost: advisor.example\r\n'
            b'Connection: close\r\nContent-Length: 0\r\n\r\n' % version
        )
        pieces = []
        try:
            while piece := await reader.read(65536):
                pieces.append(piece)
        except ConnectionResetError:
            return Received(b''.join(pieces), reset=True)
        finally:
            writer.close()
        return Received(b''.join(pieces), reset=False)

    async def test_whole_answer_ends_visibly(self) -> None:
        """With the last chunk, or for HTTP/1.0 with the connection."""
        answer = [UNFRAMED_HEAD, LARGE_BODY, None]

        chunked = await self.receive(b'1.1', *answer)
        closed = await self.receive(b'1.0', *answer)

        self.assertTrue(chunked.raw.endswith(LAST_CHUNK))
        self.assertTrue(closed.raw.endswith(LARGE_BODY))
        self.assertFalse(chunked.reset or closed.reset)

    async def test_reset_answer_does_not_end_as_a_whole_one(self) -> None:
        """A caller of HTTP/1.0 can tell it by the reset alone."""
        answer = [UNFRAMED_HEAD, LARGE_BODY, 0.1, RESET]

        chunked = await self.receive(b'1.1', *answer)
        closed = await self.receive(b'1.0', *answer)

        self.assertFalse(chunked.raw.endswith(LAST_CHUNK))
        self.assertTrue(chunked.reset and closed.reset)


class TestNoRetry(RelayCase):
    """A request that may run only once is not sent again after it may have."""

    async def once(self, *engines, **fields):
        """Serve a request that may run at most once."""
        return await self.serve(
            *engines, retry_policy=RetryPolicy.never, streamed=False, **fields
        )

    async def test_lost_answer_is_not_retried(self) -> None:
        """The engine may have run it, so the status must not deny that."""
        exchange = await self.once(
            ScriptedEngine(None), ScriptedEngine(complete_answer(b'ok'))
        )

        self.assertEqual(self.arrivals(), [1, 0])
        self.assertEqual(exchange.status, 502)
        self.assertNotIn('Retry-After', exchange.headers_sent)

    async def test_refusal_of_an_engine_is_retried(self) -> None:
        """The engine states that it did not run the request."""
        exchange = await self.once(
            ScriptedEngine(NOT_RUN), ScriptedEngine(complete_answer(b'ok'))
        )

        self.assertEqual((exchange.status, exchange.sent), (200, b'ok'))

    async def test_refusal_by_all_engines_is_reported_as_not_run(self) -> None:
        """The caller may retry."""
        exchange = await self.once(
            ScriptedEngine(NOT_RUN), ScriptedEngine(NOT_RUN)
        )

        self.assertEqual(exchange.status, 429)

    async def test_refusal_after_a_lost_answer_is_not_reported_as_not_run(
        self,
    ) -> None:
        """The first engine may have run the idempotent request."""
        exchange = await self.serve(
            ScriptedEngine(None),
            ScriptedEngine(NOT_RUN),
            retry_policy=RetryPolicy.always,
            streamed=False,
        )

        self.assertEqual(exchange.status, 502)

    async def test_unavailable_from_an_engine_that_ran_is_not_forwarded(
        self,
    ) -> None:
        """A 503 promises that nothing ran, which the engine did not state."""
        exchange = await self.once(ScriptedEngine(complete_answer(b'', 503)))

        self.assertEqual(exchange.status, 502)

    async def test_error_of_the_engine_is_forwarded(self) -> None:
        """Status, body and signature are those of the engine."""
        exchange = await self.once(ScriptedEngine(complete_answer(b'no', 500)))

        self.assertEqual((exchange.status, exchange.sent), (500, b'no'))
        self.assertEqual(exchange.headers_sent['X-Signature'], 's')

    async def test_timeout_is_reported_as_unknown(self) -> None:
        """The caller gets a final answer within the route's timeout."""
        engine = ScriptedEngine([5.0])

        exchange = await self.once(engine, timeout_s=0.2)

        self.assertEqual(exchange.status, 504)
        await asyncio.wait_for(self.engines[0].closed.wait(), 0.5)


class TestIdempotent(RelayCase):
    """Idempotent requests are retried while nothing was forwarded."""

    async def safe(self, *engines, **fields):
        """Serve an idempotent request."""
        return await self.serve(
            *engines, retry_policy=RetryPolicy.always, streamed=False, **fields
        )

    async def test_truncated_answer_is_retried(self) -> None:
        """The caller gets one complete answer."""
        cut = complete_answer(b'a long answer')[:-4]

        exchange = await self.safe(
            ScriptedEngine([cut, None]),
            ScriptedEngine(complete_answer(b'fine')),
        )

        self.assertEqual((exchange.sent, exchange.ended), (b'fine', 'whole'))

    async def test_answer_to_another_request_is_discarded(self) -> None:
        """A late answer on a reused connection reaches no caller."""
        wrong = complete_answer(b'secret', headers=b'X-Id: request-0\r\n')

        exchange = await self.safe(
            ScriptedEngine(wrong), ScriptedEngine(complete_answer(b'fine'))
        )

        self.assertEqual(exchange.sent, b'fine')

    async def test_late_copy_without_an_id_is_discarded(self) -> None:
        """It arrives where the answer to the next request is expected."""
        once = complete_answer(b'first')
        engine = ScriptedEngine(once, [once, 0.3])
        first = await self.safe(engine)
        second = RecordingExchange()

        await self.relay.serve(second)

        self.assertEqual(first.sent, b'first')
        self.assertNotEqual(second.sent, b'first')

    async def test_unsigned_success_is_retried(self) -> None:
        """The answer does not come from an engine."""
        unsigned = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi'

        exchange = await self.safe(
            ScriptedEngine(unsigned), ScriptedEngine(complete_answer(b'fine'))
        )

        self.assertEqual(exchange.sent, b'fine')

    async def test_hanging_engine_is_retried_elsewhere(self) -> None:
        """The timeout is a multiple of the latency objective."""
        exchange = await self.safe(
            ScriptedEngine([30.0]),
            ScriptedEngine(complete_answer(b'fine')),
            objective_s=0.05,
        )

        self.assertEqual(exchange.sent, b'fine')

    async def test_failed_connection_is_not_an_attempt(self) -> None:
        """No byte of the request was sent."""
        dead = await ScriptedEngine().open()
        await dead.close()
        alive = ScriptedEngine(complete_answer(b'fine'))
        relay_case = self
        exchange = await relay_case.safe(alive, max_attempts=1)
        self.relay.view.upstreams.register(
            build_upstream_record('engine-0', address=dead.address, slots=400)
        )

        again = RecordingExchange()
        self.engines[0].answers.append(complete_answer(b'fine'))
        self.relay.view.upstreams.register(
            build_upstream_record('engine-1', address=alive.address, slots=100)
        )
        await self.relay.serve(again)

        self.assertEqual((exchange.sent, again.sent), (b'fine', b'fine'))


class TestCallers(RelayCase):
    """Disconnects, deadlines, queueing and errors as callers see them."""

    async def test_engine_connection_closes_when_the_caller_disconnects(
        self,
    ) -> None:
        """It closes within half a second."""
        engine = ScriptedEngine([OK_HEAD, event(1), 30.0])

        exchange = await self.serve(engine, disconnect_after_s=0.1)

        await asyncio.wait_for(self.engines[0].closed.wait(), 0.5)
        self.assertEqual(self.relay.running, 0)
        self.assertEqual(exchange.sent.count(b'data:'), 1)

    async def test_header_beyond_ascii_is_forwarded(self) -> None:
        """Its bytes are those that the caller sent."""
        engine = ScriptedEngine(complete_answer(b'ok'))
        headers = (('Host', 'advisor.example'), ('X-Name', 'Zo\xeb'))

        exchange = await self.serve(
            engine,
            streamed=False,
            request=build_caller_request(forwarded_headers=headers),
        )

        self.assertEqual(exchange.status, 200)
        self.assertIn('X-Name: Zo\xeb', engine.heads[0])

    async def test_forwarded_deadline_is_the_time_left(self) -> None:
        """It is shorter than the deadline of the caller."""
        engine = ScriptedEngine(complete_answer(b'ok'))

        await self.serve(engine, streamed=False)

        left = next(
            line.partition(': ')[2]
            for line in self.engines[0].heads[0].split('\r\n')
            if line.startswith('X-Left')
        )
        self.assertLess(float(left), 5.0)
        self.assertGreater(float(left), 4.5)

    async def test_endless_refusal_is_closed(self) -> None:
        """The engine may have run the request, so the caller gets no 503."""
        endless = [
            b'HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n',
            *[chunk(b'x' * 32768)] * 20,
            5.0,
        ]
        engine = ScriptedEngine(endless)
        began_s = time.monotonic()

        exchange = await self.serve(
            engine, streamed=False, retry_policy=RetryPolicy.never
        )

        self.assertEqual(exchange.status, 502)
        self.assertLess(time.monotonic() - began_s, 1.0)

    async def test_endless_head_is_closed(self) -> None:
        """Neither header lines nor interim responses go on for ever."""
        for parts in (
            [b'HTTP/1.1 200 OK\r\n', *[b'X-A: %s\r\n' % (b'a' * 4096)] * 40],
            [b'HTTP/1.1 103 Early Hints\r\n\r\n' * 200],
        ):
            engine = ScriptedEngine([*parts, 5.0])
            began_s = time.monotonic()

            exchange = await self.serve(
                engine, streamed=False, retry_policy=RetryPolicy.never
            )

            self.assertEqual(exchange.status, 502)
            self.assertLess(time.monotonic() - began_s, 1.0)

    async def test_leaving_engine_gets_no_further_request(self) -> None:
        """It said so in its answer; its record in the store says nothing."""
        leaving = complete_answer(b'ok', headers=b'X-Leaving: 1\r\n')
        engine = ScriptedEngine(leaving, leaving)
        first = await self.serve(engine, streamed=False)
        second = RecordingExchange()

        await self.relay.serve(second)

        self.assertEqual((first.sent, second.status), (b'ok', 503))
        self.assertEqual(self.arrivals(), [1])

    async def test_leaving_engine_is_known_from_a_broken_answer(self) -> None:
        """The head of the answer arrived, its body did not."""
        engine = ScriptedEngine(
            [complete_answer(b'ok', headers=b'X-Leaving: 1\r\n')[:-1], None]
        )

        await self.serve(engine, streamed=False)

        upstream = self.relay.view.upstreams.by_id['engine-0']
        self.assertTrue(upstream.leaving)

    async def test_engine_gets_nothing_while_it_wants_a_pause(self) -> None:
        """Callers are told at once when it takes requests again."""
        busy = complete_answer(b'', 503, b'X-Not-Run: 1\r\nX-Pause: 1.5\r\n')
        engine = ScriptedEngine(busy, complete_answer(b'ok'))
        await self.serve(engine, streamed=False)
        second = RecordingExchange()
        began_s = time.monotonic()

        await self.relay.serve(second)

        self.assertLess(time.monotonic() - began_s, 0.1)
        self.assertEqual(second.status, 429)
        self.assertGreater(float(second.headers_sent['Retry-After']), 1.0)
        self.assertEqual(self.arrivals(), [1])

    async def test_request_is_logged_before_the_store_was_read(self) -> None:
        """The age of the store data is infinite then."""
        relay = self.build_relay(build_route())
        relay.view.mirror.confirmed_s = float('-inf')
        relay.dialect.request = build_caller_request(api_key='')
        exchange = RecordingExchange()

        with self.assertNoLogs():
            await relay.serve(exchange)

        self.assertEqual(exchange.status, 401)

    async def test_request_without_upstreams_is_refused_at_once(self) -> None:
        """The response says when to retry."""
        began_s = time.monotonic()

        exchange = await self.serve()

        self.assertEqual(exchange.status, 503)
        self.assertEqual(exchange.headers_sent['Retry-After'], '2.00')
        self.assertLess(time.monotonic() - began_s, 0.1)

    async def test_waiting_request_gets_the_next_free_slot(self) -> None:
        """It is sent as soon as another request ends."""
        engine = ScriptedEngine(
            [0.1, complete_answer(b'first')],
            complete_answer(b'second', headers=b'X-Id: request-1\r\n'),
        )
        first = asyncio.create_task(self.serve(engine, streamed=False))
        await asyncio.sleep(0.03)
        upstream = self.relay.view.upstreams.by_id['engine-0']
        upstream.reported_running['relay-9'] = (99, time.monotonic())
        second = RecordingExchange()

        await self.relay.serve(second)
        await first

        self.assertEqual(second.sent, b'second')

    async def test_stale_key_of_a_waiting_request_does_not_spin(self) -> None:
        """Its key could not be confirmed any more when a slot was freed."""
        engine = ScriptedEngine([0.1, complete_answer(b'first')])
        first = asyncio.create_task(self.serve(engine, streamed=False))
        await asyncio.sleep(0.03)
        view = self.relay.view
        upstream = view.upstreams.by_id['engine-0']
        upstream.reported_running['relay-9'] = (99, time.monotonic())
        exchange = RecordingExchange()
        waiting = asyncio.create_task(self.relay.serve(exchange))
        await asyncio.sleep(0.02)
        behind_since_s = time.monotonic() - MAX_BEHIND_S - 1
        view.announced = AnnouncedConfiguration(99, behind_since_s)
        selector = self.relay.dispatch_queue.selector
        selector.select = fail_after(100, selector.select)

        await asyncio.gather(first, waiting)

        self.assertEqual((exchange.status, self.arrivals()), (503, [1]))

    async def test_engine_with_expired_weights_gets_no_request(self) -> None:
        """The time limit after a newer target version has passed."""
        engine = ScriptedEngine(complete_answer(b'ok'))
        self.let_weights_expire(after_s=0.0)

        exchange = await self.serve(engine)

        self.assertEqual((exchange.status, self.arrivals()), (503, [0]))

    async def test_queued_request_moves_when_the_weights_expire(
        self,
    ) -> None:
        """Its answer has not started by then; another engine serves it."""
        queued = ScriptedEngine([5.0, OK_HEAD, event(1), LAST_CHUNK])
        other = ScriptedEngine([OK_HEAD, event(1), LAST_CHUNK])
        self.let_weights_expire(after_s=0.1)
        began_s = time.monotonic()
        first = asyncio.create_task(self.serve(queued, other))
        await asyncio.sleep(0.05)
        self.relay.view.upstreams.register(
            build_upstream_record(
                'engine-1',
                address=other.address,
                slots=100,
                weights={MODEL: HeldWeights(2, whole=True)},
            )
        )
        exchange = await first

        self.assertLess(time.monotonic() - began_s, 1.0)
        self.assertEqual((exchange.status, exchange.ended), (200, 'whole'))
        self.assertTrue(self.engines[0].closed.is_set())
        self.assertEqual(self.arrivals(), [1, 1])

    async def test_queued_request_does_not_outlast_expired_weights(
        self,
    ) -> None:
        """No other engine can take it over; it ends all the same."""
        queued = ScriptedEngine([5.0, OK_HEAD, event(1), LAST_CHUNK])
        self.let_weights_expire(after_s=0.1)
        began_s = time.monotonic()

        exchange = await self.serve(queued)

        self.assertLess(time.monotonic() - began_s, 0.7)
        self.assertEqual(exchange.status, 502)
        await asyncio.wait_for(self.engines[0].closed.wait(), 0.5)

    async def test_request_with_bad_key_is_not_sent(self) -> None:
        """It is refused permanently."""
        engine = ScriptedEngine(complete_answer(b'ok'))

        exchange = await self.serve(
            engine, request=build_caller_request(api_key='other')
        )

        self.assertEqual((exchange.status, self.arrivals()), (401, [0]))
        self.assertNotIn('Retry-After', exchange.headers_sent)
