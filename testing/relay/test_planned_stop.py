"""Tests of requests at a relay that stops as planned."""

import asyncio
import time
from typing import Any

from bramleylug.cluster.route_table import RetryPolicy
from testing.relay.scripted_engines import (
    RecordingExchange,
    ScriptedEngine,
    complete_answer,
)
from testing.relay.test_relay import RelayCase

ANSWER = complete_answer(b'whole', headers=b'X-Id: request-1\r\n')
# More than any request of these tests takes.
ENDLESS_S = 30
BOOKING = {'streamed': False, 'retry_policy': RetryPolicy.never}


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
        await self.start(ScriptedEngine(ANSWER, ANSWER), timeout_s=3)
        self.stop_within(2)
        exchange = await self.serve_another()

        self.assertEqual((exchange.status, exchange.ended), (503, 'own'))
        self.assertEqual(exchange.headers_sent['X-Run'], 'not_run')
        self.assertEqual(exchange.headers_sent['Retry-After'], '0.05')
        self.assertEqual(self.arrivals(), [1])

    async def test_request_that_ends_before_the_process_is_served(
        self,
    ) -> None:
        await self.start(ScriptedEngine(ANSWER, ANSWER), timeout_s=1)
        self.stop_within(2)
        exchange = await self.serve_another()

        self.assertEqual((exchange.status, exchange.ended), (200, 'whole'))

    async def test_running_request_is_answered_before_the_process_ends(
        self,
    ) -> None:
        """It was cancelled without a line in the log."""
        await self.start(ScriptedEngine(ANSWER, [ENDLESS_S]), timeout_s=3)
        running = asyncio.create_task(self.serve_another())
        await asyncio.sleep(0.1)
        self.stop_within(0.2)
        async with asyncio.timeout(1):
            exchange = await running

        self.assertEqual((exchange.status, exchange.ended), (502, 'own'))
        self.assertEqual(exchange.headers_sent['X-Run'], 'unknown')

    async def test_running_request_with_enough_time_is_not_cut(self) -> None:
        await self.start(ScriptedEngine(ANSWER, [0.3, ANSWER]), timeout_s=1)
        running = asyncio.create_task(self.serve_another())
        await asyncio.sleep(0.1)
        self.stop_within(1.5)

        self.assertEqual((await running).ended, 'whole')

    async def test_waiting_request_is_refused_when_the_stop_begins(
        self,
    ) -> None:
        """It was passed on late, and cut when the process ended."""
        await self.start(ScriptedEngine(ANSWER), timeout_s=3, objective_s=3)
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
