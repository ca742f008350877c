"""Tests of the membership bench with a few members."""

import unittest
from unittest.mock import patch

from bramleylug.bench import membership

SMALL = {
    'MEMBERS': 12,
    'CHANGING_HOSTS': 8,
    'WATCHERS': 2,
    'IDLE_S': 1.0,
    'BURST_S': 2.0,
    'SMALL_FLEET': 6,
    'LOSS_S': 5.0,
}


class TestMembershipBench(unittest.TestCase):
    """Slopes and figures of the bench."""

    def test_every_slope_is_measured(self) -> None:
        """The time until all members know of a death is one of them."""
        with patch.multiple(membership, **SMALL):
            result = membership.run(1)

        self.assertGreater(result.slopes['membership_burst_bytes_per_s'], 0)
        self.assertGreater(result.slopes['dead_known_everywhere_s'], 3)
        self.assertLess(result.slopes['dead_known_everywhere_s'], 40)
        self.assertEqual(result.figures['living_members_given_up'], 0)
