"""Tests of what engines that name a limit get from all relays together."""

import unittest
from functools import partial
from unittest.mock import patch

from testing.relay.crash_simulation import (
    STABLE_WINDOW_S,
    ZONES,
    Call,
    Source,
)
from testing.relay.limit_simulation import (
    ALLOWED_EXTRA,
    ALLOWED_FACTOR,
    WINDOW_S,
    LimitSimulation,
    served_share,
)

NAMED_S = 8.0
LENGTH_S = 26.0
SHARE_BACK_S = 2.0


def build_simulation(
    seed: int = 1, per_s: float = 40.0, **fields
) -> LimitSimulation:
    """Return relays and engines with callers of all workspaces."""
    simulation = LimitSimulation(seed, **fields)
    simulation.sources.append(Source(name='sound', per_s=per_s))
    return simulation


class LimitTestCase(unittest.TestCase):
    """Assertions about what engines in need have got."""

    def assert_kept(self, simulation: LimitSimulation) -> None:
        """No engine got more than the platform's rule allows."""
        self.assertEqual(simulation.excesses(), [])

    def assert_kept_over_all(
        self, simulation: LimitSimulation, per_s: float
    ) -> None:
        """The rule holds for relays, too, that it excuses."""
        allowed = ALLOWED_FACTOR * per_s * WINDOW_S + ALLOWED_EXTRA
        limited = sorted({one.engine for one in simulation.limits})
        for engine_id in limited:
            most = simulation.most_in_window(
                engine_id, NAMED_S + STABLE_WINDOW_S, LENGTH_S
            )
            self.assertLessEqual(most, allowed, engine_id)


class TestLimitOverAllRelays(LimitTestCase):
    """What an engine names bounds what all relays send together."""

    def test_one_engine_in_need_gets_no_more_than_it_names(self) -> None:
        excesses = {}
        for seed in (1, 2, 3, 4):
            simulation = build_simulation(seed)
            simulation.name_limit(NAMED_S, 1.0, engine_count=1)
            simulation.play(LENGTH_S)
            excesses[seed] = simulation.excesses()

        self.assertEqual(excesses, {1: [], 2: [], 3: [], 4: []})

    def test_all_engines_in_need_get_no_more_than_they_name(self) -> None:
        simulation = build_simulation(relay_count=9)
        simulation.name_limit(NAMED_S, 1.9)
        simulation.play(LENGTH_S)

        self.assert_kept(simulation)

    def test_limit_below_the_number_of_relays_is_kept(self) -> None:
        simulation = build_simulation(
            per_s=120.0, relay_count=40, engine_count=20
        )
        simulation.name_limit(NAMED_S, 0.5)
        simulation.play(LENGTH_S)

        self.assert_kept(simulation)


