"""HTTP client for the platform's metadata store."""

import json
import re
from base64 import b64decode, b64encode
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypeVar, final
from urllib.parse import quote

from bramleylug.observability.metrics import (
    STORE_BYTES,
    STORE_CALLS,
    add,
    count,
)
from bramleylug.platform.fields import UnreadableValue, decode_json
from bramleylug.store.changes import (
    AnswerUnusable,
    ConditionFailed,
    HistoryLost,
    Lease,
    LeaseEnded,
    Page,
    Removal,
    StoreChange,
    StoreChanges,
    StoreItem,
    StoreUnavailable,
    Transaction,
    Write,
)
from bramleylug.store.mirror import ANSWER_LAG_S
from bramleylug.web.client_connection import MalformedAnswer
from bramleylug.web.http_client import (
    CALL_ERRORS,
    AnswerOverdue,
    CallAnswer,
    HttpClient,
)

MILLISECONDS = 1000
CONNECT_TIMEOUT_S = 0.5
# The platform specifies 4 ms per answer; a slow store takes tens of times
# longer. An answer that is arriving may take longer: its bytes would have to
# pass a slow link once more.
READ_TIMEOUT_S = 1.0
READ_LIMIT_S = 10.0
WRITE_TIMEOUT_S = 1.0
# Rises by one each time the store comes back from an older copy of itself.
ERA_HEADER = 'store-era'
# How much later than the requested wait an answer may arrive.
WAIT_MARGIN_S = 0.6
ERA = re.compile('[0-9]{1,18}')

AnswerT = TypeVar('AnswerT')


