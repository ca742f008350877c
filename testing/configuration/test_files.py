"""Tests of reading service files and of their findings."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from bramleylug.configuration.files import Finding, read_service_files

GOOD = """name = "seat-fitting"
kind = "model"
model = "fitting"
version = "1"
zones = ["zone-a"]
"""


class TestFindings(unittest.TestCase):
    """All problems are reported together, each with its line."""

    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def findings(self, **files: str) -> list[tuple[str, int, str]]:
        """Write files and return their findings with short names."""
        for name, text in files.items():
            (self.folder / f'{name}.toml').write_text(text)
        return [
            _shorten(found)
            for found in read_service_files([self.folder]).findings
        ]

    def test_good_file_has_no_finding(self) -> None:
        self.assertEqual(self.findings(one=GOOD), [])

    def test_every_problem_of_a_file_is_reported(self) -> None:
        """Types, unknown keys with a suggestion, and missing fields."""
        text = """name = "seat-fitting"
kind = "modle"
zones = "zone-a"
concurency = 4
replicas = "3"
idempotent = 1
"""

        self.assertEqual(
            self.findings(one=text),
            [
                (
                    'one.toml',
                    2,
                    'kind: \'modle\' is not valid; use "model" or "plain"',
                ),
                (
                    'one.toml',
                    3,
                    "zones: 'zone-a' is not valid; write a list of quoted "
                    'names, as ["zone-a"]',
                ),
                (
                    'one.toml',
                    4,
                    "concurency: unknown key 'concurency'; did you mean "
                    "'concurrency'?",
                ),
                (
                    'one.toml',
                    5,
                    "replicas: '3' is not valid; write a whole number "
                    'without quotes',
                ),
                (
                    'one.toml',
                    6,
                    'idempotent: 1 is not valid; write true or false '
                    'without quotes',
                ),
            ],
        )

    def test_contradicting_limits_are_findings(self) -> None:
        """A cold upstream cannot take more requests than a warm one."""
        limits = (
            'max_unavailable = 2\nconcurrency = 4\ncold_concurrency = 8\n'
            'replicas = 1\n'
        )

        self.assertEqual(
            self.findings(one=GOOD + limits),
            [
                (
                    'one.toml',
                    6,
                    'max_unavailable: 2 is more than replicas (1); lower '
                    'max_unavailable or raise replicas',
                ),
                (
                    'one.toml',
                    8,
                    'cold_concurrency: 8 is more than concurrency (4); lower '
                    'cold_concurrency or raise concurrency',
                ),
            ],
        )

    def test_duplicate_service_is_reported_with_both_places(self) -> None:
        """A service name must be unique."""
        found = self.findings(one=GOOD, two=f'\n{GOOD}')

        self.assertEqual(found[0][:2], ('two.toml', 2))
        self.assertIn('one.toml:1; rename or remove one', found[0][2])

    def test_undeclared_zone_is_reported_at_its_line(self) -> None:
        """With a declared list of zones any other name is a finding."""
        text = GOOD.replace('["zone-a"]', '[\n  "zone-a",\n  "zona-b",\n]')

        found = self.findings(one=text, zones='zones = ["zone-a", "zone-b"]\n')

        self.assertEqual(found[0][:2], ('one.toml', 7))
        self.assertIn("'zona-b' is not declared in", found[0][2])
        self.assertIn("did you mean 'zone-b'?", found[0][2])

    def test_invalid_toml_is_reported_at_its_line(self) -> None:
        """The line comes from the parser's message."""
        found = self.findings(one='name = "a"\nkind = \n')

        self.assertEqual(found[0][:2], ('one.toml', 2))


def _shorten(found: Finding) -> tuple[str, int, str]:
    return Path(found.file).name, found.line, found.message
