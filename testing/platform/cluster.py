"""Relays and loaders on fakes of the platform, in one process."""

import json
import time
from copy import deepcopy
from http.client import HTTPConnection
from socket import create_connection
from typing import Any

from bramleylug.fakes.metadata_store import FakeMetadataStore
from bramleylug.fakes.model_engine import (
    FakeModelEngine,
    FakeWeightsOrigin,
    ModelEngineSettings,
)
from bramleylug.loader.daemon import LoaderDaemon
from bramleylug.loader.settings import LoaderSettings
from bramleylug.node.lifecycle import DaemonRunner
from bramleylug.platform.adapter import PlatformAdapter
from bramleylug.relay.daemon import RelayDaemon
from bramleylug.relay.settings import RelaySettings
from bramleylug.soak.addresses import free_address
from testing.platform.builders import CONFIG

POLL_S = 0.05
TIMEOUT_S = 20.0
# Between the pieces of a request head.
PIECE_PAUSE_S = 0.1
REGIONS = {'zone-a': 'north', 'zone-b': 'south'}


class PlatformCluster:
    """Two zones, each with a relay, two engines and a loader.

    One engine of each zone serves the model, the other one bookings.
    """

    def __init__(self) -> None:
        self.store = FakeMetadataStore()
        self.store.start()
        self.version = 0
        layout = ModelEngineSettings(
            engine_id='', service='', zone='', store='', model='fitting'
        )
        self.origin = FakeWeightsOrigin(layout)
        self.origin.start()
        self.engines: list[FakeModelEngine] = []
        self.relays: list[RelayDaemon] = []
        self.runners: list[DaemonRunner] = []

    def start(self, **settings: Any) -> None:
        """Start all processes and wait until they know one another."""
        self.publish()
        for zone in REGIONS:
            self.add_engine(zone, 'advisor', model='fitting', version=1)
            self.add_engine(zone, 'bookings')
            self.add_relay(zone, **settings)
        for engine in self.engines[::2]:
            self.add_loader(engine)
        self.wait_until(self.is_ready)

    def stop(self) -> None:
        for runner in self.runners:
            runner.stop()
        for engine in self.engines:
            engine.close()
            engine.stop()
        self.origin.stop()
        self.store.stop()

    def publish(self, **fields: Any) -> int:
        """Write a new version of the configuration; return its version."""
        self.version += 3
        config = {**deepcopy(CONFIG), 'version': self.version, **fields}
        for service in config['services']:
            if service['name'] == 'origin':
                service['origin'] = self.origin.web.address
        config['services'][0]['engine'].update(layers=4, chunk_bytes=4096)
        config['routes'][0]['allowed_regions'] = []
        config['routes'][1]['traffic_split'] = [
            {'service': 'bookings', 'weight': 1}
        ]
        self.store.put('op/config', config)
        return self.version

    def add_engine(self, zone: str, service: str, **fields: Any) -> None:
        engine = FakeModelEngine(
            ModelEngineSettings(
                engine_id=f'e-{len(self.engines)}',
                service=service,
                zone=zone,
                store=self.store.web.address,
                **fields,
            )
        )
        engine.start()
        engine.open()
        self.engines.append(engine)

    def add_relay(self, zone: str, **fields: Any) -> None:
        settings = RelaySettings(
            **self._common(zone, 'relay'),
            caller_bind=free_address(),
            ready_bind=free_address(),
            directory_bind=free_address(),
            feed_bind=free_address(),
            **{'stop_time': 3.0, 'keep_addresses': 0.2, **fields},
        )
        daemon = RelayDaemon(settings, PlatformAdapter(settings.store))
        self.relays.append(daemon)
        self._run(daemon)

    def add_loader(self, engine: FakeModelEngine) -> None:
        settings = LoaderSettings(
            **self._common(engine.settings.zone, 'loader'),
            upstream=engine.web.address,
            service='advisor',
            chunk_bind=free_address(),
        )
        self._run(LoaderDaemon(settings, PlatformAdapter(settings.store)))

    def is_ready(self) -> bool:
        """Return whether the relays know all engines and processes."""
        return all(
            len(relay.core.view.upstreams.by_id) == len(self.engines)
            and len(relay.core.view.peers.known) == 4
            and not relay.unready_reason()
            for relay in self.relays
        )

    def wait_until(self, check: Any) -> None:
        """Poll a condition until it holds.

        :raises TimeoutError: after :data:`TIMEOUT_S`.
        """
        deadline_s = time.monotonic() + TIMEOUT_S
        while not check():
            if time.monotonic() > deadline_s:
                raise TimeoutError(check)
            time.sleep(POLL_S)

    def request(
        self, path: str = '/ask/1', relay: int = 0, **headers: str
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request to a relay; return status, headers and body."""
        given = {
            'Host': 'advisor.example',
            'X-Request-Id': f'r{time.monotonic_ns()}',
            'X-Request-Deadline': '5000',
            'Authorization': 'Bearer key-1',
            'X-Model': 'fitting',
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        address = self.relays[relay].settings.caller_bind
        return call(address, 'POST', path, given)

    def resolve(self, relay: int = 0, region: str = 'north') -> list[str]:
        """Return the relay addresses that the directory names."""
        address = self.relays[relay].settings.directory_bind
        path = f'/-/resolve?name=advisor.example&region={region}&zone=x'
        _, _, body = call(address, 'GET', path, {})
        return list(json.loads(body)['addresses'])

    def _common(self, zone: str, role: str) -> dict[str, Any]:
        return {
            'name': f'{role}-{zone}',
            'zone': zone,
            'region': REGIONS[zone],
            'regions': REGIONS,
            'store': self.store.web.address,
            'beat_bind': free_address(),
            'confirm_interval': 0.5,
            'version_limit': 4.0,
        }

    def _run(self, daemon: Any) -> None:
        runner = DaemonRunner(daemon, daemon.settings.name)
        runner.start()
        self.runners.append(runner)


def call(
    address: str, method: str, path: str, headers: dict[str, str]
) -> tuple[int, dict[str, str], bytes]:
    """Send one HTTP request; return status, headers and body."""
    connection = HTTPConnection(address, timeout=10)
    try:
        connection.request(method, path, headers=headers)
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


def send_in_pieces(address: str, request_line: bytes) -> bytes:
    """Send a request line, then the rest; return the start of the answer."""
    host, _, port = address.rpartition(':')
    with create_connection((host, int(port)), 10) as sock:
        sock.sendall(request_line)
        time.sleep(PIECE_PAUSE_S)
        sock.sendall(b'Host: x\r\n\r\n')
        return sock.recv(4096)
