"""Tests of the fair shares of workspaces."""

import unittest

from bramleylug.cluster.use_messages import uses_from_messages, uses_to_messages
from bramleylug.scheduling.estimate import EngineModel
from bramleylug.scheduling.figures import EngineFigures, RequestSize
from bramleylug.scheduling.shares import (
    FairShares,
    FleetUses,
    Use,
    UseMeter,
    fair_level,
    largest,
    slot_time_s,
)
from bramleylug.wire.beats_pb2 import Beat
from testing.scheduling.shares_play import (
    END_S,
    SERVICE,
    WARM_UP_S,
    SharesPlay,
)

# They want 120 requests a second of the 160 that the engines can run.
SMALL = {f'small-{number}': 6.0 for number in range(20)}
SLOTS = 80
# Each workspace gets this part of its fair share at least, on average.
FAIR_PART = 0.8
# And none gets less than this.
LEAST_PART = 0.5
# What one that asks for more gets beyond its fair share at most.
OVER_PART = 1.35


class TestUnderLoad(unittest.TestCase):
    """Workspaces with little get it while others ask for too much."""

    def test_one_has_most_of_the_traffic(self) -> None:
        self.assert_fair(SharesPlay({**SMALL, 'large': 400.0}, SLOTS, 1))

    def test_a_few_are_large(self) -> None:
        large = {f'large-{number}': 150.0 for number in range(3)}
        self.assert_fair(SharesPlay({**SMALL, **large}, SLOTS, 2))

    def test_large_ones_share_what_is_left(self) -> None:
        large = {f'large-{number}': 150.0 for number in range(3)}
        play = SharesPlay({**SMALL, **large}, SLOTS, 2).run()
        left_per_s = (160 - 120) / 3
        for name in large:
            self.assertLessEqual(
                play.served_per_s(name), OVER_PART * left_per_s
            )

    def test_callers_repeat_three_times_as_often(self) -> None:
        rates = {f'small-{number}': 14.0 for number in range(10)}
        calm = SharesPlay({**rates, 'other': 14.0}, SLOTS, 3).run()
        play = SharesPlay(
            {**rates, 'other': 14.0}, SLOTS, 3, repeats={'other': 2}
        ).run()
        served_per_s = sum(map(play.served_per_s, rates))
        self.assertGreaterEqual(
            served_per_s, 0.9 * sum(map(calm.served_per_s, rates))
        )

    def test_repeats_of_a_large_one_come_out_of_its_share(self) -> None:
        rates = {**SMALL, 'large': 200.0, 'other': 40.0}
        play = SharesPlay(rates, SLOTS, 4, repeats={'other': 2})
        self.assert_fair(play)
        self.assertLessEqual(play.served_per_s('other'), OVER_PART * 20)

    def test_relays_that_are_cut_off(self) -> None:
        rates = {**SMALL, 'large': 400.0}
        self.assert_fair(SharesPlay(rates, SLOTS, 5, cut=3))

    def test_equal_ones_use_the_service(self) -> None:
        rates = {f'small-{number}': 20.0 for number in range(12)}
        play = SharesPlay(rates, SLOTS, 6).run()
        self.assertGreaterEqual(sum(map(play.served_per_s, rates)), 0.9 * 160)

    def test_service_is_used_after_an_outage(self) -> None:
        rates = {'large': 100.0, 'medium': 30.0, 'small': 20.0}
        play = SharesPlay(rates, SLOTS, 7)
        play.away_s = 6.0, 12.0
        play.run()
        part = (END_S - 12.0) / (END_S - WARM_UP_S)
        for name, per_s in rates.items():
            self.assertGreaterEqual(
                play.served_per_s(name), LEAST_PART * part * per_s
            )

    def assert_fair(self, play: SharesPlay) -> None:
        play.run()
        small = [play.served_per_s(name) / 6.0 for name in SMALL]
        self.assertGreaterEqual(sum(small) / len(small), FAIR_PART)
        self.assertGreaterEqual(min(small), LEAST_PART)


