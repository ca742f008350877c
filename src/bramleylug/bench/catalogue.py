"""Every bench by its name.

A bench is a module with ``run(seed: int) -> BenchResult``; it is imported
when it is run, so that the daemons never load what only benches need.
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
    """Run benches one after another; one that raises stops no other.

    :param benches: module of each bench.
    """
    for name in names:
        try:
            module = import_module(benches[name])
            yield cast(BenchResult, module.run(seed))
        except Exception as error:
            logger.opt(exception=True).trace('bench {} failed', name)
            yield BenchFailure(name, seed, one_line(error))


def one_line(error: Exception) -> str:
    """Return the kind of an error and the first line of its text."""
    first = str(error).partition('\n')[0]
    return f'{type(error).__name__}: {first}'
