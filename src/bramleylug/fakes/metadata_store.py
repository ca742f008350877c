"""Fake of the metadata store that relays and loaders use, over HTTP."""

import json
import time
from base64 import b64encode
from dataclasses import dataclass, field
from itertools import count as numbers
from typing import Any, NamedTuple, final
from urllib.parse import parse_qs

from circuits import BaseComponent, Timer, handler
from circuits.core.events import Event

from bramleylug.web.exchange import Exchange
from bramleylug.web.server import WebServer

TICK_S = 0.02
PAGE_ITEMS = 500


class store_tick(Event):  # noqa: N801
    """Fired every :data:`TICK_S` to end expired leases and watches."""


@final
@dataclass(slots=True)
class Watch:
    """A watch request that is held open until a change or a time limit.

    :ivar after: revision after which changes are returned.
    """

    exchange: Exchange
    prefix: str
    after: int
    deadline_s: float


@final
@dataclass(slots=True)
class LeaseState:
    """A lease and the keys bound to it."""

    ttl_s: float
    expires_s: float
    keys: set[str] = field(default_factory=set)


class StoreCopy(NamedTuple):
    """State that the store can come back from."""

    items: dict[str, Any]
    revision: int


@final
class FakeMetadataStore(BaseComponent):
    """Key-value store in memory with one revision number for all keys.

    :ivar compacted: revision up to which the history was dropped; a watch
        from an earlier revision gets status 410.
    :ivar era: number of times that it came back from an older copy, plus 1;
        in the header ``Store-Era`` of every answer.
    """

    channel = 'web'

    def __init__(self, bind: str = '127.0.0.1:0') -> None:
        super().__init__()
        self.web = WebServer(bind, self.serve).register(self)
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.revision = 1
        self.compacted = 0
        self.era = 1
        self.copy = StoreCopy({}, 1)
        self.leases: dict[int, LeaseState] = {}
        self.lease_ids = numbers(1)
        self.watches: list[Watch] = []
        self.routes = {
            'kv-key': self._get,
            'kv-range': self._list_page,
            'kv-watch': self._watch,
            'kv-txn': self._transact,
            'kv-lease': self._grant_lease,
            'kv-keep': self._renew_lease,
            'kv-lease-end': self._revoke_lease,
        }
        Timer(TICK_S, store_tick(), 'web', persist=True).register(self)

    def put(self, key: str, document: Any, lease: int = 0) -> None:
        """Write a key on behalf of the operator; thread-safe."""
        value = b64encode(json.dumps(document).encode()).decode()
        self.web.call(lambda: self._commit([_put(key, value, lease)], []))

    def remove(self, key: str) -> None:
        """Remove a key on behalf of the operator; thread-safe."""
        self.web.call(lambda: self._commit([], [key]))

    def compact_history(self) -> None:
        """Drop the history of changes and abort all watches; thread-safe."""
        self.web.call(self._drop_history)

    def save_copy(self) -> None:
        """Remember the state for :meth:`restore_copy`; thread-safe."""
        self.web.call(self._save_copy)

    def restore_copy(self) -> None:
        """Come back from the saved copy, without leases; thread-safe."""
        self.web.call(self._restore_copy)

    def serve(self, exchange: Exchange) -> None:
        if exchange.path == '/control':
            self._control(exchange, json.loads(exchange.body()))
            return
        parts = exchange.path.strip('/').split('/')
        if len(parts) < 2 or parts[1] not in self.routes:
            self._refuse(exchange, 404)
            return
        query = {
            name: values[0] for name, values in parse_qs(exchange.query).items()
        }
        self.routes[parts[1]](exchange, query, parts[2:])

    def _control(self, exchange: Exchange, command: dict[str, Any]) -> None:
        """Put or remove a key for the operator, or drop the history."""
        match command:
            case {'put': key, 'document': document}:
                value = b64encode(json.dumps(document).encode()).decode()
                self._commit([_put(key, value, 0)], [])
            case {'put': key, 'raw': text}:
                value = b64encode(text.encode()).decode()
                self._commit([_put(key, value, 0)], [])
            case {'remove': key}:
                self._commit([], [key])
            case {'forget': True}:
                self._drop_history()
            case {'save': True}:
                self._save_copy()
            case {'restore': True}:
                self._restore_copy()
        self._reply(exchange, {'revision': self.revision})

    def _reply(
        self, exchange: Exchange, document: Any, status: int = 200
    ) -> None:
        headers = {'Store-Era': str(self.era)}
        exchange.reply_json(status, document, headers)

    def _refuse(self, exchange: Exchange, status: int) -> None:
        exchange.reply(status, b'', {'Store-Era': str(self.era)})

    def _save_copy(self) -> None:
        self.copy = StoreCopy(dict(self.items), self.revision)

    def _restore_copy(self) -> None:
        self.era += 1
        self.revision = self.copy.revision
        self.items = {
            key: item
            for key, item in self.copy.items.items()
            if not item['lease']
        }
        self.leases.clear()
        self.lease_ids = numbers(1)
        self._drop_history()

    def _get(self, exchange: Exchange, query: Any, path_parts: Any) -> None:
        item = self.items.get(query.get('key', ''))
        if item is None:
            self._refuse(exchange, 404)
        else:
            self._reply(exchange, {**item, 'current_rev': self.revision})

    def _list_page(
        self, exchange: Exchange, query: Any, path_parts: Any
    ) -> None:
        prefix, after = query.get('path_prefix', ''), query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        self._reply(
            exchange,
            {
                'items': [self.items[key] for key in keys[:PAGE_ITEMS]],
                'has_more': len(keys) > PAGE_ITEMS,
                'current_rev': self.revision,
            },
        )

    def _watch(self, exchange: Exchange, query: Any, path_parts: Any) -> None:
        after = int(query['after'])
        if not self.compacted <= after <= self.revision:
            self._refuse(exchange, 410)
            return
        deadline_s = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        prefix = query.get('path_prefix', '')
        self.watches.append(Watch(exchange, prefix, after, deadline_s))
        self._answer_watches()

    def _transact(
        self, exchange: Exchange, query: Any, path_parts: Any
    ) -> None:
        document = json.loads(exchange.body())
        for row in document.get('expected', []):
            stored = self.items.get(row['key'], {'revision': 0})
            if stored['revision'] != row['revision']:
                self._reply(exchange, {'items': [stored]}, 412)
                return
        puts = document.get('puts', [])
        if any(
            put.get('lease') and put['lease'] not in self.leases for put in puts
        ):
            self._refuse(exchange, 404)
            return
        self._commit(puts, document.get('deletes', []))
        self._reply(exchange, {'revision': self.revision})

    def _grant_lease(
        self, exchange: Exchange, query: Any, path_parts: Any
    ) -> None:
        ttl_ms = json.loads(exchange.body())['ttl_ms']
        lease_id = next(self.lease_ids)
        ttl_s = ttl_ms / 1000
        expires_s = time.monotonic() + ttl_s
        self.leases[lease_id] = LeaseState(ttl_s, expires_s)
        self._reply(exchange, {'lease': lease_id, 'ttl_ms': ttl_ms})

    def _renew_lease(
        self, exchange: Exchange, query: Any, path_parts: Any
    ) -> None:
        lease = self.leases.get(int(path_parts[0]))
        if lease is None:
            self._refuse(exchange, 404)
            return
        lease.expires_s = time.monotonic() + lease.ttl_s
        self._reply(exchange, {'ttl_ms': int(lease.ttl_s * 1000)})

    def _revoke_lease(
        self, exchange: Exchange, query: Any, path_parts: Any
    ) -> None:
        self._drop_lease(int(path_parts[0]))
        self._reply(exchange, {})

    def _commit(self, puts: list[Any], deletes: list[str]) -> None:
        self.revision += 1
        for put in puts:
            created = self.items.get(put['key'], {}).get('create_rev')
            item = {
                'key': put['key'],
                'value': put['value'],
                'revision': self.revision,
                'create_rev': created or self.revision,
                'lease': put.get('lease', 0),
            }
            self.items[put['key']] = item
            self.history.append(item)
            if item['lease']:
                self.leases[item['lease']].keys.add(put['key'])
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append(
                    {
                        'key': key,
                        'revision': self.revision,
                        'tombstone': True,
                    }
                )
        self._answer_watches()

    def _drop_history(self) -> None:
        self.history.clear()
        self.compacted = self.revision
        for watch in self.watches:
            watch.exchange.abort()
        self.watches.clear()

    def _drop_lease(self, lease_id: int) -> None:
        lease = self.leases.pop(lease_id, None)
        if lease is not None and lease.keys:
            stored = [
                key
                for key in lease.keys
                if self.items.get(key, {}).get('lease') == lease_id
            ]
            self._commit([], stored)

    def _answer_watches(self) -> None:
        now_s = time.monotonic()
        pending = []
        for watch in self.watches:
            events = [
                change
                for change in self.history
                if change['revision'] > watch.after
                and change['key'].startswith(watch.prefix)
            ]
            if events or now_s >= watch.deadline_s:
                self._reply(
                    watch.exchange,
                    {'events': events, 'current_rev': self.revision},
                )
            elif not watch.exchange.closed:
                pending.append(watch)
        self.watches = pending

    @handler('store_tick')
    def _on_tick(self) -> None:
        now_s = time.monotonic()
        for lease_id, lease in tuple(self.leases.items()):
            if lease.expires_s <= now_s:
                self._drop_lease(lease_id)
        self._answer_watches()


def _put(key: str, value: str, lease: int) -> dict[str, Any]:
    return {'key': key, 'value': value, 'lease': lease}
