"""Tests of whether a request may move to another upstream."""

import asyncio
import unittest
from dataclasses import replace
from random import Random
from types import SimpleNamespace
from unittest.mock import Mock

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.held_weights import HeldWeights
from bramleylug.cluster.route_table import Service
from bramleylug.cluster.upstreams import UpstreamReport
from bramleylug.relay.dispatch_queue import DispatchQueue
from bramleylug.relay.handover import Handover
from bramleylug.relay.request_checks import RequestChecks
from bramleylug.relay.request_context import RequestContext
from bramleylug.relay.retry_budget import SharedRetryBudget
from bramleylug.scheduling.placing import UpstreamSelector
from bramleylug.store.mirror import Mirror
from testing.relay.builders import (
    MODEL,
    build_caller_request,
    build_peer,
    build_route,
    build_settings,
    build_table,
    build_upstream_record,
)
from testing.scheduling.engine_fleet import FIGURES

WEIGHTS = {MODEL: HeldWeights(1, whole=True)}
FAST_ENGINES = {
    'advisor': Service(
        name='advisor', max_connections=64, cold_per_s=20, engine=FIGURES
    )
}


class TestHandover(unittest.IsolatedAsyncioTestCase):
    """A request leaves a silent upstream only if another one takes over."""

    def setUp(self) -> None:
        """Register two engines with one slot; the budget has two retries."""
        self.now_s = 100.0
        settings = build_settings()
        self.mirror = Mirror(3.0)
        self.mirror.confirm(100.0, 100.0)
        self.view = ClusterView(settings, build_peer, self.mirror, self.clock)
        self.view.apply_route_table(build_table(build_route()))
        for name in ('engine-0', 'engine-1'):
            self.view.upstreams.register(build_upstream_record(name, slots=1))
        self.checks = RequestChecks(self.view, settings, Random(1))
        selector = UpstreamSelector(
            self.view.upstreams, settings.zone, settings.region, Random(1)
        )
        self.budget = SharedRetryBudget(0, 4, lambda: 1, self.clock)
        self.handover = Handover(
            DispatchQueue(self.view, selector, self.checks, self.clock),
            self.checks,
            self.budget,
        )

    def clock(self):
        return self.now_s

    def build_context(self, **fields):
        """Return a request that runs at the first engine."""
        request = build_caller_request()
        accepted = self.checks.check(request)
        accepted = replace(accepted, route=build_route(**fields))
        context = RequestContext.from_request(
            request, accepted, SimpleNamespace(started=True), self.now_s
        )
        context.tried.append('engine-0')
        return context

    def retries(self):
        """Return how many retries were consumed."""
        return len(self.budget.windows['advisor'].retries)

    async def test_request_moves_to_a_free_upstream(self) -> None:
        """One retry is consumed."""
        context = self.build_context()

        moved = self.handover.try_move(context)
        following = await self.handover.next_upstream(context)

        self.assertTrue(moved)
        self.assertEqual(following.record.upstream_id, 'engine-1')
        self.assertEqual(self.retries(), 1)

    async def test_refused_move_consumes_no_retry(self) -> None:
        """It is asked again and again while the upstream is silent."""
        self.view.upstreams.by_id['engine-1'].running = 1
        context = self.build_context()

        moved = [self.handover.try_move(context) for _ in range(10)]

        self.assertNotIn(True, moved)
        self.assertEqual(self.retries(), 0)

    async def test_request_stays_if_another_engine_is_as_late(self) -> None:
        """A slow one would take seconds; a silent one is left all the same."""
        self.view.apply_route_table(
            build_table(build_route(), version=4, services=FAST_ENGINES)
        )
        self.view.upstreams.record_report(
            '127.0.0.1:1',
            UpstreamReport(1000, 0, 0, WEIGHTS, False, self.now_s, pace=15),
        )
        stays = self.handover.try_move(self.build_context())
        current = self.view.upstreams.by_id['engine-0']
        current.responsiveness.record_silence(self.now_s)

        moves = self.handover.try_move(self.build_context())

        self.assertEqual((stays, moves), (False, True))

    async def test_last_attempt_does_not_move(self) -> None:
        """The other engine would be free."""
        context = self.build_context(max_attempts=1)

        moved = self.handover.try_move(context)
        following = await self.handover.next_upstream(context)

        self.assertFalse(moved)
        self.assertIsNone(following)

    async def test_move_needs_a_retry_of_the_shared_budget(self) -> None:
        """The budget grants two retries within its window."""
        moved = [self.handover.try_move(self.build_context()) for _ in range(3)]

        self.assertEqual(moved, [True, True, False])

    async def test_request_with_a_stale_key_does_not_move(self) -> None:
        """It may not be sent to an upstream that has not received it."""
        context = self.build_context()
        self.now_s += 60

        self.assertFalse(self.handover.try_move(context))

    async def test_free_slot_is_offered_to_waiting_moves_first(self) -> None:
        """A new request gets it only when none of them can use it."""
        offers: list[str] = []
        queue = self.handover.dispatch_queue

        def take_slot() -> bool:
            offers.append('offered')
            return False

        running = asyncio.create_task(queue.run())
        self.addCleanup(running.cancel)
        queue.queue_move('advisor', 99.0, take_slot)
        offers.clear()

        found = await queue.assign(self.build_context(), first=True)

        self.assertEqual(found.record.upstream_id, 'engine-1')
        self.assertEqual(offers, ['offered'])

    async def test_move_that_cannot_be_made_holds_up_no_new_request(
        self,
    ) -> None:
        """Guards against 503 and waits while engines are free."""
        queue = self.handover.dispatch_queue
        queue.queue_move('advisor', 99.0, Mock(return_value=False))
        queue.record_completion('advisor')
        self.now_s += 2.5
        self.mirror.confirm(self.now_s, self.now_s)

        async with asyncio.timeout(1):
            found = await queue.assign(self.build_context(), first=True)

        self.assertEqual(found.record.upstream_id, 'engine-1')
