"""Commands of operators and the publishing step."""

import getpass
import json
import sys
import time
import uuid
from argparse import Namespace
from pathlib import Path
from typing import Any

from bramleylug.configuration.document import (
    DOCUMENT_KEY,
    Change,
    Document,
)
from bramleylug.configuration.files import collect
from bramleylug.configuration.publisher import (
    Accepted,
    AcceptanceUnknown,
    NotAccepted,
    publish,
)
from bramleylug.platform.store import Store, StoredValue, Unavailable

STORE_TIMEOUT_S = 2.0


def add_commands(commands: Any) -> None:
    """Add check, publish, zone and audit."""
    check = commands.add_parser('check', help='check service files')
    check.add_argument('paths', nargs='+', type=Path)
    check.set_defaults(run=_check)
    publishing = commands.add_parser('publish', help='publish service files')
    publishing.add_argument('paths', nargs='+', type=Path)
    _add_store(publishing)
    publishing.add_argument('--change-id', default=None)
    publishing.set_defaults(run=_publish)
    zone = commands.add_parser('zone', help='take a zone out or in')
    zone.add_argument('state', choices=('out', 'in'))
    zone.add_argument('zone')
    zone.add_argument('--change-id', default=None)
    _add_store(zone)
    zone.set_defaults(run=_zone)
    audit = commands.add_parser('audit', help='list accepted changes')
    _add_store(audit)
    audit.set_defaults(run=_audit)


def _add_store(parser: Any) -> None:
    parser.add_argument('--store', required=True, metavar='HOST:PORT')


def _open_store(address: str) -> Store:
    from bramleylug.platform.grpc_store import GrpcStore  # noqa: PLC0415
    from bramleylug.wire.channels import open_channel  # noqa: PLC0415

    return GrpcStore(open_channel(address))


def _check(namespace: Namespace) -> int:
    collected = collect(namespace.paths)
    for finding in collected.findings:
        print(finding, file=sys.stderr)
    return 1 if collected.findings else 0


def _publish(namespace: Namespace) -> int:
    collected = collect(namespace.paths)
    if collected.findings:
        return _check(namespace)
    return _accept(namespace, collected.to_change())


def _zone(namespace: Namespace) -> int:
    change = Change(services={}, zones={namespace.zone: namespace.state})
    return _accept(namespace, change)


def _accept(namespace: Namespace, change: Change) -> int:
    change_id = namespace.change_id or uuid.uuid4().hex
    match publish(
        _open_store(namespace.store),
        change,
        change_id=change_id,
        who=getpass.getuser(),
        when_s=time.time(),
    ):
        case Accepted(revision):
            print(f'accepted: change {change_id}, revision {revision}')
            return 0
        case NotAccepted(message):
            print(f'not accepted: {message}', file=sys.stderr)
            return 1
        case AcceptanceUnknown(message):
            print(
                f'unknown: {message}; repeat with --change-id {change_id}',
                file=sys.stderr,
            )
            return 1


def _audit(namespace: Namespace) -> int:
    match _open_store(namespace.store).read(
        DOCUMENT_KEY, timeout_s=STORE_TIMEOUT_S
    ):
        case Unavailable(message):
            print(f'store unavailable: {message}', file=sys.stderr)
            return 1
        case StoredValue(text):
            for entry in Document.from_json(text).history:
                print(json.dumps(entry))
    return 0