@final
class PlatformStore:
    """Client for the platform's store.

    Each pending call has a connection of its own, so that a call is never
    queued behind a long poll.
    """

    def __init__(self, address: str) -> None:
        self.client = HttpClient(address, connect_timeout_s=CONNECT_TIMEOUT_S)
        self.era = 0

    async def list_page(self, prefix: str, after: str) -> Page:
        """Return the next items under a prefix, in the order of keys.

        :param after: last key of the page before; empty for the first page.
        """
        target = f'/-/kv-range?path_prefix={quote(prefix)}'
        if after:
            target = f'{target}&after={quote(after)}'
        answer = await self._send(
            'GET', target, READ_TIMEOUT_S, limit_s=READ_LIMIT_S
        )
        return _decode_answer(
            answer,
            lambda document: Page(
                tuple(_item(entry) for entry in document['items']),
                int(document['current_rev']),
                bool(document['has_more']),
                _era_of(answer),
            ),
        )

    async def wait_for_changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> StoreChanges | HistoryLost:
        """Long-poll for changes: return them at once, or none after the wait.

        :param after_revision: only later changes are returned.
        """
        target = (
            f'/-/kv-watch?path_prefix={quote(prefix)}&after={after_revision}'
            f'&wait_ms={int(wait_s * MILLISECONDS)}'
        )
        answer = await self._send(
            'GET',
            target,
            wait_s + WAIT_MARGIN_S,
            limit_s=wait_s + READ_LIMIT_S,
        )
        held_s = answer.first_byte_after_s
        if held_s > wait_s + ANSWER_LAG_S:
            # Late on its way: the store held it for at most the wait.
            held_s = 0
        if answer.status == HTTPStatus.GONE:
            return HistoryLost()
        return _decode_answer(
            answer,
            lambda document: StoreChanges(
                tuple(_change(entry) for entry in document['events']),
                int(document['current_rev']),
                held_s,
                _era_of(answer),
            ),
        )

    async def grant_lease(self, ttl_s: float) -> Lease:
        answer = await self._send(
            'POST',
            '/-/kv-lease',
            WRITE_TIMEOUT_S,
            {'ttl_ms': int(ttl_s * MILLISECONDS)},
        )
        return _decode_answer(
            answer,
            lambda document: Lease(
                int(document['lease']), int(document['ttl_ms']) / MILLISECONDS
            ),
        )

    async def keep_lease(self, lease_id: int) -> None:
        await self._call('POST', f'/-/kv-keep/{lease_id}', WRITE_TIMEOUT_S)

    async def end_lease(self, lease_id: int) -> None:
        """Revoke a lease; the store removes the keys attached to it."""
        await self._call(
            'DELETE', f'/-/kv-lease-end/{lease_id}', WRITE_TIMEOUT_S
        )

    async def put(self, key: str, value: bytes, lease_id: int) -> None:
        """Write a key unconditionally and attach it to a lease."""
        await self.commit(
            Transaction(expected={}, writes=(Write(key, value, lease_id),))
        )

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction and return its revision."""
        answer = await self._send(
            'POST', '/-/kv-txn', WRITE_TIMEOUT_S, _encode(transaction)
        )
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            raise ConditionFailed(', '.join(transaction.expected))
        return _decode_answer(
            answer, lambda document: int(document['revision'])
        )

    async def _call(
        self,
        method: str,
        target: str,
        timeout_s: float,
        document: Any = None,
    ) -> None:
        answer = await self._send(method, target, timeout_s, document)
        _check_status(answer)

    async def _send(
        self,
        method: str,
        target: str,
        timeout_s: float,
        document: Any = None,
        *,
        limit_s: float | None = None,
    ) -> CallAnswer:
        body = b'' if document is None else json.dumps(document).encode()
        try:
            answer = await self.client.call(
                method, target, body, timeout_s=timeout_s, limit_s=limit_s
            )
        except (MalformedAnswer, AnswerOverdue) as error:
            count(STORE_CALLS, outcome='failed')
            raise AnswerUnusable(repr(error), uncertain=True) from error
        except CALL_ERRORS as error:
            count(STORE_CALLS, outcome='failed')
            raise StoreUnavailable(repr(error), uncertain=True) from error
        count(STORE_CALLS, outcome='answered')
        add(STORE_BYTES, len(answer.body), source='store')
        era = _era_of(answer)
        if era < self.era:
            raise StoreUnavailable(
                f'answer of era {era}, but the store is in era {self.era}',
                uncertain=True,
            )
        self.era = era
        return answer


def _encode(transaction: Transaction) -> dict[str, Any]:
    return {
        'expected': [
            {'key': key, 'revision': revision}
            for key, revision in transaction.expected.items()
        ],
        'puts': [
            {
                'key': write.key,
                'value': b64encode(write.value).decode(),
                'lease': write.lease_id,
            }
            for write in transaction.writes
        ],
        'deletes': list(transaction.removals),
    }


def _era_of(answer: CallAnswer) -> int:
    text = answer.headers.get(ERA_HEADER, '')
    return int(text) if ERA.fullmatch(text) else 0


def _check_status(answer: CallAnswer) -> None:
    """Raise on an error status.

    :raises LeaseEnded: on 404, the store's answer for an expired lease.
    :raises StoreUnavailable: on other error statuses.
    """
    if answer.status == HTTPStatus.NOT_FOUND:
        raise LeaseEnded(f'store answered HTTP {answer.status}')
    if answer.status >= HTTPStatus.BAD_REQUEST:
        raise StoreUnavailable(f'store answered HTTP {answer.status}')


def _decode_answer(
    answer: CallAnswer, build: Callable[[Any], AnswerT]
) -> AnswerT:
    """Return what a function builds from the JSON body of an answer.

    :raises AnswerUnusable: on a malformed body.
    :raises StoreUnavailable: as :func:`_check_status`.
    """
    _check_status(answer)
    try:
        return decode_json(answer.body or b'{}', build)
    except UnreadableValue as error:
        raise AnswerUnusable(str(error), uncertain=True) from error


def _change(entry: Any) -> StoreChange:
    if 'tombstone' in entry:
        return Removal(_key(entry), int(entry['revision']))
    return _item(entry)


def _item(entry: Any) -> StoreItem:
    try:
        value = b64decode(entry['value'], validate=True)
    except (ValueError, TypeError, KeyError):
        # A value that is not Base64 becomes an empty one, which the decoder
        # for its key rejects and logs.
        value = b''
    return StoreItem(
        _key(entry),
        value,
        int(entry['revision']),
        int(entry.get('lease', 0)),
    )


def _key(entry: Any) -> str:
    """Return the key of an entry, in a form that can be passed on."""
    return str(entry['key']).encode(errors='replace').decode()
