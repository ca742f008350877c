"""Tests of how tests are run, and their results counted."""

import io
import subprocess
import sys
import unittest
from pathlib import Path

from testing.__main__ import Counts, count_results


class BrokenSetUp(unittest.TestCase):
    """Run by the test below only."""

    __test__ = False

    @classmethod
    def setUpClass(cls):
        """Fail.

        :raises ValueError: always.
        """
        raise ValueError('no set-up')


class FailingParts(unittest.TestCase):
    """Run by the test below only."""

    __test__ = False

    def run_parts(self) -> None:
        """Fail in three parts."""
        for part in range(3):
            with self.subTest(part):
                self.fail()


class TestCounts(unittest.TestCase):
    """The closing line counts every test once."""

    def test_failed_set_up_of_a_class_counts_once(self) -> None:
        """None of its tests ran, and other tests still count as passed."""
        class_tests = type(
            'Broken',
            (BrokenSetUp,),
            {'test_one': len, 'test_two': len},
        )
        suite = unittest.TestSuite(
            [
                class_tests('test_one'),
                class_tests('test_two'),
                unittest.FunctionTestCase(lambda: None),
            ]
        )
        result = unittest.TextTestRunner(io.StringIO()).run(suite)

        self.assertEqual(count_results(result), Counts(1, 1, 0))

    def test_failed_parts_of_a_test_count_once(self) -> None:
        """More parts than tests gave a negative number of passed ones."""
        suite = unittest.TestSuite(
            [
                FailingParts('run_parts'),
                unittest.FunctionTestCase(lambda: None),
            ]
        )
        result = unittest.TextTestRunner(io.StringIO()).run(suite)

        self.assertEqual(count_results(result), Counts(1, 1, 0))


class TestMemory(unittest.TestCase):
    """What a test has built is gone when the next one runs."""

    def test_runner_keeps_no_test_that_has_run(self) -> None:
        """Long searches for garbage let connections of tests time out."""
        ended = subprocess.run(
            [sys.executable, '-m', 'testing', 'kept_objects.py'],
            cwd=Path(__file__).parents[1],
            capture_output=True,
            text=True,
        )

        self.assertEqual(ended.returncode, 0, ended.stderr)
        self.assertIn('2 passed, 0 failed', ended.stdout)
