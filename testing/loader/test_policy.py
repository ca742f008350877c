"""Tests of when an engine is told to load."""

import unittest

from bramleylug.loader.policy import (
    AnnounceClosing,
    LoadPolicy,
    LoadWeights,
    outdated_since_s,
    scheduled_load_s,
)
from testing.relay.builders import build_engine_state, build_observation


class TestEmptyEngine(unittest.TestCase):
    """An engine that serves nothing loads at once."""

    def setUp(self) -> None:
        """Have an engine that has just started."""
        self.policy = LoadPolicy()
        self.empty = build_engine_state(
            version=0, complete=False, accepted_orders=3
        )

    def test_empty_engine_waits_for_no_turn(self) -> None:
        """It is ordered after what it has accepted so far."""
        seen = build_observation(engine=self.empty)

        self.assertEqual(
            list(self.policy.step(seen, 0.0)),
            [LoadWeights(2, 3, interrupt=False)],
        )

    def test_order_is_not_repeated_at_once(self) -> None:
        """The engine needs a moment to report it."""
        seen = build_observation(engine=self.empty)
        self.policy.step(seen, 0.0)

        self.assertEqual(list(self.policy.step(seen, 0.1)), [])
        self.assertEqual(len(list(self.policy.step(seen, 0.6))), 1)

    def test_busy_engine_is_left_alone(self) -> None:
        """An order is being carried out."""
        busy = build_engine_state(version=0, complete=False, busy=True)

        actions = self.policy.step(build_observation(engine=busy), 0.0)

        self.assertEqual(list(actions), [])

    def test_nothing_is_loaded_before_all_is_verified(self) -> None:
        """No version is ready: there is nothing to order."""
        seen = build_observation(ready_version=0, engine=self.empty)

        self.assertEqual(list(self.policy.step(seen, 0.0)), [])

    def test_silent_engine_gets_no_order(self) -> None:
        """What it holds is unknown."""
        seen = build_observation(engine=None)

        self.assertEqual(list(self.policy.step(seen, 0.0)), [])


class TestSwap(unittest.TestCase):
    """Engines that serve take turns."""

    def test_relays_hear_before_the_order(self) -> None:
        """The engine gets no new requests while it is told to load."""
        policy = LoadPolicy()
        seen = build_observation(may_interrupt=True)
        turn = scheduled_load_s(seen, 0.0)

        self.assertEqual(list(policy.step(seen, turn - 0.1)), [])
        self.assertEqual(list(policy.step(seen, turn)), [AnnounceClosing()])
        self.assertTrue(policy.closing)
        self.assertEqual(list(policy.step(seen, turn + 0.1)), [])
        self.assertEqual(
            list(policy.step(seen, turn + 0.3)),
            [LoadWeights(2, 0, interrupt=True)],
        )

    def test_engine_is_open_once_it_serves_the_version(self) -> None:
        """The relays send to it again."""
        policy = LoadPolicy()
        policy.step(build_observation(), 10.0)
        loaded = build_engine_state(version=2)

        actions = policy.step(build_observation(engine=loaded), 10.5)

        self.assertEqual(list(actions), [])
        self.assertFalse(policy.closing)

    def test_failed_order_opens_the_engine_again(self) -> None:
        """It serves the weights it has until the next try."""
        policy = LoadPolicy()
        policy.step(build_observation(), 10.0)
        policy.record_failure(10.3)

        self.assertFalse(policy.closing)

    def test_later_version_is_never_replaced_by_an_older_one(self) -> None:
        """A loader that is behind changes nothing."""
        later = build_engine_state(version=3)

        actions = LoadPolicy().step(build_observation(engine=later), 10.0)

        self.assertEqual(list(actions), [])

    def test_versions_in_quick_succession_put_no_turn_off(self) -> None:
        """The held weights end by the first newer one."""
        heard_s = {1: 0.0, 2: 10.0, 3: 15.0, 4: 20.0}

        self.assertEqual(outdated_since_s(heard_s, 1, 21.0), 10.0)
        self.assertEqual(outdated_since_s(heard_s, 3, 21.0), 20.0)
        self.assertEqual(outdated_since_s(heard_s, 4, 21.0), 21.0)

    def test_turns_are_spread_and_end_in_time(self) -> None:
        """Ten engines follow one another before old weights are refused."""
        turns = [
            scheduled_load_s(build_observation(rank=rank, host_count=10), 0.0)
            for rank in range(10)
        ]
        gaps = [later - sooner for sooner, later in zip(turns, turns[1:])]

        self.assertEqual(turns, sorted(turns))
        self.assertAlmostEqual(min(gaps), max(gaps))
        self.assertLess(turns[-1], 8.0 - 0.6)

    def test_turns_share_out_what_a_late_transfer_leaves(self) -> None:
        """Ready six seconds after the naming, ten engines do not load at once.

        Most would be closed together for the second that each needs.
        """
        begun_s = []
        for rank in range(10):
            policy = LoadPolicy()
            seen = build_observation(rank=rank, host_count=10)
            steps = [6.0 + step / 100 for step in range(200)]
            begun_s.append(
                next(now_s for now_s in steps if policy.step(seen, now_s))
            )
        gaps = [later - sooner for sooner, later in zip(begun_s, begun_s[1:])]

        self.assertGreater(min(gaps), 0.05)
        self.assertLess(begun_s[-1], 8.0 - 0.6)