class TestFairShares(unittest.TestCase):
    """The decision for one service."""

    def test_all_get_what_they_want_if_there_is_enough(self) -> None:
        self.assertEqual(fair_level([1.0, 2.0, 3.0], 10.0), 3.0)

    def test_what_small_ones_leave_is_divided(self) -> None:
        self.assertEqual(fair_level([1.0, 9.0, 20.0], 9.0), 4.0)

    def test_level_is_an_equal_part_at_least(self) -> None:
        self.assertGreaterEqual(fair_level([5.0, 6.0, 90.0], 12.0), 4.0)

    def test_nothing_is_refused_while_no_other_is_short(self) -> None:
        shares = FairShares.from_uses({'a': Use(90, 200), 'b': Use(2, 2)})
        self.assertEqual(shares.refused_part('a'), 0.0)

    def test_one_far_above_its_share_is_refused(self) -> None:
        shares = FairShares.from_uses({'a': Use(9, 20), 'b': Use(1, 8)})
        # A level of 5 and the tolerance leave it 6.25 of 20.
        self.assertEqual(shares.refused_part('a'), 1 - 6.25 / 20)

    def test_one_below_its_share_is_not(self) -> None:
        shares = FairShares.from_uses({'a': Use(9, 20), 'b': Use(1, 6)})
        self.assertEqual(shares.refused_part('b'), 0.0)

    def test_relay_that_is_cut_off_leaves_a_safe_part(self) -> None:
        shares = FairShares.from_uses({'a': Use(9, 20), 'b': Use(1, 8)})
        self.assertEqual(
            shares.refused_part('a', is_current=False), 1 - 3.75 / 20
        )

    def test_those_below_the_level_are_chosen_more_often(self) -> None:
        shares = FairShares.from_uses({'a': Use(9, 20), 'b': Use(1, 8)})
        self.assertEqual(shares.weight('b'), 4.0)
        self.assertLess(shares.weight('a'), 1.0)
        self.assertEqual(shares.weight('unknown'), 1.0)


class TestFreeSlots(unittest.TestCase):
    """Nothing was taken for 6 s; two workspaces want 15 slots since."""

    def setUp(self) -> None:
        meter = UseMeter()
        for step in range(120):
            for workspace, slots in (('a', 10), ('b', 5)):
                key = SERVICE, workspace
                meter.record_wanted(*key, 0.1 * slots, 0.1 * step)
                if step < 60 and workspace == 'a':
                    meter.record_taken(*key, 0.1 * slots, 0.1 * step)
        self.uses = FleetUses().of_service(SERVICE, meter.uses(12.0))

    def test_none_is_refused_while_there_are_enough(self) -> None:
        shares = FairShares.from_uses(self.uses, 20.0)
        self.assertEqual(list(map(shares.refused_part, 'ab')), [0.0, 0.0])

    def test_shares_act_again_as_they_fill(self) -> None:
        parts = [
            FairShares.from_uses(self.uses, free_slots).refused_part('a')
            for free_slots in (20.0, 10.0, 6.0, 0.0)
        ]
        self.assertEqual(parts, sorted(parts))
        self.assertGreater(parts[1], 0.0)

    def test_few_that_are_free_for_a_moment_change_nothing(self) -> None:
        uses = {'a': Use(9, 20), 'b': Use(1, 8)}
        self.assertEqual(
            FairShares.from_uses(uses, 4.0).refused_part('a'),
            FairShares.from_uses(uses).refused_part('a'),
        )


class TestUses(unittest.TestCase):
    """Relays tell each other what workspaces use."""

    def test_uses_of_all_relays_add_up(self) -> None:
        fleet = FleetUses()
        fleet.record('relay-2', {(SERVICE, 'a'): Use(1, 2)}, 0.0)
        fleet.record('relay-3', {('other', 'a'): Use(5, 5)}, 0.0)
        total = fleet.of_service(SERVICE, {(SERVICE, 'a'): Use(2, 3)})
        self.assertEqual(total, {'a': Use(3, 5)})

    def test_relay_that_tells_nothing_more_is_forgotten(self) -> None:
        fleet = FleetUses()
        fleet.record('relay-2', {(SERVICE, 'a'): Use(1, 2)}, 0.0)
        fleet.remove_expired(5.0)
        self.assertEqual(fleet.of_service(SERVICE, {}), {})

    def test_heartbeat_has_few_of_them(self) -> None:
        uses = {
            ('fitting-advisor', f'workspace-{number}'): Use(1, number)
            for number in range(100)
        }
        beat = Beat(uses=uses_to_messages(largest(uses)))
        self.assertLessEqual(len(beat.SerializeToString()), 200)
        self.assertEqual(
            uses_from_messages(beat.uses)['fitting-advisor', 'workspace-99'],
            Use(1, 99),
        )

    def test_slot_time_is_that_of_the_estimate(self) -> None:
        engine = EngineFigures(0.01, 0, 0, 1000.0, 0, 2048, 1, 500.0, 20.0, 0)
        slot_s = slot_time_s(
            RequestSize(2000, 50, 30), EngineModel(engine), 9.0
        )
        # Its prompt and a first step; 29 more, each with a part of the prompts
        # that an engine reads meanwhile.
        self.assertAlmostEqual(slot_s, 2.01 + 29 * 0.035)

    def test_slot_time_is_measured_without_figures(self) -> None:
        self.assertEqual(slot_time_s(RequestSize(2000), None, 0.3), 0.3)


if __name__ == '__main__':
    unittest.main()
