"""The ``weights`` commands: progress of versions on their hosts."""

import json
import sys
import time
from argparse import Namespace
from collections.abc import Iterable
from http.client import HTTPConnection, HTTPException
from typing import Any, NamedTuple

from google.protobuf.json_format import ParseDict, ParseError
from tqdm import tqdm

from bramleylug.cli.parser import ExitCode
from bramleylug.wire.membership_pb2 import Member

MEMBERS_PATH = '/v1/members'
TIMEOUT_S = 5.0
POLL_S = 0.5
WHOLE_PERMILLE = 1000
PERCENT = 100


class VersionProgress(NamedTuple):
    """One version on all hosts.

    :ivar share: of the version, averaged over the hosts that bring it.
    :ivar serving: hosts whose engine serves a whole version and that hold
        this one.
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


def summarize(members: Iterable[Member]) -> list[VersionProgress]:
    """Return the progress of each version, by name."""
    found: dict[tuple[str, str], list[tuple[int, bool]]] = {}
    for member in members:
        ready = any(state.ready for state in member.services)
        for held in member.versions:
            hosts = found.setdefault((held.model, held.version), [])
            hosts.append((held.progress, ready))
    return [_summarize_one(*key, hosts) for key, hosts in sorted(found.items())]


def read_members(address: str) -> list[Member]:
    """Return the member records that an entry knows.

    :raises OSError: when the entry does not answer with records.
    """
    connection = HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request('GET', MEMBERS_PATH)
        response = connection.getresponse()
        return parse_members(json.loads(response.read()))
    except (HTTPException, ValueError, ParseError) as error:
        raise OSError(
            f'{address}{MEMBERS_PATH} gives no member records: {error}'
        ) from error
    finally:
        connection.close()


def parse_members(page: Any) -> list[Member]:
    """Read the page of member records.

    :raises ValueError: when it is not a list.
    :raises ParseError: when a record is malformed.
    """
    if not isinstance(page, list):
        raise ValueError('not a list')
    return [
        ParseDict(record, Member(), ignore_unknown_fields=True)
        for record in page
    ]


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


def _status(namespace: Namespace) -> int:
    versions = summarize(read_members(namespace.entry))
    if namespace.json:
        print(json.dumps([version._asdict() for version in versions]))
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
            versions = [
                line
                for line in summarize(read_members(namespace.entry))
                if not model or (line.model, line.version) == (model, version)
            ]
            if _show(bar, versions):
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
