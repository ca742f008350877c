"""Tests of how relays deal with parts of prompts that crash engines."""

import unittest
from functools import partial

from bramleylug.outcomes import Reason
from testing.relay.crash_simulation import (
    HARMFUL_PART,
    MIN_COUNTED,
    STABLE_WINDOW_S,
    SUBJECTS,
    WORKSPACES,
    ZONES,
    Call,
    CrashSimulation,
    Source,
    begun_share,
    calls_between,
    late_deliveries,
    longest_refusal_s,
    refused_share,
    settled_s,
)

MAX_LATE = 3
MAX_REFUSAL_S = 5.0
MAX_REFUSED = 0.02
HARM_FROM_S = 10.0
LENGTH_S = 30.0
MENDED_S = 40.0
# A part that crashes no engine any more is served again within this time.
MENDING_S = 600.0


def build_sound(per_s: float = 40.0, **fields) -> Source:
    """Return sound requests of all workspaces on all subjects."""
    return Source(**{'name': 'sound', 'per_s': per_s, **fields})


def build_harmful(per_s: float = 2.0, **fields) -> Source:
    """Return requests with the harmful part, from several workspaces."""
    defaults = {
        'name': 'harmful',
        'per_s': per_s,
        'workspaces': WORKSPACES,
        'subjects': (HARMFUL_PART,),
        'from_s': HARM_FROM_S,
    }
    return Source(**{**defaults, **fields})


class CrashTestCase(unittest.TestCase):
    """Assertions about what engines and callers have seen."""

    def play(self, simulation: CrashSimulation, length_s: float) -> None:
        """Play a simulation in which no relay fails."""
        simulation.play(length_s)
        codes = {call.code for call in simulation.calls.values()}

        self.assertNotIn(Reason.internal, codes)

    def assert_kept_off(self, simulation: CrashSimulation) -> None:
        """Few harmful requests reach engines after the fifth crash."""
        late = late_deliveries(simulation)

        self.assertLessEqual(
            len(late),
            MAX_LATE,
            f'{len(simulation.crashes)} engines crashed; late requests at '
            f'{[round(one.at_s, 2) for one in late[:20]]}, the fifth crash at '
            f'{settled_s(simulation):.2f}',
        )

    def assert_sound_served(
        self, simulation: CrashSimulation, workspace: str = ''
    ) -> None:
        """Sound requests begin half as often as before the harm, or more."""
        from_s = settled_s(simulation) + 2 * STABLE_WINDOW_S
        before, after = (
            [
                call
                for call in calls
                if not workspace or call.workspace == workspace
            ]
            for calls in (
                calls_between(simulation, 'sound', 1.0, HARM_FROM_S),
                calls_between(simulation, 'sound', from_s),
            )
        )

        self.assertGreaterEqual(len(before), MIN_COUNTED)
        self.assertGreaterEqual(len(after), MIN_COUNTED)
        self.assertGreaterEqual(begun_share(after), begun_share(before) / 2)

    def assert_not_suspected(self, calls: list[Call]) -> None:
        """Hardly any of these are refused as harmful, and not for long."""
        self.assertGreaterEqual(len(calls), MIN_COUNTED)
        self.assertLessEqual(refused_share(calls), MAX_REFUSED)
        self.assertLessEqual(longest_refusal_s(calls), MAX_REFUSAL_S)


