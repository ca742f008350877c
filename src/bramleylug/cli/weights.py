"""Commands ``weights status`` and ``weights watch``: transfer progress."""

import json
import sys
import time
from argparse import Namespace
from collections.abc import Iterable
from typing import Any, NamedTuple, cast

from tqdm import tqdm

from bramleylug.cli.parser import ExitCode
from bramleylug.cli.status import fetch_page
from bramleylug.node.members import MEMBERS_PATH, MemberLine, MembersPage

POLL_INTERVAL_S = 0.5
COMPLETE_PERMILLE = 1000
PERCENT = 100


class VersionProgress(NamedTuple):
    """Progress of one version, over all hosts.

    :ivar hosts: number of agents that hold or download it.
    :ivar whole: number of these that hold it complete and verified.
    :ivar share: fraction of the chunks held, averaged over the hosts.
    :ivar serving: number of complete hosts whose engine accepts requests.
    """

    model: str
    version: str
    hosts: int
    whole: int
    share: float
    serving: int


def add_commands(commands: Any) -> None:
    weights = commands.add_parser(
        'weights', help='print the transfer progress of versions'
    )
    subcommands = weights.add_subparsers(required=True, metavar='COMMAND')
    status = subcommands.add_parser('status', help='print the progress once')
    status.add_argument('--json', action='store_true', help='print JSON')
    status.set_defaults(run=_status)
    watch = subcommands.add_parser(
        'watch', help='show progress until all hosts are complete'
    )
    watch.add_argument('--version', default='', metavar='MODEL@VERSION')
    watch.set_defaults(run=_watch)
    for parser in (status, watch):
        parser.add_argument('--entry', required=True, metavar='HOST:PORT')


def summarize(members: Iterable[MemberLine]) -> list[VersionProgress]:
    """Return the progress of each version, sorted by model and version."""
    hosts_by_version: dict[tuple[str, str], list[tuple[int, bool]]] = {}
    for member in members:
        ready = any(member['services'].values())
        for held in member['versions']:
            hosts = hosts_by_version.setdefault(
                (held['model'], held['version']), []
            )
            hosts.append((held['progress'], ready))
    return [
        _summarize_version(*key, hosts)
        for key, hosts in sorted(hosts_by_version.items())
    ]


def _summarize_version(
    model: str, version: str, hosts: list[tuple[int, bool]]
) -> VersionProgress:
    ready_of_complete = [
        ready for progress, ready in hosts if progress == COMPLETE_PERMILLE
    ]
    total_permille = sum(progress for progress, _ in hosts)
    return VersionProgress(
        model,
        version,
        len(hosts),
        len(ready_of_complete),
        total_permille / COMPLETE_PERMILLE / len(hosts),
        sum(ready_of_complete),
    )


def _fetch_progress(address: str) -> list[VersionProgress] | None:
    page = fetch_page(address, MEMBERS_PATH)
    if page is None:
        return None
    return summarize(cast(MembersPage, page)['members'])


def _status(namespace: Namespace) -> int:
    versions = _fetch_progress(namespace.entry)
    if versions is None:
        return ExitCode.unavailable
    if namespace.json:
        print(json.dumps([line._asdict() for line in versions]))
        return ExitCode.ok
    for line in versions:
        print(
            f'{line.model}@{line.version}: whole on {line.whole} of '
            f'{line.hosts} hosts, {line.share:.0%} staged, '
            f'{line.serving} of them serve'
        )
    return ExitCode.ok


def _watch(namespace: Namespace) -> int:
    model, _, version = namespace.version.partition('@')
    with tqdm(
        total=PERCENT, unit='%', file=sys.stderr, desc=namespace.version or None
    ) as bar:
        while True:
            versions = _fetch_progress(namespace.entry)
            if versions is None:
                return ExitCode.unavailable
            selected = [
                line
                for line in versions
                if not model or (line.model, line.version) == (model, version)
            ]
            if _update_bar(bar, selected):
                return ExitCode.ok
            time.sleep(POLL_INTERVAL_S)


def _update_bar(bar: Any, versions: list[VersionProgress]) -> bool:
    """Update the bar; return whether all hosts hold all versions completely."""
    hosts = sum(line.hosts for line in versions)
    complete = sum(line.whole for line in versions)
    share = sum(line.share * line.hosts for line in versions) / max(1, hosts)
    bar.set_postfix_str(f'whole on {complete} of {hosts} hosts')
    bar.update(int(PERCENT * share) - bar.n)
    return bool(hosts) and complete == hosts
