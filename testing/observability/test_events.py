"""Tests of the catalogue of log events."""

import unittest
from pathlib import Path

from bramleylug.observability.events import LogEvent, catalogue

EVENTS_PAGE = Path(__file__).parents[2] / 'docs' / 'EVENTS.md'


class TestCatalogue(unittest.TestCase):
    """The page and the code say the same."""

    def test_page_is_in_step(self) -> None:
        """docs/EVENTS.md is what the code prints."""
        self.assertEqual(EVENTS_PAGE.read_text(), catalogue())

    def test_numbers_are_unique(self) -> None:
        """No number stands for two events."""
        numbers = [event.value.number for event in LogEvent]

        self.assertEqual(len(numbers), len(set(numbers)))
