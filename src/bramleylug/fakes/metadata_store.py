"""Stand-in of the platform's metadata store over HTTP."""

import json
import time
from base64 import b64encode
from dataclasses import dataclass, field
from itertools import count as numbers
from typing import Any, final
from urllib.parse import parse_qs

from circuits import BaseComponent, Timer, handler
from circuits.core.events import Event

from bramleylug.web.exchange import Exchange
from bramleylug.web.server import WebServer

TICK_S = 0.02
PAGE_ITEMS = 500


class store_tick(Event):  # noqa: N801
    """Time to end leases and waits."""


@final
@dataclass(slots=True)
class Waiting:
    """A watch that waits for changes."""

    exchange: Exchange
    prefix: str
    after: int
    until_s: float


@final
@dataclass(slots=True)
class LeaseState:
    """A lease and when it ends."""

    ttl_s: float
    ends_s: float
    keys: set[str] = field(default_factory=set)


@final
class FakeMetadataStore(BaseComponent):
    """Keeps keys in memory; a single revision counts all changes.

    :ivar oldest: first revision whose change is still known.
    """

    channel = 'web'

    def __init__(self, bind: str = '127.0.0.1:0') -> None:
        super().__init__()
        self.web = WebServer(bind, self.serve).register(self)
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.revision = 1
        self.oldest = 0
        self.leases: dict[int, LeaseState] = {}
        self.lease_ids = numbers(1)
        self.waits: list[Waiting] = []
        self.calls = {
            'kv-key': self._get,
            'kv-range': self._range,
            'kv-watch': self._watch,
            'kv-txn': self._transact,
            'kv-lease': self._grant,
            'kv-keep': self._keep,
            'kv-lease-end': self._end,
        }
        Timer(TICK_S, store_tick(), 'web', persist=True).register(self)

    def put(self, key: str, document: Any, lease: int = 0) -> None:
        """Write a key as the operator does; may be called by any thread."""
        value = b64encode(json.dumps(document).encode()).decode()
        self.web.call(lambda: self._commit([_put(key, value, lease)], []))

    def remove(self, key: str) -> None:
        """Remove a key as the operator does; may be called by any thread."""
        self.web.call(lambda: self._commit([], [key]))

    def compact_history(self) -> None:
        """Drop all changes that are known."""
        self.web.call(self._forget)

    def serve(self, exchange: Exchange) -> None:
        """Answer one call."""
        if exchange.path == '/control':
            self._control(exchange, json.loads(exchange.body()))
            return
        parts = exchange.path.strip('/').split('/')
        if len(parts) < 2 or parts[1] not in self.calls:
            exchange.reply(404, b'')
            return
        query = {
            name: values[0] for name, values in parse_qs(exchange.query).items()
        }
        self.calls[parts[1]](exchange, query, parts[2:])

    def _control(self, exchange: Exchange, order: dict[str, Any]) -> None:
        """Do what an operator does: put, remove, or forget the history."""
        match order:
            case {'put': key, 'document': document}:
                value = b64encode(json.dumps(document).encode()).decode()
                self._commit([_put(key, value, 0)], [])
            case {'remove': key}:
                self._commit([], [key])
            case {'forget': True}:
                self._forget()
        exchange.reply_json(200, {'revision': self.revision})

    def _get(self, exchange: Exchange, query: Any, rest: Any) -> None:
        item = self.items.get(query.get('key', ''))
        if item is None:
            exchange.reply(404, b'')
        else:
            exchange.reply_json(200, {**item, 'current_rev': self.revision})

    def _range(self, exchange: Exchange, query: Any, rest: Any) -> None:
        prefix, after = query.get('path_prefix', ''), query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        exchange.reply_json(
            200,
            {
                'items': [self.items[key] for key in keys[:PAGE_ITEMS]],
                'has_more': len(keys) > PAGE_ITEMS,
                'current_rev': self.revision,
            },
        )

    def _watch(self, exchange: Exchange, query: Any, rest: Any) -> None:
        after = int(query['after'])
        if after < self.oldest:
            exchange.reply(410, b'')
            return
        until_s = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        prefix = query.get('path_prefix', '')
        self.waits.append(Waiting(exchange, prefix, after, until_s))
        self._answer_waits()

    def _transact(self, exchange: Exchange, query: Any, rest: Any) -> None:
        document = json.loads(exchange.body())
        for row in document.get('expected', []):
            held = self.items.get(row['key'], {'revision': 0})
            if held['revision'] != row['revision']:
                exchange.reply_json(412, {'items': [held]})
                return
        puts = document.get('puts', [])
        if any(
            put.get('lease') and put['lease'] not in self.leases for put in puts
        ):
            exchange.reply(404, b'')
            return
        self._commit(puts, document.get('deletes', []))
        exchange.reply_json(200, {'revision': self.revision})

    def _grant(self, exchange: Exchange, query: Any, rest: Any) -> None:
        ttl_ms = json.loads(exchange.body())['ttl_ms']
        lease_id = next(self.lease_ids)
        ttl_s = ttl_ms / 1000
        ends_s = time.monotonic() + ttl_s
        self.leases[lease_id] = LeaseState(ttl_s, ends_s)
        exchange.reply_json(200, {'lease': lease_id, 'ttl_ms': ttl_ms})

    def _keep(self, exchange: Exchange, query: Any, rest: Any) -> None:
        lease = self.leases.get(int(rest[0]))
        if lease is None:
            exchange.reply(404, b'')
            return
        lease.ends_s = time.monotonic() + lease.ttl_s
        exchange.reply_json(200, {'ttl_ms': int(lease.ttl_s * 1000)})

    def _end(self, exchange: Exchange, query: Any, rest: Any) -> None:
        self._drop_lease(int(rest[0]))
        exchange.reply_json(200, {})

    def _commit(self, puts: list[Any], deletes: list[str]) -> None:
        self.revision += 1
        for put in puts:
            made = self.items.get(put['key'], {}).get('create_rev')
            item = {
                'key': put['key'],
                'value': put['value'],
                'revision': self.revision,
                'create_rev': made or self.revision,
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
        self._answer_waits()

    def _forget(self) -> None:
        self.history.clear()
        self.oldest = self.revision
        for waiting in self.waits:
            waiting.exchange.abort()
        self.waits.clear()

    def _drop_lease(self, lease_id: int) -> None:
        lease = self.leases.pop(lease_id, None)
        if lease is not None and lease.keys:
            held = [
                key
                for key in lease.keys
                if self.items.get(key, {}).get('lease') == lease_id
            ]
            self._commit([], held)

    def _answer_waits(self) -> None:
        now_s = time.monotonic()
        still = []
        for waiting in self.waits:
            events = [
                change
                for change in self.history
                if change['revision'] > waiting.after
                and change['key'].startswith(waiting.prefix)
            ]
            if events or now_s >= waiting.until_s:
                waiting.exchange.reply_json(
                    200, {'events': events, 'current_rev': self.revision}
                )
            elif not waiting.exchange.closed:
                still.append(waiting)
        self.waits = still

    @handler('store_tick')
    def _on_tick(self) -> None:
        now_s = time.monotonic()
        for lease_id, lease in tuple(self.leases.items()):
            if lease.ends_s <= now_s:
                self._drop_lease(lease_id)
        self._answer_waits()


def _put(key: str, value: str, lease: int) -> dict[str, Any]:
    return {'key': key, 'value': value, 'lease': lease}
