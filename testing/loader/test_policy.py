"""Tests of the policy that decides when an engine loads."""

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
        self.policy = LoadPolicy()
        self.empty = build_engine_state(
            version=0, complete=False, accepted_orders=3
        )

    def test_empty_engine_gets_an_order_at_once(self) -> None:
        """The order states how many the engine has accepted so far."""
        observation = build_observation(engine=self.empty)

        self.assertEqual(
            list(self.policy.step(observation, 0.0)),
            [LoadWeights(2, 3, interrupt=False)],
        )

    def test_order_is_not_repeated_at_once(self) -> None:
        """The engine needs a moment until its report shows the order."""
        observation = build_observation(engine=self.empty)
        self.policy.step(observation, 0.0)

        self.assertEqual(list(self.policy.step(observation, 0.1)), [])
        self.assertEqual(len(list(self.policy.step(observation, 0.6))), 1)

    def test_busy_engine_gets_no_order(self) -> None:
        """It is still carrying one out."""
        busy = build_engine_state(version=0, complete=False, busy=True)

        actions = self.policy.step(build_observation(engine=busy), 0.0)

        self.assertEqual(list(actions), [])

    def test_no_order_before_every_chunk_is_verified(self) -> None:
        """No version is ready until then."""
        observation = build_observation(ready_version=0, engine=self.empty)

        self.assertEqual(list(self.policy.step(observation, 0.0)), [])

    def test_unresponsive_engine_gets_no_order(self) -> None:
        """It is unknown what it holds."""
        observation = build_observation(engine=None)

        self.assertEqual(list(self.policy.step(observation, 0.0)), [])


class TestSwap(unittest.TestCase):
    """Engines that serve older weights load one after another."""

    def test_closing_is_announced_before_the_order(self) -> None:
        """The relays send no more requests when the engine gets the order."""
        policy = LoadPolicy()
        observation = build_observation(may_interrupt=True)
        scheduled_s = scheduled_load_s(observation, 0.0)

        self.assertEqual(list(policy.step(observation, scheduled_s - 0.1)), [])
        self.assertEqual(
            list(policy.step(observation, scheduled_s)), [AnnounceClosing()]
        )
        self.assertTrue(policy.closing)
        self.assertEqual(list(policy.step(observation, scheduled_s + 0.1)), [])
        self.assertEqual(
            list(policy.step(observation, scheduled_s + 0.3)),
            [LoadWeights(2, 0, interrupt=True)],
        )

    def test_engine_is_reopened_once_it_serves_the_version(self) -> None:
        """The relays may send it requests again."""
        policy = LoadPolicy()
        policy.step(build_observation(), 10.0)
        loaded = build_engine_state(version=2)

        actions = policy.step(build_observation(engine=loaded), 10.5)

        self.assertEqual(list(actions), [])
        self.assertFalse(policy.closing)

    def test_failed_order_reopens_the_engine(self) -> None:
        """It serves its older weights until the next attempt."""
        policy = LoadPolicy()
        policy.step(build_observation(), 10.0)
        policy.record_failure(10.3)

        self.assertFalse(policy.closing)

    def test_later_version_is_never_replaced_by_an_older_one(self) -> None:
        """A loader with outdated knowledge orders nothing."""
        later = build_engine_state(version=3)

        actions = LoadPolicy().step(build_observation(engine=later), 10.0)

        self.assertEqual(list(actions), [])

    def test_further_versions_do_not_postpone_a_load(self) -> None:
        """The first newer version starts the time limit of the held one."""
        set_times = {1: 0.0, 2: 10.0, 3: 15.0, 4: 20.0}

        self.assertEqual(outdated_since_s(set_times, 1, 21.0), 10.0)
        self.assertEqual(outdated_since_s(set_times, 3, 21.0), 20.0)
        self.assertEqual(outdated_since_s(set_times, 4, 21.0), 21.0)

    def test_loads_are_spread_and_end_in_time(self) -> None:
        """Ten engines load one after another before old weights expire."""
        times = [
            scheduled_load_s(build_observation(rank=rank, host_count=10), 0.0)
            for rank in range(10)
        ]
        gaps = [later - earlier for earlier, later in zip(times, times[1:])]

        self.assertEqual(times, sorted(times))
        self.assertAlmostEqual(min(gaps), max(gaps))
        self.assertLess(times[-1], 8.0 - 0.6)

    def test_loads_are_spread_over_the_time_left_by_a_late_transfer(
        self,
    ) -> None:
        """Ten engines are ready only 6 s after the version was announced.

        If all loaded at once, most would be closed together for the second
        that each load takes.
        """
        started_s = []
        for rank in range(10):
            policy = LoadPolicy()
            observation = build_observation(rank=rank, host_count=10)
            steps = [6.0 + step / 100 for step in range(200)]
            started_s.append(
                next(
                    now_s for now_s in steps if policy.step(observation, now_s)
                )
            )
        gaps = [
            later - earlier for earlier, later in zip(started_s, started_s[1:])
        ]

        self.assertGreater(min(gaps), 0.05)
        self.assertLess(started_s[-1], 8.0 - 0.6)
