"""Tests of blame for crashes."""

import unittest

from bramleylug.admission.suspects import (
    Blame,
    CrashWatch,
    LocalSuspects,
    Standing,
)


class TestBlame(unittest.TestCase):
    """A request that crashes upstreams runs on two at most."""

    def setUp(self) -> None:
        """Let two upstreams hear each other."""
        view = LocalSuspects()
        self.watch = CrashWatch(view, 'agent-1')
        self.elsewhere = CrashWatch(view, 'agent-2')

    def test_first_crash_makes_it_run_alone(self) -> None:
        """The next death has one cause."""
        self.watch.died('boot-1', [b'bad'])

        self.assertIs(self.elsewhere.standing(b'bad', 0), Standing.alone)

    def test_second_crash_bars_it(self) -> None:
        """It runs nowhere any more."""
        self.watch.died('boot-1', [b'bad'])
        self.elsewhere.died('boot-2', [b'bad'])

        self.assertIs(self.watch.standing(b'bad', 0), Standing.barred)

    def test_crashes_told_by_the_entry_count(self) -> None:
        """A retry may be faster than gossip."""
        self.assertIs(self.watch.standing(b'bad', 2), Standing.barred)

    def test_one_death_counts_once(self) -> None:
        """Each request that ran there reports the same death."""
        self.watch.died('boot-1', [b'bad', b'beside'])

        self.assertEqual(
            self.watch.died('boot-1', [b'bad', b'beside']), Blame(())
        )

    def test_request_that_ended_well_is_not_blamed(self) -> None:
        """What crashes any upstream never ends well."""
        self.watch.succeeded(b'good')

        blame = self.watch.died('boot-1', [b'good', b'bad'])

        self.assertEqual(blame, Blame((b'bad',)))

    def test_success_alone_clears_a_bystander(self) -> None:
        """It was only beside the bad one."""
        self.watch.died('boot-1', [b'beside'])
        self.watch.succeeded(b'beside')

        self.assertIs(self.watch.standing(b'beside', 0), Standing.clear)
