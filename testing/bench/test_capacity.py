"""Tests of the capacity page and its estimates."""

import unittest
from pathlib import Path

from bramleylug.bench.capacity import (
    PAGE_NAME,
    PageError,
    extract_slopes,
    fill_page,
    merge_slopes,
    read_slope_records,
)
from bramleylug.bench.capacity_estimates import Budget, Estimate
from bramleylug.bench.capacity_model import ESTIMATES
from bramleylug.bench.quantities import target_sizes
from bramleylug.bench.results import BenchResult

DOCS = Path(__file__).parents[2] / 'docs'


class TestPage(unittest.TestCase):
    """The tables of docs/CAPACITY.md agree with the stored slopes."""

    def test_page_is_up_to_date_with_slopes(self) -> None:
        """``bramleylug bench capacity`` would change nothing."""
        text = (DOCS / PAGE_NAME).read_text()

        self.assertEqual(fill_page(text, read_slope_records(DOCS)), text)

    def test_every_slope_records_how_it_was_measured(self) -> None:
        """Command, sizes and date are stored with each amount."""
        for name, slope in read_slope_records(DOCS).items():
            with self.subTest(name):
                self.assertTrue(slope['command'].startswith('bramleylug '))
                self.assertNotEqual(slope['sizes'], '')
                self.assertRegex(slope['date'], r'^\d{4}-\d\d-\d\d$')

    def test_page_without_marker_is_refused(self) -> None:
        """A table without a place on the page is not left out silently."""
        with self.assertRaises(PageError):
            fill_page('# Capacity', {})


class TestEstimate(unittest.TestCase):
    """An estimate is a sum of products of quantities."""

    estimate = Estimate(
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

        self.assertEqual(self.estimate.total(target_sizes() | slopes), 4060)

    def test_breaking_scale_is_where_budget_is_used_up(self) -> None:
        """At half the cost of a record, twice the fleet fits the budget."""
        slopes = {'idle_bytes': 1000, 'record_bytes': 1}

        self.assertAlmostEqual(self.estimate.breaking_scale(slopes), 2.0)

    def test_name_after_slash_divides(self) -> None:
        """18 watchers make one call in 10 s each."""
        estimate = Estimate('a', 'b', '', (('watchers', '/wait_s'),), '')

        self.assertAlmostEqual(
            estimate.total({'watchers': 18, 'wait_s': 10}), 1.8
        )
        self.assertEqual(estimate.missing({'watchers': 18}), ['wait_s'])

    def test_missing_slopes_are_listed(self) -> None:
        """An estimate is not computed from quantities never measured."""
        self.assertEqual(
            self.estimate.missing(target_sizes()),
            ['idle_bytes', 'record_bytes'],
        )

    def test_titles_are_unique(self) -> None:
        """Each resource of a role has one estimate."""
        titles = [estimate.title for estimate in ESTIMATES]

        self.assertEqual(len(titles), len(set(titles)))


class TestExtractSlopes(unittest.TestCase):
    """Slopes are stored with the run that measured them."""

    def test_slope_keeps_command_and_sizes(self) -> None:
        """The slope has all that is needed to measure it again."""
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
        """A slope that a bench no longer measures is removed."""
        old = BenchResult('zone', 1, {}, (), slopes={'probe_s': 1, 'gone': 1})
        other = BenchResult('path', 1, {}, (), slopes={'request_s': 1})
        new = BenchResult('zone', 1, {}, (), slopes={'probe_s': 2})

        merged = merge_slopes(
            extract_slopes([old, other], '2026-12-04'),
            extract_slopes([new], '2026-12-05'),
        )

        self.assertEqual(sorted(merged), ['probe_s', 'request_s'])
        self.assertEqual(merged['probe_s']['amount'], 2)
