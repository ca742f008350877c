"""Cluster of daemons and fakes in one process, on loopback addresses."""

import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, final

from bramleylug.agent.daemon import AgentDaemon
from bramleylug.entry.daemon import EntryDaemon
from bramleylug.fakes.engine import EngineSettings, FakeEngine
from bramleylug.fakes.origin import FakeOrigin
from bramleylug.fakes.records import FakeRecords
from bramleylug.fakes.store import FakeStoreServer
from bramleylug.node.lifecycle import DaemonRunner
from bramleylug.settings.daemons import AgentSettings, EntrySettings
from bramleylug.store.grpc_store import GrpcStore
from bramleylug.wire.channels import open_channel
from bramleylug.wire.platform_pb2 import Host, Hosts

POLL_INTERVAL_S = 0.05
ZONES = ('zone-a', 'zone-b', 'zone-c')
REGION = 'region-1'
MODEL_SERVICE = 'seat-fitting'
RECORDS_SERVICE = 'bookings'
RECORDS_ZONES = ZONES[:2]


@final
class EmbeddedCluster:
    """Runs three engines and two records services, all fakes, behind agents.

    Two entries route to the agents.
    """

    def __init__(self, engine: EngineSettings | None = None) -> None:
        self.folder = tempfile.TemporaryDirectory(prefix='bramleylug-')
        self.store_server = FakeStoreServer()
        self.store = GrpcStore(open_channel(self.store_server.address))
        self.origin = FakeOrigin()
        engine_settings = engine or EngineSettings()
        self.engines = [FakeEngine(engine_settings) for _ in ZONES]
        self.records = [FakeRecords() for _ in RECORDS_ZONES]
        self.entries: list[EntryDaemon] = []
        self.agents: list[AgentDaemon] = []
        self.runners: list[DaemonRunner] = []

    def start(self) -> None:
        self.store_server.start()
        for fake in self._fakes():
            fake.start()
        for zone in ZONES[:2]:
            self._add_entry(zone)
        for zone, engine in zip(ZONES, self.engines, strict=True):
            self._add_agent(MODEL_SERVICE, zone, engine.web.address)
        for zone, records in zip(RECORDS_ZONES, self.records, strict=True):
            self._add_agent(RECORDS_SERVICE, zone, records.web.address)
        self._publish_hosts()
        for daemon in self._daemons():
            runner = DaemonRunner(daemon, daemon.settings.name)
            runner.start()
            self.runners.append(runner)

    def stop(self) -> None:
        for runner in self.runners:
            runner.stop()
        for fake in self._fakes():
            fake.stop()
        self.store_server.stop()
        self.folder.cleanup()

    def runner_of(self, daemon: object) -> DaemonRunner:
        return next(
            runner for runner in self.runners if runner.daemon is daemon
        )

    def wait_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> float:
        """Poll a condition until it holds; return the seconds it took.

        :raises TimeoutError: when it does not hold within the timeout.
        """
        started_s = time.monotonic()
        while not condition():
            if time.monotonic() - started_s > timeout_s:
                raise TimeoutError(
                    f'condition did not hold within {timeout_s} s'
                )
            time.sleep(POLL_INTERVAL_S)
        return time.monotonic() - started_s

    def _fakes(self) -> list[Any]:
        return [self.origin, *self.engines, *self.records]

    def _daemons(self) -> list[Any]:
        return [*self.entries, *self.agents]

    def _add_entry(self, zone: str) -> None:
        settings = EntrySettings(
            name=f'entry-{zone}',
            zone=zone,
            region=REGION,
            store=self.store_server.address,
        )
        self.entries.append(EntryDaemon(settings))

    def _add_agent(self, service: str, zone: str, upstream: str) -> None:
        name = f'agent-{service}-{zone}'
        settings = AgentSettings(
            name=name,
            zone=zone,
            region=REGION,
            store=self.store_server.address,
            service=service,
            upstream=upstream,
            origin=self.origin.web.address,
            staging_dir=str(Path(self.folder.name) / name),
        )
        self.agents.append(AgentDaemon(settings))

    def _publish_hosts(self) -> None:
        nodes = [daemon.node for daemon in self._daemons()]
        hosts = Hosts(
            hosts=[
                Host(
                    name=node.settings.name,
                    zone=node.settings.zone,
                    region=node.settings.region,
                    role=node.membership.own.role,
                    gossip_address=node.membership.own.gossip_address,
                )
                for node in nodes
            ]
        )
        self.store_server.store.SetHosts(hosts, None)
