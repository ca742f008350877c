"""Tests of the checks of a request that do not depend on load."""

import unittest
from random import Random

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.crash_suspects import (
    BAR_S,
    LEARNING_S,
    crash_id_of,
)
from bramleylug.outcomes import NotRun, Reason
from bramleylug.relay.request_checks import Accepted, RequestChecks
from bramleylug.store.changes import ReaderTimes
from bramleylug.store.mirror import Mirror
from bramleylug.wire.beats_pb2 import Beat
from testing.relay.builders import (
    build_caller_request,
    build_peer,
    build_route,
    build_settings,
    build_table,
)


class TestRequestChecks(unittest.TestCase):
    """API keys, routes and requests that crash upstreams."""

    def setUp(self) -> None:
        """Apply a configuration from a store that was just read."""
        self.now_s = 100.0
        settings = build_settings()
        self.mirror = Mirror(3.0)
        self.mirror.confirm(100.0, 100.0)
        self.view = ClusterView(
            settings, build_peer, self.mirror, lambda: self.now_s
        )
        self.view.apply_route_table(build_table())
        self.checks = RequestChecks(self.view, settings, Random(1))

    def check(self, **fields):
        return self.checks.check(build_caller_request(**fields))

    def reason(self, **fields):
        """Return why a request is refused."""
        result = self.check(**fields)
        self.assertIsInstance(result, NotRun)
        return result.reason

    def test_good_request_is_accepted(self) -> None:
        """Its workspace is the owner of the API key."""
        accepted = self.check()

        self.assertIsInstance(accepted, Accepted)
        self.assertEqual(accepted.workspace.name, 'garage')
        self.assertEqual(accepted.service, 'advisor')

    def test_unknown_key_is_refused_permanently(self) -> None:
        """The copy of the store is current."""
        self.assertEqual(self.reason(api_key='other'), Reason.bad_key)

    def test_unknown_route_is_refused_permanently(self) -> None:
        """The copy of the store is current."""
        self.assertEqual(self.reason(path='/other/'), Reason.unknown_service)

    def test_unknown_is_not_permanent_while_the_store_is_unavailable(
        self,
    ) -> None:
        """The route or key may have been added in the meantime."""
        self.now_s = 103.0

        self.assertEqual(self.reason(path='/other/'), Reason.not_ready)
        self.assertEqual(self.reason(api_key='other'), Reason.not_ready)

    def test_missing_key_is_refused_permanently(self) -> None:
        """It is invalid in any configuration, so store age has no effect."""
        self.now_s = 103.0

        self.assertEqual(self.reason(api_key=''), Reason.bad_key)

    def test_key_that_cannot_be_confirmed_is_refused(self) -> None:
        """It may have been revoked; revocation takes effect within 5 s."""
        self.now_s = 103.4

        self.assertEqual(self.reason(), Reason.store_unavailable)

    def test_keys_wait_for_a_newer_configuration(self) -> None:
        """The store came back without it; it may have revoked the key."""
        self.view.receive_heartbeat(
            Beat(name='relay-2', boot=1, configuration=9)
        )
        self.now_s = 101.0
        self.assertIsInstance(self.check(), Accepted)
        self.now_s = 101.6

        self.assertEqual(self.reason(), Reason.store_unavailable)

        self.view.apply_route_table(build_table(version=9))
        self.assertIsInstance(self.check(), Accepted)

    def test_public_route_does_not_need_the_store(self) -> None:
        """It is served with the last known configuration."""
        self.view.apply_route_table(build_table(build_route(public=True)))
        self.now_s = 200.0

        self.assertIsInstance(self.check(api_key=''), Accepted)

    def test_missing_configuration_is_not_ready(self) -> None:
        """The process has just started; the caller may retry."""
        self.view.table = None

        self.assertEqual(self.reason(), Reason.not_ready)

    def test_request_that_crashed_three_engines_is_refused(self) -> None:
        """The request id makes no difference."""
        fingerprint = self.check().fingerprint
        for engine in ('a', 'b', 'c'):
            crash_id = crash_id_of(engine, 1)
            self.view.suspects.record_crash(fingerprint, crash_id)

        self.assertEqual(
            self.reason(request_id='request-2'), Reason.crash_suspect
        )

    def crash_under_part(self, part) -> None:
        """Crash three engines under requests of which no two are alike."""
        for engine in ('a', 'b', 'c'):
            accepted = self.check(
                body=engine.encode(), prompt_parts=('base', part, engine)
            )
            self.view.suspects.record_survivals(
                accepted.traits.parts[:1], self.now_s
            )
            self.now_s += 0.1
            self.view.suspects.record_crashes(
                accepted.traits, crash_id_of(engine, 1), parts=True
            )

    def test_requests_with_a_part_that_crashed_engines_are_refused(
        self,
    ) -> None:
        """A request that shares only the other part is served."""
        self.now_s += LEARNING_S
        self.mirror.confirm(self.now_s, self.now_s)
        self.crash_under_part('bad')

        refused = self.check(prompt_parts=('base', 'bad', 'own'))
        self.assertEqual(refused.reason, Reason.crash_suspect)
        self.assertAlmostEqual(refused.retry_after_s, BAR_S)
        self.assertIsInstance(
            self.check(prompt_parts=('base', 'good', 'own')), Accepted
        )

    def test_last_part_of_a_prompt_is_never_suspected(self) -> None:
        """It belongs to one request or session."""
        self.now_s += LEARNING_S
        self.mirror.confirm(self.now_s, self.now_s)
        self.crash_under_part('bad')

        self.assertIsInstance(
            self.check(prompt_parts=('base', 'bad')), Accepted
        )

    def test_part_that_is_barred_while_a_request_waits(self) -> None:
        """The request is refused before it is sent."""
        self.now_s += LEARNING_S
        self.mirror.confirm(self.now_s, self.now_s)
        waiting = self.check(prompt_parts=('base', 'bad', 'own'))
        self.crash_under_part('bad')

        refusal = self.checks.renew(build_caller_request(), waiting, sent=False)

        self.assertEqual(refusal.reason, Reason.crash_suspect)

    def test_older_configuration_is_ignored(self) -> None:
        """An older revision may be read late."""
        self.view.apply_route_table(build_table(version=2))

        self.assertEqual(self.view.table.version, 3)


