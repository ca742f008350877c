"""Tests of which versions may still serve."""

import unittest

from bramleylug.relay.versions import VersionRegistry


class TestVersionBook(unittest.TestCase):
    """Older weights serve for a while after a newer version was named."""

    def setUp(self) -> None:
        """Name two versions within the limit."""
        self.book = VersionRegistry(8.0)
        self.book.add_target('fitting', 2, 10.0)
        self.book.add_target('fitting', 3, 14.0)

    def test_older_weights_serve_until_the_limit(self) -> None:
        """A moment before it nothing is ruled out."""
        self.assertEqual(self.book.min_versions(17.9), {})

    def test_each_version_counts_from_its_own_naming(self) -> None:
        """After the first limit the second version is still awaited."""
        self.assertEqual(self.book.min_versions(18.0), {'fitting': 2})
        self.assertEqual(self.book.min_versions(22.0), {'fitting': 3})

    def test_version_that_is_told_again_keeps_its_time(self) -> None:
        """Reading the store anew does not extend the limit."""
        self.book.add_target('fitting', 3, 20.0)

        self.assertEqual(self.book.min_versions(22.0), {'fitting': 3})

    def test_time_of_a_version_ends_with_the_first_newer_one(self) -> None:
        """The newest has no end yet."""
        self.assertEqual(self.book.expires_s('fitting', 1), 18.0)
        self.assertEqual(self.book.expires_s('fitting', 2), 22.0)
        self.assertIsNone(self.book.expires_s('fitting', 3))

    def test_older_version_is_not_named_again(self) -> None:
        """Versions only rise."""
        self.book.add_target('fitting', 1, 20.0)

        self.assertEqual(self.book.newest('fitting'), 3)

    def test_version_named_long_ago_has_a_shorter_limit(self) -> None:
        """A process that starts does not know how long ago that was."""
        self.book.add_target('other', 5, 10.0, limit_s=1.5)

        self.assertEqual(self.book.min_versions(11.5)['other'], 5)
