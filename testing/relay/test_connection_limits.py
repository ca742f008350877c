"""Tests of relays that can open no further connection to an upstream."""

import asyncio
import time

from bramleylug.cluster.route_table import RetryPolicy
from bramleylug.relay.connection_pool import ConnectionPool
from bramleylug.web.descriptors import DescriptorBudget
from testing.relay.builders import build_upstream_record
from testing.relay.scripted_engines import (
    WHOLE_ANSWER,
    RecordingExchange,
    ScriptedEngine,
    complete_answer,
)
from testing.relay.test_relay import RelayCase
from testing.web.descriptors import no_free_descriptor

CLOSING_ANSWER = complete_answer(b'whole', headers=b'Connection: close\r\n')


class TestNoFreeDescriptor(RelayCase):
    """A relay that runs out of descriptors does not blame its upstreams."""

    async def serve_once(self, *engines: ScriptedEngine) -> None:
        """Serve a request, so that everything else that opens is open."""
        exchange = await self.serve(
            *engines, streamed=False, retry_policy=RetryPolicy.always
        )
        self.assertEqual(exchange.ended, 'whole')

    async def serve_again(self) -> RecordingExchange:
        """Serve another request while no descriptor is free."""
        exchange = RecordingExchange()
        # Until both ends of the first connection have closed.
        await asyncio.sleep(0.1)
        with no_free_descriptor():
            await self.relay.serve(exchange)
        return exchange

    async def test_request_is_refused_as_not_run(self) -> None:
        """It was tried at each engine in turn, which could not work."""
        await self.serve_once(
            ScriptedEngine(CLOSING_ANSWER, WHOLE_ANSWER),
            ScriptedEngine(WHOLE_ANSWER),
        )
        exchange = await self.serve_again()

        self.assertEqual((exchange.status, exchange.ended), (503, 'own'))
        self.assertEqual(exchange.headers_sent['X-Run'], 'not_run')
        self.assertEqual(exchange.headers_sent['Retry-After'], '0.50')
        self.assertEqual(self.arrivals(), [1, 0])

    async def test_upstream_is_not_avoided(self) -> None:
        """Each failure counted as one of a sound engine."""
        await self.serve_once(ScriptedEngine(CLOSING_ANSWER, WHOLE_ANSWER))
        await self.serve_again()
        upstream = self.relay.view.upstreams.by_id['engine-0']
        self.assertLess(upstream.avoid_until_s, time.monotonic())

        exchange = RecordingExchange()
        await self.relay.serve(exchange)
        self.assertEqual((exchange.status, exchange.ended), (200, 'whole'))

    async def test_kept_connection_is_used(self) -> None:
        await self.serve_once(ScriptedEngine(WHOLE_ANSWER, WHOLE_ANSWER))
        exchange = await self.serve_again()

        self.assertEqual((exchange.status, exchange.ended), (200, 'whole'))


class TestPoolLimit(RelayCase):
    """The connections of all upstreams together stay within a budget."""

    async def records(self, count: int):
        """Return upstreams, each of which answers once."""
        records = []
        for number in range(count):
            engine = await ScriptedEngine(WHOLE_ANSWER).open()
            self.addAsyncCleanup(engine.close)
            records.append(
                build_upstream_record(f'e-{number}', address=engine.address)
            )
        return records

    async def test_idle_connection_makes_room_for_another_upstream(
        self,
    ) -> None:
        """With 1,100 upstreams, idle connections alone reached the limit."""
        records = await self.records(3)
        budget = DescriptorBudget(2)
        pool = ConnectionPool(time.monotonic, budget)
        for record in records:
            connection = await pool.acquire(record)
            pool.release(record, connection, 10.0)

        idle = {key: len(kept) for key, kept in pool.idle.items() if kept}
        self.assertEqual(len(idle), 2)
        self.assertEqual(budget.shared_taken, 2)

    async def test_closed_connection_makes_room(self) -> None:
        records = await self.records(2)
        budget = DescriptorBudget(1)
        pool = ConnectionPool(time.monotonic, budget)
        connection = await pool.acquire(records[0])
        pool.release(records[0], connection, 0.1)
        pool.release(records[1], await pool.acquire(records[1]), 10.0)

        self.assertEqual(budget.shared_taken, 1)

    async def test_failed_connection_takes_nothing(self) -> None:
        budget = DescriptorBudget(1)
        pool = ConnectionPool(time.monotonic, budget)
        with self.assertRaises(OSError):
            await pool.acquire(build_upstream_record(address='127.0.0.1:1'))

        self.assertEqual(budget.shared_taken, 0)
