"""The ``weights`` commands: progress of versions on their hosts."""

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

POLL_S = 0.5
WHOLE_PERMILLE = 1000
PERCENT = 100


class VersionProgress(NamedTuple):
    """One version on all hosts.

    :ivar hosts: agents that hold it or bring it.
    :ivar whole: of these, how many hold it whole and verified.
    :ivar share: of the version, averaged over the hosts.
    :ivar serving: whole hosts whose engine is open to requests.
    """

    model: str
    version: str
    hosts: int
    whole: int
    share: float
    serving: int


def add_commands(commands: Any) -> None:
    """Add ``weights status|watch``."""
    weights = commands.add_parser('weights', help='progress of versions')
    kinds = weights.add_subparsers(required=True, metavar='COMMAND')
    status = kinds.add_parser('status', help='print the progress once')
    status.add_argument('--json', action='store_true', help='as JSON')
    status.set_defaults(run=_status)
    watch = kinds.add_parser('watch', help='show it until all hosts are whole')
    watch.add_argument('--version', default='', metavar='MODEL@VERSION')
    watch.set_defaults(run=_watch)
    for parser in (status, watch):
        parser.add_argument('--entry', required=True, metavar='HOST:PORT')


def summarize(members: Iterable[MemberLine]) -> list[VersionProgress]:
    """Return the progress of each version, by name."""
    found: dict[tuple[str, str], list[tuple[int, bool]]] = {}
    for member in members:
        ready = any(member['services'].values())
        for held in member['versions']:
            hosts = found.setdefault((held['model'], held['version']), [])
            hosts.append((held['progress'], ready))
    return [_summarize_one(*key, hosts) for key, hosts in sorted(found.items())]


def _summarize_one(
    model: str, version: str, hosts: list[tuple[int, bool]]
) -> VersionProgress:
    whole = [ready for share, ready in hosts if share == WHOLE_PERMILLE]
    total = sum(share for share, _ in hosts)
    return VersionProgress(
        model,
        version,
        len(hosts),
        len(whole),
        total / WHOLE_PERMILLE / len(hosts),
        sum(whole),
    )


def _read(address: str) -> list[VersionProgress] | None:
    page = fetch_page(address, MEMBERS_PATH)
    if page is None:
        return None
    return summarize(cast(MembersPage, page)['members'])


def _status(namespace: Namespace) -> int:
    versions = _read(namespace.entry)
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
            versions = _read(namespace.entry)
            if versions is None:
                return ExitCode.unavailable
            chosen = [
                line
                for line in versions
                if not model or (line.model, line.version) == (model, version)
            ]
            if _show(bar, chosen):
                return ExitCode.ok
            time.sleep(POLL_S)


def _show(bar: Any, versions: list[VersionProgress]) -> bool:
    """Move the bar; tell whether every version is whole everywhere."""
    hosts = sum(line.hosts for line in versions)
    whole = sum(line.whole for line in versions)
    share = sum(line.share * line.hosts for line in versions) / max(1, hosts)
    bar.set_postfix_str(f'whole on {whole} of {hosts} hosts')
    bar.update(int(PERCENT * share) - bar.n)
    return bool(hosts) and whole == hosts