class TestHarmfulPart(CrashTestCase):
    """Requests that differ, except that one part crashes engines."""

    def simulate(
        self, seed: int, *, harmful: Source | None = None, **fields
    ) -> CrashSimulation:
        simulation = CrashSimulation(seed, **fields)
        simulation.sources += [build_sound(), harmful or build_harmful()]
        self.play(simulation, LENGTH_S)
        return simulation

    def test_part_from_many_workspaces_is_kept_off_engines(self) -> None:
        """Requests come at any relay."""
        for seed in range(1, 4):
            with self.subTest(seed=seed):
                self.assert_kept_off(self.simulate(seed))

    def test_part_from_one_workspace_is_kept_off_engines(self) -> None:
        """The workspace also sends sound requests."""
        harmful = build_harmful(workspaces=WORKSPACES[:1])
        for seed in range(11, 14):
            with self.subTest(seed=seed):
                self.assert_kept_off(self.simulate(seed, harmful=harmful))

    def test_frequent_part_is_kept_off_engines(self) -> None:
        """Several requests with it are under way at any moment."""
        harmful = build_harmful(5.0)
        for seed in range(21, 23):
            with self.subTest(seed=seed):
                self.assert_kept_off(
                    self.simulate(seed, harmful=harmful, engine_count=26)
                )

    def test_rare_part_is_kept_off_engines(self) -> None:
        """Crashes by it are some seconds apart."""
        harmful = build_harmful(0.5)
        for seed in range(31, 33):
            with self.subTest(seed=seed):
                self.assert_kept_off(self.simulate(seed, harmful=harmful))

    def test_sound_requests_begin_beside_a_harmful_part(self) -> None:
        """All of them share its first part."""
        harmful = build_harmful(5.0)
        for seed in range(1, 3):
            with self.subTest(seed=seed):
                self.assert_sound_served(
                    self.simulate(seed, harmful=harmful, engine_count=6)
                )

    def test_workspace_of_a_harmful_part_is_served(self) -> None:
        """Its sound requests share caller and first part with it."""
        harmful = build_harmful(workspaces=WORKSPACES[:1])
        for seed in range(11, 13):
            with self.subTest(seed=seed):
                simulation = self.simulate(seed, harmful=harmful)
                self.assert_sound_served(simulation, WORKSPACES[0])
                self.assert_not_suspected(calls_between(simulation, 'sound', 0))

    def test_second_harmful_part_is_kept_off_engines(self) -> None:
        """It appears while the first is known."""
        simulation = CrashSimulation(41)
        second = 'c7d2e4f0'
        simulation.harmful.add(second)
        simulation.sources += [
            build_sound(),
            build_harmful(),
            build_harmful(subjects=(second,), from_s=20.0),
        ]
        self.play(simulation, 40.0)

        self.assertLessEqual(len(late_deliveries(simulation)), MAX_LATE)
        self.assertLessEqual(len(late_deliveries(simulation, second)), MAX_LATE)

    def test_part_is_kept_off_engines_beside_other_crashes(self) -> None:
        """Crashes by other causes and planned interruptions look alike."""
        simulation = CrashSimulation(42)
        simulation.sources += [build_sound(), build_harmful()]
        simulation.crash_engines_every(4.0)
        for at_s in range(5, 30, 4):
            simulation.after(at_s, simulation.load_weights)
        simulation.after(8.0, partial(simulation.crash_some, 3))
        self.play(simulation, LENGTH_S)

        self.assert_kept_off(simulation)
        self.assert_sound_served(simulation)

    def test_large_fleet_keeps_part_off_engines(self) -> None:
        """Remote relays hear of each other in turns only."""
        simulation = self.simulate(
            43, relay_count=40, engine_count=26, harmful=build_harmful(5.0)
        )

        self.assert_kept_off(simulation)
        self.assert_sound_served(simulation)


class TestLostMemory(CrashTestCase):
    """What relays know about a harmful part is lost or outdated."""

    def test_restarted_relay_keeps_part_off_engines(self) -> None:
        """It starts long after the last crash."""
        simulation = CrashSimulation(51)
        simulation.sources += [build_sound(20.0), build_harmful()]
        for at_s in (25.0, 35.0, 45.0):
            simulation.after(at_s, partial(simulation.restart_relays, 1))
        self.play(simulation, 55.0)

        self.assert_kept_off(simulation)

    def test_herd_restart_keeps_part_off_engines(self) -> None:
        """No relay's memory is left; only the store knows."""
        simulation = CrashSimulation(52)
        simulation.sources += [build_sound(20.0), build_harmful()]
        simulation.after(
            25.0, partial(simulation.restart_relays, simulation.relay_count)
        )
        self.play(simulation, 45.0)

        self.assert_kept_off(simulation)

    def test_herd_restart_keeps_rare_part_off_engines(self) -> None:
        """Relays are back for seconds before it crashes engines again."""
        for seed in range(55, 58):
            with self.subTest(seed=seed):
                simulation = CrashSimulation(seed)
                simulation.sources += [build_sound(20.0), build_harmful(0.5)]
                for at_s in (40.0, 55.0):
                    simulation.after(
                        at_s,
                        partial(
                            simulation.restart_relays, simulation.relay_count
                        ),
                    )
                self.play(simulation, 75.0)
                self.assert_kept_off(simulation)

    def test_relays_restarted_in_turn_keep_part_off_engines(self) -> None:
        """Each learns from the others what it has forgotten."""
        for seed in range(58, 60):
            with self.subTest(seed=seed):
                simulation = CrashSimulation(seed)
                simulation.sources += [build_sound(10.0), build_harmful(1.0)]
                for at_s in range(30, 100, 3):
                    simulation.after(
                        at_s, partial(simulation.restart_relays, 1)
                    )
                self.play(simulation, 110.0)
                self.assert_kept_off(simulation)

    def test_part_that_returns_is_kept_off_engines(self) -> None:
        """No request had it for minutes."""
        simulation = CrashSimulation(60, relay_count=3, engine_count=6)
        simulation.sources += [
            build_sound(3.0),
            build_harmful(until_s=20.0),
            build_harmful(from_s=200.0),
        ]
        self.play(simulation, 220.0)

        self.assert_kept_off(simulation)

    def test_part_stays_off_engines_for_minutes(self) -> None:
        """It still crashes engines after crashes have been forgotten."""
        simulation = CrashSimulation(53, relay_count=3, engine_count=6)
        simulation.sources += [build_sound(3.0), build_harmful(1.0)]
        self.play(simulation, 400.0)

        self.assert_kept_off(simulation)

    def test_mended_part_is_served_again(self) -> None:
        """It has crashed engines before."""
        simulation = CrashSimulation(54, relay_count=3, engine_count=6)
        simulation.sources += [build_sound(2.0), build_harmful(1.0)]
        simulation.after(MENDED_S, simulation.mend)
        until_s = MENDED_S + MENDING_S
        self.play(simulation, until_s + 60.0)

        mended = calls_between(simulation, 'harmful', until_s, until_s + 55.0)
        self.assertGreaterEqual(len(mended), MIN_COUNTED)
        self.assertGreater(begun_share(mended), 0.9)


