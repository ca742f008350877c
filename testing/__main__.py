"""Runs the tests and prints how many passed, failed and were skipped.

Tests that KNOWN-RED.txt lists are printed and left out.
"""

import gc
import sys
import unittest
from pathlib import Path
from typing import Any, NamedTuple

from hypothesis import settings
from loguru import logger

KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'
TEST_PREFIX = 'test: '

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')


def known_red() -> frozenset[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists as failing."""
    if not KNOWN_RED.exists():
        return frozenset()
    return frozenset(
        line.removeprefix(TEST_PREFIX).strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(TEST_PREFIX)
    )


def flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Return the tests of a suite and its nested suites."""
    found: list[unittest.TestCase] = []
    for part in suite:
        if isinstance(part, unittest.TestSuite):
            found.extend(flatten(part))
        else:
            found.append(part)
    return found


class Counts(NamedTuple):
    """How the tests of a run ended."""

    passed: int
    failed: int
    skipped: int


def count_results(result: unittest.TestResult) -> Counts:
    """Return the counts.

    A failed set-up of a class is one failure, as its tests never ran; so are
    all failed parts of one test.
    """
    # Failed parts of a test, of which there may be many, stand for the test.
    wholes = [
        getattr(test, 'test_case', test)
        for test, _ in (*result.failures, *result.errors)
    ]
    failed = {test.id(): test for test in wholes}
    not_run = sum(
        not isinstance(test, unittest.TestCase) for test in failed.values()
    )
    failed_count = len(failed) + len(result.unexpectedSuccesses)
    skipped = len(result.skipped)
    ran = result.testsRun + not_run
    return Counts(ran - failed_count - skipped, failed_count, skipped)


def load_suite(pattern: str) -> unittest.TestSuite:
    """Return the tests in files whose names match a pattern."""
    root = Path(__file__).parent
    loaded = unittest.defaultTestLoader.discover(
        str(root), pattern, top_level_dir=str(root.parent)
    )
    red = known_red()
    for name in sorted(red):
        print(f'known red, passed over: {name}')
    return unittest.TestSuite(
        test for test in flatten(loaded) if test.id() not in red
    )


class GarbageResult(unittest.TextTestResult):
    """Leaves what the tests of earlier modules keep out of later searches.

    A search for garbage stands still for as long as it takes to look at all
    objects, and tests with real connections have time limits below half a
    second.

    :ivar module: of the test that started last.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.module = ''

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        module = type(test).__module__
        if module != self.module:
            self.module = module
            gc.collect()
            gc.freeze()
        super().startTest(test)


def main() -> int:
    """Run the tests and return the exit code.

    An argument restricts them to files whose names match it as a pattern.
    Only the suite refers to the tests, which drops each one that has run: a
    search for garbage among all that tests have built takes longer than the
    time limits of others.
    """
    logger.remove()
    pattern = sys.argv[1] if len(sys.argv) > 1 else 'test_*.py'
    suite = load_suite(pattern)
    gc.freeze()
    result = unittest.TextTestRunner(resultclass=GarbageResult).run(suite)
    counts = count_results(result)
    print(
        f'{counts.passed} passed, {counts.failed} failed, '
        f'{counts.skipped} skipped'
    )
    return int(bool(counts.failed) or not result.testsRun)


if __name__ == '__main__':
    sys.exit(main())
