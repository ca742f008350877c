"""The ``demo`` command: runs a cluster in one process and prints results."""

import sys
import time
from argparse import Namespace
from pathlib import Path
from typing import Any

from bramleylug.cli.parser import ExitCode
from bramleylug.observability.logs import set_up_logs

DEFAULT_SERVICES = Path('examples')


def add_commands(commands: Any) -> None:
    demo = commands.add_parser(
        'demo', help='demonstrate a cluster of all daemons in one process'
    )
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
        help='keep the cluster running and print commands to try',
    )
    demo.add_argument(
        '--json', action='store_true', help='print the results as JSON'
    )
    demo.add_argument('--verbose', action='store_true', help='print log lines')
    demo.set_defaults(run=_run)


def _run(namespace: Namespace) -> int:
    from bramleylug.demo.cluster import EmbeddedCluster  # noqa: PLC0415
    from bramleylug.demo.scenario import Scenario  # noqa: PLC0415
    from bramleylug.demo.table import print_rows  # noqa: PLC0415

    if not namespace.services.is_dir():
        print(
            f'bramleylug: no such folder: {namespace.services}', file=sys.stderr
        )
        return ExitCode.usage
    set_up_logs('demo', level='INFO' if namespace.verbose else 'ERROR')
    cluster = EmbeddedCluster()
    cluster.start()
    scenario = Scenario(cluster, namespace.services)
    guarantees_hold = scenario.run()
    print_rows(scenario.rows, as_json=namespace.json)
    if namespace.keep:
        _run_until_interrupted(cluster)
    cluster.stop()
    return ExitCode.ok if guarantees_hold else ExitCode.failed


def _run_until_interrupted(cluster: Any) -> None:
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
