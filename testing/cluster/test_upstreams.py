"""Tests of what is kept and dropped when an upstream registers again."""

import unittest

from bramleylug.cluster.upstreams import (
    NOTICE_RETENTION_S,
    UpstreamRegistry,
)
from testing.relay.builders import build_upstream_record


class TestNewIncarnation(unittest.TestCase):
    """An upstream that restarts is another one, except for what runs."""

    def test_requests_that_run_meanwhile_release_their_places(self) -> None:
        """They end on the object that they were counted on."""
        registry = UpstreamRegistry()
        upstream = registry.register(build_upstream_record())
        upstream.running += 1
        upstream.unstarted += 1

        registry.register(build_upstream_record(started_ms=2000))
        upstream.running -= 1
        upstream.record_started()

        current = registry.by_id['engine-1']
        self.assertEqual((current.running, current.unstarted), (0, 0))

    def test_failures_and_reports_are_dropped(self) -> None:
        """They are of the previous incarnation."""
        registry = UpstreamRegistry()
        upstream = registry.register(build_upstream_record())
        upstream.record_unreachable(1.0)
        upstream.reported_running['relay-9'] = (3, 1.0)

        current = registry.register(build_upstream_record(started_ms=2000))

        self.assertEqual(current.avoid_until_s, float('-inf'))
        self.assertEqual(current.load(1.0), 0)


class TestNotices(unittest.TestCase):
    """What an incarnation said about itself holds for that incarnation."""

    def setUp(self) -> None:
        """Register an upstream that says that it leaves."""
        self.registry = UpstreamRegistry()
        self.registry.register(build_upstream_record())
        self.registry.record_leaving('engine-1', 1000, 1.0)

    def test_leaving_upstream_is_not_offered(self) -> None:
        self.assertEqual(list(self.registry.of_service('advisor')), [])

    def test_removed_upstream_that_comes_back_still_leaves(self) -> None:
        """An older copy of the store may contain its record again."""
        self.registry.remove('engine-1')
        self.registry.register(build_upstream_record())

        self.assertEqual(list(self.registry.of_service('advisor')), [])

    def test_next_incarnation_stays(self) -> None:
        self.registry.register(build_upstream_record(started_ms=2000))

        self.assertEqual(len(list(self.registry.of_service('advisor'))), 1)

    def test_notice_may_arrive_before_the_record(self) -> None:
        """Another relay heard it first."""
        self.registry.record_leaving('engine-2', 5, 1.0)
        upstream = self.registry.register(
            build_upstream_record('engine-2', started_ms=5)
        )

        self.assertTrue(upstream.leaving)

    def test_notice_is_told_for_a_while_and_then_forgotten(self) -> None:
        """Relays that pass it on do not keep it alive for ever."""
        self.assertEqual(len(list(self.registry.recent_notices(2.0))), 1)
        self.assertFalse(self.registry.record_leaving('engine-1', 1000, 9.0))
        self.assertEqual(list(self.registry.recent_notices(12.0)), [])

        self.registry.remove('engine-1')
        self.registry.remove_expired_notices(2.0 + NOTICE_RETENTION_S)

        self.assertEqual(self.registry.notices, {})
