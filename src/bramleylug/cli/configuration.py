"""Commands that check, publish and list accepted changes."""

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
DEFAULT_LAST = 50
TIME_FORMAT = '%Y-%m-%dT%H:%M:%SZ'


def add_commands(commands: Any) -> None:
    """Add check, publish, zone and audit."""
    check = commands.add_parser('check', help='check service files')
    check.add_argument('paths', nargs='+', type=Path, metavar='PATH')
    check.set_defaults(run=_check)
    publishing = commands.add_parser('publish', help='publish service files')
    publishing.add_argument('paths', nargs='*', type=Path, metavar='PATH')
    publishing.add_argument(
        '--remove',
        action='append',
        default=[],
        metavar='SERVICE',
        help='take a service out of the configuration; may be repeated',
    )
    _add_publication(publishing)
    publishing.set_defaults(run=_publish)
    zone = commands.add_parser('zone', help='take a zone out or in')
    zone.add_argument('state', choices=('out', 'in'))
    zone.add_argument('zone')
    zone.add_argument(
        '--force',
        action='store_true',
        help='accept a zone that nothing in the configuration names',
    )
    _add_publication(zone)
    zone.set_defaults(run=_zone)
    audit = commands.add_parser('audit', help='list accepted changes')
    _add_store(audit)
    audit.add_argument(
        '--last',
        type=int,
        default=DEFAULT_LAST,
        metavar='N',
        help='how many; 0 for all (default: %(default)s)',
    )
    audit.add_argument(
        '--json', action='store_true', help='print one JSON object a change'
    )
    audit.set_defaults(run=_audit)


def _add_store(parser: Any) -> None:
    parser.add_argument('--store', required=True, metavar='HOST:PORT')


def _add_publication(parser: Any) -> None:
    _add_store(parser)
    parser.add_argument(
        '--dry-run', action='store_true', help='print the difference only'
    )
    parser.add_argument(
        '--change-id',
        metavar='ID',
        help='repeat a change whose outcome was unknown',
    )
    parser.add_argument(
        '--who',
        default=getpass.getuser(),
        help='name for the audit trail (default: %(default)s)',
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
        print('bramleylug: no service to publish', file=sys.stderr)
        return ExitCode.usage
    return _propose(namespace, change)


def _zone(namespace: Namespace) -> int:
    change = Change(services={}, zones={namespace.zone: namespace.state})
    return _propose(namespace, change)


def _propose(namespace: Namespace, change: Change) -> int:
    store = _open_store(namespace.store)
    document = _read_document(store)
    if isinstance(document, Unavailable):
        message = f'the store cannot be read: {document.message}'
        if namespace.change_id:
            return _report(AcceptanceUnknown(message), namespace.change_id)
        return _report(NotAccepted(message), '')
    unknown = _find_unknown(document, change)
    if unknown and not getattr(namespace, 'force', True):
        return _report(NotAccepted(unknown), '')
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
    return _report(outcome, change_id)


def _find_unknown(document: Document, change: Change) -> str:
    """Return what is wrong with zones that nothing names, mostly typos."""
    known = set(document.zones)
    for spec in document.services.values():
        known.update(spec.zones)
    for zone in change['zones']:
        if zone not in known:
            near = suggest(zone, sorted(known))
            return f'no service runs in zone {zone!r}{near}; --force takes it'
    return ''


def _report(outcome: PublishOutcome, change_id: str) -> int:
    match outcome:
        case Accepted(revision, changed):
            word = 'accepted' if changed else 'accepted before, no change'
            print(f'{word}: change {change_id}, revision {revision}')
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
    for line in _audit_lines(trail, as_json=namespace.json):
        print(line)
    if trail.missing:
        print(f'records not found: {list(trail.missing)}', file=sys.stderr)
        return ExitCode.failed
    return ExitCode.ok


def _audit_lines(trail: AuditTrail, *, as_json: bool) -> list[str]:
    if as_json:
        return [json.dumps(entry) for entry in trail.entries]
    lines: list[str] = []
    for entry in trail.entries:
        when = time.strftime(TIME_FORMAT, time.gmtime(entry['when_s']))
        lines.append(
            f'{entry["revision"]:>6}  {when}  {entry["who"]}  '
            f'{entry["change_id"]}'
        )
        lines.extend(f'        {part}' for part in describe_entry(entry))
    return lines
