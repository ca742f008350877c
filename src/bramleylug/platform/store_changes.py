"""Applies changes of the metadata store to a process's cluster view."""

import json
import time
from collections.abc import Callable, Sequence
from dataclasses import asdict
from typing import Any, final

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.peers import PeerRecord, Role
from bramleylug.cluster.suspect_messages import decode_bar
from bramleylug.observability.rejections import RejectionLog
from bramleylug.platform.decoding import (
    CONFIG_KEY,
    ENGINE_PREFIX,
    EVACUATION_PREFIX,
    VERSION_PREFIX,
    RouteDecoder,
    decode_configuration,
    decode_engine,
    decode_version,
)
from bramleylug.platform.fields import (
    MAX_NUMBER,
    UnreadableValue,
    address,
    decode_json,
    describe,
    integer,
    optional_address,
    text,
)
from bramleylug.store.changes import Removal, StoreChange, StoreItem

# Keys that bramleylug itself writes; the others belong to the platform.
PEER_PREFIX = 'bramleylug/peers/'
BAR_PREFIX = 'bramleylug/bars/'
FEED_PREFIX = 'bramleylug/feeds/'
DUTY_PREFIX = 'bramleylug/duties/'
# Relays watch every key, so that one watch call covers the platform's keys
# and bramleylug's own.
RELAY_PREFIX = ''
LOADER_PREFIXES = (VERSION_PREFIX, PEER_PREFIX)


@final
class StoreChangeHandler:
    """Applies batches of store changes, the configuration first in each.

    Each change is applied by itself: one that cannot be applied is counted
    and left out, whatever error it raises, and the others hold. A record of
    an engine that is left out also ends the one before it.

    :ivar handlers: method that applies a written item, by key prefix.
    :ivar routes: decodes the routes of the configuration.
    :ivar rejections: limits the log lines about what is left out.
    """

    def __init__(self, view: ClusterView) -> None:
        self.view = view
        self.rejections = RejectionLog(view.clock)
        self.routes = RouteDecoder()
        self.handlers: dict[str, Callable[[StoreItem], None]] = {
            ENGINE_PREFIX: self._apply_engine,
            EVACUATION_PREFIX: self._apply_evacuation,
            VERSION_PREFIX: self._apply_target_version,
            PEER_PREFIX: self._apply_peer,
            BAR_PREFIX: self._apply_bar,
        }

    def apply(self, changes: Sequence[StoreChange]) -> None:
        for change in sorted(changes, key=_apply_order):
            try:
                self._apply_change(change)
            except Exception as error:
                self._leave_out(change.key, error)
        self.view.is_initial_load = False
        self.view.on_change()

    def _apply_change(self, change: StoreChange) -> None:
        match change:
            case StoreItem(key=key) if key == CONFIG_KEY:
                self.view.apply_route_table(
                    decode_configuration(change.value, self.routes)
                )
            case StoreItem():
                self._apply_item(change)
            case Removal(key=key):
                self._apply_removal(key)

    def _leave_out(self, key: str, error: Exception) -> None:
        self.rejections.record(key, describe(error))
        if key.startswith(ENGINE_PREFIX):
            self.view.remove_upstream(key.removeprefix(ENGINE_PREFIX))

    def _apply_item(self, item: StoreItem) -> None:
        for prefix, handler in self.handlers.items():
            if item.key.startswith(prefix):
                handler(item)

    def _apply_evacuation(self, item: StoreItem) -> None:
        zone = item.key.removeprefix(EVACUATION_PREFIX)
        self.view.set_zone_out(zone, out=True)

    def _apply_target_version(self, item: StoreItem) -> None:
        self.view.record_target_version(*decode_version(item.value))

    def _apply_engine(self, item: StoreItem) -> None:
        record = decode_engine(item.key, item.value, self.view.clock())
        self.view.register_upstream(record)

    def _apply_peer(self, item: StoreItem) -> None:
        name = item.key.removeprefix(PEER_PREFIX)
        self.view.peers.add(decode_peer(name, item.value), self.view.clock())

    def _apply_bar(self, item: StoreItem) -> None:
        report = decode_bar(item.value, time.time())
        self.view.suspects.merge(report)
        self.view.suspects.mark_stored(report.fingerprint, report.strikes)

    def _apply_removal(self, key: str) -> None:
        if key.startswith(ENGINE_PREFIX):
            self.view.remove_upstream(key.removeprefix(ENGINE_PREFIX))
        elif key.startswith(EVACUATION_PREFIX):
            zone = key.removeprefix(EVACUATION_PREFIX)
            self.view.set_zone_out(zone, out=False)
        elif key.startswith(PEER_PREFIX):
            self.view.peers.remove(key.removeprefix(PEER_PREFIX))


def encode_peer(record: PeerRecord) -> bytes:
    return json.dumps(asdict(record)).encode()


def decode_peer(name: str, value: bytes) -> PeerRecord:
    """Return the record of a process.

    Fields that a later version of this project adds are ignored.

    :param name: name of the process in the key of the record.
    :raises UnreadableValue: if the value is malformed.
    """
    return decode_json(value, lambda document: _peer_record(name, document))


def _peer_record(name: str, document: Any) -> PeerRecord:
    if document['name'] != name:
        raise UnreadableValue('name is not that of the key')
    return PeerRecord(
        name=text(name, 'name'),
        role=Role(document['role']),
        boot=integer(document['boot'], 'boot', MAX_NUMBER),
        zone=text(document['zone'], 'zone'),
        region=text(document['region'], 'region'),
        serving=address(document['serving'], 'serving'),
        beats=address(document['beats'], 'beats'),
        chunks=optional_address(document.get('chunks'), 'chunks'),
        feed=optional_address(document.get('feed'), 'feed'),
        draining=document.get('draining') is True,
    )


def peer_key(name: str) -> str:
    return f'{PEER_PREFIX}{name}'


def feed_prefix(zone: str) -> str:
    return f'{FEED_PREFIX}{zone}/'


def duty_key(name: str) -> str:
    return f'{DUTY_PREFIX}{name}'


def bar_key(fingerprint: bytes) -> str:
    return f'{BAR_PREFIX}{fingerprint.hex()}'


def _apply_order(change: StoreChange) -> tuple[bool, int]:
    """Return a sort key: the configuration first, then by revision."""
    return change.key != CONFIG_KEY, change.revision
