"""The ``demo`` command."""

import sys
import time
from argparse import Namespace
from pathlib import Path
from typing import Any

from bramleylug.cli.parser import ExitCode
from bramleylug.observability.logs import set_up_logs

DEFAULT_SERVICES = Path('examples')


def add_commands(commands: Any) -> None:
    """Add ``demo``."""
    demo = commands.add_parser('demo', help='run the whole path embedded')
    demo.add_argument(
        '--services',
        type=Path,
        default=DEFAULT_SERVICES,
        metavar='DIR',
        help='folder of service files (default: %(default)s)',
    )
    demo.add_argument(
        '--keep',
        action='store_true',
        help='leave it running and print addresses to try',
    )
    demo.add_argument('--json', action='store_true', help='print rows as JSON')
    demo.add_argument('--verbose', action='store_true', help='show log lines')
    demo.set_defaults(run=_run)


def _run(namespace: Namespace) -> int:
    from bramleylug.demo.cluster import EmbeddedCluster  # noqa: PLC0415
    from bramleylug.demo.story import Story  # noqa: PLC0415
    from bramleylug.demo.table import print_rows  # noqa: PLC0415

    if not namespace.services.is_dir():
        print(f'bramleylug: no folder {namespace.services}', file=sys.stderr)
        return ExitCode.usage
    set_up_logs('demo', level='INFO' if namespace.verbose else 'ERROR')
    cluster = EmbeddedCluster()
    cluster.start()
    story = Story(cluster, namespace.services)
    kept = story.play()
    print_rows(story.rows, as_json=namespace.json)
    if namespace.keep:
        _keep(cluster)
    cluster.stop()
    return ExitCode.ok if kept else ExitCode.failed


def _keep(cluster: Any) -> None:
    for entry in cluster.entries:
        address = entry.web.address
        print(f'curl http://{address}/v1/entries?service=seat-fitting')
        print(
            f'curl -d \'{{"prompt": "is it fitted?", "tokens": 8}}\' '
            f'http://{address}/v1/services/seat-fitting/v1/generate'
        )
    print(f'bramleylug audit --store {cluster.store_server.address}')
    print('Stop with Ctrl-C.', flush=True)
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        return
