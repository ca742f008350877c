"""Tests of where relays that know little of each other place streams."""

import unittest

from testing.scheduling.engine_fleet import EngineFleet, Pace

RELAYS = 69
LENGTH_S = 8.0
# Six tenths of what 27 engines bear at 12 requests each, most of them at
# their nominal speed.
STREAMS_PER_S = 157
SLOW = Pace(2.5, 0.0, LENGTH_S)
SOME_SLOW = [SLOW if number % 7 == 3 else Pace() for number in range(27)]


class TestSlowEngines(unittest.TestCase):
    """Load: streams at a constant rate; 15% of the engines are slow."""

    def play(self, paces: list[Pace]) -> EngineFleet:
        fleet = EngineFleet(paces, RELAYS)
        fleet.run(STREAMS_PER_S, LENGTH_S)
        return fleet

    def assert_served(self, fleet: EngineFleet) -> None:
        """Nine of ten in time, and no engine gets more than it queues."""
        self.assertGreater(fleet.in_time(), 0.9)
        self.assertLess(fleet.rejected, 0.003 * fleet.asked)

    def test_engines_that_stay_slow(self) -> None:
        self.assert_served(self.play(SOME_SLOW))

    def test_engines_that_are_slow_in_turn(self) -> None:
        """Each for 1.2 s, of which relays learn some tenths later."""
        turns = [number * 1.3 % LENGTH_S for number in range(27)]

        self.assert_served(
            self.play([Pace(2.5, turn_s, turn_s + 1.2) for turn_s in turns])
        )

    def test_engine_that_is_four_times_slower_for_seconds(self) -> None:
        self.assert_served(self.play([Pace(4.0, 2.0, 5.0), *SOME_SLOW[1:]]))

    def test_loader_that_reports_a_wrong_pace(self) -> None:
        """A slow engine is said to be fast, and a fast one to be slow."""
        self.assert_served(
            self.play(
                [
                    SLOW._replace(reported=1.0),
                    Pace(reported=4.0),
                    *SOME_SLOW[2:],
                ]
            )
        )

    def test_slow_engines_get_little(self) -> None:
        """Less than the slowness would leave them of an equal share."""
        fleet = self.play(SOME_SLOW)
        slow = sum(
            fleet.engines[one.upstream.record.upstream_id].pace is SLOW
            for one in fleet.ended
        )

        self.assertLess(slow / len(fleet.ended), 4 / 27 / SLOW.factor)


class TestUnevenDemand(unittest.TestCase):
    """Load: most streams come to relays that are next to each other."""

    def test_demand_of_one_zone_spills(self) -> None:
        """Two thirds of it come to a third of the relays."""
        fleet = EngineFleet(SOME_SLOW, RELAYS)
        fleet.busy_share = 0.5
        fleet.run(STREAMS_PER_S, LENGTH_S)

        self.assertGreater(fleet.in_time(), 0.9)
        self.assertLess(fleet.rejected, 0.003 * fleet.asked)


class TestShortage(unittest.TestCase):
    """Load: more streams than the engines bear."""

    def test_engines_reject_few(self) -> None:
        """Relays don't all take the same engine for free."""
        fleet = EngineFleet(SOME_SLOW, RELAYS)
        fleet.run(230, LENGTH_S)

        self.assertLess(fleet.rejected, 0.03 * fleet.asked)
