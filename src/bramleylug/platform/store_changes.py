"""Carrying what the store says over to what the process believes."""

import json
from collections.abc import Callable, Sequence
from dataclasses import asdict
from typing import final

from bramleylug.observability.events import LogEvent, emit
from bramleylug.platform.decoding import (
    CONFIG_KEY,
    DECODING_FAULTS,
    ENGINE_PREFIX,
    EVACUATION_PREFIX,
    VERSION_PREFIX,
    decode_configuration,
    decode_engine,
    decode_version,
)
from bramleylug.relay.cluster_view import ClusterView
from bramleylug.relay.peers import PeerRecord, Role
from bramleylug.store.changes import Removal, StoreChange, StoreItem

# Keys of the project's own.
PEER_PREFIX = 'bramleylug/peers/'
# Everything is followed by one call: the platform's keys and the own ones.
FOLLOWED_BY_RELAYS = ''
FOLLOWED_BY_LOADERS = (VERSION_PREFIX, PEER_PREFIX)


@final
class StoreChangeHandler:
    """Applies changes of the store, the configuration first."""

    def __init__(self, view: ClusterView) -> None:
        self.view = view
        self.written: dict[str, Callable[[StoreItem], None]] = {
            CONFIG_KEY: self._config_written,
            ENGINE_PREFIX: self._engine_written,
            EVACUATION_PREFIX: self._zone_written,
            VERSION_PREFIX: self._version_written,
            PEER_PREFIX: self._peer_written,
        }

    def read(self, changes: Sequence[StoreChange]) -> None:
        """Apply a batch of changes."""
        for change in sorted(changes, key=_config_first):
            match change:
                case StoreItem():
                    self._written(change)
                case Removal(key=key):
                    self._removed(key)
        self.view.is_initial_load = False
        self.view.on_change()

    def _written(self, item: StoreItem) -> None:
        for prefix, apply in self.written.items():
            if item.key.startswith(prefix):
                apply(item)

    def _config_written(self, item: StoreItem) -> None:
        table = decode_configuration(item.value)
        if table is not None:
            self.view.apply_route_table(table)

    def _zone_written(self, item: StoreItem) -> None:
        zone = item.key.removeprefix(EVACUATION_PREFIX)
        self.view.set_zone_out(zone, out=True)

    def _version_written(self, item: StoreItem) -> None:
        named = decode_version(item.key, item.value)
        if named is not None:
            self.view.record_target_version(*named)

    def _engine_written(self, item: StoreItem) -> None:
        record = decode_engine(item.key, item.value, self.view.clock())
        if record is None:
            self.view.remove_upstream(item.key.removeprefix(ENGINE_PREFIX))
        else:
            self.view.register_upstream(record)

    def _peer_written(self, item: StoreItem) -> None:
        try:
            record = decode_peer(item.value)
        except DECODING_FAULTS as error:
            emit(LogEvent.value_unreadable, key=item.key, error=repr(error))
            return
        self.view.peers.add(record)

    def _removed(self, key: str) -> None:
        if key.startswith(ENGINE_PREFIX):
            self.view.remove_upstream(key.removeprefix(ENGINE_PREFIX))
        elif key.startswith(EVACUATION_PREFIX):
            zone = key.removeprefix(EVACUATION_PREFIX)
            self.view.set_zone_out(zone, out=False)
        elif key.startswith(PEER_PREFIX):
            self.view.peers.remove(key.removeprefix(PEER_PREFIX))


def encode_peer(record: PeerRecord) -> bytes:
    """Return the value that announces a process."""
    return json.dumps(asdict(record)).encode()


def decode_peer(value: bytes) -> PeerRecord:
    """Read the announcement of a process."""
    fields = json.loads(value)
    fields['role'] = Role(fields['role'])
    return PeerRecord(**fields)


def peer_key(name: str) -> str:
    """Return the key that a process announces itself under."""
    return f'{PEER_PREFIX}{name}'


def _config_first(change: StoreChange) -> tuple[bool, int]:
    return change.key != CONFIG_KEY, change.revision
