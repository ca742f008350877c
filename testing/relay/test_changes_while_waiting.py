"""Tests of requests whose configuration changes before they are sent."""

import asyncio
import time
from typing import Any

from bramleylug.cluster.route_table import (
    RetryPolicy,
    RouteTable,
    ServiceShare,
    Workspace,
)
from bramleylug.relay.dialect import CallerRequest
from testing.relay.builders import (
    build_caller_request,
    build_route,
    build_table,
    build_upstream_record,
)
from testing.relay.scripted_engines import (
    LAST_CHUNK,
    OK_HEAD,
    RecordingExchange,
    ScriptedEngine,
    complete_answer,
    event,
)
from testing.relay.test_relay import RelayCase

ANY_REGION: frozenset[str] = frozenset()
NORTH = frozenset(('north',))
SOUTH = frozenset(('south',))
# The first engine is in the relay's own region, and preferred.
ZONES = ('zone-a', 'zone-b')
BOOKING = {'retry_policy': RetryPolicy.never, 'streamed': False}


def next_table(
    *,
    route_regions: frozenset[str] = ANY_REGION,
    workspace_regions: frozenset[str] = ANY_REGION,
    **route_fields: Any,
) -> RouteTable:
    """Return the next version of the configuration of a test."""
    return build_table(
        build_route(**BOOKING, regions=route_regions, **route_fields),
        version=4,
        workspaces={'key-1': Workspace('garage', regions=workspace_regions)},
    )


def booking(number: int, **fields: Any) -> CallerRequest:
    """Return a request that may run at most once."""
    return build_caller_request(
        request_id=f'request-{number}', model='', **fields
    )


class ChangeCase(RelayCase):
    """Base of tests with an engine in each of two regions."""

    async def open_engines(
        self, engines: tuple[ScriptedEngine, ...], **fields: Any
    ) -> None:
        """Build a relay and engines, in a region each."""
        self.relay = self.build_relay(build_route(**fields))
        self.engines = [await engine.open() for engine in engines]
        for number, engine in enumerate(self.engines):
            self.addAsyncCleanup(engine.close)
            self.register(number, engine, zone=ZONES[number % len(ZONES)])

    def register(
        self, number: int, engine: ScriptedEngine, **fields: Any
    ) -> None:
        """Register an engine with a free slot for the test's request."""
        self.relay.view.upstreams.register(
            build_upstream_record(
                f'engine-{number}',
                address=engine.address,
                slots=100,
                **fields,
            )
        )
        self.report_load(number, 30 * number)

    def apply(self, table: RouteTable) -> None:
        """Apply a configuration as the reader of the store does."""
        self.relay.view.apply_route_table(table)
        self.relay.view.on_change()


class TestChangesInTheQueue(ChangeCase):
    """A request obeys the configuration that is in force when it is sent."""

    async def serve_across(
        self, table: RouteTable, **fields: Any
    ) -> RecordingExchange:
        """Apply a configuration while a request waits for a free slot."""
        await self.open_engines(
            (
                ScriptedEngine(complete_answer(b'north')),
                ScriptedEngine(complete_answer(b'south')),
            ),
            **BOOKING,
        )
        for number, _ in enumerate(self.engines):
            self.report_load(number, 100)
        self.relay.dialect.request = booking(1, **fields)
        exchange = RecordingExchange()
        waiting = asyncio.create_task(self.relay.serve(exchange))
        await asyncio.sleep(0.03)
        self.apply(table)
        await asyncio.sleep(0.03)
        self.refused_at_once = waiting.done()
        for number, _ in enumerate(self.engines):
            self.report_load(number, 30 * number)
        self.relay.view.on_change()
        await asyncio.wait_for(waiting, 2)
        return exchange

    async def test_request_stays_in_the_regions_it_is_restricted_to(
        self,
    ) -> None:
        """Guards against engines outside a request's regions (HOME)."""
        for name in ('route_regions', 'workspace_regions'):
            exchange = await self.serve_across(next_table(**{name: SOUTH}))
            with self.subTest(name):
                self.assertEqual(self.arrivals(), [0, 1])
                self.assertEqual(exchange.sent, b'south')

    async def test_request_that_no_region_may_serve_is_refused(self) -> None:
        """Those of its route and of its workspace exclude each other."""
        exchange = await self.serve_across(
            next_table(route_regions=NORTH, workspace_regions=SOUTH)
        )

        self.assertTrue(self.refused_at_once)
        self.assertEqual((exchange.status, self.arrivals()), (503, [0, 0]))

    async def test_request_whose_key_is_revoked_is_refused(self) -> None:
        """It gets the answer that a new request gets, without waiting."""
        exchange = await self.serve_across(
            build_table(build_route(**BOOKING), version=4, workspaces={})
        )

        self.assertTrue(self.refused_at_once)
        self.assertEqual((exchange.status, self.arrivals()), (401, [0, 0]))
        self.assertEqual(exchange.headers_sent['X-Run'], 'not_run')

    async def test_request_whose_route_is_dropped_is_refused(self) -> None:
        """It gets the answer that a new request gets, without waiting."""
        exchange = await self.serve_across(next_table(path_prefix='/other/'))

        self.assertTrue(self.refused_at_once)
        self.assertEqual((exchange.status, self.arrivals()), (404, [0, 0]))

    async def test_request_whose_route_moves_goes_to_the_new_service(
        self,
    ) -> None:
        """It waits there if need be."""
        moved = ScriptedEngine(complete_answer(b'moved'))
        await moved.open()
        self.addAsyncCleanup(moved.close)
        open_engines = self.open_engines

        async def open_all(engines: Any, **fields: Any) -> None:
            await open_engines(engines, **fields)
            self.engines.append(moved)
            self.register(2, moved, service='bookings')

        self.open_engines = open_all

        exchange = await self.serve_across(
            next_table(shares=(ServiceShare('bookings', 1.0),))
        )

        self.assertEqual(self.arrivals(), [0, 0, 1])
        self.assertEqual(exchange.sent, b'moved')

    async def test_other_change_leaves_waiting_requests_in_their_order(
        self,
    ) -> None:
        """They are not sent before a slot is free."""
        exchange = await self.serve_across(next_table(objective_s=0.5))

        self.assertFalse(self.refused_at_once)
        self.assertEqual(self.arrivals(), [1, 0])
        self.assertEqual(exchange.sent, b'north')


