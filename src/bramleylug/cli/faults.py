"""Sets faults of running fakes from ``NAME=VALUE`` arguments."""

import json
from collections.abc import Iterable
from http.client import HTTPConnection, HTTPException
from typing import Any

from bramleylug.settings.fields import SettingsError
from bramleylug.wire.platform_pb2 import HostsRequest, StoreFaults

CONTROL_TIMEOUT_S = 5.0


def parse_assignments(arguments: Iterable[str]) -> dict[str, Any]:
    """Parse ``NAME=VALUE`` arguments; values are JSON or plain text.

    :raises SettingsError: naming every argument without ``=``.
    """
    parsed: dict[str, Any] = {}
    errors = []
    for argument in arguments:
        name, sign, text = argument.partition('=')
        if not sign:
            errors.append(f'{argument!r} is not NAME=VALUE')
        parsed[name] = _parse_value(text)
    if errors:
        raise SettingsError(errors)
    return parsed


def build_store_faults(faults: dict[str, Any]) -> StoreFaults:
    """Convert parsed arguments to the message for the fake store.

    :raises SettingsError: for unknown faults, listing the known ones, and for
        values of the wrong type.
    """
    known = [field.name for field in StoreFaults.DESCRIPTOR.fields]
    unknown = [name for name in faults if name not in known]
    if unknown:
        raise SettingsError(
            [
                f'unknown fault {name!r}; known faults: {", ".join(known)}'
                for name in unknown
            ]
        )
    try:
        return StoreFaults(**faults)
    except (TypeError, ValueError) as error:
        raise SettingsError([f'faults: {error}']) from error


def set_store_faults(address: str, faults: dict[str, Any]) -> dict[str, Any]:
    """Replace the faults of a running fake store; return its call counts.

    :param faults: empty to only return the counts.
    """
    from bramleylug.wire.channels import open_channel  # noqa: PLC0415
    from bramleylug.wire.platform_pb2_grpc import (  # noqa: PLC0415
        FakeStoreControlStub,
    )

    with open_channel(address) as channel:
        stub = FakeStoreControlStub(channel)
        if faults:
            stub.SetFaults(
                build_store_faults(faults), timeout=CONTROL_TIMEOUT_S
            )
        counts = stub.Counts(HostsRequest(), timeout=CONTROL_TIMEOUT_S)
    return {'calls': dict(counts.calls), 'refused': counts.refused}


def set_http_faults(address: str, faults: dict[str, Any]) -> dict[str, Any]:
    """Set faults of a running HTTP fake; return its state and counts.

    If it rejects a fault, its JSON error is returned instead.

    :param faults: empty to change nothing.
    :raises OSError: when there is no response or it is not JSON.
    """
    connection = HTTPConnection(address, timeout=CONTROL_TIMEOUT_S)
    try:
        connection.request('POST', '/control', json.dumps(faults))
        response: dict[str, Any] = json.loads(connection.getresponse().read())
    except (HTTPException, ValueError) as error:
        raise OSError(f'no valid response from {address}: {error}') from error
    finally:
        connection.close()
    return response


def _parse_value(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text
