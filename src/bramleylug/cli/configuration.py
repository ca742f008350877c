"""Commands ``check``, ``publish``, ``zone`` and ``audit`` (configuration)."""

import getpass
import json
import sys
import time
import uuid
from argparse import Namespace
from pathlib import Path
from typing import Any

from bramleylug.cli.parser import ExitCode
from bramleylug.configuration.audit import (
    AuditTrail,
    describe_entry,
    read_trail,
)
from bramleylug.configuration.difference import describe_change
from bramleylug.configuration.document import (
    DOCUMENT_KEY,
    Change,
    Document,
)
from bramleylug.configuration.files import ServiceFiles, read_service_files
from bramleylug.configuration.publisher import (
    AcceptanceUnknown,
    Accepted,
    NotAccepted,
    PublishOutcome,
    publish,
)
from bramleylug.configuration.rules import suggest
from bramleylug.store.store import Store, Unavailable

STORE_TIMEOUT_S = 2.0
DEFAULT_AUDIT_COUNT = 50
TIME_FORMAT = '%Y-%m-%dT%H:%M:%SZ'


def add_commands(commands: Any) -> None:
    check = commands.add_parser('check', help='validate service files')
    check.add_argument('paths', nargs='+', type=Path, metavar='PATH')
    check.set_defaults(run=_check)
    publish_parser = commands.add_parser(
        'publish', help='publish service files'
    )
    publish_parser.add_argument('paths', nargs='*', type=Path, metavar='PATH')
    publish_parser.add_argument(
        '--remove',
        action='append',
        default=[],
        metavar='SERVICE',
        help='remove a service from the configuration; may be repeated',
    )
    _add_publish_flags(publish_parser)
    publish_parser.set_defaults(run=_publish)
    zone = commands.add_parser(
        'zone', help='exclude a zone from routing or include it again'
    )
    zone.add_argument('state', choices=('out', 'in'))
    zone.add_argument('zone')
    zone.add_argument(
        '--force',
        action='store_true',
        help='accept a zone that the configuration does not mention',
    )
    _add_publish_flags(zone)
    zone.set_defaults(run=_zone)
    audit = commands.add_parser(
        'audit', help='list accepted configuration changes'
    )
    _add_store_flag(audit)
    audit.add_argument(
        '--last',
        type=int,
        default=DEFAULT_AUDIT_COUNT,
        metavar='N',
        help='number of latest changes; 0 for all (default: %(default)s)',
    )
    audit.add_argument(
        '--json', action='store_true', help='print one JSON object per change'
    )
    audit.set_defaults(run=_audit)


def _add_store_flag(parser: Any) -> None:
    parser.add_argument('--store', required=True, metavar='HOST:PORT')


def _add_publish_flags(parser: Any) -> None:
    _add_store_flag(parser)
    parser.add_argument(
        '--dry-run',
        action='store_true',
        help='print the difference without publishing',
    )
    parser.add_argument(
        '--change-id',
        metavar='ID',
        help='id of an earlier change with unknown outcome, to repeat it',
    )
    parser.add_argument(
        '--who',
        default=getpass.getuser(),
        help='name recorded in the audit trail (default: %(default)s)',
    )


def _open_store(address: str) -> Store:
    from bramleylug.store.grpc_store import GrpcStore  # noqa: PLC0415

    return GrpcStore.from_address(address)


def _read_document(store: Store) -> Document | Unavailable:
    stored = store.read(DOCUMENT_KEY, timeout_s=STORE_TIMEOUT_S)
    if isinstance(stored, Unavailable):
        return stored
    return Document.from_json(stored.value)


def _check(namespace: Namespace) -> int:
    service_files = read_service_files(namespace.paths)
    if service_files.findings:
        return _print_findings(service_files)
    print(f'{len(service_files.services)} services, no findings')
    return ExitCode.ok


def _print_findings(service_files: ServiceFiles) -> int:
    for finding in service_files.findings:
        print(finding, file=sys.stderr)
    return ExitCode.usage


def _publish(namespace: Namespace) -> int:
    service_files = read_service_files(namespace.paths)
    if service_files.findings:
        return _print_findings(service_files)
    change = service_files.to_change()
    for name in namespace.remove:
        change['services'][name] = None
    if not change['services']:
        print('bramleylug: no services to publish', file=sys.stderr)
        return ExitCode.usage
    return _publish_change(namespace, change)


def _zone(namespace: Namespace) -> int:
    change = Change(services={}, zones={namespace.zone: namespace.state})
    return _publish_change(namespace, change)


def _publish_change(namespace: Namespace, change: Change) -> int:
    store = _open_store(namespace.store)
    document = _read_document(store)
    if isinstance(document, Unavailable):
        message = f'the store cannot be read: {document.message}'
        if namespace.change_id:
            return _print_outcome(
                AcceptanceUnknown(message), namespace.change_id
            )
        return _print_outcome(NotAccepted(message), '')
    zone_error = _unknown_zone_error(document, change)
    if zone_error and not getattr(namespace, 'force', True):
        return _print_outcome(NotAccepted(zone_error), '')
    lines = describe_change(document, change)
    print('\n'.join(lines or ['no difference']), flush=True)
    if namespace.dry_run:
        return ExitCode.ok
    change_id = namespace.change_id or uuid.uuid4().hex
    outcome = publish(
        store,
        change,
        change_id=change_id,
        who=namespace.who,
        when_s=time.time(),
        base=document,
        repeated=bool(namespace.change_id),
    )
    return _print_outcome(outcome, change_id)


def _unknown_zone_error(document: Document, change: Change) -> str:
    """Return an error if a zone is not in the configuration; else empty.

    Such a zone is most likely a typo.
    """
    known = set(document.zones)
    for spec in document.services.values():
        known.update(spec.zones)
    for zone in change['zones']:
        if zone not in known:
            suggestion = suggest(zone, sorted(known))
            return (
                f'no service runs in zone {zone!r}{suggestion}; '
                '--force accepts it'
            )
    return ''


def _print_outcome(outcome: PublishOutcome, change_id: str) -> int:
    match outcome:
        case Accepted(revision, changed):
            label = 'accepted' if changed else 'accepted before, no change'
            print(f'{label}: change {change_id}, revision {revision}')
            return ExitCode.ok
        case NotAccepted(message):
            print(f'not accepted: {message}', file=sys.stderr)
            return ExitCode.failed
        case AcceptanceUnknown(message):
            print(
                f'unknown: {message}; repeat with --change-id {change_id}',
                file=sys.stderr,
            )
            return ExitCode.unknown


def _audit(namespace: Namespace) -> int:
    trail = read_trail(_open_store(namespace.store), namespace.last)
    if isinstance(trail, Unavailable):
        print(f'store unavailable: {trail.message}', file=sys.stderr)
        return ExitCode.unavailable
    for line in _format_trail(trail, as_json=namespace.json):
        print(line)
    if trail.missing:
        print(f'records not found: {list(trail.missing)}', file=sys.stderr)
        return ExitCode.failed
    return ExitCode.ok


def _format_trail(trail: AuditTrail, *, as_json: bool) -> list[str]:
    if as_json:
        return [json.dumps(entry) for entry in trail.entries]
    lines: list[str] = []
    for entry in trail.entries:
        accepted_at = time.strftime(TIME_FORMAT, time.gmtime(entry['when_s']))
        lines.append(
            f'{entry["revision"]:>6}  {accepted_at}  {entry["who"]}  '
            f'{entry["change_id"]}'
        )
        lines.extend(f'        {detail}' for detail in describe_entry(entry))
    return lines
