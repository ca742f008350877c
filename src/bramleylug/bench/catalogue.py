"""Every bench by its name.

A bench is a module with ``run(seed: int) -> BenchResult``; it is imported
when it is run, so that the daemons never load what only benches need.
"""

from importlib import import_module
from typing import cast

from bramleylug.bench.results import BenchResult

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
    )
}


def run_bench(name: str, seed: int) -> BenchResult:
    """Run one bench."""
    module = import_module(BENCHES[name])
    return cast(BenchResult, module.run(seed))
