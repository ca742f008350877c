"""Tests that docs/STYLE.md explains each exception to the style guide."""

import re
import unittest
from configparser import ConfigParser
from pathlib import Path

ROOT = Path(__file__).parents[2]
CODE = re.compile(r'\b[A-Z]+\d+\b')


class TestStylePage(unittest.TestCase):
    """Every exception in setup.cfg stands on the page."""

    def setUp(self) -> None:
        """Read both."""
        parser = ConfigParser()
        parser.read(ROOT / 'setup.cfg')
        self.flake8 = parser['flake8']
        self.page = (ROOT / 'docs' / 'STYLE.md').read_text()

    def test_each_code_is_named(self) -> None:
        """A rule is switched off for a reason that can be read."""
        ignored = self.flake8['extend-ignore'] + self.flake8['per-file-ignores']
        for code in sorted(set(CODE.findall(ignored))):
            with self.subTest(code):
                self.assertTrue(code in self.page)

    def test_each_threshold_stands_with_its_value(self) -> None:
        """A threshold that moves is explained anew."""
        for name, value in self.flake8.items():
            if name.startswith('max-') and name != 'max-line-length':
                with self.subTest(name):
                    self.assertTrue(f'| `{name}` | {value} |' in self.page)

    def test_page_names_no_code_that_is_not_ignored(self) -> None:
        """An exception that has gone leaves the page too."""
        ignored = ' '.join(
            (
                self.flake8['extend-ignore'],
                self.flake8['per-file-ignores'],
                'PLC0415 SLF001 N801',
            )
        )
        for code in sorted(set(CODE.findall(self.page))):
            with self.subTest(code):
                self.assertIn(code, ignored)
