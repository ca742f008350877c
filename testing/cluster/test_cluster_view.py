"""Tests of what a process takes from the heartbeats of others."""

import unittest

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.permit_messages import (
    Ask,
    Grant,
    limit_to_message,
    permit_to_message,
)
from bramleylug.cluster.rate_limit import Incarnation, RateLimitReport
from bramleylug.cluster.report_messages import report_to_message
from bramleylug.cluster.held_weights import HeldWeights
from bramleylug.cluster.upstreams import UpstreamReport
from bramleylug.store.mirror import Mirror
from bramleylug.wire.beats_pb2 import Beat
from testing.relay.builders import (
    build_peer,
    build_settings,
    build_upstream_record,
)

ENGINE = Incarnation('engine-1', 1000)
LIMIT = limit_to_message(ENGINE, RateLimitReport(2.0, 0.5))


class ViewCase(unittest.TestCase):
    """Base of tests with one process and a clock that stands."""

    def setUp(self) -> None:
        """Register an engine and two relays of the own region."""
        self.now_s = 100.0
        self.view = ClusterView(
            build_settings(), build_peer, Mirror(3.0), lambda: self.now_s
        )
        self.view.register_upstream(build_upstream_record())
        self.upstream = self.view.upstreams.by_id['engine-1']
        self.sent: list[str] = []
        self.view.permits.send = lambda name, _: self.sent.append(name)


class TestLimits(ViewCase):
    """What an upstream names holds at relays that have not asked it."""

    def test_limit_that_another_relay_heard_holds_here(self) -> None:
        self.view.receive_heartbeat(Beat(name='relay-2', limits=[LIMIT]))

        self.assertEqual(self.upstream.limit.per_s, 2.0)
        self.assertFalse(self.upstream.may_send(self.now_s))

    def test_limit_of_an_earlier_incarnation_says_nothing(self) -> None:
        earlier = limit_to_message(
            Incarnation('engine-1', 500), RateLimitReport(2.0, 0.5)
        )
        self.view.receive_heartbeat(Beat(name='relay-2', limits=[earlier]))

        self.assertTrue(self.upstream.may_send(self.now_s))

    def test_end_that_another_relay_heard_ends_it_here(self) -> None:
        self.view.receive_heartbeat(Beat(name='relay-2', limits=[LIMIT]))
        ended = limit_to_message(ENGINE, RateLimitReport(None, 0.1))
        self.view.receive_heartbeat(Beat(name='relay-2', limits=[ended]))

        self.assertTrue(self.upstream.may_send(self.now_s))

    def test_end_from_before_the_last_naming_is_ignored(self) -> None:
        """What a peer tells may be older than what this process heard."""
        self.view.record_limit(ENGINE, 2.0)
        ended = limit_to_message(ENGINE, RateLimitReport(None, 0.1))
        self.view.receive_heartbeat(Beat(name='relay-2', limits=[ended]))

        self.assertEqual(self.upstream.limit.per_s, 2.0)

    def test_limit_is_not_renewed_by_being_passed_on(self) -> None:
        self.view.record_limit(ENGINE, 2.0)
        named_s = self.upstream.limit.named_s
        delayed = limit_to_message(ENGINE, RateLimitReport(2.0, 0.0))
        self.now_s += 0.1
        self.view.receive_heartbeat(Beat(name='relay-2', limits=[delayed]))

        self.assertEqual(self.upstream.limit.named_s, named_s)


class TestPermits(ViewCase):
    """A request to an upstream with a limit needs a permit."""

    def setUp(self) -> None:
        """Name a limit."""
        super().setUp()
        self.view.record_limit(ENGINE, 2.0)

    def receive(self, news) -> None:
        self.view.receive_heartbeat(
            Beat(name='relay-2', permits=[permit_to_message(LIMIT, news)])
        )

    def test_granted_permit_allows_one_request(self) -> None:
        self.receive(Grant())

        self.assertTrue(self.upstream.may_send(self.now_s))
        self.upstream.consume(self.now_s)
        self.assertFalse(self.upstream.may_send(self.now_s))

    def test_new_incarnation_needs_none(self) -> None:
        self.view.register_upstream(build_upstream_record(started_ms=2000))

        self.assertTrue(self.upstream.may_send(self.now_s))

    def test_permit_of_an_earlier_incarnation_is_not_used(self) -> None:
        self.view.register_upstream(build_upstream_record(started_ms=2000))
        self.receive(Grant())

        self.assertEqual(self.upstream.permits.count(self.now_s), 0)

    def test_only_relay_issues_its_own_permits(self) -> None:
        self.view.permits.ask(self.upstream)
        self.now_s += 0.5
        self.view.permits.tick()

        self.assertEqual(self.upstream.permits.count(self.now_s), 1)
        self.assertEqual(self.sent, [])

    def test_relay_that_has_just_started_answers_no_asks(self) -> None:
        """The issuer before it may still be issuing."""
        self.view.peers.add(build_peer('relay-2'))
        self.view.receive_heartbeat(Beat(name='relay-2', boot=1))
        self.receive(Ask())

        self.assertEqual(self.sent, [])

    def test_permits_carry_no_load(self) -> None:
        """A datagram without counts must not empty those of its sender."""
        heartbeat = Beat(name='relay-2', boot=1)
        heartbeat.counts.add(upstream_id='engine-1', running=3)
        self.view.receive_heartbeat(heartbeat)
        self.receive(Ask())

        self.assertEqual(self.upstream.load(self.now_s), 3)


