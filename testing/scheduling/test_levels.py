"""Tests of room for the urgent across relays."""

import unittest

from bramleylug.scheduling.levels import GUARANTEED_SHARE
from testing.scheduling.shared_service import Arrivals, SharedService

SLOTS = 276
RELAYS = 37
# Four fifths of the slots are in use; the most urgent need a quarter.
CALM = (Arrivals(0, 38), Arrivals(1, 37), Arrivals(2, 58))
BURST = (Arrivals(0, 38), Arrivals(1, 37), Arrivals(2, 145))
SHORTAGE = (Arrivals(0, 250), Arrivals(1, 37), Arrivals(2, 58))
BURST_S = 7.0
# How far the most urgent may fall below their calm shares in a burst.
MAX_FALL = 0.05


class TestBurst(unittest.TestCase):
    """Load: the least urgent are asked for two and a half times as often."""

    def play(self, *, ordered: bool = True) -> SharedService:
        service = SharedService(SLOTS, RELAYS, ordered=ordered)
        service.run(4, CALM)
        service.forget()
        service.run(BURST_S, BURST)
        return service

    def test_most_urgent_are_served_as_before(self) -> None:
        service = self.play()

        self.assertGreaterEqual(service.in_time_share(0), 1 - MAX_FALL)
        self.assertGreaterEqual(service.served_share(0), 1 - MAX_FALL)

    def test_they_are_not_without_levels(self) -> None:
        """The load is one that fills the slots."""
        service = self.play(ordered=False)

        self.assertLess(service.in_time_share(0), 1 - MAX_FALL)

    def test_least_urgent_keep_most_of_what_is_left(self) -> None:
        """They get at least half as large a share as all requests."""
        service = self.play()

        all_served = sum(service.in_time.values()) + sum(service.late.values())
        all_share = all_served / sum(service.asked.values())
        self.assertGreater(
            service.served_share(2), GUARANTEED_SHARE * all_share
        )

    def test_calm_load_is_served_whole(self) -> None:
        service = SharedService(SLOTS, RELAYS)
        service.run(8, CALM)

        self.assertEqual(sum(service.refused.values()), 0)

    def test_relays_do_not_fill_the_slots_several_times(self) -> None:
        """Though each knows of the others' requests only later."""
        self.assertLessEqual(self.play().overload, MAX_FALL * SLOTS)
        self.assertGreater(self.play(ordered=False).overload, MAX_FALL * SLOTS)


class TestReturns(unittest.TestCase):
    """Load: a burst, then calm again; refused callers return once."""

    def setUp(self) -> None:
        self.service = SharedService(SLOTS, RELAYS)
        self.service.run(4, CALM)
        self.service.forget()
        self.service.run(BURST_S, BURST)
        self.service.run(4, CALM)

    def test_few_are_refused_twice(self) -> None:
        """Relays know of the callers that others have refused."""
        refused = sum(self.service.refused.values())
        twice = sum(self.service.refused_twice.values())

        self.assertGreater(refused, 100)
        self.assertLess(twice, refused / 10)

    def test_returning_callers_do_not_delay_the_most_urgent(self) -> None:
        self.assertGreaterEqual(self.service.in_time_share(0), 1 - MAX_FALL)


class TestShortage(unittest.TestCase):
    """Load: the most urgent alone are more than the slots bear."""

    def setUp(self) -> None:
        self.service = SharedService(SLOTS, RELAYS)
        self.service.run(3, CALM)
        self.service.forget()
        self.service.run(8, SHORTAGE)

    def test_no_level_starves(self) -> None:
        """A gate of 0.25 of the share of all is kept with a wide margin."""
        service = self.service
        all_served = sum(service.in_time.values()) + sum(service.late.values())
        all_share = all_served / sum(service.asked.values())
        for urgency in (1, 2):
            with self.subTest(urgency=urgency):
                self.assertGreater(
                    service.served_share(urgency),
                    0.8 * GUARANTEED_SHARE * all_share,
                )


class TestCutOff(unittest.TestCase):
    """Load: a burst, while one relay neither hears others nor is heard."""

    def setUp(self) -> None:
        self.service = SharedService(SLOTS, RELAYS)
        self.relay = self.service.relays[0]
        self.service.run(3, CALM)
        self.relay.is_cut_off = True
        self.most = 0
        for _ in range(20):
            self.service.run(0.3, BURST)
            self.most = max(self.most, self.relay.running())

    def test_it_goes_on_with_its_share_of_the_slots(self) -> None:
        self.assertGreater(self.most, 0)
        self.assertLessEqual(self.most, SLOTS / RELAYS + 1)


class TestZoneLost(unittest.TestCase):
    """Load: a third of the slots goes, then the calm load is too much."""

    def test_most_urgent_are_served_as_before(self) -> None:
        """The reserve follows the slots that are left."""
        service = SharedService(SLOTS, RELAYS)
        service.run(4, CALM)
        service.slots = SLOTS * 2 // 3
        # What runs beyond them ends within about a second and a half.
        service.run(2, CALM)
        service.forget()
        service.run(6, CALM)

        self.assertGreaterEqual(service.in_time_share(0), 1 - MAX_FALL)
        self.assertGreater(service.served_share(2), GUARANTEED_SHARE / 2)
