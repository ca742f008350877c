"""Tests that docs/PROTOCOLS.md documents every error code and status."""

import re
import unittest
from pathlib import Path

from bramleylug.entry.answers import error_answer
from bramleylug.outcomes import NotRun, Reason, Unknown

PAGE = Path(__file__).parents[2] / 'docs' / 'PROTOCOLS.md'
ROW = re.compile(
    r'^\| `(\w+)` \| (\d{3}(?: or \d{3})?) \| [^|]+ \| ([^|]+) \|$',
    re.MULTILINE,
)


class TestErrorTable(unittest.TestCase):
    """The table of errors on the page matches the code."""

    def test_every_reason_is_listed_once(self) -> None:
        """The page lists no other codes."""
        codes = [row[0] for row in ROW.findall(PAGE.read_text())]

        self.assertEqual(codes, [str(reason) for reason in Reason])

    def test_listed_statuses_are_used_by_the_entry(self) -> None:
        """Each listed status is one that the entry answers with."""
        for code, statuses, _ in ROW.findall(PAGE.read_text()):
            reason = Reason(code)
            answered = {
                error_answer(outcome)[0]
                for outcome in (NotRun(reason), Unknown(reason))
            }
            with self.subTest(code):
                named = {int(status) for status in statuses.split(' or ')}
                self.assertLessEqual(named, answered)
