"""The ``bench`` command."""

import json
import sys
from argparse import Namespace
from pathlib import Path
from typing import Any

from bramleylug.bench.catalogue import BENCHES, run_bench
from bramleylug.bench.results import format_result

DEFAULT_SEED = 1


def add_commands(commands: Any) -> None:
    """Add ``bench NAME…``."""
    bench = commands.add_parser('bench', help='measure against bounds')
    bench.add_argument('names', nargs='+', metavar='NAME|all')
    bench.add_argument('--json', type=Path, metavar='FILE')
    bench.add_argument('--report', type=Path, metavar='DIR')
    bench.add_argument('--seed', type=int, default=DEFAULT_SEED)
    bench.set_defaults(run=_run)


def _run(namespace: Namespace) -> int:
    names = list(BENCHES) if 'all' in namespace.names else namespace.names
    unknown = [name for name in names if name not in BENCHES]
    if unknown:
        print(f'bramleylug: no such bench: {unknown}', file=sys.stderr)
        return 2
    results = []
    for name in names:
        results.append(run_bench(name, namespace.seed))
        print(format_result(results[-1]), flush=True)
    if namespace.json:
        documents = [result.to_json() for result in results]
        namespace.json.write_text(json.dumps(documents, indent=1))
    return 0 if all(result.holds for result in results) else 1
