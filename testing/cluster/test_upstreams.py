"""Tests of what is kept and dropped when an upstream registers again."""

import unittest
from collections import UserDict
from dataclasses import replace

from bramleylug.cluster.held_weights import HeldWeights, WeightsCheck
from bramleylug.cluster.upstreams import (
    NOTICE_RETENTION_S,
    UpstreamRegistry,
    UpstreamReport,
)
from testing.relay.builders import MODEL, build_upstream_record


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


class TestConfirmedWeights(unittest.TestCase):
    """Weights serve once the loader of the engine has found them sound."""

    def setUp(self) -> None:
        self.registry = UpstreamRegistry()
        self.registry.register(build_upstream_record())

    def report(self, version: int, check: WeightsCheck) -> None:
        weights = {MODEL: HeldWeights(version, whole=True)}
        report = UpstreamReport(1000, 0, 0, weights, False, 1.0, check=check)
        self.registry.record_report('127.0.0.1:1', report)

    def held(self, now_s: float = 9.0) -> HeldWeights | None:
        """Return the weights after all reports have expired."""
        return self.registry.by_id['engine-1'].weights_of(MODEL, now_s)

    def register(self, version: int, **fields: int) -> None:
        weights = {MODEL: HeldWeights(version, whole=True)}
        self.registry.register(build_upstream_record(weights=weights, **fields))
        self.registry.by_id['engine-1'].weights_written_s = 2.0

    def test_engine_is_believed_until_its_loader_is_heard(self) -> None:
        self.report(1, WeightsCheck.unknown)

        self.assertEqual(self.held(), HeldWeights(1, whole=True))

    def test_version_that_is_not_confirmed_does_not_serve(
        self,
    ) -> None:
        """Its heartbeat may be lost, or the loader may be gone."""
        self.report(1, WeightsCheck.confirmed)
        self.register(2)

        self.assertEqual(self.held(), HeldWeights(2, whole=False))

    def test_unconfirmed_weights_do_not_serve(self) -> None:
        """Also after its loader has fallen silent or has restarted."""
        self.report(1, WeightsCheck.confirmed)
        self.report(1, WeightsCheck.unconfirmed)
        self.report(1, WeightsCheck.unknown)

        self.assertEqual(self.held(), HeldWeights(1, whole=False))

    def test_removed_engine_that_comes_back_is_not_believed(self) -> None:
        """Its record expires while its host stands still."""
        self.report(1, WeightsCheck.unconfirmed)
        self.registry.remove_expired_notices(1.0)
        self.registry.remove('engine-1')
        self.registry.remove_expired_notices(5.0)
        self.register(1)

        self.assertEqual(self.held(), HeldWeights(1, whole=False))

    def test_loader_that_was_heard_before_its_engine_is_read_counts(
        self,
    ) -> None:
        """The relay has just started, or the engine."""
        self.registry = UpstreamRegistry()
        self.report(1, WeightsCheck.unconfirmed)
        self.register(1)

        self.assertEqual(self.held(), HeldWeights(1, whole=False))

    def test_restarted_engine_is_believed_until_its_loader_is_heard(
        self,
    ) -> None:
        self.report(1, WeightsCheck.unconfirmed)
        self.register(1, started_ms=2000)

        self.assertEqual(self.held(), HeldWeights(1, whole=True))

    def test_confirmation_is_forgotten_after_the_engine_is_gone(self) -> None:
        self.report(1, WeightsCheck.confirmed)
        self.registry.remove_expired_notices(1.0)
        self.registry.remove('engine-1')
        self.registry.remove_expired_notices(2.0 + NOTICE_RETENTION_S)

        self.assertEqual(self.registry.confirmations.by_incarnation, {})


