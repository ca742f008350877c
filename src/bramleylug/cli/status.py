"""Commands ``status`` and ``where``: query an entry over HTTP."""

import json
import sys
import time
from argparse import Namespace
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from contextlib import suppress
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from typing import Any, NamedTuple, cast
from urllib.parse import quote

from bramleylug.cli.parser import ExitCode
from bramleylug.duties.settings import DUTIES_PATH
from bramleylug.node.members import MEMBERS_PATH, MemberLine, MembersPage

TIMEOUT_S = 5.0
WATCH_INTERVAL_S = 2.0
MAX_NAMES_SHOWN = 8
COMPLETE_PERMILLE = 1000


class RevisionCount(NamedTuple):
    """How many members of a zone have applied a revision.

    :ivar since_s: when the last of them applied it, seconds since the epoch.
    """

    revision: int
    members: int
    since_s: int


class ZoneStatus(NamedTuple):
    """State of one zone as known to the queried entry.

    :ivar lagging: members with an older revision than the queried entry.
    :ivar versions: number of members that hold each ``MODEL@VERSION``
        completely.
    """

    zone: str
    state: str
    members: int
    revisions: tuple[RevisionCount, ...]
    lagging: tuple[str, ...]
    draining: tuple[str, ...]
    suspect: tuple[str, ...]
    versions: dict[str, int]


def add_commands(commands: Any) -> None:
    status = commands.add_parser(
        'status', help='print members, revisions and weights of each zone'
    )
    queried = status.add_mutually_exclusive_group(required=True)
    queried.add_argument(
        '--entry',
        metavar='HOST:PORT',
        help='HTTP address of any entry or agent',
    )
    queried.add_argument(
        '--relay',
        metavar='HOST:PORT',
        help='metrics address of a relay: print who holds the duties of all '
        'relays, and what was done',
    )
    status.add_argument(
        '--json', action='store_true', help='print one JSON object'
    )
    status.add_argument(
        '--watch', action='store_true', help='print again every 2 s'
    )
    status.set_defaults(run=_status)
    where = commands.add_parser(
        'where', help='print the entries that callers of a service may use'
    )
    where.add_argument('service')
    _add_entry_flag(where)
    where.set_defaults(run=_where)


def summarize(page: MembersPage) -> list[ZoneStatus]:
    """Return the status of each zone, sorted by name."""
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
    return ZoneStatus(
        zone=zone,
        state=page['zones'].get(zone, 'in'),
        members=len(lines),
        revisions=_count_revisions(lines),
        lagging=_member_names(
            line for line in lines if line['revision'] < page['revision']
        ),
        draining=_member_names(line for line in lines if line['draining']),
        suspect=_member_names(
            line for line in lines if line['state'] == 'suspect'
        ),
        versions=dict(_count_versions(lines)),
    )


def _add_entry_flag(parser: Any) -> None:
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
        if held['progress'] == COMPLETE_PERMILLE
    )


def _member_names(lines: Iterator[MemberLine]) -> tuple[str, ...]:
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
    if namespace.relay:
        return _print_duties(namespace)
    response = fetch_page(namespace.entry, MEMBERS_PATH)
    if response is None:
        return ExitCode.unavailable
    page = cast(MembersPage, response)
    if namespace.json:
        zones = [zone._asdict() for zone in summarize(page)]
        print(json.dumps({**page, 'by_zone': zones}))
    else:
        print('\n'.join(_format_page(page)), flush=True)
    return ExitCode.ok


def _print_duties(namespace: Namespace) -> int:
    page = fetch_page(namespace.relay, DUTIES_PATH)
    if page is None:
        return ExitCode.unavailable
    if namespace.json:
        print(json.dumps(page))
    else:
        print('\n'.join(format_duties(page)), flush=True)
    return ExitCode.ok


def format_duties(page: Mapping[str, Any]) -> Iterator[str]:
    """Return lines about the duties as a relay knows them."""
    yield f'duties: held by {page["holder"] or "nobody"}'
    if page['token']:
        yield (
            f'  with token {page["token"]} for {page["held_for_s"]} s, lease '
            f'for {page["lease_left_s"]} s at least'
        )
    if page['window'] >= 0:
        yield f'  usage: window {page["window"]} is in the store'
    for order in page['orders']:
        yield (
            f'  {order["service"]} in {order["zone"]}: {order["wanted"]} '
            f'upstreams ordered, {order["present"]} present'
        )


def _format_page(page: MembersPage) -> Iterator[str]:
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
        for label in ('lagging', 'draining', 'suspect'):
            yield from _format_names(label, getattr(zone, label))
        for version, members in sorted(zone.versions.items()):
            yield f'  {version}: whole on {members}'


def _format_names(label: str, names: tuple[str, ...]) -> Iterator[str]:
    if names:
        shown = ', '.join(names[:MAX_NAMES_SHOWN])
        hidden = len(names) - MAX_NAMES_SHOWN
        suffix = f' and {hidden} more' if hidden > 0 else ''
        yield f'  {label}: {shown}{suffix}'


def _where(namespace: Namespace) -> int:
    response = fetch_page(
        namespace.entry, f'/v1/entries?service={quote(namespace.service)}'
    )
    if response is None:
        return ExitCode.unavailable
    for entry in response['entries']:
        print(f'{entry["address"]}  {entry["zone"]}')
    print(f'keep for {response["keep_s"]} s')
    return ExitCode.ok if response['entries'] else ExitCode.failed


def fetch_page(address: str, path: str) -> dict[str, Any] | None:
    """Return a JSON page; print the error and return ``None`` on failure."""
    connection = HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request('GET', path)
        response = connection.getresponse()
        body = response.read()
    except (OSError, HTTPException) as error:
        print(f'bramleylug: {address}: {error}', file=sys.stderr)
        return None
    finally:
        connection.close()
    if response.status != HTTPStatus.OK:
        print(f'bramleylug: {address}: HTTP {response.status}', file=sys.stderr)
        return None
    return cast(dict[str, Any], json.loads(body))
