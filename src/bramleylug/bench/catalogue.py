"""Registry and runner of the benches.

A bench is a module with ``run(seed: int) -> BenchResult``. It is imported
only when it runs, so that the daemons do not load what only benches need.
"""

from collections.abc import Iterable, Iterator, Mapping
from importlib import import_module
from typing import cast

from loguru import logger

from bramleylug.bench.results import BenchFailure, BenchOutcome, BenchResult

BENCHES = {
    name: f'bramleylug.bench.{name}'
    for name in (
        'faults',
        'path',
        'weights',
        'config',
        'membership',
        'zone',
        'readers',
        'overload',
        'bookings',
        'footprint',
    )
}


def run_benches(
    names: Iterable[str], seed: int, benches: Mapping[str, str] = BENCHES
) -> Iterator[BenchOutcome]:
    """Run benches one after another and go on after one that raises.

    :param benches: module name of each bench.
    """
    for name in names:
        try:
            module = import_module(benches[name])
            yield cast(BenchResult, module.run(seed))
        except Exception as error:
            logger.opt(exception=True).trace('bench {} failed', name)
            yield BenchFailure(name, seed, summarize_error(error))


def summarize_error(error: Exception) -> str:
    """Return the type of an error and the first line of its message."""
    first_line = str(error).partition('\n')[0]
    return f'{type(error).__name__}: {first_line}'