class TestReportsOfAnotherIncarnation(unittest.TestCase):
    """Loader and store are heard in any order after an engine restarts."""

    def setUp(self) -> None:
        """Register an upstream that serves confirmed weights."""
        self.registry = UpstreamRegistry()
        self.record = build_upstream_record(
            weights={MODEL: HeldWeights(2, whole=True)}
        )
        self.upstream = self.registry.register(self.record)
        self.report(1000, WeightsCheck.confirmed)

    def test_record_of_the_previous_incarnation_is_not_believed(self) -> None:
        """The record of the next one is read late."""
        self.report(2000, WeightsCheck.unconfirmed)

        self.assertFalse(self.is_whole())

    def test_check_that_was_heard_before_the_record_is_kept(self) -> None:
        """The next heartbeat of the loader may be lost or seconds away."""
        self.report(2000, WeightsCheck.unconfirmed)
        self.registry.register(replace(self.record, started_ms=2000))

        self.assertFalse(self.is_whole())

    def report(self, started_ms: int, check: WeightsCheck) -> None:
        self.registry.record_report(
            self.record.address,
            UpstreamReport(
                started_ms,
                0,
                0,
                self.record.weights,
                closing=False,
                received_s=1.0,
                check=check,
            ),
        )

    def is_whole(self) -> bool:
        held = self.upstream.weights_of(MODEL, now_s=1.0)
        return held is not None and held.whole


class RecordingUpstreams(UserDict):
    """Upstreams by id; records which ones are looked at."""

    def __init__(self, upstreams) -> None:
        super().__init__(upstreams)
        self.looked_up = []

    def get(self, key, default=None):
        self.looked_up.append(key)
        return self.data.get(key, default)

    def __iter__(self):
        self.looked_up.extend(self.data)
        return iter(self.data)


class TestCounts(unittest.TestCase):
    """Counts of other relays hold until their next heartbeat."""

    def setUp(self) -> None:
        self.registry = UpstreamRegistry()
        for number in range(3):
            self.registry.register(
                build_upstream_record(upstream_id=f'e-{number}')
            )

    def loads(self) -> list[float]:
        return [one.load(1.0) for one in self.registry.by_id.values()]

    def test_upstream_that_is_missing_from_the_counts_has_none(self) -> None:
        self.registry.record_counts('relay-9', {'e-0': 3, 'e-1': 2}, 1.0)
        self.registry.record_counts('relay-8', {'e-1': 1}, 1.0)
        self.registry.record_counts('relay-9', {'e-2': 4}, 1.0)

        self.assertEqual(self.loads(), [0, 1, 4])

    def test_upstream_that_registers_after_it_was_counted(self) -> None:
        self.registry.record_counts('relay-9', {'e-3': 3}, 1.0)
        self.registry.register(build_upstream_record(upstream_id='e-3'))
        self.registry.record_counts('relay-9', {'e-3': 2}, 1.0)

        self.assertEqual(self.loads(), [0, 0, 0, 2])

    def test_counts_touch_only_upstreams_that_they_name(self) -> None:
        """Each heartbeat went through all upstreams of the fleet (SHORT)."""
        by_id = RecordingUpstreams(self.registry.by_id)
        self.registry.by_id = by_id
        self.registry.record_counts('relay-9', {'e-0': 1}, 1.0)
        self.registry.record_counts('relay-9', {'e-1': 1}, 1.0)

        self.assertEqual(by_id.looked_up, ['e-0', 'e-0', 'e-1'])


class TestAddresses(unittest.TestCase):
    """A report goes to what is registered at its address by then."""

    def setUp(self) -> None:
        self.registry = UpstreamRegistry()
        self.registry.register(build_upstream_record())

    def report_to(self, address: str) -> None:
        report = UpstreamReport(1000, 1, 0, {}, closing=False, received_s=1.0)
        self.registry.record_report(address, report)

    def test_upstream_that_moved_is_found_at_its_new_address(self) -> None:
        self.report_to('127.0.0.1:1')
        moved = self.registry.register(
            build_upstream_record(address='127.0.0.1:77', started_ms=2000)
        )
        self.report_to('127.0.0.1:77')

        self.assertIsNotNone(moved.report)

    def test_upstream_that_left_gets_no_report(self) -> None:
        record = build_upstream_record(upstream_id='other')
        other = self.registry.register(record)
        self.report_to(record.address)
        other.report = None
        self.registry.remove('other')
        self.report_to(record.address)

        self.assertIsNone(other.report)
