"""Manifests: pinned once for all hosts, fetched from whoever has them."""

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
ORIGIN_DELAY_S = 4.0
ASKED_PEERS = 3


def choose_peers(
    key: VersionKey, name: str, names: Sequence[str]
) -> tuple[int, list[str]]:
    """Return this host's place for a manifest, and whom it asks.

    The first place reads the origin; every other asks its parent in a
    binary tree over the places, then the first ones.
    """
    ranked = rank('@'.join(key), {*names, name})
    place = ranked.index(name)
    parents = ranked[(place - 1) // 2 : place] if place else []
    asked = [*parents[:1], *ranked[:place]]
    return place, list(dict.fromkeys(asked))[:ASKED_PEERS]


@final
class ManifestSource:
    """Finds the manifest of a version and refuses any but the pinned one.

    The first host that reads a manifest from the origin pins its SHA-256 in
    the store by compare-and-swap. While the store is down, the word of the
    peers counts if they agree.

    :param origin: read by the first in rank, by others after a delay.
    :ivar manifests: what was found and matched its pin.
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
        self.asked_s: dict[VersionKey, float] = {}

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
        first_s = self.asked_s.setdefault(key, now_s)
        place, asked = choose_peers(key, self.name, tuple(addresses))
        told = self._ask(key, [addresses[name].address for name in asked])
        pin = self._pin(key, told)
        found = self._matching(key, told, pin)
        if found is None and self._may_read(place, now_s - first_s):
            found = self._read_origin(key, pin)
        if found is not None:
            self.manifests[key] = found
            self.asked_s.pop(key)
        return found

    def trust(self, manifest: Manifest) -> bool:
        """Tell whether a manifest kept from before is the pinned one.

        Without an answer from the store, it is what this host verified
        when it was pinned, and is trusted.
        """
        pin = self._read_pin(manifest.key)
        if pin in {None, manifest.seal()}:
            self.manifests[manifest.key] = manifest
            return True
        _refuse(manifest.key, 'an earlier run')
        return False

    def _may_read(self, place: int, waited_s: float) -> bool:
        return waited_s >= place * ORIGIN_DELAY_S

    def _ask(self, key: VersionKey, asked: list[str]) -> list[Manifest]:
        answers = [self.peers.manifest(address, key) for address in asked]
        return [answer for answer in answers if answer is not None]

    def _pin(self, key: VersionKey, told: list[Manifest]) -> str | None:
        """Return the pin in force; empty when the store has none yet."""
        pin = self._read_pin(key)
        if pin is not None:
            return pin
        seals = {manifest.seal() for manifest in told}
        return seals.pop() if len(seals) == 1 else None

    def _read_pin(self, key: VersionKey) -> str | None:
        if self.pins.get(key):
            return self.pins[key]
        match self.store.read(_pin_key(key), timeout_s=STORE_TIMEOUT_S):
            case StoredValue(text, _):
                self.pins[key] = text.decode()
            case Unavailable():
                return None
        return self.pins[key]

    def _matching(
        self, key: VersionKey, told: list[Manifest], pin: str | None
    ) -> Manifest | None:
        if not pin:
            return None
        for manifest in told:
            if manifest.seal() == pin:
                return manifest
            _refuse(key, 'a peer')
        return None

    def _read_origin(self, key: VersionKey, pin: str | None) -> Manifest | None:
        found = self.origin.manifest(key)
        if found is None or found.key != key:
            emit(LogEvent.manifest_missing, weights='@'.join(key))
            return None
        if pin is None or self._agree(found, pin) != found.seal():
            if pin is not None:
                _refuse(key, 'the origin')
            return None
        return found

    def _agree(self, manifest: Manifest, pin: str) -> str | None:
        """Pin a manifest unless another is pinned; return the pin."""
        if pin:
            return pin
        key = manifest.key
        outcome = self.store.compare_and_swap(
            _pin_key(key),
            0,
            manifest.seal().encode(),
            timeout_s=STORE_TIMEOUT_S,
        )
        match outcome:
            case Swapped():
                self.pins[key] = manifest.seal()
            case Conflict(current):
                self.pins[key] = current.value.decode()
            case _:
                return None
        return self.pins[key]


def _pin_key(key: VersionKey) -> str:
    return f'{PIN_PREFIX}/{"@".join(key)}'


def _refuse(key: VersionKey, source: str) -> None:
    emit(LogEvent.manifest_conflict, weights='@'.join(key), source=source)
