"""Tests of serving a request over real connections to scripted engines."""

import asyncio
import time
import unittest

from bramleylug.relay.cluster_view import ClusterView
from bramleylug.relay.relay import Relay
from bramleylug.relay.route_table import RetryPolicy
from bramleylug.relay.upstreams import HeldWeights
from bramleylug.store.mirror import Mirror
from testing.relay.builders import (
    MODEL,
    build_caller_request,
    build_peer,
    build_record,
    build_route,
    build_settings,
    build_table,
)
from testing.relay.scripted_engines import (
    LAST_CHUNK,
    OK_HEAD,
    CallerExchange,
    PlainDialect,
    ScriptedEngine,
    event,
    whole,
)

NOT_RUN = whole(b'', 503, b'X-Not-Run: 1\r\n')


class RelayCase(unittest.IsolatedAsyncioTestCase):
    """A relay in front of engines that are tried in a fixed order."""

    async def serve(self, *engines, leave_after_s=None, request=None, **fields):
        """Serve one request; the first engine is the least loaded one."""
        self.relay = self.build_relay(build_route(**fields))
        self.engines = [await engine.open() for engine in engines]
        for number, engine in enumerate(self.engines):
            self.addAsyncCleanup(engine.close)
            upstream = self.relay.view.upstreams.register(
                build_record(
                    f'engine-{number}', address=engine.address, slots=100
                )
            )
            # Far more room: the choice by room is as good as fixed.
            upstream.others['relay-9'] = (99 * number, time.monotonic())
        if request is not None:
            self.relay.dialect.request = request
        exchange = CallerExchange()
        task = asyncio.create_task(self.relay.serve(exchange))
        if leave_after_s is not None:
            await asyncio.sleep(leave_after_s)
            exchange.leave()
        await task
        return exchange

    def build_relay(self, route):
        """Return a relay whose view of the store is fresh."""
        mirror = Mirror(3.0)
        now_s = time.monotonic()
        mirror.confirm(now_s + 60, now_s)
        settings = build_settings()
        view = ClusterView(settings, build_peer, mirror, time.monotonic)
        view.apply_route_table(build_table(route))
        return Relay(settings, view, PlainDialect(), time.monotonic)

    def arrivals(self):
        """Return how many requests reached each engine."""
        return [len(engine.heads) for engine in self.engines]


class TestStreams(RelayCase):
    """Streams are passed on event by event, and resumed elsewhere."""

    async def test_whole_stream_is_passed_on(self) -> None:
        """Signature and all events reach the caller."""
        engine = ScriptedEngine(
            [OK_HEAD, event(1), event(2) + event(3), LAST_CHUNK]
        )

        exchange = await self.serve(engine)

        self.assertEqual((exchange.status, exchange.ended), (200, 'whole'))
        self.assertEqual(exchange.sent.count(b'data:'), 3)
        self.assertEqual(exchange.headers_sent, {'X-Signature': 's'})

    async def test_stream_that_breaks_off_goes_on_elsewhere(self) -> None:
        """Nothing is missing and nothing comes twice."""
        first = ScriptedEngine([OK_HEAD, event(1) + event(2)[:-9], None])
        second = ScriptedEngine([OK_HEAD, event(2), event(3), LAST_CHUNK])

        exchange = await self.serve(first, second)

        self.assertEqual(exchange.ended, 'whole')
        self.assertEqual(
            exchange.sent,
            b'id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n',
        )
        self.assertIn('X-After: 1\r\n', self.engines[1].heads[0])

    async def test_silent_stream_goes_on_elsewhere(self) -> None:
        """An engine that stops sending is left after a while."""
        first = ScriptedEngine([OK_HEAD, event(1), 30.0])
        second = ScriptedEngine([OK_HEAD, event(2), LAST_CHUNK])

        exchange = await self.serve(first, second)

        self.assertEqual(exchange.ended, 'whole')
        self.assertEqual(exchange.sent.count(b'data:'), 2)
        self.assertTrue(self.engines[0].closed.is_set())

    async def test_stream_that_cannot_resume_is_cut(self) -> None:
        """An answer that ends early does not look complete."""
        first = ScriptedEngine([OK_HEAD, event(1), None])
        second = ScriptedEngine([OK_HEAD, event(2), LAST_CHUNK])

        exchange = await self.serve(
            first, second, retry_policy=RetryPolicy.never
        )

        self.assertEqual(exchange.ended, 'cut')
        self.assertEqual(self.arrivals(), [1, 0])

    async def test_stream_that_began_anew_is_not_joined(self) -> None:
        """An engine that ignores where to go on is left."""
        first = ScriptedEngine([OK_HEAD, event(1), event(2), None])
        second = ScriptedEngine([OK_HEAD, event(1), event(2), LAST_CHUNK])

        exchange = await self.serve(first, second)

        self.assertEqual(exchange.ended, 'cut')
        self.assertEqual(exchange.sent.count(b'data:'), 2)

    async def test_tries_are_bounded(self) -> None:
        """A route's number of upstreams is kept."""
        engines = [ScriptedEngine([OK_HEAD, None]) for _ in range(3)]

        exchange = await self.serve(*engines, max_attempts=2)

        self.assertEqual(sum(self.arrivals()), 2)
        self.assertEqual(exchange.status, 502)


