"""Finds the manifest of a version and checks it against the pinned hash."""

from collections.abc import Mapping, Sequence
from typing import final

from bramleylug.observability.events import LogEvent, emit
from bramleylug.routing.rendezvous import rank
from bramleylug.store.store import (
    Conflict,
    Store,
    StoredValue,
    Swapped,
    Unavailable,
)
from bramleylug.weights.chunk_clients import OriginClient, PeerClient
from bramleylug.weights.manifest import Manifest, VersionKey
from bramleylug.weights.swarm import PeerAddress

PIN_PREFIX = 'bramleylug/manifests'
STORE_TIMEOUT_S = 2.0
# A host at position N reads the origin after N times this delay.
ORIGIN_DELAY_S = 4.0
REQUESTED_PEERS = 3


def choose_peers(
    key: VersionKey, name: str, names: Sequence[str]
) -> tuple[int, list[str]]:
    """Return this host's position for a manifest, and the peers to call.

    The host at position 0 reads the manifest from the origin. Every other
    requests it from its parent in a binary tree over the positions, then
    from the first positions, so that no host gets the requests of all.

    :param names: names of the peers.
    """
    ranked = rank('@'.join(key), {*names, name})
    position = ranked.index(name)
    parents = ranked[(position - 1) // 2 : position] if position else []
    candidates = [*parents[:1], *ranked[:position]]
    return position, list(dict.fromkeys(candidates))[:REQUESTED_PEERS]


@final
class ManifestSource:
    """Finds the manifest of a version and rejects any but the pinned one.

    The first host that reads a manifest from the origin pins its SHA-256 in
    the store by compare-and-swap. While the store is down, a manifest on
    which all answering peers agree is accepted.

    :param name: name of this host's agent.
    :param origin: read at once by the host at position 0, by others after a
        delay.
    :ivar manifests: manifests that matched their pin.
    :ivar pins: pins read from the store; empty where it has none yet.
    :ivar first_requested_s: when the search for each missing manifest began.
    """

    def __init__(
        self, name: str, store: Store, origin: OriginClient, peers: PeerClient
    ) -> None:
        self.name = name
        self.store = store
        self.origin = origin
        self.peers = peers
        self.manifests: dict[VersionKey, Manifest] = {}
        self.pins: dict[VersionKey, str] = {}
        self.first_requested_s: dict[VersionKey, float] = {}

    def find(
        self,
        key: VersionKey,
        addresses: Mapping[str, PeerAddress],
        now_s: float,
    ) -> Manifest | None:
        """Return the pinned manifest, or ``None`` until it is found."""
        known = self.manifests.get(key)
        if known is not None:
            return known
        first_requested_s = self.first_requested_s.setdefault(key, now_s)
        position, candidates = choose_peers(key, self.name, tuple(addresses))
        answers = self._request(
            key, [addresses[name].address for name in candidates]
        )
        pin = self._pin(key, answers)
        manifest = self._find_pinned(key, answers, pin)
        if manifest is None and self._may_read(
            position, now_s - first_requested_s
        ):
            manifest = self._read_origin(key, pin)
        if manifest is not None:
            self.manifests[key] = manifest
            self.first_requested_s.pop(key)
        return manifest

    def accept_saved(self, manifest: Manifest) -> bool:
        """Return whether a manifest staged by an earlier process is pinned.

        It was verified against the pin when it was staged, so it is also
        accepted while the store does not answer.
        """
        pin = self._read_pin(manifest.key)
        if pin in {None, manifest.manifest_hash()}:
            self.manifests[manifest.key] = manifest
            return True
        _log_conflict(manifest.key, 'an earlier run')
        return False

    def _may_read(self, position: int, waited_s: float) -> bool:
        return waited_s >= position * ORIGIN_DELAY_S

    def _request(
        self, key: VersionKey, candidates: list[str]
    ) -> list[Manifest]:
        answers = [self.peers.manifest(address, key) for address in candidates]
        return [answer for answer in answers if answer is not None]

    def _pin(self, key: VersionKey, answers: list[Manifest]) -> str | None:
        """Return the pin; empty when the store has none yet.

        Without an answer from the store, the hash on which the peers agree
        is returned, or ``None``.
        """
        pin = self._read_pin(key)
        if pin is not None:
            return pin
        hashes = {manifest.manifest_hash() for manifest in answers}
        return hashes.pop() if len(hashes) == 1 else None

    def _read_pin(self, key: VersionKey) -> str | None:
        if self.pins.get(key):
            return self.pins[key]
        match self.store.read(_pin_key(key), timeout_s=STORE_TIMEOUT_S):
            case StoredValue(text, _):
                self.pins[key] = text.decode()
            case Unavailable():
                return None
        return self.pins[key]

    def _find_pinned(
        self, key: VersionKey, answers: list[Manifest], pin: str | None
    ) -> Manifest | None:
        if not pin:
            return None
        for manifest in answers:
            if manifest.manifest_hash() == pin:
                return manifest
            _log_conflict(key, 'a peer')
        return None

    def _read_origin(self, key: VersionKey, pin: str | None) -> Manifest | None:
        manifest = self.origin.manifest(key)
        if manifest is None or manifest.key != key:
            emit(LogEvent.manifest_missing, weights='@'.join(key))
            return None
        if (
            pin is None
            or self._pin_or_read(manifest, pin) != manifest.manifest_hash()
        ):
            if pin is not None:
                _log_conflict(key, 'the origin')
            return None
        return manifest

    def _pin_or_read(self, manifest: Manifest, pin: str) -> str | None:
        """Pin a manifest unless one is pinned; return the pin.

        :returns: ``None`` when it is unknown whether the pin was stored.
        """
        if pin:
            return pin
        key = manifest.key
        outcome = self.store.compare_and_swap(
            _pin_key(key),
            0,
            manifest.manifest_hash().encode(),
            timeout_s=STORE_TIMEOUT_S,
        )
        match outcome:
            case Swapped():
                self.pins[key] = manifest.manifest_hash()
            case Conflict(current):
                self.pins[key] = current.value.decode()
            case _:
                return None
        return self.pins[key]


def _pin_key(key: VersionKey) -> str:
    return f'{PIN_PREFIX}/{"@".join(key)}'


def _log_conflict(key: VersionKey, source: str) -> None:
    emit(LogEvent.manifest_conflict, weights='@'.join(key), source=source)
