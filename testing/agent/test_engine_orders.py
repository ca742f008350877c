"""Tests of orders to an engine and of what they name."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest.mock import Mock

from bramleylug.agent.engine_orders import EngineOrders
from bramleylug.agent.version_actions import OrderVersion
from bramleylug.weights.staging import Staging
from bramleylug.weights.version_cache import VersionCache
from testing.builders import build_chunks, build_manifest

SIZE_BYTES = 64
LIMIT_S = 30
MANIFEST = build_manifest()


class TestRefusedOrder(unittest.TestCase):
    """The engine refuses to load what is staged."""

    def setUp(self) -> None:
        """Hold a committed version, and an engine that refuses orders."""
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        staging = Staging(Path(folder.name), SIZE_BYTES)
        staging.begin(MANIFEST)
        for index, chunk in enumerate(build_chunks()):
            staging.add(MANIFEST, index, chunk)
        self.path = staging.commit(MANIFEST)
        self.version_cache = VersionCache(staging, Mock(), Mock(), Mock())
        self.version_cache.recover()
        engine = Mock()
        engine.order.return_value = None
        self.orders = EngineOrders(engine, self.version_cache)

    def refuse_order(self) -> None:
        self.orders.send(OrderVersion(MANIFEST.key, MANIFEST.digest, 1))
        self.assertFalse(self.orders.ended.get(timeout=LIMIT_S).accepted)

    def test_spoilt_version_is_no_longer_verified(self) -> None:
        """Guards against the same spoilt files being ordered for ever."""
        (self.path / '000001').write_bytes(b'spoilt')

        self.refuse_order()

        self.assertEqual(self.version_cache.digests(), {})

    def test_sound_version_stays_verified(self) -> None:
        """It is ordered again."""
        self.refuse_order()

        self.assertEqual(set(self.version_cache.digests()), {MANIFEST.key})
