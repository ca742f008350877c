"""The ``soak`` command: real processes under injected faults."""

import asyncio
import json
import tempfile
from argparse import Namespace
from pathlib import Path
from typing import Any

from bramleylug.cli.parser import ExitCode
from bramleylug.soak.fault_schedule import ALL_KINDS, Kind

DEFAULT_LENGTH_S = 20.0


def add_commands(commands: Any) -> None:
    soak = commands.add_parser(
        'soak',
        help='run relays, loaders and stand-ins as processes under random '
        'faults, and check what clients and engines saw',
    )
    soak.add_argument(
        '--seed', type=int, default=1, help='first seed (default: %(default)s)'
    )
    soak.add_argument(
        '--seeds',
        type=int,
        default=1,
        help='number of soaks, one seed after another (default: %(default)s)',
    )
    soak.add_argument(
        '--length',
        type=float,
        default=DEFAULT_LENGTH_S,
        help='seconds during which faults are started (default: %(default)s)',
    )
    soak.add_argument(
        '--kinds',
        type=_parse_kinds,
        default=ALL_KINDS,
        metavar='KIND,...',
        help='kinds of faults, of which the schedule of a seed depends '
        f'(default: all of {", ".join(kind.name for kind in Kind)})',
    )
    soak.add_argument(
        '--keep',
        type=Path,
        metavar='DIR',
        help='folder for the logs of all processes and the list of faults',
    )
    soak.set_defaults(run=_run)


def _parse_kinds(text: str) -> tuple[Kind, ...]:
    """Return the kinds in a comma-separated list of their names.

    :raises ValueError: when a name is unknown.
    """
    try:
        return tuple(Kind[name] for name in text.split(','))
    except KeyError as error:
        raise ValueError(f'no such kind: {error}') from error


def _run(namespace: Namespace) -> int:
    """Run the soaks and print the result of each as one line of JSON."""
    from bramleylug.soak.soak import Soak  # noqa: PLC0415

    violations = 0
    for seed in range(namespace.seed, namespace.seed + namespace.seeds):
        with tempfile.TemporaryDirectory() as scratch:
            folder = (namespace.keep or Path(scratch)) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            soak = Soak(seed, namespace.length, folder, namespace.kinds)
            summary = asyncio.run(soak.run())
        print(json.dumps(summary), flush=True)
        violations += len(summary['violations'])
    return ExitCode.failed if violations else ExitCode.ok
