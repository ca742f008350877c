"""Tests of the log events and their page for operators."""

import unittest
from pathlib import Path

from bramleylug.observability.events import LogEvent, catalogue

EVENTS_PAGE = Path(__file__).parents[2] / 'docs' / 'EVENTS.md'


class TestCatalogue(unittest.TestCase):
    """The page matches the code; event numbers are unique."""

    def test_page_is_up_to_date(self) -> None:
        """docs/EVENTS.md is the output of the catalogue module."""
        self.assertEqual(EVENTS_PAGE.read_text(), catalogue())

    def test_numbers_are_unique(self) -> None:
        numbers = [event.value.number for event in LogEvent]

        self.assertEqual(len(numbers), len(set(numbers)))
