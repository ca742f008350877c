"""Commands that ask an entry: ``status`` and ``where``."""

import json
import sys
import time
from argparse import Namespace
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import suppress
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from typing import Any, NamedTuple, cast
from urllib.parse import quote

from bramleylug.cli.parser import ExitCode
from bramleylug.node.members import MEMBERS_PATH, MemberLine, MembersPage

TIMEOUT_S = 5.0
WATCH_INTERVAL_S = 2.0
NAMES_SHOWN = 8
WHOLE_PERMILLE = 1000


class RevisionCount(NamedTuple):
    """How many members of a zone have a revision in force.

    :ivar since_s: when it came in force at the last of them, seconds since
        the epoch.
    """

    revision: int
    members: int
    since_s: int


class ZoneStatus(NamedTuple):
    """One zone as an entry sees it."""

    zone: str
    state: str
    members: int
    revisions: tuple[RevisionCount, ...]
    lagging: tuple[str, ...]
    draining: tuple[str, ...]
    suspect: tuple[str, ...]
    versions: dict[str, int]


def add_commands(commands: Any) -> None:
    """Add status and where."""
    status = commands.add_parser(
        'status', help='who is there and what is in force, by zone'
    )
    _add_entry(status)
    status.add_argument(
        '--json', action='store_true', help='print one JSON object'
    )
    status.add_argument(
        '--watch', action='store_true', help='ask again every 2 s'
    )
    status.set_defaults(run=_status)
    where = commands.add_parser('where', help='which entries callers may use')
    where.add_argument('service')
    _add_entry(where)
    where.set_defaults(run=_where)


def summarize(page: MembersPage) -> list[ZoneStatus]:
    """Return the status of each zone, by its name."""
    zones = sorted({line['zone'] for line in page['members']})
    return [
        summarize_zone(
            zone,
            [line for line in page['members'] if line['zone'] == zone],
            page,
        )
        for zone in zones
    ]


def summarize_zone(
    zone: str, lines: Sequence[MemberLine], page: MembersPage
) -> ZoneStatus:
    """Return the status of one zone."""
    return ZoneStatus(
        zone=zone,
        state=page['zones'].get(zone, 'in'),
        members=len(lines),
        revisions=_count_revisions(lines),
        lagging=_names(
            line for line in lines if line['revision'] < page['revision']
        ),
        draining=_names(line for line in lines if line['draining']),
        suspect=_names(line for line in lines if line['state'] == 'suspect'),
        versions=dict(_count_versions(lines)),
    )


def _add_entry(parser: Any) -> None:
    parser.add_argument(
        '--entry',
        required=True,
        metavar='HOST:PORT',
        help='HTTP address of any entry or agent',
    )


def _count_revisions(lines: Sequence[MemberLine]) -> tuple[RevisionCount, ...]:
    return tuple(
        RevisionCount(
            revision,
            members,
            max(
                line['since_s']
                for line in lines
                if line['revision'] == revision
            ),
        )
        for revision, members in sorted(
            Counter(line['revision'] for line in lines).items(), reverse=True
        )
    )


def _count_versions(lines: Sequence[MemberLine]) -> Counter[str]:
    return Counter(
        f'{held["model"]}@{held["version"]}'
        for line in lines
        for held in line['versions']
        if held['progress'] == WHOLE_PERMILLE
    )


def _names(lines: Iterator[MemberLine]) -> tuple[str, ...]:
    return tuple(line['name'] for line in lines)


def _status(namespace: Namespace) -> int:
    code = _print_status(namespace)
    with suppress(KeyboardInterrupt):
        while namespace.watch:
            time.sleep(WATCH_INTERVAL_S)
            print()
            code = _print_status(namespace)
    return code


def _print_status(namespace: Namespace) -> int:
    page = fetch_page(namespace.entry, MEMBERS_PATH)
    if page is None:
        return ExitCode.unavailable
    found = cast(MembersPage, page)
    if namespace.json:
        zones = [zone._asdict() for zone in summarize(found)]
        print(json.dumps({**found, 'by_zone': zones}))
    else:
        print('\n'.join(_lines(found)), flush=True)
    return ExitCode.ok


def _lines(page: MembersPage) -> Iterator[str]:
    yield f'{page["name"]} has revision {page["revision"]} in force'
    if page['not_ready']:
        yield f'not ready: {page["not_ready"]}'
    now_s = time.time()
    for zone in summarize(page):
        yield f'zone {zone.zone} ({zone.state}): {zone.members} members'
        for count in zone.revisions:
            age_s = max(0, int(now_s - count.since_s))
            yield (
                f'  revision {count.revision}: {count.members} members, '
                f'the last since {age_s} s'
            )
        for word in ('lagging', 'draining', 'suspect'):
            yield from _name_line(word, getattr(zone, word))
        for version, members in sorted(zone.versions.items()):
            yield f'  {version}: whole on {members}'


def _name_line(word: str, names: tuple[str, ...]) -> Iterator[str]:
    if names:
        shown = ', '.join(names[:NAMES_SHOWN])
        more = len(names) - NAMES_SHOWN
        rest = f' and {more} more' if more > 0 else ''
        yield f'  {word}: {shown}{rest}'


def _where(namespace: Namespace) -> int:
    answer = fetch_page(
        namespace.entry, f'/v1/entries?service={quote(namespace.service)}'
    )
    if answer is None:
        return ExitCode.unavailable
    for entry in answer['entries']:
        print(f'{entry["address"]}  {entry["zone"]}')
    print(f'keep for {answer["keep_s"]} s')
    return ExitCode.ok if answer['entries'] else ExitCode.failed


def fetch_page(address: str, path: str) -> dict[str, Any] | None:
    """Return a JSON page, or ``None`` once the reason was printed."""
    connection = HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request('GET', path)
        response = connection.getresponse()
        text = response.read()
    except (OSError, HTTPException) as error:
        print(f'bramleylug: {address}: {error}', file=sys.stderr)
        return None
    finally:
        connection.close()
    if response.status != HTTPStatus.OK:
        print(f'bramleylug: {address}: HTTP {response.status}', file=sys.stderr)
        return None
    return cast(dict[str, Any], json.loads(text))
