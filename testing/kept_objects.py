"""Two tests, of which the second looks for what the first has built.

They run in the order of their names. They are run by a test of the
runner only.
"""

import unittest
import weakref


class Built:
    """Something that a test builds."""


built: list[weakref.ref[Built]] = []


class TestKeptObjects(unittest.TestCase):
    """A test keeps what it builds as its attributes."""

    def test_building(self) -> None:
        self.built = Built()
        built.append(weakref.ref(self.built))

    def test_looking(self) -> None:
        self.assertEqual([one() for one in built], [None])