class TestTargetVersions(unittest.TestCase):
    """Old weights are excluded in time even if the store is read late."""

    def setUp(self) -> None:
        """Read the store at 99 s and again at 100 s."""
        self.now_s = 100.9
        self.mirror = Mirror(3.0)
        self.mirror.confirm(99.0, 100.0)
        self.mirror.confirm(100.0, 100.9)
        self.view = ClusterView(
            build_settings(), build_peer, self.mirror, lambda: self.now_s
        )

    def expires_s(self):
        """Set a target version; return when older ones expire."""
        self.view.record_target_version('fitting', 2)
        return self.view.versions.expires_s('fitting', 1)

    def test_limit_of_a_version_found_counts_from_the_start(self) -> None:
        """The store may answer the first read long after the start."""
        self.now_s = 102.5
        self.view.record_target_version('fitting', 2)

        self.assertAlmostEqual(
            self.view.versions.expires_s('fitting', 1), 102.7
        )

    def test_limit_counts_from_the_previous_read(self) -> None:
        """The target may have been set just after that was answered."""
        self.view.is_initial_load = False

        self.assertLessEqual(self.expires_s(), 99.0 + 8.0 - 0.5)

    def test_limit_counts_from_the_answer_to_a_watch(self) -> None:
        """The change arrived at once, so older weights may serve longer."""
        self.view.is_initial_load = False
        self.now_s = 101.9
        self.mirror.confirm(101.0, 101.9, 0.85)

        self.assertAlmostEqual(self.expires_s(), 101.6 + 8.0 - 0.6)

    def test_silence_of_the_store_does_not_shorten_the_limit(self) -> None:
        """This process runs, so that the store did not answer it."""
        self.view.is_initial_load = False
        self.run_until(104.0)
        self.mirror.confirm(104.0, 104.0)

        self.assertAlmostEqual(self.expires_s(), 101.5 + 8.0 - 0.6)

    def test_pause_of_the_relay_shortens_the_limit(self) -> None:
        """The target may have been set at any time since the last answer."""
        self.view.is_initial_load = False
        self.run_until(101.0)
        self.now_s = 106.0
        self.mirror.confirm(106.0, 106.0)

        self.assertAlmostEqual(self.expires_s(), 100.0 + 8.0 - 0.6)

    def test_pause_does_not_discard_what_a_reader_knows(self) -> None:
        """Another process was told of the change at once."""
        self.view.is_initial_load = False
        self.run_until(101.0)
        self.now_s = 106.0
        self.mirror.confirm_relayed(
            106.0, 106.0, ReaderTimes(-0.5, -3.0, -0.25)
        )

        self.assertAlmostEqual(self.expires_s(), 103.0 + 8.0 - 0.6)

    def run_until(self, now_s: float) -> None:
        while self.now_s < now_s:
            self.now_s = round(self.now_s + 0.1, 1)
            self.view.pauses.tick(self.now_s)

    def test_target_found_at_start_has_a_short_limit(self) -> None:
        """It may have been set at any time."""
        self.assertLessEqual(self.expires_s(), self.now_s + 3.0 - 1.0)

    def test_target_found_after_other_keys_has_a_short_limit(self) -> None:
        """A loader reads records of its peers apart from the targets."""
        mirror = Mirror(3.0)
        mirror.confirm(100.5, 100.9)
        view = ClusterView(
            build_settings(), build_peer, mirror, lambda: self.now_s
        )
        view.is_initial_load = False
        view.record_target_version('fitting', 2)

        self.assertEqual(view.versions.set_times('fitting'), {2: float('-inf')})
        self.assertAlmostEqual(view.versions.expires_s('fitting', 1), 102.7)
