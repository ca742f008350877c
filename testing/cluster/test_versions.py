"""Tests of target versions and of when older versions expire."""

import unittest

from bramleylug.cluster.versions import Target, VersionRegistry


class TestVersionRegistry(unittest.TestCase):
    """Older weights may serve for a limited time after a new target."""

    def setUp(self) -> None:
        """Add two targets within the time limit."""
        self.registry = VersionRegistry(8.0)
        self.registry.add_target('fitting', 2, 10.0)
        self.registry.add_target('fitting', 3, 14.0)

    def test_older_weights_serve_until_the_limit(self) -> None:
        """Just before the limit all versions may serve."""
        self.assertEqual(self.registry.min_versions(17.9), {})

    def test_each_target_has_its_own_limit(self) -> None:
        """After the first limit only the first target is required."""
        self.assertEqual(self.registry.min_versions(18.0), {'fitting': 2})
        self.assertEqual(self.registry.min_versions(22.0), {'fitting': 3})

    def test_repeated_target_keeps_its_limit(self) -> None:
        """Reading the store again does not extend the limit."""
        self.registry.add_target('fitting', 3, 20.0)

        self.assertEqual(self.registry.min_versions(22.0), {'fitting': 3})

    def test_version_expires_with_the_first_newer_target(self) -> None:
        """The newest version does not expire."""
        self.assertEqual(self.registry.expires_s('fitting', 1), 18.0)
        self.assertEqual(self.registry.expires_s('fitting', 2), 22.0)
        self.assertIsNone(self.registry.expires_s('fitting', 3))

    def test_older_target_is_ignored(self) -> None:
        """Target versions only increase."""
        self.registry.add_target('fitting', 1, 20.0)

        self.assertEqual(self.registry.newest('fitting'), 3)

    def test_limit_can_be_shorter(self) -> None:
        """A process that starts does not know when a target was set."""
        self.registry.add_target('other', 5, float('-inf'), due_s=11.5)

        self.assertEqual(self.registry.min_versions(11.5)['other'], 5)

    def test_age_of_a_version_found_at_start_is_unknown(self) -> None:
        """It may have been set at any time."""
        found = Target(2, float('-inf'), 11.8)
        known = Target(2, 8.31, 15.71)

        self.assertEqual(found.describe_age(10.0), 'unknown')
        self.assertEqual(known.describe_age(12.57), '4.26')
