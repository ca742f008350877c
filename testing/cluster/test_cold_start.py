"""Tests of what all relays together send a cold upstream."""

import unittest
from collections.abc import Callable, Iterable

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.peers import HeartbeatStatus
from bramleylug.store.mirror import Mirror
from testing.cluster.cold_play import (
    ALLOWED_IN_ONE_SECOND,
    PER_S,
    STARTS_WITHIN_S,
    ColdPlay,
)
from testing.relay.builders import (
    REGIONS,
    build_peer,
    build_settings,
    build_table,
    build_upstream_record,
)

ZONES = tuple(REGIONS)
STEPS_PER_S = 50
# Relays of the plays; half of them are in the region of the engine.
FLEET = 24
# More happens in these plays.
SEEDS = range(40)
USED_PER_S = PER_S * 2 / 3


class TestSumOverRelays(unittest.TestCase):
    """A cold upstream gets no more than it bears, however many relays."""

    def test_sixty_relays_keep_the_bound(self) -> None:
        self.assertLessEqual(self.most_sent(60), ALLOWED_IN_ONE_SECOND)

    def test_three_hundred_relays_keep_the_bound(self) -> None:
        self.assertLessEqual(self.most_sent(330), ALLOWED_IN_ONE_SECOND)

    def test_six_relays_use_most_of_the_rate(self) -> None:
        self.assertGreaterEqual(self.most_sent(6), 0.8 * 20)

    def test_many_relays_use_most_of_the_rate(self) -> None:
        self.assertGreaterEqual(self.most_sent(60), 0.8 * 20)

    def most_sent(self, relay_count: int) -> int:
        """Return what relays send in the first second of a cold start."""
        relays = [
            build_peer(
                f'relay-{number}',
                zone=ZONES[number % 2],
                region=REGIONS[ZONES[number % 2]],
            )
            for number in range(relay_count)
        ]
        colds = []
        for own in relays:
            view = ClusterView(
                build_settings(name=own.name),
                lambda own=own: own,
                Mirror(3.0),
                lambda: 100.0,
            )
            view.apply_route_table(build_table())
            view.mirror.confirm(100.0, 100.0)
            for peer in relays:
                view.peers.add(peer)
            view.register_upstream(build_upstream_record(cold_until_s=110.0))
            colds.append(view.upstreams.by_id['engine-1'].cold)
        return sum(
            cold.consume(100.0 + step / STEPS_PER_S)
            for step in range(STEPS_PER_S)
            for cold in colds
        )


class TestFleetThatStarts(unittest.TestCase):
    """Relays start one after the other and know few others at first."""

    started: list[ColdPlay]

    @classmethod
    def setUpClass(cls) -> None:
        cls.started = [ColdPlay(FLEET, seed) for seed in range(200)]
        for play in cls.started:
            play.run()

    def test_bound_holds_while_relays_start(self) -> None:
        self.assert_bound(self.started)

    def test_rate_is_used_two_seconds_after_the_start(self) -> None:
        since_s = STARTS_WITHIN_S + 2.0
        used_per_s = min(one.arrivals_per_s(since_s) for one in self.started)
        self.assertGreaterEqual(used_per_s, USED_PER_S)

    def test_bound_holds_if_the_engine_starts_again(self) -> None:
        self.assert_bound(self.played(lambda play: play.restart_engine(2.5)))

    def test_bound_holds_if_the_engine_is_registered_again(self) -> None:
        self.assert_bound(self.played(lambda play: play.register_again(2.5)))

    def test_bound_holds_if_the_engine_turns_cold_twice(self) -> None:
        self.assert_bound(self.played(lambda play: play.turn_cold_again(2.5)))

    def test_bound_holds_if_answers_report_it_cold(self) -> None:
        self.assert_bound(self.played(lambda play: play.answer_cold(2.5)))

    def test_bound_holds_if_relays_are_cut_off(self) -> None:
        self.assert_bound(self.played(lambda play: play.end(6, 2.5, cut=True)))

    def test_bound_holds_at_three_hundred_relays(self) -> None:
        play = ColdPlay(330, 1)
        play.run()
        self.assert_bound([play])

    def test_others_take_the_shares_of_dead_relays(self) -> None:
        plays = self.played(lambda play: play.end(12, 1.0, cut=False))
        self.assert_bound(plays)
        used_per_s = min(one.arrivals_per_s(5.0) for one in plays)
        self.assertGreaterEqual(used_per_s, USED_PER_S)

    def test_known_names_use_the_rate_while_relays_start(self) -> None:
        plays = [ColdPlay(FLEET, seed, names_listed=True) for seed in SEEDS]
        for play in plays:
            play.run()
        self.assert_bound(plays)
        used_per_s = min(one.arrivals_per_s(2.0) for one in plays)
        self.assertGreaterEqual(used_per_s, USED_PER_S)

    def played(self, plan: Callable[[ColdPlay], None]) -> list[ColdPlay]:
        """Return plays in which something more happens."""
        plays = [ColdPlay(FLEET, seed) for seed in SEEDS]
        for play in plays:
            plan(play)
            play.run()
        return plays

    def assert_bound(self, plays: Iterable[ColdPlay]) -> None:
        """Check the requests that arrive in any second."""
        most = max(play.most_in_one_second() for play in plays)
        self.assertLessEqual(most, ALLOWED_IN_ONE_SECOND)


class TestOutOfTouch(unittest.TestCase):
    """A relay whose share others may have taken over does not use it."""

    def test_share_is_used_with_a_fresh_copy_of_the_store(self) -> None:
        self.assertEqual(self.share_per_s(heard=0, is_fresh=True), 5.0)

    def test_share_is_used_among_more_than_half_of_the_region(self) -> None:
        self.assertEqual(self.share_per_s(heard=2), 5.0)

    def test_half_of_it_is_used_by_half_of_the_region(self) -> None:
        self.assertEqual(self.share_per_s(heard=1), 2.5)

    def test_none_is_used_by_less_than_half_of_the_region(self) -> None:
        self.assertEqual(self.share_per_s(heard=0), 0.0)

    def share_per_s(self, *, heard: int, is_fresh: bool = False) -> float:
        """Return the share of one of four relays."""
        relays = [build_peer(f'relay-{number}') for number in range(4)]
        view = ClusterView(
            build_settings(name='relay-0'),
            lambda: relays[0],
            Mirror(3.0),
            lambda: 100.0,
        )
        view.apply_route_table(build_table())
        if is_fresh:
            view.mirror.confirm(100.0, 100.0)
        for peer in relays:
            view.peers.add(peer)
        for peer in relays[1 : heard + 1]:
            status = HeartbeatStatus(peer.boot, 99.0, draining=False)
            view.peers.record_heartbeat(peer.name, status)
        view.register_upstream(build_upstream_record(cold_until_s=110.0))
        return view.upstreams.by_id['engine-1'].cold.per_s
