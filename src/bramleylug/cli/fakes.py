"""The ``fakes`` commands: run fakes (stand-ins) and set their faults."""

import json
import time
from argparse import Namespace
from dataclasses import fields, replace
from typing import Any

from bramleylug.cli.faults import (
    build_store_faults,
    parse_assignments,
    set_http_faults,
    set_store_faults,
)
from bramleylug.cli.parser import ExitCode
from bramleylug.settings.fields import SettingsError

DEFAULT_BIND = '127.0.0.1:0'
KINDS = ('store', 'origin', 'engine', 'records')


def add_commands(commands: Any) -> None:
    parser = commands.add_parser(
        'fakes', help='run stand-ins and inject faults into them'
    )
    kinds = parser.add_subparsers(required=True, metavar='KIND')
    run_functions = (_run_store, _run_origin, _run_engine, _run_records)
    for name, run in zip(KINDS, run_functions, strict=True):
        kind = kinds.add_parser(name, help=f'run the {name} stand-in')
        kind.add_argument('--bind', default=DEFAULT_BIND, metavar='HOST:PORT')
        kind.add_argument(
            '--set',
            action='append',
            default=[],
            metavar='NAME=VALUE',
            help='setting of the stand-in; may be repeated',
        )
        kind.set_defaults(run=run)
        if name == 'origin':
            kind.add_argument(
                '--weights',
                action='append',
                default=[],
                metavar='MODEL@VERSION=BYTES',
                help='weights to generate and serve; may be repeated',
            )
    control = kinds.add_parser(
        'control', help='set faults of a running stand-in and print its counts'
    )
    control.add_argument('kind', choices=KINDS)
    control.add_argument('address', metavar='HOST:PORT')
    control.add_argument('words', nargs='*', metavar='NAME=VALUE')
    control.set_defaults(run=_control)


def _run_store(namespace: Namespace) -> int:
    from bramleylug.fakes.store import FakeStoreServer  # noqa: PLC0415

    faults = build_store_faults(parse_assignments(namespace.set))
    server = FakeStoreServer(namespace.bind)
    server.store.SetFaults(faults, None)
    server.start()
    print(f'store at {server.address}', flush=True)
    while True:
        time.sleep(1)


def _run_origin(namespace: Namespace) -> int:
    from bramleylug.fakes.origin import FakeOrigin  # noqa: PLC0415

    origin = FakeOrigin(namespace.bind, **parse_assignments(namespace.set))
    for text in namespace.weights:
        origin.add_version(*_parse_weights(text))
    return _run_fake(origin, 'origin')


def _run_engine(namespace: Namespace) -> int:
    from bramleylug.fakes.engine import (  # noqa: PLC0415
        EngineSettings,
        FakeEngine,
    )

    settings = _replace_settings(
        EngineSettings(bind=namespace.bind), namespace.set
    )
    return _run_fake(FakeEngine(settings), 'engine')


def _run_records(namespace: Namespace) -> int:
    from bramleylug.fakes.records import (  # noqa: PLC0415
        FakeRecords,
        RecordsSettings,
    )

    settings = _replace_settings(
        RecordsSettings(bind=namespace.bind), namespace.set
    )
    return _run_fake(FakeRecords(settings), 'records')


def _control(namespace: Namespace) -> int:
    set_faults = set_http_faults
    if namespace.kind == 'store':
        set_faults = set_store_faults
    faults = parse_assignments(namespace.words)
    print(json.dumps(set_faults(namespace.address, faults)))
    return ExitCode.ok


def _replace_settings(settings: Any, arguments: list[str]) -> Any:
    """Return a copy of the settings with the given fields replaced.

    :raises SettingsError: for unknown fields; lists the known ones.
    """
    known = [spec.name for spec in fields(settings)]
    parsed = parse_assignments(arguments)
    unknown = [name for name in parsed if name not in known]
    if unknown:
        raise SettingsError(
            [
                f'unknown setting {name!r}; known settings: {", ".join(known)}'
                for name in unknown
            ]
        )
    return replace(settings, **parsed)


def _parse_weights(text: str) -> tuple[str, str, int]:
    name, _, size = text.partition('=')
    model, _, version = name.partition('@')
    if not (model and version and size.isdecimal()):
        raise SettingsError([f'--weights: {text!r} is not MODEL@VERSION=BYTES'])
    return model, version, int(size)


def _run_fake(fake: Any, name: str) -> int:
    print(f'{name} at {fake.web.address}', flush=True)
    fake.run()
    return ExitCode.ok
