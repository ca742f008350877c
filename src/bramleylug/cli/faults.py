"""Faults of the stand-ins, as ``NAME=VALUE`` words."""

import json
from collections.abc import Iterable
from http.client import HTTPConnection, HTTPException
from typing import Any

from bramleylug.settings.fields import SettingsError
from bramleylug.wire.platform_pb2 import HostsRequest, StoreFaults

CONTROL_TIMEOUT_S = 5.0


def parse_words(words: Iterable[str]) -> dict[str, Any]:
    """Read ``NAME=VALUE`` words; values are JSON or plain text.

    :raises SettingsError: for words without ``=``.
    """
    parsed: dict[str, Any] = {}
    faults = []
    for word in words:
        name, sign, text = word.partition('=')
        if not sign:
            faults.append(f'{word!r} is not NAME=VALUE')
        parsed[name] = _read_value(text)
    if faults:
        raise SettingsError(faults)
    return parsed


def store_faults(parsed: dict[str, Any]) -> StoreFaults:
    """Build the faults of the store stand-in.

    :raises SettingsError: naming the faults there are.
    """
    known = [field.name for field in StoreFaults.DESCRIPTOR.fields]
    unknown = [name for name in parsed if name not in known]
    if unknown:
        raise SettingsError(
            [
                f'no such fault {name!r}; there are {", ".join(known)}'
                for name in unknown
            ]
        )
    try:
        return StoreFaults(**parsed)
    except (TypeError, ValueError) as error:
        raise SettingsError([f'faults: {error}']) from error


def set_store_faults(address: str, parsed: dict[str, Any]) -> dict[str, Any]:
    """Replace the faults of a running store and return its call counts."""
    from bramleylug.wire.channels import open_channel  # noqa: PLC0415
    from bramleylug.wire.platform_pb2_grpc import (  # noqa: PLC0415
        FakeStoreControlStub,
    )

    with open_channel(address) as channel:
        stub = FakeStoreControlStub(channel)
        if parsed:
            stub.SetFaults(store_faults(parsed), timeout=CONTROL_TIMEOUT_S)
        counts = stub.Counts(HostsRequest(), timeout=CONTROL_TIMEOUT_S)
    return {'calls': dict(counts.calls), 'refused': counts.refused}


def set_http_faults(address: str, parsed: dict[str, Any]) -> dict[str, Any]:
    """Set faults of a running stand-in that speaks HTTP.

    :raises OSError: when it does not answer.
    """
    connection = HTTPConnection(address, timeout=CONTROL_TIMEOUT_S)
    try:
        connection.request('POST', '/control', json.dumps(parsed))
        answer: dict[str, Any] = json.loads(connection.getresponse().read())
    except (HTTPException, ValueError) as error:
        raise OSError(f'{address} gave no answer: {error}') from error
    finally:
        connection.close()
    return answer


def _read_value(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text
