"""Tests of the attribution of crashes to requests."""

import unittest

from bramleylug.admission.suspects import (
    CrashAttribution,
    CrashTracker,
    LocalSuspects,
    SuspectStatus,
)


class TestCrashAttribution(unittest.TestCase):
    """A request that crashes upstreams runs on at most two of them."""

    def setUp(self) -> None:
        """Create the trackers of two agents that share crash counts."""
        view = LocalSuspects()
        self.tracker = CrashTracker(view, 'agent-1')
        self.other_tracker = CrashTracker(view, 'agent-2')

    def test_suspect_runs_alone_after_the_first_crash(self) -> None:
        """A second crash then has only one possible cause."""
        self.tracker.record_crash('boot-1', [b'bad'])

        self.assertIs(self.other_tracker.status(b'bad', 0), SuspectStatus.alone)

    def test_request_is_barred_after_the_second_crash(self) -> None:
        self.tracker.record_crash('boot-1', [b'bad'])
        self.other_tracker.record_crash('boot-2', [b'bad'])

        self.assertIs(self.tracker.status(b'bad', 0), SuspectStatus.barred)

    def test_crashes_reported_by_the_entry_count(self) -> None:
        """A retry may arrive before gossip does."""
        self.assertIs(self.tracker.status(b'bad', 2), SuspectStatus.barred)

    def test_one_crash_counts_once(self) -> None:
        """Each request that was running reports the same crash."""
        self.tracker.record_crash('boot-1', [b'bad', b'beside'])

        self.assertEqual(
            self.tracker.record_crash('boot-1', [b'bad', b'beside']),
            CrashAttribution(()),
        )

    def test_request_that_succeeded_before_is_no_suspect(self) -> None:
        """A request that crashes every upstream never succeeds."""
        self.tracker.record_success(b'good')

        attribution = self.tracker.record_crash('boot-1', [b'good', b'bad'])

        self.assertEqual(attribution, CrashAttribution((b'bad',)))

    def test_success_clears_a_suspect(self) -> None:
        """It only ran beside the request that crashed the upstream."""
        self.tracker.record_crash('boot-1', [b'beside'])
        self.tracker.record_success(b'beside')

        self.assertIs(self.tracker.status(b'beside', 0), SuspectStatus.clear)
