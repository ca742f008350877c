"""Tests of the capacity page and of what it is worked out from."""

import unittest
from pathlib import Path

from bramleylug.bench.capacity import (
    PAGE_NAME,
    PageError,
    fill_page,
    merge_slopes,
    read_slope_records,
    extract_slopes,
)
from bramleylug.bench.capacity_estimates import Budget, Estimate
from bramleylug.bench.capacity_model import ESTIMATES
from bramleylug.bench.quantities import target_sizes
from bramleylug.bench.results import BenchResult

DOCS = Path(__file__).parents[2] / 'docs'


class TestPage(unittest.TestCase):
    """docs/CAPACITY.md and its data say the same."""

    def test_page_is_in_step_with_slopes(self) -> None:
        """``bramleylug bench capacity`` would change nothing."""
        text = (DOCS / PAGE_NAME).read_text()

        self.assertEqual(fill_page(text, read_slope_records(DOCS)), text)

    def test_every_slope_tells_how_it_was_measured(self) -> None:
        """Command, sizes and date stand beside each figure."""
        for name, slope in read_slope_records(DOCS).items():
            with self.subTest(name):
                self.assertTrue(slope['command'].startswith('bramleylug '))
                self.assertNotEqual(slope['sizes'], '')
                self.assertRegex(slope['date'], r'^\d{4}-\d\d-\d\d$')

    def test_page_without_marker_is_refused(self) -> None:
        """A table is never dropped in silence."""
        with self.assertRaises(PageError):
            fill_page('# Capacity', {})


class TestLine(unittest.TestCase):
    """A line is a sum of products."""

    line = Estimate(
        'entry',
        'memory',
        'bytes',
        (('idle_bytes',), ('members', 'record_bytes')),
        'one record a member',
        Budget(4060, 'letter'),
    )

    def test_total_adds_products(self) -> None:
        """1000 + 1,530 × 2."""
        slopes = {'idle_bytes': 1000, 'record_bytes': 2}

        self.assertEqual(self.line.total(target_sizes() | slopes), 4060)

    def test_breaking_scale_is_where_budget_is_used_up(self) -> None:
        """Half of the records' cost leaves room for twice the fleet."""
        slopes = {'idle_bytes': 1000, 'record_bytes': 1}

        self.assertAlmostEqual(self.line.breaking_scale(slopes), 2.0)

    def test_name_after_slash_divides(self) -> None:
        """18 watchers with one call in 10 s each."""
        line = Estimate('a', 'b', '', (('watchers', '/wait_s'),), '')

        self.assertAlmostEqual(line.total({'watchers': 18, 'wait_s': 10}), 1.8)
        self.assertEqual(line.missing({'watchers': 18}), ['wait_s'])

    def test_missing_slope_is_named(self) -> None:
        """A line is not worked out from what nobody measured."""
        self.assertEqual(
            self.line.missing(target_sizes()), ['idle_bytes', 'record_bytes']
        )

    def test_titles_are_unique(self) -> None:
        """Each resource of a role stands once."""
        titles = [line.title for line in ESTIMATES]

        self.assertEqual(len(titles), len(set(titles)))


class TestTakeSlopes(unittest.TestCase):
    """Slopes keep where they come from."""

    def test_slope_keeps_command_and_sizes(self) -> None:
        """Enough to measure it anew."""
        result = BenchResult(
            'zone', 7, {}, (), slopes={'probe_s': 0.5}, sizes='3 zones'
        )

        slopes = extract_slopes([result], '2026-12-04')

        self.assertEqual(
            slopes['probe_s'],
            {
                'amount': 0.5,
                'bench': 'zone',
                'command': 'bramleylug bench zone --seed 7',
                'sizes': '3 zones',
                'seed': 7,
                'date': '2026-12-04',
            },
        )

    def test_new_run_replaces_all_slopes_of_its_bench(self) -> None:
        """A slope that a bench no longer measures goes."""
        old = BenchResult('zone', 1, {}, (), slopes={'probe_s': 1, 'gone': 1})
        other = BenchResult('path', 1, {}, (), slopes={'request_s': 1})
        new = BenchResult('zone', 1, {}, (), slopes={'probe_s': 2})

        merged = merge_slopes(
            extract_slopes([old, other], '2026-12-04'),
            extract_slopes([new], '2026-12-05'),
        )

        self.assertEqual(sorted(merged), ['probe_s', 'request_s'])
        self.assertEqual(merged['probe_s']['amount'], 2)
