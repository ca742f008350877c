"""Tests of demand by service and urgency."""

import unittest

from bramleylug.cluster.demand_messages import (
    loads_from_messages,
    loads_to_messages,
)
from bramleylug.scheduling.demand import (
    DemandMeter,
    FleetDemand,
    Level,
    LevelLoad,
    ToldDemand,
)

URGENT = Level('advisor', 0)
LATER = Level('advisor', 2)


class TestDemandMeter(unittest.TestCase):
    """Counts of this relay."""

    def setUp(self) -> None:
        self.meter = DemandMeter()

    def test_rate_approaches_that_of_the_arrivals(self) -> None:
        """Ten arrivals a second for ten seconds."""
        for number in range(100):
            self.meter.of(URGENT).asked.record(number / 10)

        rate = self.meter.loads(10.0)[URGENT].asked_per_s
        self.assertTrue(9.0 < rate < 11.0, rate)

    def test_rate_of_a_burst_decays(self) -> None:
        for _ in range(40):
            self.meter.of(URGENT).asked.record(0.0)

        rate = self.meter.loads(6.0)[URGENT].asked_per_s
        self.assertLess(rate, 1.1)

    def test_level_without_load_is_not_told(self) -> None:
        self.meter.of(URGENT).refused.record(0.0)

        self.assertEqual(self.meter.loads(60.0), {})

    def test_waiting_request_is_counted_until_it_is_cancelled(self) -> None:
        meter = self.meter.of(LATER)
        with self.assertRaises(KeyError), meter.count_waiting():
            self.assertEqual(self.meter.loads(0.0)[LATER].waiting, 1)
            raise KeyError

        self.assertEqual(meter.waiting, 0)


class TestFleetDemand(unittest.TestCase):
    """Loads of other relays."""

    def setUp(self) -> None:
        self.demand = FleetDemand()
        self.tell('r1', 'zone-a', {URGENT: LevelLoad(3, 1, 4.0, 0.5)})
        self.tell('r2', 'zone-b', {URGENT: LevelLoad(2, 0, 1.0, 0)})

    def tell(self, relay, zone, loads):
        self.demand.record(relay, ToldDemand(zone, loads, 10.0))

    def test_loads_add_up_over_relays(self) -> None:
        self.assertEqual(
            self.demand.by_urgency('advisor', 11.0),
            {0: LevelLoad(5, 1, 5.0, 0.5)},
        )

    def test_loads_of_a_zone(self) -> None:
        self.assertEqual(
            self.demand.by_urgency('advisor', 11.0, 'zone-b'),
            {0: LevelLoad(2, 0, 1.0, 0)},
        )

    def test_load_of_a_silent_relay_expires(self) -> None:
        self.assertEqual(self.demand.by_urgency('advisor', 12.5), {})

    def test_loads_survive_their_way_to_another_relay(self) -> None:
        loads = {LATER: LevelLoad(3, 2, 0.5, 0.25)}

        self.assertEqual(loads_from_messages(loads_to_messages(loads)), loads)
