"""Tests of requests at a relay that stops as planned."""

import asyncio
import time
import unittest
from typing import Any

from bramleylug.cluster.route_table import RetryPolicy
from bramleylug.relay.planned_stop import WINDOW_S, RecentDurations
from testing.relay.scripted_engines import (
    WHOLE_ANSWER,
    LAST_CHUNK,
    RecordingExchange,
    ScriptedEngine,
    event,
)
from testing.relay.test_relay import RelayCase

# More than any request of these tests takes.
ENDLESS_S = 30
BOOKING = {'streamed': False, 'retry_policy': RetryPolicy.never}
STREAM = {'streamed': True, 'retry_policy': RetryPolicy.resume}
OK_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: request-1\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
STREAMS = 2 * ([OK_HEAD, event(1), LAST_CHUNK],)


class TestPlannedStop(RelayCase):
    """Nothing is cut that the relay took after its stop began."""

    async def start(self, *engines: ScriptedEngine, **fields: Any) -> None:
        """Have the relay serve a first request, to its end."""
        await self.serve(*engines, **{**BOOKING, **fields})

    def stop_within(self, seconds: float) -> None:
        """Begin a stop after which requests have some seconds to end."""
        self.relay.planned_stop.begin(time.monotonic() + seconds)

    async def serve_another(self) -> RecordingExchange:
        exchange = RecordingExchange()
        await self.relay.serve(exchange)
        return exchange

    async def test_request_that_may_outlast_the_process_is_refused(
        self,
    ) -> None:
        """It ran, and got 502 when the process ended."""
        await self.start(
            ScriptedEngine(WHOLE_ANSWER, WHOLE_ANSWER), timeout_s=3
        )
        self.stop_within(2)
        exchange = await self.serve_another()

        self.assertEqual((exchange.status, exchange.ended), (503, 'own'))
        self.assertEqual(exchange.headers_sent['X-Run'], 'not_run')
        self.assertEqual(exchange.headers_sent['Retry-After'], '0.05')
        self.assertEqual(self.arrivals(), [1])

    async def test_request_that_ends_before_the_process_is_served(
        self,
    ) -> None:
        await self.start(
            ScriptedEngine(WHOLE_ANSWER, WHOLE_ANSWER), timeout_s=1
        )
        self.stop_within(2)
        exchange = await self.serve_another()

        self.assertEqual((exchange.status, exchange.ended), (200, 'whole'))

    async def test_running_request_is_answered_before_the_process_ends(
        self,
    ) -> None:
        """It was cancelled without a line in the log."""
        await self.start(ScriptedEngine(WHOLE_ANSWER, [ENDLESS_S]), timeout_s=3)
        running = asyncio.create_task(self.serve_another())
        await asyncio.sleep(0.1)
        self.stop_within(0.2)
        async with asyncio.timeout(1):
            exchange = await running

        self.assertEqual((exchange.status, exchange.ended), (502, 'own'))
        self.assertEqual(exchange.headers_sent['X-Run'], 'unknown')

    async def test_running_request_with_enough_time_is_not_cut(self) -> None:
        await self.start(
            ScriptedEngine(WHOLE_ANSWER, [0.3, WHOLE_ANSWER]), timeout_s=1
        )
        running = asyncio.create_task(self.serve_another())
        await asyncio.sleep(0.1)
        self.stop_within(1.5)

        self.assertEqual((await running).ended, 'whole')

    async def test_stream_is_taken_if_others_ended_in_time(self) -> None:
        """Its time limit is later, but it can be resumed elsewhere."""
        await self.start(ScriptedEngine(*STREAMS), timeout_s=3, **STREAM)
        self.stop_within(2)
        exchange = await self.serve_another()

        self.assertEqual((exchange.status, exchange.ended), (200, 'whole'))

    async def test_stream_is_refused_if_others_lasted_longer(self) -> None:
        """At 34 ms a token, streams of 10 s are usual."""
        slow = [STREAMS[0][0], 0.5, *STREAMS[0][1:]]
        await self.start(ScriptedEngine(slow), timeout_s=3, **STREAM)
        self.stop_within(0.4)
        exchange = await self.serve_another()

        self.assertEqual((exchange.status, exchange.ended), (503, 'own'))
        self.assertEqual(exchange.headers_sent['X-Run'], 'not_run')
        self.assertEqual(self.arrivals(), [1])

    async def test_stream_that_lasts_too_long_is_cut_before_the_end(
        self,
    ) -> None:
        await self.start(
            ScriptedEngine(STREAMS[0], [OK_HEAD, event(1), ENDLESS_S]),
            timeout_s=3,
            **STREAM,
        )
        self.stop_within(0.3)
        async with asyncio.timeout(1):
            exchange = await self.serve_another()

        self.assertEqual((exchange.ended, self.relay.running), ('cut', 0))

    async def test_waiting_request_is_refused_when_the_stop_begins(
        self,
    ) -> None:
        """It was passed on late, and cut when the process ended."""
        await self.start(
            ScriptedEngine(WHOLE_ANSWER), timeout_s=3, objective_s=3
        )
        for upstream in self.relay.view.upstreams.by_id.values():
            upstream.running = 1000
        waiting = asyncio.create_task(self.serve_another())
        await asyncio.sleep(0.1)
        self.assertFalse(waiting.done())
        self.stop_within(2)
        async with asyncio.timeout(0.5):
            exchange = await waiting

        self.assertEqual((exchange.status, exchange.ended), (503, 'own'))
        self.assertEqual(exchange.headers_sent['X-Run'], 'not_run')
        self.assertEqual(self.arrivals(), [1])


class TestRecentDurations(unittest.TestCase):
    """The longest duration counts for a minute or two."""

    def test_longest_of_a_route_is_kept_for_a_while(self) -> None:
        now_s = 0.0
        durations = RecentDurations(lambda: now_s)
        durations.record('ask', 3)
        durations.record('ask', 1)
        durations.record('book', 9)
        longest = []
        for now_s in (0.0, WINDOW_S - 1, WINDOW_S + 1, 3 * WINDOW_S + 2):
            longest.append(durations.longest_s('ask'))

        self.assertEqual(longest, [3, 3, 3, 0])
        self.assertEqual(durations.longest_s('unknown'), 0)
