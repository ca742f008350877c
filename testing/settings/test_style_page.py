"""Tests that docs/STYLE.md explains each exception to the style guide."""

import re
import unittest
from configparser import ConfigParser
from pathlib import Path

ROOT = Path(__file__).parents[2]
CODE = re.compile(r'\b[A-Z]+\d+\b')


class TestStylePage(unittest.TestCase):
    """The page explains the exceptions in setup.cfg, and no others."""

    def setUp(self) -> None:
        parser = ConfigParser()
        parser.read(ROOT / 'setup.cfg')
        self.flake8 = parser['flake8']
        self.page = (ROOT / 'docs' / 'STYLE.md').read_text()

    def test_each_ignored_code_is_explained(self) -> None:
        """A rule is switched off only for a documented reason."""
        ignored = self.flake8['extend-ignore'] + self.flake8['per-file-ignores']
        for code in sorted(set(CODE.findall(ignored))):
            with self.subTest(code):
                self.assertTrue(code in self.page)

    def test_each_threshold_is_listed_with_its_value(self) -> None:
        """A changed threshold must be explained again."""
        for name, value in self.flake8.items():
            if name.startswith('max-') and name != 'max-line-length':
                with self.subTest(name):
                    self.assertTrue(f'| `{name}` | {value} |' in self.page)

    def test_page_lists_no_code_that_is_not_ignored(self) -> None:
        """An exception that was removed is removed from the page."""
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