class TestChangesOfRelays(LimitTestCase):
    """The limit holds while relays come, go and lose each other."""

    def test_restarted_relays_spend_no_fresh_allowance(self) -> None:
        for seed in (1, 2):
            simulation = build_simulation(seed)
            for at_s in (12, 15, 18, 21):
                simulation.after(at_s, partial(simulation.restart_relays, 3))
            simulation.name_limit(NAMED_S, 1.0)
            simulation.play(LENGTH_S)

            self.assert_kept_over_all(simulation, 1.0)

    def test_restart_of_all_relays_spends_no_fresh_allowance(self) -> None:
        simulation = build_simulation()
        simulation.after(13.0, partial(simulation.restart_relays, 6))
        simulation.name_limit(NAMED_S, 1.0, engine_count=1)
        simulation.play(LENGTH_S)

        self.assert_kept_over_all(simulation, 1.0)

    def test_halves_that_lose_each_other_keep_one_limit(self) -> None:
        """Both still reach all engines."""
        simulation = build_simulation(relay_count=9)
        half = set(list(simulation.peers)[:4])
        simulation.after(12.0, partial(simulation.cut_between, half))
        simulation.after(19.0, simulation.halves.clear)
        simulation.name_limit(NAMED_S, 4.0)
        simulation.play(LENGTH_S)

        self.assert_kept_over_all(simulation, 4.0)

    def test_planned_stops_keep_limit_and_use(self) -> None:
        simulation = build_simulation()
        for place, name in enumerate(simulation.peers):
            simulation.stop_relay(10.0 + 2.5 * place, name)
        simulation.name_limit(NAMED_S, 1.0)
        simulation.play(LENGTH_S)

        self.assert_kept_over_all(simulation, 1.0)
        self.assertGreaterEqual(
            simulation.least_use(simulation.engines, 1.0, 11.0, LENGTH_S), 0.8
        )

    def test_added_relays_take_part_in_the_same_limit(self) -> None:
        simulation = build_simulation()
        for place in range(6):
            simulation.add_relay(
                11.0 + 1.5 * place, f'added-{place}', ZONES[place % 3]
            )
        simulation.name_limit(NAMED_S, 4.0)
        simulation.play(LENGTH_S)

        self.assert_kept_over_all(simulation, 4.0)

    def test_lost_datagrams_cost_use_and_not_the_limit(self) -> None:
        with patch('testing.relay.crash_simulation.LOST_DATAGRAMS', 0.3):
            simulation = build_simulation()
            simulation.name_limit(NAMED_S, 1.0)
            simulation.play(LENGTH_S)

        self.assert_kept_over_all(simulation, 1.0)


class TestCallers(LimitTestCase):
    """Engines in need serve what they take, and others the rest."""

    def test_engine_in_need_stays_in_use_at_its_rate(self) -> None:
        simulation = build_simulation()
        simulation.name_limit(NAMED_S, 4.0, engine_count=1)
        simulation.play(LENGTH_S)

        self.assertGreaterEqual(
            simulation.least_use(['engine-0001'], 4.0, 11.0, LENGTH_S), 0.8
        )
        self.assertEqual(served_share(self.calls_since(simulation, 11.0)), 1.0)

    def test_limits_of_all_engines_are_used_under_high_load(self) -> None:
        simulation = build_simulation(relay_count=9)
        simulation.name_limit(NAMED_S, 1.9)
        simulation.play(LENGTH_S)

        self.assertGreaterEqual(
            simulation.least_use(simulation.engines, 1.9, 11.0, LENGTH_S), 0.8
        )

    def test_requests_find_the_engine_that_can_take_them(self) -> None:
        """Five requests a second come, and eight engines take one each."""
        calls: list[Call] = []
        for seed in (1, 2, 3, 4):
            simulation = build_simulation(seed, per_s=5.0)
            simulation.name_limit(NAMED_S, 1.0)
            simulation.play(LENGTH_S)
            calls.extend(self.calls_since(simulation, 11.0))

        self.assertGreaterEqual(served_share(calls), 0.9)

    def test_engine_that_recovers_has_its_full_share_soon(self) -> None:
        recovered, mean = 0.0, 0.0
        for seed, limit_per_s in enumerate((0.0, 1.0) * 3):
            simulation = build_simulation(seed)
            simulation.name_limit(NAMED_S, limit_per_s, engine_count=1)
            simulation.name_limit(18.0, None, engine_count=1)
            simulation.play(LENGTH_S)

            rates = [
                simulation.rate(engine_id, 18.0 + SHARE_BACK_S, LENGTH_S)
                for engine_id in simulation.engines
            ]
            recovered += rates[0]
            mean += sum(rates) / len(rates)

        self.assertGreater(recovered, 0.8 * mean)

    def calls_since(
        self, simulation: LimitSimulation, from_s: float
    ) -> list[Call]:
        """Return the calls that could be served before the end."""
        return [
            call
            for call in simulation.calls.values()
            if from_s <= call.arrived_s < LENGTH_S - 1
        ]
