"""Tests of where many relays send the streams of many engines."""

import unittest

from testing.scheduling.fleet_simulation import FleetSimulation, Shape

LENGTH_S = 4.0
SMALL = Shape(
    regions=3,
    relays=6,
    engines=6,
    slots=16,
    streams_per_s=55,
    local_interval_s=0.2,
)
# 99 relays and 94 engines in five regions, two thirds of the slots in use.
LARGE = Shape(
    regions=5,
    relays=99,
    engines=94,
    slots=8,
    streams_per_s=380,
    local_interval_s=0.63,
)


class TestPlacing(unittest.TestCase):
    """Load: streams at a constant rate below what the engines bear."""

    def simulate(self, shape: Shape) -> FleetSimulation:
        simulation = FleetSimulation(shape)
        simulation.run(LENGTH_S)
        return simulation

    def test_small_fleet_starts_streams_in_time(self) -> None:
        """Nine of ten within the objective."""
        self.assertGreater(self.simulate(SMALL).in_time(), 0.9)

    def test_large_fleet_starts_streams_in_time(self) -> None:
        """The relays know little of each other's load."""
        self.assertGreater(self.simulate(LARGE).in_time(), 0.9)

    def test_most_streams_stay_in_their_region(self) -> None:
        """Its engines have room; distance decides last but not never."""
        self.assertLess(self.simulate(SMALL).remote_share(), 0.5)

    def test_most_streams_stay_in_their_region_in_a_large_fleet(self) -> None:
        """The number of remote engines does not change that."""
        self.assertLess(self.simulate(LARGE).remote_share(), 0.5)
