"""The ``bench`` command: runs and compares benches, updates capacity tables."""

import json
import signal
import sys
from argparse import Namespace, RawDescriptionHelpFormatter
from pathlib import Path
from types import FrameType
from typing import Any

from bramleylug.bench.catalogue import BENCHES, run_benches
from bramleylug.bench.compare import (
    compare,
    count_regressions,
    format_differences,
)
from bramleylug.bench.results import BenchOutcome, outcome_from_json
from bramleylug.bench.table import format_outcome, format_summary
from bramleylug.cli.parser import ExitCode
from bramleylug.observability.logs import set_up_logs

DEFAULT_SEED = 1
ALL_BENCHES = 'all'
SIGNAL_EXIT_BASE = 128
DESCRIPTION = f"""\
Run benches and check their results against bounds; exit with 1 if any bound
does not hold.

benches: {', '.join(BENCHES)}; all runs every bench

  bench compare A.json B.json   list the figures that changed from A to B
  bench capacity [RUN.json...]  update the slopes from runs and rebuild the
                                tables of docs/CAPACITY.md
"""


def add_commands(commands: Any) -> None:
    bench = commands.add_parser(
        'bench',
        help='run benches and check their bounds',
        description=DESCRIPTION,
        formatter_class=RawDescriptionHelpFormatter,
    )
    bench.add_argument('names', nargs='+', metavar='NAME')
    bench.add_argument('--json', type=Path, metavar='FILE')
    bench.add_argument('--report', type=Path, metavar='DIR')
    bench.add_argument('--seed', type=int, default=DEFAULT_SEED)
    bench.add_argument(
        '--docs',
        type=Path,
        default=Path('docs'),
        metavar='DIR',
        help='folder of CAPACITY.md and its slopes',
    )
    bench.add_argument(
        '--verbose',
        action='store_true',
        help='print log lines and the traceback of a failed bench',
    )
    bench.set_defaults(run=_run)


def _run(namespace: Namespace) -> int:
    match namespace.names:
        case ['compare', before, after]:
            return _compare(Path(before), Path(after))
        case ['compare', *_]:
            return _usage_error('bench compare needs exactly two files')
        case ['capacity', *runs]:
            return _update_capacity(namespace.docs, [Path(run) for run in runs])
        case [*names]:
            selected = list(BENCHES) if ALL_BENCHES in names else names
            return _run_selected(namespace, selected)
    return ExitCode.usage


def _run_selected(namespace: Namespace, names: list[str]) -> int:
    unknown = [name for name in names if name not in BENCHES]
    if unknown:
        return _usage_error(
            f'unknown bench: {", ".join(unknown)}; '
            f'known benches: {", ".join(BENCHES)}'
        )
    signal.signal(signal.SIGTERM, _exit_on_signal)
    set_up_logs('bench', level='TRACE' if namespace.verbose else 'ERROR')
    outcomes: list[BenchOutcome] = []
    for outcome in run_benches(names, namespace.seed):
        outcomes.append(outcome)
        print(format_outcome(outcome), end='\n\n', flush=True)
        _write_json(namespace, outcomes)
    print(format_summary(outcomes))
    _write_report(namespace, outcomes)
    return 0 if all(measured.holds for measured in outcomes) else 1


def _write_json(namespace: Namespace, outcomes: list[BenchOutcome]) -> None:
    if namespace.json:
        documents = [outcome.to_json() for outcome in outcomes]
        namespace.json.write_text(json.dumps(documents, indent=1))


def _write_report(namespace: Namespace, outcomes: list[BenchOutcome]) -> None:
    if namespace.report:
        from bramleylug.bench.report import write_report  # noqa: PLC0415

        page = write_report(namespace.report, outcomes, namespace.docs)
        print(f'report: {page}')


def _compare(before: Path, after: Path) -> int:
    differences = compare(_read_run(before), _read_run(after))
    print(format_differences(differences))
    return 1 if count_regressions(differences) else 0


def _update_capacity(docs: Path, runs: list[Path]) -> int:
    from bramleylug.bench.capacity import update_page  # noqa: PLC0415

    outcomes = [outcome for run in runs for outcome in _read_run(run)]
    page = update_page(docs, outcomes)
    print(f'made: {page}')
    return 0


def _read_run(path: Path) -> list[BenchOutcome]:
    documents = json.loads(path.read_text())
    return [outcome_from_json(document) for document in documents]


def _exit_on_signal(signo: int, frame: FrameType | None) -> None:
    """Raise ``SystemExit``, so that a bench stops its child processes."""
    sys.exit(SIGNAL_EXIT_BASE + signo)


def _usage_error(message: str) -> int:
    print(f'bramleylug: {message}', file=sys.stderr)
    return ExitCode.usage
