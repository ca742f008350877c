"""Tests of blame for crashes."""

import unittest

from bramleylug.admission.suspects import (
    CrashAttribution,
    CrashTracker,
    LocalSuspects,
    SuspectStatus,
)


class TestBlame(unittest.TestCase):
    """A request that crashes upstreams runs on two at most."""

    def setUp(self) -> None:
        """Let two upstreams hear each other."""
        view = LocalSuspects()
        self.watch = CrashTracker(view, 'agent-1')
        self.elsewhere = CrashTracker(view, 'agent-2')

    def test_first_crash_makes_it_run_alone(self) -> None:
        """The next death has one cause."""
        self.watch.record_crash('boot-1', [b'bad'])

        self.assertIs(self.elsewhere.status(b'bad', 0), SuspectStatus.alone)

    def test_second_crash_bars_it(self) -> None:
        """It runs nowhere any more."""
        self.watch.record_crash('boot-1', [b'bad'])
        self.elsewhere.record_crash('boot-2', [b'bad'])

        self.assertIs(self.watch.status(b'bad', 0), SuspectStatus.barred)

    def test_crashes_told_by_the_entry_count(self) -> None:
        """A retry may be faster than gossip."""
        self.assertIs(self.watch.status(b'bad', 2), SuspectStatus.barred)

    def test_one_death_counts_once(self) -> None:
        """Each request that ran there reports the same death."""
        self.watch.record_crash('boot-1', [b'bad', b'beside'])

        self.assertEqual(
            self.watch.record_crash('boot-1', [b'bad', b'beside']),
            CrashAttribution(()),
        )

    def test_request_that_ended_well_is_not_blamed(self) -> None:
        """What crashes any upstream never ends well."""
        self.watch.record_success(b'good')

        blame = self.watch.record_crash('boot-1', [b'good', b'bad'])

        self.assertEqual(blame, CrashAttribution((b'bad',)))

    def test_success_alone_clears_a_bystander(self) -> None:
        """It was only beside the bad one."""
        self.watch.record_crash('boot-1', [b'beside'])
        self.watch.record_success(b'beside')

        self.assertIs(self.watch.status(b'beside', 0), SuspectStatus.clear)
