"""Tests of the number of upstreams that is ordered."""

import asyncio
import unittest
from typing import Any

from bramleylug.duties.scaler import (
    ServiceState,
    UpstreamScaler,
    decode_orders,
    restrict,
)
from bramleylug.duties.scaling import ServiceScale, ZoneUpstreams
from bramleylug.scheduling.demand import LevelLoad
from bramleylug.scheduling.figures import ScalingLimits
from testing.duties.world import EPOCH_S, PlayedRelay, World, now
from testing.virtual_time import in_virtual_time

LIMITS = ScalingLimits(2, 6, 8.0)
SLOTS = 10
NEVER_S = float('-inf')
CALM = LevelLoad(30, 0, 30, 0)
FULL = LevelLoad(60, 20, 80, 0)
ZONES = {
    'zone-a': ZoneUpstreams(3, asked_per_s=50),
    'zone-b': ZoneUpstreams(3, asked_per_s=10),
}


def decide(
    scale: ServiceScale,
    load: LevelLoad,
    times: list[float],
    zones: dict[str, ZoneUpstreams] = ZONES,
) -> dict[str, int]:
    """Return the last decision."""
    decided: dict[str, int] = {}
    for now_s in times:
        decided = scale.decide(zones, SLOTS, load, now_s)
    return decided


class TestServiceScale(unittest.TestCase):
    """More soon, fewer late, and never beyond the limits."""

    def test_usual_load_changes_nothing(self) -> None:
        scale = ServiceScale(LIMITS)

        self.assertEqual(decide(scale, CALM, [0, 10, 100, 1000]), {})

    def test_short_burst_changes_nothing(self) -> None:
        scale = ServiceScale(LIMITS)
        decide(scale, FULL, [0, 1])

        self.assertEqual(decide(scale, CALM, [1.4, 2, 3]), {})

    def test_lasting_load_orders_where_requests_arrive(self) -> None:
        """80 requests need 14 upstreams of 10 slots; a zone has at most 6."""
        decided = decide(ServiceScale(LIMITS), FULL, [0, 1, 2])

        self.assertEqual(decided, {'zone-a': 6, 'zone-b': 6})

    def test_ordered_upstreams_count_until_they_should_be_there(self) -> None:
        """What starts is not ordered again; what never came is."""
        zones = {
            zone: upstreams._replace(ordered=6, ordered_s=2)
            for zone, upstreams in ZONES.items()
        }
        scale = ServiceScale(LIMITS)

        self.assertEqual(decide(scale, FULL, [3, 5, 9], zones), {})
        self.assertEqual(
            decide(scale, FULL, [20, 22], zones), {'zone-a': 6, 'zone-b': 6}
        )

    def test_refusals_count_while_slots_are_in_use(self) -> None:
        busy = LevelLoad(40, 0, 80, 40)
        idle = LevelLoad(5, 0, 80, 75)

        self.assertTrue(decide(ServiceScale(LIMITS), busy, [0, 2]))
        self.assertEqual(decide(ServiceScale(LIMITS), idle, [0, 2]), {})

    def test_idle_upstreams_leave_after_a_while(self) -> None:
        idle = LevelLoad(12, 0, 12, 0)
        scale = ServiceScale(LIMITS)

        self.assertEqual(decide(scale, idle, [0, 30, 59]), {})
        self.assertEqual(decide(scale, idle, [60]), {'zone-a': 2, 'zone-b': 2})

    def test_load_that_comes_and_goes_keeps_them(self) -> None:
        idle = LevelLoad(12, 0, 12, 0)
        scale = ServiceScale(LIMITS)
        for begin_s in range(0, 600, 50):
            self.assertEqual(decide(scale, idle, [begin_s, begin_s + 49]), {})
            self.assertEqual(decide(scale, CALM, [begin_s + 49.5]), {})

    def test_nothing_is_ordered_where_nothing_runs(self) -> None:
        none = {'zone-a': ZoneUpstreams(0)}

        self.assertEqual(decide(ServiceScale(LIMITS), FULL, [0, 2], none), {})


class TestRestriction(unittest.TestCase):
    """Where upstreams need loaders, one is ordered to see whether it has."""

    def restrict(
        self, now_s: float, ordered_s: float, **fields: Any
    ) -> dict[str, int]:
        state = ServiceState(LIMITS, ZONES, SLOTS, FULL, **fields)
        zones = {
            zone: upstreams._replace(ordered=4, ordered_s=ordered_s)
            for zone, upstreams in ZONES.items()
        }
        return restrict({'zone-a': 6, 'zone-b': 5}, zones, state, now_s)

    def test_whole_plan_where_no_loader_is_needed(self) -> None:
        self.assertEqual(self.restrict(0, NEVER_S), {'zone-a': 6, 'zone-b': 5})

    def test_first_order_is_one_upstream(self) -> None:
        self.assertEqual(
            self.restrict(0, NEVER_S, needs_loader=True), {'zone-a': 4}
        )

    def test_nothing_more_until_its_loader_should_be_known(self) -> None:
        self.assertEqual(self.restrict(17, 0, needs_loader=True), {})
        self.assertEqual(
            self.restrict(18, 0, needs_loader=True),
            {'zone-a': 6, 'zone-b': 5},
        )

    def test_nothing_more_while_some_have_no_loader(self) -> None:
        self.assertEqual(
            self.restrict(60, 0, needs_loader=True, without_loader=1), {}
        )


class TestOrders(unittest.TestCase):
    """Orders are in the store before they are sent."""

    def scale(self, relay: PlayedRelay, load: LevelLoad) -> UpstreamScaler:
        scaler = UpstreamScaler(
            'duties/orders',
            'duties/claim',
            relay,
            relay,
            lambda: {'advisor': ServiceState(LIMITS, ZONES, SLOTS, load)},
            lambda: EPOCH_S + now(),
        )
        relay.steward.duties.append(scaler)
        return scaler

    @in_virtual_time
    async def test_next_holder_sends_what_was_not_sent(self) -> None:
        """It sends the same, with its own token."""
        world = World(4)
        await asyncio.sleep(6)
        holder = world.holder()
        for relay in world.relays.values():
            self.scale(relay, FULL)
        world.service_away = True
        await asyncio.sleep(8)
        world.service_away = False
        await asyncio.sleep(6)
        world.stop()

        self.assertEqual(
            world.record.orders,
            {('advisor', 'zone-a'): 6, ('advisor', 'zone-b'): 6},
        )
        self.assertNotIn(holder.name, {one.host for one in world.record.calls})
        self.assertEqual(world.record.breaches, [])

    @in_virtual_time
    async def test_lost_answers_of_the_store(self) -> None:
        for seed in range(10):
            with self.subTest(seed):
                world = World(4, seed)
                await asyncio.sleep(6)
                world.lost = 0.4
                for relay in world.relays.values():
                    self.scale(relay, FULL)
                await asyncio.sleep(20)
                stored = world.store.items['duties/orders']
                world.stop()

                self.assertEqual(len(decode_orders(stored.value)), 2)
                self.assertEqual(len(world.record.orders), 2)
                self.assertEqual(world.record.breaches, [])
