"""The platform's metadata store over HTTP."""

import json
from base64 import b64decode, b64encode
from http import HTTPStatus
from typing import Any, final
from urllib.parse import quote

from bramleylug.store.changes import (
    HistoryLost,
    Lease,
    LeaseEnded,
    Page,
    Removal,
    StoreChange,
    StoreChanges,
    StoreItem,
    StoreUnavailable,
)
from bramleylug.web.calls import CALL_FAULTS, CallAnswer, Caller

MILLISECONDS = 1000
CONNECT_TIMEOUT_S = 0.5
# The platform names 4 ms an answer; some tens of that is a slow store.
READ_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 1.0
# What a wait may be answered later than asked for.
WAIT_MARGIN_S = 0.6


@final
class PlatformStore:
    """Client of the platform's store.

    Waits and other calls go over connections of their own, so that a call
    is never queued behind a wait.
    """

    def __init__(self, address: str) -> None:
        self.caller = Caller(address, connect_timeout_s=CONNECT_TIMEOUT_S)

    async def list_page(self, prefix: str, after: str) -> Page:
        """Return items below a prefix whose keys follow ``after``."""
        target = f'/-/kv-range?path_prefix={quote(prefix)}'
        if after:
            target = f'{target}&after={quote(after)}'
        document = await self._call('GET', target, READ_TIMEOUT_S)
        return Page(
            tuple(_item(entry) for entry in document['items']),
            int(document['current_rev']),
            bool(document['has_more']),
        )

    async def wait_for_changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> StoreChanges | HistoryLost:
        """Return changes as soon as there are any, or none after the wait."""
        target = (
            f'/-/kv-watch?path_prefix={quote(prefix)}&after={after_revision}'
            f'&wait_ms={int(wait_s * MILLISECONDS)}'
        )
        timeout_s = wait_s + WAIT_MARGIN_S
        answer = await self._ask('GET', target, timeout_s)
        if answer.status == HTTPStatus.GONE:
            return HistoryLost()
        document = _document(answer)
        return StoreChanges(
            tuple(_change(entry) for entry in document['events']),
            int(document['current_rev']),
            answer.begun_after_s,
        )

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease."""
        document = await self._call(
            'POST',
            '/-/kv-lease',
            WRITE_TIMEOUT_S,
            {'ttl_ms': int(ttl_s * MILLISECONDS)},
        )
        return Lease(
            int(document['lease']), int(document['ttl_ms']) / MILLISECONDS
        )

    async def keep_lease(self, lease_id: int) -> None:
        """Renew a lease."""
        await self._call('POST', f'/-/kv-keep/{lease_id}', WRITE_TIMEOUT_S)

    async def end_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys."""
        await self._call(
            'DELETE', f'/-/kv-lease-end/{lease_id}', WRITE_TIMEOUT_S
        )

    async def put(self, key: str, value: bytes, lease_id: int) -> None:
        """Write a key whatever it holds."""
        entry = {
            'key': key,
            'value': b64encode(value).decode(),
            'lease': lease_id,
        }
        transaction = {'expected': [], 'puts': [entry], 'deletes': []}
        await self._call('POST', '/-/kv-txn', WRITE_TIMEOUT_S, transaction)

    async def _call(
        self,
        method: str,
        target: str,
        timeout_s: float,
        document: Any = None,
    ) -> Any:
        return _document(await self._ask(method, target, timeout_s, document))

    async def _ask(
        self,
        method: str,
        target: str,
        timeout_s: float,
        document: Any = None,
    ) -> CallAnswer:
        body = b'' if document is None else json.dumps(document).encode()
        try:
            return await self.caller.call(
                method, target, body, timeout_s=timeout_s
            )
        except CALL_FAULTS as error:
            raise StoreUnavailable(repr(error), uncertain=True) from error


def _document(answer: CallAnswer) -> Any:
    """Return what an answer holds; errors of the store are raised."""
    if answer.status == HTTPStatus.NOT_FOUND:
        raise LeaseEnded(f'store answered {answer.status}')
    if answer.status >= HTTPStatus.BAD_REQUEST:
        raise StoreUnavailable(f'store answered {answer.status}')
    try:
        return json.loads(answer.body) if answer.body else {}
    except ValueError as error:
        raise StoreUnavailable(repr(error), uncertain=True) from error


def _change(entry: Any) -> StoreChange:
    if 'tombstone' in entry:
        return Removal(str(entry['key']), int(entry['revision']))
    return _item(entry)


def _item(entry: Any) -> StoreItem:
    try:
        value = b64decode(entry['value'], validate=True)
    except (ValueError, TypeError, KeyError):
        # A value that cannot be read names nothing; its decoder says so.
        value = b''
    return StoreItem(
        str(entry['key']),
        value,
        int(entry['revision']),
        int(entry.get('lease', 0)),
    )
