"""Tests of an agent, its staging area and an engine that loads from it."""

import hashlib
import time
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest.mock import Mock

from bramleylug.admission.limiter import Limiter
from bramleylug.agent.version_manager import VersionManager
from bramleylug.agent.weights_gate import WeightsGate
from bramleylug.bench.weights_hosts import BurstHost
from bramleylug.fakes.origin import FakeOrigin
from bramleylug.weights.manifest import VersionKey
from bramleylug.weights.swarm import TransferContext
from bramleylug.weights.version_cache import VersionCache
from testing.builders import build_document, build_spec

KEY = VersionKey('seat-model', '1')
SIZE_BYTES = 65536
CHUNK_BYTES = 8192
RATE = 1_000_000_000
SPOILT_CHUNK = '000001'
STEP_S = 0.01
OPEN_STEPS = 20
LIMIT_S = 30


class TrustingEngine:
    """Engine that loads staged files without verifying them.

    :ivar spoil_before_load: whether a file is spoilt just before the next
        load.
    :ivar loaded_digest: digest of the bytes that it has loaded.
    """

    def __init__(self, digest: str) -> None:
        self.digest = digest
        self.spoil_before_load = False
        self.loaded_digest = ''
        self.report = {'boot_id': 'boot-1', 'digest': '', 'fencing': 0}

    def state(self) -> dict[str, Any]:
        return dict(self.report)

    def order(self, order: dict[str, Any]) -> dict[str, Any]:
        """Load the version that an order names, and report it as whole."""
        path = Path(order['path'])
        if self.spoil_before_load:
            self.spoil_before_load = False
            (path / SPOILT_CHUNK).write_bytes(b'spoilt')
        loaded = hashlib.sha256()
        for chunk in sorted(path.glob('0*')):
            loaded.update(chunk.read_bytes())
        self.loaded_digest = loaded.hexdigest()
        self.report['digest'] = self.digest
        self.report['fencing'] = order['fencing']
        return self.state()


class TestLoads(unittest.TestCase):
    """The gate opens for the bytes that were verified."""

    def setUp(self) -> None:
        """Start an origin with a version, and an agent beside an engine."""
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        origin = FakeOrigin(rate=RATE)
        origin.start()
        self.addCleanup(origin.stop)
        manifest = origin.add_version(*KEY, SIZE_BYTES, CHUNK_BYTES)
        self.host = BurstHost(
            'own', 'region-1', Path(folder.name), RATE, origin.web.address
        )
        self.addCleanup(self.host.kill)
        source = Mock()
        source.find.return_value = manifest
        version_cache = VersionCache(
            self.host.staging, source, self.build_context, lambda key: {}
        )
        self.addCleanup(version_cache.close)
        self.engine = TrustingEngine(manifest.digest)
        spec = build_spec(model=KEY.model, version=KEY.version)
        node = Mock(members=[])
        node.settings.name = 'own'
        node.holder.document = build_document(spec)
        self.gate = WeightsGate('zone-a', spec.name)
        self.manager = VersionManager(
            node, self.gate, Limiter(), self.engine, version_cache, ()
        )

    def build_context(self) -> TransferContext:
        host = self.host
        return TransferContext(
            name=host.name,
            region=host.region,
            staging=host.staging,
            server=host.chunk_server,
            origin=host.origin,
            peers=host.peers,
        )

    def served_digests(self) -> set[str]:
        """Return digests of what the engine has loaded while it may serve."""
        served = []
        end_s = time.monotonic() + LIMIT_S
        while len(served) < OPEN_STEPS and time.monotonic() < end_s:
            self.manager.step()
            if self.gate.is_open:
                served.append(self.engine.loaded_digest)
            time.sleep(STEP_S)
        return set(served)

    def test_loaded_version_is_served(self) -> None:
        """The engine has loaded what was staged."""
        self.assertEqual(self.served_digests(), {self.engine.digest})

    def test_chunk_spoilt_before_the_load_is_never_served(self) -> None:
        """Guards against files that change between check and load (WHOLE)."""
        self.engine.spoil_before_load = True

        self.assertEqual(self.served_digests(), {self.engine.digest})
