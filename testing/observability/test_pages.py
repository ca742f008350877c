"""Tests that the pages for operators match the code."""

import re
import unittest
from pathlib import Path

from aioprometheus.collectors import Collector

from bramleylug.observability import metrics

DOCS = Path(__file__).parents[2] / 'docs'
OPERATIONS = DOCS / 'operations'


class TestMetricsTable(unittest.TestCase):
    """The page for operators lists every metric."""

    def test_page_lists_exactly_the_metrics(self) -> None:
        """A metric without a description is useless."""
        text = (OPERATIONS / 'index.md').read_text()
        listed = re.findall(
            r'^\| `(bramleylug_\w+)` \| (?:counter|gauge|histogram) ',
            text,
            re.MULTILINE,
        )
        known = [
            metric.name
            for metric in vars(metrics).values()
            if isinstance(metric, Collector)
        ]

        self.assertEqual(sorted(listed), sorted(known))


class TestIndexes(unittest.TestCase):
    """Every page is linked from its index."""

    def test_operations_index_links_every_page(self) -> None:
        """A page that cannot be found does not help in an incident."""
        text = (OPERATIONS / 'index.md').read_text()
        pages = {page.name for page in OPERATIONS.glob('*.md')}

        missing = {name for name in pages if f']({name})' not in text}

        self.assertEqual(missing, {'index.md'})

    def test_index_links_every_decision(self) -> None:
        """Each design decision is linked from the first page."""
        text = (DOCS / 'index.md').read_text()
        pages = {page.name for page in (DOCS / 'design').glob('*.md')}

        missing = {name for name in pages if f'](design/{name})' not in text}

        self.assertEqual(missing, set())


class TestLinks(unittest.TestCase):
    """Links between pages are valid."""

    def test_linked_pages_exist(self) -> None:
        """Every relative link points to a file."""
        for page in DOCS.rglob('*.md'):
            for link in re.findall(
                r'\]\(([^)#:]+)(?:#[^)]*)?\)', page.read_text()
            ):
                with self.subTest(page=page.name, link=link):
                    self.assertTrue((page.parent / link).exists())
