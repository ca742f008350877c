"""Tests of running, displaying and comparing benches."""

import io
import json
import tempfile
import unittest
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

from bramleylug.bench.catalogue import run_benches
from bramleylug.bench.compare import compare, count_regressions
from bramleylug.bench.report import write_report
from bramleylug.bench.results import (
    BenchFailure,
    BenchResult,
    outcome_from_json,
)
from bramleylug.bench.table import format_outcome
from bramleylug.cli.main import main
from testing.builders import build_bench_result


class TestRunBenches(unittest.TestCase):
    """A bench that raises has a failure as its outcome."""

    def test_benches_run_after_one_that_raises(self) -> None:
        """Each bench has an outcome, in order."""
        modules = {'first': 'no.such.module', 'second': 'no.such.other'}

        outcomes = list(run_benches(['first', 'second'], 1, modules))

        self.assertEqual(
            outcomes,
            [
                BenchFailure(
                    'first', 1, "ModuleNotFoundError: No module named 'no'"
                ),
                BenchFailure(
                    'second', 1, "ModuleNotFoundError: No module named 'no'"
                ),
            ],
        )


class TestResults(unittest.TestCase):
    """Conversion of outcomes to JSON and to text."""

    def test_result_survives_json(self) -> None:
        """A result read back from JSON is equal to the original."""
        written = build_bench_result(('origin_copies', 1.2, '<=', 1.5))

        read = outcome_from_json(json.loads(json.dumps(written.to_json())))

        self.assertEqual(read, written)

    def test_failure_survives_json(self) -> None:
        """A failure is not read back as a result."""
        written = BenchFailure('zone', 1, 'TimeoutError: not reached')

        self.assertEqual(outcome_from_json(written.to_json()), written)

    def test_table_shows_violated_bound(self) -> None:
        """The verdict is in the line of the figure."""
        violated = build_bench_result(('origin_copies', 2.0, '<=', 1.5))

        table = format_outcome(violated)

        self.assertRegex(table, 'origin_copies .* <= 1.5 .* DOES NOT HOLD')


class TestCompare(unittest.TestCase):
    """The relation of a bound defines which direction is worse."""

    def test_rise_of_upper_bounded_figure_is_worse(self) -> None:
        """More copies from the origin are a regression."""
        self.assertEqual(_trend('<=', 1.0, 1.2), 'worse')

    def test_fall_of_lower_bounded_figure_is_worse(self) -> None:
        """Less goodput is a regression."""
        self.assertEqual(_trend('>=', 100, 80), 'worse')

    def test_rise_of_lower_bounded_figure_is_better(self) -> None:
        """More goodput is an improvement."""
        self.assertEqual(_trend('>=', 100, 120), 'better')

    def test_small_move_is_no_difference(self) -> None:
        """A difference of 5% is within the noise of a run."""
        self.assertEqual(_trend('<=', 1.0, 1.05), 'same')

    def test_any_move_of_exact_figure_is_worse(self) -> None:
        """One more duplicate booking is never noise."""
        self.assertEqual(_trend('==', 0, 1), 'worse')

    def test_bound_violated_within_tolerance_is_worse(self) -> None:
        """A bound that no longer holds is a regression at any distance."""
        before = build_bench_result(('copies', 1.49, '<=', 1.5))
        after = build_bench_result(('copies', 1.51, '<=', 1.5))

        self.assertEqual(compare([before], [after])[0].trend, 'worse')

    def test_failed_bench_is_missing(self) -> None:
        """Missing figures are counted as regressions."""
        before = build_bench_result(('copies', 1.0, '<=', 1.5))

        differences = compare([before], [BenchFailure('weights', 1, 'x')])

        self.assertEqual(count_regressions(differences), 1)


class TestReport(unittest.TestCase):
    """The HTML report."""

    def test_page_embeds_plots_and_failures(self) -> None:
        """The page loads no other file, and error texts are escaped."""
        result = BenchResult(
            'zone', 1, {}, (), series={'goodput_per_s': [(0, 1), (1, 2)]}
        )
        failure = BenchFailure('path', 1, 'OSError: <refused>')
        with tempfile.TemporaryDirectory() as name:
            page = write_report(Path(name), [result, failure], Path(name))
            text = page.read_text()

        self.assertIn('src="data:image/png;base64,', text)
        self.assertIn('OSError: &lt;refused&gt;', text)


class TestCommand(unittest.TestCase):
    """Exit codes of the command."""

    def test_worse_figure_exits_with_one(self) -> None:
        """Scripts can detect a regression by the exit code."""
        with tempfile.TemporaryDirectory() as name:
            paths = []
            for number, copies in enumerate((1.0, 1.4)):
                result = build_bench_result(('copies', copies, '<=', 1.5))
                path = Path(name) / f'{number}.json'
                path.write_text(json.dumps([result.to_json()]))
                paths.append(str(path))
            shown = io.StringIO()
            with redirect_stdout(shown):
                code = main(['bench', 'compare', *paths])

        self.assertEqual(code, 1)
        self.assertIn('worse    weights: copies 1 -> 1.4', shown.getvalue())

    def test_unknown_bench_is_a_usage_error(self) -> None:
        """No bench is run when a name is unknown."""
        with redirect_stderr(io.StringIO()):
            code = main(['bench', 'no-such-bench'])

        self.assertEqual(code, 2)


def _trend(relation: str, before: float, after: float) -> str:
    bound = {'==': 0.0, '<=': 1.5, '>=': 50.0}[relation]
    differences = compare(
        [build_bench_result(('figure', before, relation, bound))],
        [build_bench_result(('figure', after, relation, bound))],
    )
    return differences[0].trend
