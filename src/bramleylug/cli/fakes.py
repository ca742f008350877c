"""Commands that run the stand-ins."""

import time
from argparse import ArgumentParser, Namespace
from typing import Any

DEFAULT_BIND = '127.0.0.1:0'


def add_commands(commands: Any) -> None:
    """Add ``fakes store|origin|engine|records``."""
    parser: ArgumentParser = commands.add_parser('fakes', help='run a stand-in')
    kinds = parser.add_subparsers(required=True, metavar='KIND')
    store = kinds.add_parser('store', help='the platform store')
    store.set_defaults(run=_run_store)
    origin = kinds.add_parser('origin', help='the origin of weights')
    origin.add_argument(
        '--weights',
        action='append',
        default=[],
        metavar='MODEL@VERSION=BYTES',
        help='weights to make and serve; may be repeated',
    )
    origin.set_defaults(run=_run_origin)
    engine = kinds.add_parser('engine', help='a model engine')
    engine.set_defaults(run=_run_engine)
    records = kinds.add_parser('records', help='a records service')
    records.set_defaults(run=_run_records)
    for kind in (store, origin, engine, records):
        kind.add_argument('--bind', default=DEFAULT_BIND, metavar='HOST:PORT')


def _run_store(namespace: Namespace) -> int:
    from bramleylug.fakes.store import FakeStoreServer  # noqa: PLC0415

    server = FakeStoreServer(namespace.bind)
    server.start()
    print(f'store at {server.address}', flush=True)
    while True:
        time.sleep(1)


def _run_origin(namespace: Namespace) -> int:
    from bramleylug.fakes.origin import FakeOrigin  # noqa: PLC0415

    origin = FakeOrigin(namespace.bind)
    for text in namespace.weights:
        name, _, size = text.partition('=')
        model, _, version = name.partition('@')
        origin.add_version(model, version, int(size))
    return _run(origin, 'origin')


def _run_engine(namespace: Namespace) -> int:
    from bramleylug.fakes.engine import (  # noqa: PLC0415
        EngineSettings,
        FakeEngine,
    )

    return _run(FakeEngine(EngineSettings(bind=namespace.bind)), 'engine')


def _run_records(namespace: Namespace) -> int:
    from bramleylug.fakes.records import FakeRecords  # noqa: PLC0415

    return _run(FakeRecords(namespace.bind), 'records')


def _run(fake: Any, name: str) -> int:
    print(f'{name} at {fake.web.address}', flush=True)
    fake.run()
    return 0
