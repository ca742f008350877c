"""Tests of how manifests are trusted."""

import unittest
from unittest.mock import Mock

from bramleylug.store.store import StoredValue, Swapped, Unavailable
from bramleylug.weights.manifest_source import ManifestSource, choose_peers
from bramleylug.weights.swarm import PeerAddress
from testing.builders import build_manifest

MANIFEST = build_manifest()
OTHER = build_manifest(5)
PEERS = {'a': PeerAddress('a:1', 'r'), 'b': PeerAddress('b:1', 'r')}


class TestManifestSource(unittest.TestCase):
    """One manifest for one version, whoever tells it."""

    def setUp(self) -> None:
        """Have a store without a pin, an origin and two silent peers."""
        self.store = Mock()
        self.store.read.return_value = StoredValue(b'', 0)
        self.store.compare_and_swap.return_value = Swapped(1)
        self.origin = Mock()
        self.origin.manifest.return_value = MANIFEST
        self.peers = Mock()
        self.peers.manifest.return_value = None
        self.source = ManifestSource('own', self.store, self.origin, self.peers)

    def pin(self, manifest) -> None:
        """Let the store tell a pin."""
        seal = manifest.seal().encode()
        self.store.read.return_value = StoredValue(seal, 1)

    def test_first_reader_pins_what_the_origin_serves(self) -> None:
        """By compare-and-swap on an absent key."""
        self.assertEqual(self.source.find(MANIFEST.key, {}, 0), MANIFEST)
        self.store.compare_and_swap.assert_called_once_with(
            'bramleylug/manifests/seat-model@1',
            0,
            MANIFEST.seal().encode(),
            timeout_s=2.0,
        )

    def test_origin_that_changed_a_version_is_refused(self) -> None:
        """Another manifest is pinned."""
        self.pin(OTHER)

        self.assertIsNone(self.source.find(MANIFEST.key, {}, 0))

    def test_peer_that_tells_another_manifest_is_refused(self) -> None:
        """The pin decides, not who answers first."""
        self.pin(MANIFEST)
        self.origin.manifest.return_value = None
        self.source.name = self._name_at(2)
        self.peers.manifest.side_effect = [OTHER, MANIFEST]

        self.assertEqual(self.source.find(MANIFEST.key, PEERS, 0), MANIFEST)

    def test_origin_down_the_manifest_comes_from_a_peer(self) -> None:
        """It matches the pin."""
        self.pin(MANIFEST)
        self.origin.manifest.return_value = None
        self.peers.manifest.return_value = MANIFEST
        self.source.name = self._name_at(2)

        self.assertEqual(self.source.find(MANIFEST.key, PEERS, 0), MANIFEST)

    def test_store_down_nothing_is_pinned_from_the_origin(self) -> None:
        """Two hosts could pin different manifests."""
        self.store.read.return_value = Unavailable('down')

        self.assertIsNone(self.source.find(MANIFEST.key, {}, 0))

    def test_hosts_ask_a_tree_of_peers(self) -> None:
        """One host reads the origin; nobody is asked by everybody."""
        names = [f'host-{index}' for index in range(100)]
        places = {
            name: choose_peers(MANIFEST.key, name, names) for name in names
        }
        first = [asked[0] for place, asked in places.values() if place]

        self.assertEqual(sum(not place for place, _ in places.values()), 1)
        self.assertLessEqual(max(map(first.count, first)), 2)

    def _name_at(self, place: int) -> str:
        names = map(str, range(100))
        return next(
            name
            for name in names
            if choose_peers(MANIFEST.key, name, tuple(PEERS))[0] == place
        )
