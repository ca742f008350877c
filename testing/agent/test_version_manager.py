"""Tests of an agent, its staging area and an engine that loads from it."""

import hashlib
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest.mock import Mock

from bramleylug.admission.limiter import Limiter
from bramleylug.agent.version_manager import VersionManager
from bramleylug.agent.weights_gate import WeightsGate
from bramleylug.bench.weights_hosts import BurstHost
from bramleylug.fakes.origin import FakeOrigin
from bramleylug.weights.manifest import Manifest, VersionKey
from bramleylug.weights.swarm import TransferContext
from bramleylug.weights.version_cache import VersionCache
from testing.builders import build_document, build_spec

KEY = VersionKey('seat-model', '1')
ADAPTER = VersionKey('lora', '3')
SIZE_BYTES = 65536
CHUNK_BYTES = 8192
RATE = 1_000_000_000
SPOILT_CHUNK = '000001'
STEP_S = 0.01
LIMIT_S = 30


class TrustingEngine:
    """Engine that loads staged files without verifying them.

    :ivar spoil_before_load: versions of which a file is spoilt just before
        their next load.
    :ivar loaded: digests of the bytes that it has loaded, by version.
    """

    def __init__(self) -> None:
        self.spoil_before_load: set[VersionKey] = set()
        self.loaded: dict[VersionKey, str] = {}
        self.report: dict[str, Any] = {'boot_id': 'boot-1', 'adapters': {}}

    def state(self) -> dict[str, Any]:
        return {**self.report, 'adapters': {**self.report['adapters']}}

    def order(self, order: dict[str, Any]) -> dict[str, Any]:
        """Load what an order names, and report it as whole."""
        adapter = order.get('adapter')
        if order.get('drop'):
            self.report['adapters'].pop(adapter)
            return self.state()
        path = Path(order['path'])
        manifest = Manifest.from_json((path / 'manifest').read_bytes())
        self.load(path, manifest.key)
        self.report['fencing'] = order['fencing']
        if adapter is None:
            self.report['digest'] = manifest.digest
        else:
            self.report['adapters'][adapter] = manifest.digest
        return self.state()

    def load(self, path: Path, key: VersionKey) -> None:
        if key in self.spoil_before_load:
            self.spoil_before_load.remove(key)
            (path / SPOILT_CHUNK).write_bytes(b'spoilt')
        loaded = hashlib.sha256()
        for chunk in sorted(path.glob('0*')):
            loaded.update(chunk.read_bytes())
        self.loaded[key] = loaded.hexdigest()


class TestLoads(unittest.TestCase):
    """The gate opens for the bytes that were verified."""

    def setUp(self) -> None:
        """Start an origin, and an agent beside an engine."""
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        origin = FakeOrigin(rate=RATE)
        origin.start()
        self.addCleanup(origin.stop)
        manifests = {
            key: origin.add_version(*key, SIZE_BYTES, CHUNK_BYTES)
            for key in (KEY, ADAPTER)
        }
        self.digests = {
            key: manifest.digest for key, manifest in manifests.items()
        }
        self.host = BurstHost(
            'own', 'region-1', Path(folder.name), RATE, origin.web.address
        )
        self.addCleanup(self.host.kill)
        source = Mock()
        source.find.side_effect = lambda key, *_: manifests[key]
        version_cache = VersionCache(
            self.host.staging, source, self.build_context, lambda key: {}
        )
        self.addCleanup(version_cache.close)
        self.engine = TrustingEngine()
        spec = build_spec(
            model=KEY.model,
            version=KEY.version,
            adapters=('@'.join(ADAPTER),),
        )
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

    def run_until(self, done: Callable[[], bool]) -> set[str]:
        """Run steps; return what is loaded while the gate is open.

        :returns: digests of the version's bytes.
        """
        served = set()
        end_s = time.monotonic() + LIMIT_S
        while not done() and time.monotonic() < end_s:
            self.manager.step()
            if self.gate.is_open:
                served.add(self.engine.loaded[KEY])
            time.sleep(STEP_S)
        return served

    def serves_all(self) -> bool:
        """Return whether the gate is open and the adapter is loaded."""
        return self.gate.is_open and ADAPTER in self.engine.loaded

    def test_loaded_version_is_served(self) -> None:
        """The engine has loaded what was staged."""
        served = self.run_until(self.serves_all)

        self.assertEqual(served, {self.digests[KEY]})

    def test_chunk_spoilt_before_the_load_is_never_served(self) -> None:
        """Guards against files that change between check and load (WHOLE)."""
        self.engine.spoil_before_load.add(KEY)

        served = self.run_until(self.serves_all)

        self.assertEqual(served, {self.digests[KEY]})

    def test_spoilt_adapter_is_loaded_again(self) -> None:
        """Guards against an adapter that stays spoilt until a restart."""
        self.engine.spoil_before_load.add(ADAPTER)

        self.run_until(lambda: self.engine.loaded == self.digests)

        self.assertEqual(self.engine.loaded, self.digests)