class TestPauses(ViewCase):
    """What arrived while this process stood still is as old as that."""

    def setUp(self) -> None:
        """Stand still from 100 s to 104 s."""
        super().setUp()
        self.view.pauses.tick(self.now_s)
        self.now_s += 4

    def test_report_from_a_pause_outlives_no_later_record(self) -> None:
        """The engine has loaded version 2 since, and its loader is gone."""
        weights = {'fitting': HeldWeights(2, whole=True)}
        self.view.register_upstream(build_upstream_record(weights=weights))
        report = UpstreamReport(
            1000, 0, 0, {'fitting': HeldWeights(1, whole=True)}, False, 0
        )
        address = self.upstream.record.address
        self.now_s += 0.01
        self.view.receive_heartbeat(
            Beat(name='loader-1', reading=report_to_message(address, report))
        )

        for now_s in (104.1, 110.0):
            with self.subTest(now_s):
                self.assertEqual(
                    self.upstream.weights_of('fitting', now_s),
                    HeldWeights(2, whole=True),
                )

    def test_permit_from_a_pause_is_not_used(self) -> None:
        """Its issuer grants others those of later seconds meanwhile."""
        self.view.record_limit(ENGINE, 2.0)
        self.view.receive_heartbeat(
            Beat(name='relay-2', permits=[permit_to_message(LIMIT, Grant())])
        )

        self.assertFalse(self.upstream.may_send(self.now_s))

    def test_permit_after_a_pause_is_used(self) -> None:
        self.view.record_limit(ENGINE, 2.0)
        for _ in range(4):
            self.view.pauses.tick(self.now_s)
            self.now_s += 0.2
        self.view.receive_heartbeat(
            Beat(name='relay-2', permits=[permit_to_message(LIMIT, Grant())])
        )

        self.assertTrue(self.upstream.may_send(self.now_s))


class TestVersionsReadLate(ViewCase):
    """A version is read at 110 s by a process that read at 100 s before."""

    def setUp(self) -> None:
        """Read the store at 99 s and at 100 s."""
        super().setUp()
        self.view.is_initial_load = False
        for sent_s in (99.0, 100.0):
            self.view.mirror.confirm(sent_s, sent_s)

    def tell(self, at_s: float, **fields: int) -> None:
        self.now_s = at_s
        self.view.receive_heartbeat(Beat(name='relay-2', boot=1, **fields))

    def read_version(self) -> float:
        """Read a version at 110 s; return since when its limit counts."""
        self.now_s = 110.0
        self.view.mirror.confirm(109.0, self.now_s)
        self.view.record_target_version('fitting', 2)
        return self.view.versions.set_times('fitting')[2]

    def test_limit_counts_from_the_read_before_while_peers_read(self) -> None:
        """Guards against older weights that serve too long (VERSION)."""
        for at_s in range(100, 110):
            self.tell(float(at_s), store_heard_age_ms=500)

        self.assertEqual(self.read_version(), 100.0)

    def test_limit_counts_from_the_end_of_an_outage_for_all(self) -> None:
        """Guards against engines that are all outdated at once (SHORT)."""
        for at_s in range(100, 109):
            self.tell(float(at_s), store_heard_age_ms=(at_s - 100) * 1000)
        self.tell(109.0, store_heard_age_ms=500)

        self.assertEqual(self.read_version(), 106.0)

    def test_peers_of_earlier_releases_tell_nothing(self) -> None:
        for at_s in range(100, 110):
            self.tell(float(at_s))

        self.assertEqual(self.read_version(), 107.5)

    def test_heartbeats_of_an_ended_incarnation_tell_nothing(self) -> None:
        self.tell(100.0)
        for at_s in range(100, 110):
            self.tell(float(at_s))
            self.view.receive_heartbeat(
                Beat(name='relay-2', boot=0, store_heard_age_ms=0)
            )

        self.assertEqual(self.read_version(), 107.5)


class TestStarts(ViewCase):
    """A peer that has started is noticed by its first heartbeat."""

    def test_each_start_of_a_peer_is_noticed_once(self) -> None:
        started: list[str] = []
        self.view.on_peer_started = started.append
        for boot in (1, 1, 2, 2, 1):
            self.view.receive_heartbeat(Beat(name='relay-2', boot=boot))

        self.assertEqual(started, ['relay-2', 'relay-2'])