class TestChangesWhileConnecting(ChangeCase):
    """The configuration changes after an engine was chosen."""

    async def serve_while_connecting(
        self, table: RouteTable
    ) -> RecordingExchange:
        """Apply a configuration while the relay connects."""
        await self.open_engines(
            (
                ScriptedEngine(complete_answer(b'north')),
                ScriptedEngine(complete_answer(b'south')),
            ),
            **BOOKING,
        )
        acquire = self.relay.pool.acquire

        async def acquire_slowly(record: Any) -> Any:
            connection = await acquire(record)
            self.apply(table)
            return connection

        self.relay.pool.acquire = acquire_slowly
        self.relay.dialect.request = booking(1)
        exchange = RecordingExchange()
        await asyncio.wait_for(self.relay.serve(exchange), 2)
        return exchange

    async def test_request_goes_to_an_engine_of_its_regions(self) -> None:
        """The one that was chosen is sound, and is not avoided."""
        exchange = await self.serve_while_connecting(
            next_table(workspace_regions=SOUTH)
        )

        self.assertEqual(self.arrivals(), [0, 1])
        self.assertEqual(exchange.sent, b'south')
        chosen = self.relay.view.upstreams.by_id['engine-0']
        self.assertLess(chosen.avoid_until_s, time.monotonic())

    async def test_request_whose_key_is_revoked_is_not_sent(self) -> None:
        """It is refused permanently."""
        exchange = await self.serve_while_connecting(
            build_table(build_route(**BOOKING), version=4, workspaces={})
        )

        self.assertEqual((exchange.status, self.arrivals()), (401, [0, 0]))

    async def test_engine_of_a_zone_that_is_taken_out_gets_nothing(
        self,
    ) -> None:
        """The zone is taken out while the relay connects."""
        table = build_table(build_route(**BOOKING), version=4)

        def take_out(_: RouteTable) -> None:
            self.relay.view.set_zone_out('zone-a', out=True)

        self.apply = take_out
        exchange = await self.serve_while_connecting(table)

        self.assertEqual(self.arrivals(), [0, 1])
        self.assertEqual(exchange.sent, b'south')


class TestChangesOfStartedStreams(ChangeCase):
    """A stream has begun and its engine breaks off after a change."""

    async def serve_cut_stream(self, table: RouteTable) -> RecordingExchange:
        """Apply a configuration before the first engine breaks off."""
        cut = ScriptedEngine([OK_HEAD, event(1), 0.1, None])
        rest = [OK_HEAD, event(2), LAST_CHUNK]
        await self.open_engines(
            (cut, ScriptedEngine(rest), ScriptedEngine(rest))
        )
        self.report_load(2, 0)
        self.report_load(1, 99)
        exchange = RecordingExchange()
        serving = asyncio.create_task(self.relay.serve(exchange))
        await asyncio.sleep(0.05)
        self.assertEqual(self.arrivals(), [1, 0, 0])
        self.apply(table)
        self.began_s = time.monotonic()
        await asyncio.wait_for(serving, 4)
        return exchange

    async def test_stream_goes_on_in_its_regions(self) -> None:
        """The other engine of the relay's own region has more free slots."""
        exchange = await self.serve_cut_stream(
            build_table(
                version=4,
                workspaces={'key-1': Workspace('garage', regions=SOUTH)},
            )
        )

        self.assertEqual(self.arrivals(), [1, 1, 0])
        self.assertEqual(exchange.ended, 'whole')

    async def test_stream_whose_key_is_revoked_ends_at_once(self) -> None:
        """No engine begins work for a key that has been taken away."""
        exchange = await self.serve_cut_stream(
            build_table(version=4, workspaces={})
        )

        self.assertEqual(self.arrivals(), [1, 0, 0])
        self.assertEqual(exchange.ended, 'cut')
        self.assertLess(time.monotonic() - self.began_s, 0.5)

    async def test_stream_whose_route_is_dropped_is_finished(self) -> None:
        """A change of the configuration cuts no answer that has begun."""
        exchange = await self.serve_cut_stream(
            build_table(build_route(path_prefix='/other/'), version=4)
        )

        self.assertEqual(self.arrivals(), [1, 0, 1])
        self.assertEqual(exchange.ended, 'whole')
