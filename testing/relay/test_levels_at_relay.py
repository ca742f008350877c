"""Tests of a relay whose requests differ in urgency, with few free slots."""

import time

from bramleylug.scheduling.demand import (
    Level,
    LevelLoad,
    ToldDemand,
    urgency_rank,
)
from testing.relay.builders import (
    build_caller_request,
    build_peer,
    build_route,
    build_table,
)
from testing.relay.scripted_engines import (
    RecordingExchange,
    ScriptedEngine,
    complete_answer,
)
from testing.relay.test_changes_while_waiting import ChangeCase

URGENT = urgency_rank(0, 0)
LATER = urgency_rank(2, 2)
# Of 100 slots; 40 urgent requests a second reserve 12.
RUNNING = 95
URGENT_PER_S = 40.0


class TestLevels(ChangeCase):
    """Load: others ask for many urgent requests, few slots are free."""

    async def asyncSetUp(self) -> None:
        """Build an engine with five free slots and two routes."""
        await self.open_engines(
            (ScriptedEngine(complete_answer(b'ok')),),
            streamed=False,
            objective_s=0.1,
        )
        self.report_load(0, RUNNING)
        routes = (
            build_route(name='now', urgency=0, streamed=False, objective_s=0.1),
            build_route(
                name='later',
                path_prefix='/later/',
                urgency=2,
                streamed=False,
                objective_s=0.1,
            ),
        )
        self.apply(build_table(*routes, version=4))
        peers = self.relay.view.peers
        peers.add(build_peer('relay-2'))
        loads = {
            Level('advisor', URGENT): LevelLoad(25, 0, URGENT_PER_S, 0),
            Level('advisor', LATER): LevelLoad(70, 0, 20.0, 0),
        }
        peers.demand.record(
            'relay-2', ToldDemand('zone-a', loads, time.monotonic())
        )

    async def ask(self, path: str) -> RecordingExchange:
        self.relay.dialect.request = build_caller_request(path=path)
        exchange = RecordingExchange()
        await self.relay.serve(exchange)
        return exchange

    async def test_urgent_request_gets_a_free_slot(self) -> None:
        exchange = await self.ask('/ask/1')

        self.assertEqual(exchange.status, 200)

    async def test_less_urgent_request_leaves_it(self) -> None:
        exchange = await self.ask('/later/1')

        self.assertEqual(exchange.status, 429)
        self.assertGreater(float(exchange.headers_sent['Retry-After']), 0)

    async def test_less_urgent_request_runs_where_all_are(self) -> None:
        """Nothing is reserved for urgent requests that nobody sends."""
        self.relay.view.peers.demand.told.clear()
        self.report_load(0, 10)
        exchange = await self.ask('/later/1')

        self.assertEqual(exchange.status, 200)
