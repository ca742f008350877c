"""Tests of finding manifests and checking them against their pin."""

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
    """All hosts use one manifest for a version, from whichever source."""

    def setUp(self) -> None:
        """Create a store without a pin, an origin and peers without one."""
        self.store = Mock()
        self.store.read.return_value = StoredValue(b'', 0)
        self.store.compare_and_swap.return_value = Swapped(1)
        self.origin = Mock()
        self.origin.manifest.return_value = MANIFEST
        self.peers = Mock()
        self.peers.manifest.return_value = None
        self.source = ManifestSource('own', self.store, self.origin, self.peers)

    def pin(self, manifest) -> None:
        """Pin a manifest in the store."""
        manifest_hash = manifest.manifest_hash().encode()
        self.store.read.return_value = StoredValue(manifest_hash, 1)

    def test_first_reader_pins_the_manifest_of_the_origin(self) -> None:
        """It uses compare-and-swap on an absent key."""
        self.assertEqual(self.source.find(MANIFEST.key, {}, 0), MANIFEST)
        self.store.compare_and_swap.assert_called_once_with(
            'bramleylug/manifests/seat-model@1',
            0,
            MANIFEST.manifest_hash().encode(),
            timeout_s=2.0,
        )

    def test_origin_that_changed_a_version_is_refused(self) -> None:
        """Another manifest is pinned."""
        self.pin(OTHER)

        self.assertIsNone(self.source.find(MANIFEST.key, {}, 0))

    def test_peer_with_another_manifest_is_refused(self) -> None:
        """The pin decides, not who answers first."""
        self.pin(MANIFEST)
        self.origin.manifest.return_value = None
        self.source.name = self._name_at_position(2)
        self.peers.manifest.side_effect = [OTHER, MANIFEST]

        self.assertEqual(self.source.find(MANIFEST.key, PEERS, 0), MANIFEST)

    def test_manifest_comes_from_a_peer_while_origin_is_down(self) -> None:
        """The peer's manifest matches the pin."""
        self.pin(MANIFEST)
        self.origin.manifest.return_value = None
        self.peers.manifest.return_value = MANIFEST
        self.source.name = self._name_at_position(2)

        self.assertEqual(self.source.find(MANIFEST.key, PEERS, 0), MANIFEST)

    def test_origin_manifest_is_not_used_while_store_is_down(self) -> None:
        """Without a pin, two hosts could use different manifests."""
        self.store.read.return_value = Unavailable('down')

        self.assertIsNone(self.source.find(MANIFEST.key, {}, 0))

    def test_hosts_request_manifests_along_a_tree(self) -> None:
        """One host reads the origin; no host is requested by all."""
        names = [f'host-{index}' for index in range(100)]
        positions = {
            name: choose_peers(MANIFEST.key, name, names) for name in names
        }
        first = [
            requested[0]
            for position, requested in positions.values()
            if position
        ]

        self.assertEqual(
            sum(not position for position, _ in positions.values()), 1
        )
        self.assertLessEqual(max(map(first.count, first)), 2)

    def _name_at_position(self, position: int) -> str:
        names = map(str, range(100))
        return next(
            name
            for name in names
            if choose_peers(MANIFEST.key, name, tuple(PEERS))[0] == position
        )