class TestHarmlessCrashes(CrashTestCase):
    """Engines crash, but no part of a prompt is the cause."""

    def simulate(self, simulation: CrashSimulation, *sources: Source) -> None:
        """Run with only harmless crashes."""
        simulation.mend()
        simulation.sources += [build_sound(), *sources]
        self.play(simulation, LENGTH_S)
        self.assert_not_suspected(list(simulation.calls.values()))

    def test_single_crashes_bar_no_request(self) -> None:
        """One engine every two seconds."""
        for seed in range(61, 64):
            with self.subTest(seed=seed):
                simulation = CrashSimulation(seed)
                simulation.crash_engines_every(2.0)
                self.simulate(simulation)

    def test_group_crashes_bar_no_request(self) -> None:
        """Three engines at the same instant, several times."""
        for seed in range(64, 66):
            with self.subTest(seed=seed):
                simulation = CrashSimulation(seed)
                for at_s in range(3, 30, 5):
                    simulation.after(
                        at_s,
                        partial(simulation.crash_some, 3),
                    )
                self.simulate(simulation)

    def test_zone_crash_bars_no_request(self) -> None:
        """All engines of a zone at the same instant."""
        simulation = CrashSimulation(66, engine_count=20)
        simulation.after(10.0, partial(simulation.crash_zone, ZONES[0]))
        self.simulate(simulation)

    def test_crashes_at_the_start_bar_no_request(self) -> None:
        """No request has succeeded yet."""
        for seed in range(67, 69):
            with self.subTest(seed=seed):
                simulation = CrashSimulation(seed, engine_count=20)
                simulation.after(
                    0.3,
                    partial(simulation.crash_zone, ZONES[0]),
                )
                simulation.after(
                    0.5,
                    partial(simulation.crash_some, 3),
                )
                self.simulate(simulation)

    def test_rare_sessions_are_not_barred(self) -> None:
        """Each has a part of its own and a request every five seconds."""
        simulation = CrashSimulation(69)
        simulation.crash_engines_every(2.0)
        simulation.after(12.0, partial(simulation.crash_some, 3))
        sessions = [
            build_sound(0.2, subjects=(f'b{number:07x}',))
            for number in range(30)
        ]
        self.simulate(simulation, *sessions)

    def test_planned_interruptions_bar_no_request(self) -> None:
        """Engines announce them."""
        simulation = CrashSimulation(70)
        for at_s in range(1, 30):
            simulation.after(at_s, simulation.load_weights)
        self.simulate(simulation)


class TestOtherCallers(CrashTestCase):
    """One caller's requests neither hide a part nor bar that of another."""

    def test_many_harmless_crashes_hide_no_harmful_part(self) -> None:
        """Single crashes and groups of three go on all the time."""
        simulation = CrashSimulation(81, engine_count=12)
        simulation.sources += [build_sound(), build_harmful(1.0)]
        simulation.crash_engines_every(1.5)
        for at_s in range(5, 60, 10):
            simulation.after(at_s, partial(simulation.crash_some, 3))
        self.play(simulation, 60.0)

        self.assert_kept_off(simulation)

    def test_made_up_parts_hide_no_harmful_part(self) -> None:
        """One caller names thousands of parts; crashes cut some of them."""
        simulation = CrashSimulation(82)
        simulation.sources += [
            build_sound(15.0),
            build_harmful(1.0),
            Source(
                name='made-up',
                per_s=10.0,
                workspaces=WORKSPACES[9:],
                made_up_parts=20,
            ),
        ]
        simulation.crash_engines_every(3.0)
        self.play(simulation, 60.0)

        self.assert_kept_off(simulation)

    def test_caller_cannot_bar_part_of_other_workspace(self) -> None:
        """Its requests crash engines by other means and name that part."""
        for seed in range(83, 85):
            with self.subTest(seed=seed):
                simulation = CrashSimulation(seed)
                simulation.mend()
                simulation.sources += [
                    build_sound(20.0, subjects=SUBJECTS[1:]),
                    Source(
                        name='victim',
                        per_s=3.0,
                        workspaces=WORKSPACES[:1],
                        subjects=SUBJECTS[:1],
                    ),
                    Source(
                        name='attacker',
                        per_s=1.0,
                        workspaces=WORKSPACES[9:],
                        subjects=SUBJECTS[:1],
                        crashes_engines=True,
                        from_s=HARM_FROM_S,
                    ),
                ]
                self.play(simulation, 40.0)

                self.assert_not_suspected(
                    calls_between(simulation, 'victim', 0)
                )