class TestOnce(RelayCase):
    """What may run only once is never sent again after it may have run."""

    async def once(self, *engines, **fields):
        """Serve a request that may run at most once."""
        return await self.serve(
            *engines, retry_policy=RetryPolicy.never, streamed=False, **fields
        )

    async def test_lost_answer_is_not_retried(self) -> None:
        """The engine may have run it: the caller is not told otherwise."""
        exchange = await self.once(
            ScriptedEngine(None), ScriptedEngine(whole(b'ok'))
        )

        self.assertEqual(self.arrivals(), [1, 0])
        self.assertEqual(exchange.status, 502)
        self.assertNotIn('Retry-After', exchange.headers_sent)

    async def test_refusal_of_an_engine_is_retried(self) -> None:
        """It says that it did not run the request."""
        exchange = await self.once(
            ScriptedEngine(NOT_RUN), ScriptedEngine(whole(b'ok'))
        )

        self.assertEqual((exchange.status, exchange.sent), (200, b'ok'))

    async def test_refused_everywhere_is_told_as_not_run(self) -> None:
        """The caller may come again."""
        exchange = await self.once(
            ScriptedEngine(NOT_RUN), ScriptedEngine(NOT_RUN)
        )

        self.assertEqual(exchange.status, 429)

    async def test_refusal_after_a_lost_answer_is_not_not_run(self) -> None:
        """Of an idempotent request, whose retry found no room."""
        exchange = await self.serve(
            ScriptedEngine(None),
            ScriptedEngine(NOT_RUN),
            retry_policy=RetryPolicy.always,
            streamed=False,
        )

        self.assertEqual(exchange.status, 502)

    async def test_promise_of_an_engine_that_ran_is_not_passed_on(self) -> None:
        """A 503 without the mark does not say that nothing ran."""
        exchange = await self.once(ScriptedEngine(whole(b'', 503)))

        self.assertEqual(exchange.status, 502)

    async def test_error_of_the_engine_is_passed_on(self) -> None:
        """Status, body and signature are the engine's."""
        exchange = await self.once(ScriptedEngine(whole(b'no', 500)))

        self.assertEqual((exchange.status, exchange.sent), (500, b'no'))
        self.assertEqual(exchange.headers_sent['X-Signature'], 's')

    async def test_time_over_is_told_as_unknown(self) -> None:
        """At the route's time the caller has its final answer."""
        engine = ScriptedEngine([5.0])

        exchange = await self.once(engine, timeout_s=0.2)

        self.assertEqual(exchange.status, 504)
        await asyncio.wait_for(self.engines[0].closed.wait(), 0.5)


class TestIdempotent(RelayCase):
    """Idempotent requests are tried again while nothing was passed on."""

    async def safe(self, *engines, **fields):
        """Serve an idempotent request."""
        return await self.serve(
            *engines, retry_policy=RetryPolicy.always, streamed=False, **fields
        )

    async def test_truncated_answer_is_had_elsewhere(self) -> None:
        """The caller sees one whole answer."""
        cut = whole(b'a long answer')[:-4]

        exchange = await self.safe(
            ScriptedEngine([cut, None]), ScriptedEngine(whole(b'fine'))
        )

        self.assertEqual((exchange.sent, exchange.ended), (b'fine', 'whole'))

    async def test_answer_to_another_request_is_dropped(self) -> None:
        """A late answer on a kept connection reaches nobody."""
        wrong = whole(b'secret', headers=b'X-Id: request-0\r\n')

        exchange = await self.safe(
            ScriptedEngine(wrong), ScriptedEngine(whole(b'fine'))
        )

        self.assertEqual(exchange.sent, b'fine')

    async def test_unsigned_success_is_no_answer(self) -> None:
        """Something other than an engine answered."""
        unsigned = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi'

        exchange = await self.safe(
            ScriptedEngine(unsigned), ScriptedEngine(whole(b'fine'))
        )

        self.assertEqual(exchange.sent, b'fine')

    async def test_hanging_engine_is_left(self) -> None:
        """Another one answers within the objective's multiple."""
        exchange = await self.safe(
            ScriptedEngine([30.0]),
            ScriptedEngine(whole(b'fine')),
            objective_s=0.05,
        )

        self.assertEqual(exchange.sent, b'fine')

    async def test_dead_address_costs_no_try(self) -> None:
        """Nothing reached it."""
        dead = await ScriptedEngine().open()
        await dead.close()
        alive = ScriptedEngine(whole(b'fine'))
        relay_case = self
        exchange = await relay_case.safe(alive, max_attempts=1)
        self.relay.view.upstreams.register(
            build_record('engine-0', address=dead.address, slots=400)
        )

        again = CallerExchange()
        self.engines[0].answers.append(whole(b'fine'))
        self.relay.view.upstreams.register(
            build_record('engine-1', address=alive.address, slots=100)
        )
        await self.relay.serve(again)

        self.assertEqual((exchange.sent, again.sent), (b'fine', b'fine'))


