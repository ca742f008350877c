"""Applies changes of the metadata store to a process's cluster view."""

import json
import time
from collections.abc import Callable, Sequence
from dataclasses import asdict
from typing import final

from google.protobuf.message import DecodeError

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.peers import PeerRecord, Role
from bramleylug.cluster.suspect_messages import decode_bar
from bramleylug.observability.events import LogEvent, emit
from bramleylug.platform.decoding import (
    CONFIG_KEY,
    DECODING_ERRORS,
    ENGINE_PREFIX,
    EVACUATION_PREFIX,
    VERSION_PREFIX,
    decode_configuration,
    decode_engine,
    decode_version,
)
from bramleylug.store.changes import Removal, StoreChange, StoreItem

# Keys that bramleylug itself writes; the others belong to the platform.
PEER_PREFIX = 'bramleylug/peers/'
BAR_PREFIX = 'bramleylug/bars/'
# Relays watch every key, so that one watch call covers the platform's keys
# and bramleylug's own.
RELAY_PREFIX = ''
LOADER_PREFIXES = (VERSION_PREFIX, PEER_PREFIX)


@final
class StoreChangeHandler:
    """Applies batches of store changes, the configuration first in each.

    :ivar handlers: method that applies a written item, by key prefix.
    """

    def __init__(self, view: ClusterView) -> None:
        self.view = view
        self.handlers: dict[str, Callable[[StoreItem], None]] = {
            CONFIG_KEY: self._apply_configuration,
            ENGINE_PREFIX: self._apply_engine,
            EVACUATION_PREFIX: self._apply_evacuation,
            VERSION_PREFIX: self._apply_target_version,
            PEER_PREFIX: self._apply_peer,
            BAR_PREFIX: self._apply_bar,
        }

    def apply(self, changes: Sequence[StoreChange]) -> None:
        for change in sorted(changes, key=_apply_order):
            match change:
                case StoreItem():
                    self._apply_item(change)
                case Removal(key=key):
                    self._apply_removal(key)
        self.view.is_initial_load = False
        self.view.on_change()

    def _apply_item(self, item: StoreItem) -> None:
        for prefix, handler in self.handlers.items():
            if item.key.startswith(prefix):
                handler(item)

    def _apply_configuration(self, item: StoreItem) -> None:
        table = decode_configuration(item.value)
        if table is not None:
            self.view.apply_route_table(table)

    def _apply_evacuation(self, item: StoreItem) -> None:
        zone = item.key.removeprefix(EVACUATION_PREFIX)
        self.view.set_zone_out(zone, out=True)

    def _apply_target_version(self, item: StoreItem) -> None:
        model_version = decode_version(item.key, item.value)
        if model_version is not None:
            self.view.record_target_version(*model_version)

    def _apply_engine(self, item: StoreItem) -> None:
        record = decode_engine(item.key, item.value, self.view.clock())
        if record is None:
            self.view.remove_upstream(item.key.removeprefix(ENGINE_PREFIX))
        else:
            self.view.register_upstream(record)

    def _apply_peer(self, item: StoreItem) -> None:
        try:
            record = decode_peer(item.value)
        except DECODING_ERRORS as error:
            emit(LogEvent.value_unreadable, key=item.key, error=repr(error))
            return
        self.view.peers.add(record, self.view.clock())

    def _apply_bar(self, item: StoreItem) -> None:
        try:
            report = decode_bar(item.value, time.time())
        except DecodeError as error:
            emit(LogEvent.value_unreadable, key=item.key, error=repr(error))
            return
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


def decode_peer(value: bytes) -> PeerRecord:
    document = json.loads(value)
    known = PeerRecord.__dataclass_fields__
    # A later version of this project may register itself with more fields.
    fields = {name: document[name] for name in document if name in known}
    return PeerRecord(**{**fields, 'role': Role(document['role'])})


def peer_key(name: str) -> str:
    return f'{PEER_PREFIX}{name}'


def bar_key(fingerprint: bytes) -> str:
    return f'{BAR_PREFIX}{fingerprint.hex()}'


def _apply_order(change: StoreChange) -> tuple[bool, int]:
    """Return a sort key: the configuration first, then by revision."""
    return change.key != CONFIG_KEY, change.revision
