"""Tests of what is decided before any load is looked at."""

import unittest
from random import Random

from bramleylug.outcomes import NotRun, Reason
from bramleylug.relay.cluster_view import ClusterView
from bramleylug.relay.crash_suspects import crash_id_of
from bramleylug.relay.request_checks import Accepted, RequestChecks
from bramleylug.store.mirror import Mirror
from testing.relay.builders import (
    build_caller_request,
    build_peer,
    build_route,
    build_settings,
    build_table,
)


class TestChecks(unittest.TestCase):
    """Keys, routes and suspects."""

    def setUp(self) -> None:
        """Hold a configuration that was confirmed now."""
        self.now_s = 100.0
        settings = build_settings()
        self.mirror = Mirror(3.0)
        self.mirror.confirm(100.0, 100.0)
        self.view = ClusterView(
            settings, build_peer, self.mirror, lambda: self.now_s
        )
        self.view.apply_route_table(build_table())
        self.checks = RequestChecks(self.view, settings, Random(1))

    def judge(self, **fields):
        """Judge a request."""
        return self.checks.judge(build_caller_request(**fields))

    def reason(self, **fields):
        """Return why a request is refused."""
        verdict = self.judge(**fields)
        self.assertIsInstance(verdict, NotRun)
        return verdict.reason

    def test_good_request_is_accepted(self) -> None:
        """Its workspace is the one that holds the key."""
        accepted = self.judge()

        self.assertIsInstance(accepted, Accepted)
        self.assertEqual(accepted.workspace.name, 'garage')
        self.assertEqual(accepted.service, 'advisor')

    def test_unknown_key_is_refused_for_good(self) -> None:
        """While the configuration is confirmed."""
        self.assertEqual(self.reason(api_key='other'), Reason.bad_key)

    def test_unknown_route_is_refused_for_good(self) -> None:
        """While the configuration is confirmed."""
        self.assertEqual(self.reason(path='/other/'), Reason.unknown_service)

    def test_news_may_be_missing_while_the_store_is_silent(self) -> None:
        """A route or key that was added meanwhile is not denied."""
        self.now_s = 103.0

        self.assertEqual(self.reason(path='/other/'), Reason.not_ready)
        self.assertEqual(self.reason(api_key='other'), Reason.not_ready)

    def test_missing_key_is_denied_whatever_the_store_says(self) -> None:
        """No configuration lets such a request pass."""
        self.now_s = 103.0

        self.assertEqual(self.reason(api_key=''), Reason.bad_key)

    def test_key_that_cannot_be_confirmed_is_refused(self) -> None:
        """It may have been revoked; the bound is five seconds."""
        self.now_s = 103.4

        self.assertEqual(self.reason(), Reason.store_unavailable)

    def test_public_route_needs_no_store(self) -> None:
        """It is served on, with the last configuration."""
        self.view.apply_route_table(build_table(build_route(public=True)))
        self.now_s = 200.0

        self.assertIsInstance(self.judge(api_key=''), Accepted)

    def test_no_configuration_is_no_denial(self) -> None:
        """A process that has just started answers that it is not ready."""
        self.view.table = None

        self.assertEqual(self.reason(), Reason.not_ready)

    def test_request_that_crashed_three_engines_is_refused(self) -> None:
        """Whichever id it comes with."""
        fingerprint = self.judge().fingerprint
        for engine in ('a', 'b', 'c'):
            crash_id = crash_id_of(engine, 1)
            self.view.suspects.report(fingerprint, crash_id)

        self.assertEqual(
            self.reason(request_id='request-2'), Reason.crash_suspect
        )

    def test_older_configuration_is_never_put_in_force(self) -> None:
        """A revision that is read late changes nothing."""
        self.view.apply_route_table(build_table(version=2))

        self.assertEqual(self.view.table.version, 3)


class TestVersions(unittest.TestCase):
    """Old weights are ruled out in time, however late the news came."""

    def setUp(self) -> None:
        """Have a store that was asked at 99 s and again at 100 s."""
        self.now_s = 100.9
        self.mirror = Mirror(3.0)
        self.mirror.confirm(99.0, 100.0)
        self.mirror.confirm(100.0, 100.9)
        self.view = ClusterView(
            build_settings(), build_peer, self.mirror, lambda: self.now_s
        )

    def due_s(self):
        """Name a version; return when older ones are ruled out."""
        self.view.record_target_version('fitting', 2)
        return self.view.versions.expires_s('fitting', 1)

    def test_limit_counts_from_the_read_before(self) -> None:
        """The version may have been named just after that was answered."""
        self.view.is_initial_load = False

        self.assertLessEqual(self.due_s(), 99.0 + 8.0 - 0.5)

    def test_limit_counts_from_the_answer_to_a_wait(self) -> None:
        """It was awaited and came at once: older weights serve on."""
        self.view.is_initial_load = False
        self.now_s = 101.9
        self.mirror.confirm(101.0, 101.9, 0.85)

        self.assertAlmostEqual(self.due_s(), 101.6 + 8.0 - 0.6)

    def test_version_found_at_the_start_is_due_soon(self) -> None:
        """It may have been named at any time."""
        self.assertLessEqual(self.due_s(), self.now_s + 3.0 - 1.0)