class TestCallers(RelayCase):
    """What callers do and are told."""

    async def test_engine_is_freed_when_the_caller_leaves(self) -> None:
        """Its connection closes within half a second."""
        engine = ScriptedEngine([OK_HEAD, event(1), 30.0])

        exchange = await self.serve(engine, leave_after_s=0.1)

        await asyncio.wait_for(self.engines[0].closed.wait(), 0.5)
        self.assertEqual(self.relay.running, 0)
        self.assertEqual(exchange.sent.count(b'data:'), 1)

    async def test_deadline_passed_on_is_what_is_left(self) -> None:
        """Less than the caller's, never more."""
        engine = ScriptedEngine(whole(b'ok'))

        await self.serve(engine, streamed=False)

        left = next(
            line.partition(': ')[2]
            for line in self.engines[0].heads[0].split('\r\n')
            if line.startswith('X-Left')
        )
        self.assertLess(float(left), 5.0)
        self.assertGreater(float(left), 4.5)

    async def test_nowhere_to_go_is_refused_at_once(self) -> None:
        """With a time after which it may be served."""
        began_s = time.monotonic()

        exchange = await self.serve()

        self.assertEqual(exchange.status, 503)
        self.assertEqual(exchange.headers_sent['Retry-After'], '2.00')
        self.assertLess(time.monotonic() - began_s, 0.1)

    async def test_waiting_request_takes_the_slot_that_comes_free(self) -> None:
        """It is sent as soon as another one ends."""
        engine = ScriptedEngine([0.1, whole(b'first')], whole(b'second'))
        first = asyncio.create_task(self.serve(engine, streamed=False))
        await asyncio.sleep(0.03)
        upstream = self.relay.view.upstreams.by_id['engine-0']
        upstream.others['relay-9'] = (99, time.monotonic())
        second = CallerExchange()

        await self.relay.serve(second)
        await first

        self.assertEqual(second.sent, b'second')

    async def test_outdated_weights_are_not_sent_to(self) -> None:
        """A version that is due rules them out."""
        engine = ScriptedEngine(whole(b'ok'))
        relay_build = self.build_relay

        def build(route):
            relay = relay_build(route)
            relay.view.versions.add_target(MODEL, 2, time.monotonic(), 0.0)
            return relay

        self.build_relay = build

        exchange = await self.serve(engine)

        self.assertEqual((exchange.status, self.arrivals()), (503, [0]))

    async def test_queued_request_leaves_weights_that_become_too_old(
        self,
    ) -> None:
        """It has not begun when their time is over, and goes elsewhere."""
        queued = ScriptedEngine([5.0, OK_HEAD, event(1), LAST_CHUNK])
        other = ScriptedEngine([OK_HEAD, event(1), LAST_CHUNK])
        relay_build = self.build_relay

        def build(route):
            relay = relay_build(route)
            relay.view.versions.add_target(MODEL, 2, time.monotonic(), 0.1)
            return relay

        self.build_relay = build
        began_s = time.monotonic()
        first = asyncio.create_task(self.serve(queued, other))
        await asyncio.sleep(0.05)
        self.relay.view.upstreams.register(
            build_record(
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

    async def test_bad_key_reaches_no_engine(self) -> None:
        """It is refused for good."""
        engine = ScriptedEngine(whole(b'ok'))

        exchange = await self.serve(
            engine, request=build_caller_request(api_key='other')
        )

        self.assertEqual((exchange.status, self.arrivals()), (401, [0]))
        self.assertNotIn('Retry-After', exchange.headers_sent)
