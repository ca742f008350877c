"""Starts and supervises the processes of a soak and their proxies."""

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, final

from bramleylug.soak.addresses import (
    OWN_HOST,
    free_address,
    free_port_pair,
)
from bramleylug.soak.proxy import Proxy

RELAY_COUNT = 3
ENGINE_COUNT = 3
ZONES = ('zone-a', 'zone-b')
START_TIMEOUT_S = 15.0
RESTART_POLL_S = 0.1
CONTROL_RETRY_S = 0.1
# Part of a prompt that crashes every engine of the model, the exit code of an
# engine that it crashed, and the time until that engine starts again.
HARMFUL_PART = 'harmful'
# Of the service that takes usage reports; the lease as in SETTINGS_TEMPLATE.
DUTY_LEASE_S = 3.0
DUTIES_PER_S = 50.0
CRASHED_EXIT = 70
CRASH_RESTART_S = 2.0
IDLE_LIMIT_S = 15.0
KEYS = ('key-1', 'key-2')
# Keys that the operator may have removed since a copy of the store was made.
OPERATOR_KEYS = frozenset(f'op/evacuate/{zone}' for zone in ZONES)


@final
@dataclass(slots=True)
class ManagedProcess:
    """A process that is restarted whenever it exits.

    :ivar log: file to which its output is appended.
    :ivar should_run: whether it is restarted.
    """

    name: str
    arguments: list[str]
    environment: dict[str, str]
    log: Path
    process: asyncio.subprocess.Process | None = None
    should_run: bool = True

    async def start(self) -> None:
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self.arguments,
                env={**os.environ, **self.environment},
                stdout=log,
                stderr=log,
            )

    def send(self, signo: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signo)

    async def supervise(self) -> None:
        """Start the process, and again whenever it exits, until ``kill``."""
        while self.should_run:
            if self.process is None or self.process.returncode is not None:
                await self.start()
            if self.process is not None:
                if await self.process.wait() == CRASHED_EXIT:
                    await asyncio.sleep(CRASH_RESTART_S)

    async def wait_for_restart(
        self, previous: asyncio.subprocess.Process | None
    ) -> None:
        """Wait until another process than the previous one has started."""
        while self.should_run and self.process is previous:
            await asyncio.sleep(RESTART_POLL_S)

    async def kill(self) -> None:
        """Kill the process and stop supervising it."""
        self.should_run = False
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentSettings:
    """Numbers of processes, and the weights of the engines.

    :ivar version: weights that the engines hold at start; 0 for none.
    :ivar chunks: number of chunks of the weights.
    """

    relays: int = RELAY_COUNT
    engines: int = ENGINE_COUNT
    records: int = 2
    version: int = 1
    chunks: int = 8


FULL_DEPLOYMENT = DeploymentSettings()


@final
class Deployment:
    """Store, origin, engines with loaders, records engines and relays.

    :param folder: where settings and logs are written.
    :ivar relays: by name, the addresses of each relay by their use
        (``caller``, ``directory``, ``ready``).
    :ivar engines: address of each engine by its name.
    :ivar zones: zone of each engine by its name.
    :ivar proxies: proxy of each link by the name of the link.
    :ivar version: version of the latest configuration.
    :ivar idle_limit_s: idle limit of callers in the next configuration.
    :ivar published_s: Unix time of each publication.
    :ivar written: what the operator wrote and did not remove, by key.
    """

    def __init__(
        self,
        folder: Path,
        settings: DeploymentSettings = FULL_DEPLOYMENT,
    ) -> None:
        self.folder = folder
        self.settings = settings
        self.processes: dict[str, ManagedProcess] = {}
        self.relays: dict[str, dict[str, str]] = {}
        self.engines: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self.proxies: dict[str, Proxy] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.store_address = free_address()
        self.origin_address = free_address()
        self.duty_address = free_address()
        self.version = 0
        self.idle_limit_s = IDLE_LIMIT_S
        self.published_s: list[float] = []
        self.publish_lock = asyncio.Lock()
        self.written: dict[str, Any] = {}

    async def start(self, later: Collection[str] = ()) -> None:
        """Start the processes and publish the first configuration.

        :param later: names of processes that are not started yet.
        """
        settings = self.settings
        self._add_fake('store', 'store', self.store_address)
        self._add_fake('duties', 'duties', self.duty_address)
        origin = {'bind': self.origin_address, 'chunks': settings.chunks}
        self._add_fake('origin', 'origin', json.dumps(origin))
        await self._start_store('store')
        await self.publish(KEYS)
        for index in range(settings.engines):
            await self._add_engine(f'engine-{index}', index, model=True)
            await self._add_loader(f'loader-{index}', f'engine-{index}', index)
        for index in range(settings.records):
            await self._add_engine(f'records-{index}', index, model=False)
        for index in range(settings.relays):
            await self._add_relay(f'relay-{index}', index)
        for name in self.processes:
            if name not in later:
                self.supervise(name)

    def supervise(self, name: str) -> None:
        """Start a process, and again whenever it exits."""
        process = self.processes[name]
        process.should_run = True
        self.tasks.append(asyncio.create_task(process.supervise()))

    async def stop(self) -> None:
        """Kill every process that was started."""
        for process in self.processes.values():
            process.should_run = False
        for process in self.processes.values():
            await process.kill()
        for task in self.tasks:
            task.cancel()

    async def publish(
        self, keys: Iterable[str], unused_routes: int = 0
    ) -> None:
        """Publish a configuration that accepts these API keys.

        Publications are serialized, so that the versions also increase in
        the order in which the store applies them.

        :param unused_routes: number of routes that no client uses.
        """
        async with self.publish_lock:
            self.version += 3
            document = build_configuration(
                self.version,
                keys,
                self.origin_address,
                self.idle_limit_s,
                self.settings.chunks,
                unused_routes,
            )
            self.published_s.append(time.time())
            await self.control({'put': 'op/config', 'document': document})

    async def control(self, command: dict[str, Any]) -> None:
        """Send an operator's command to the store; retry until it succeeds."""
        match command:
            case {'put': key, 'document': document}:
                self.written[key] = document
            case {'remove': key}:
                self.written.pop(key, None)
        body = json.dumps(command).encode()
        while True:
            try:
                await post(self.store_address, '/control', body)
            except (OSError, TimeoutError):
                await asyncio.sleep(CONTROL_RETRY_S)
            else:
                return

    async def restore_store(self) -> None:
        """Bring the store back from its copy, and write again what is lost."""
        before = set(self.written)
        await self.control({'restore': True})
        for key, document in tuple(self.written.items()):
            await self.control({'put': key, 'document': document})
        for key in OPERATOR_KEYS - before:
            await self.control({'remove': key})

    def _add_fake(self, name: str, kind: str, argument: str) -> None:
        arguments = ['-m', 'bramleylug.soak.stand_in', kind, argument]
        self.processes[name] = ManagedProcess(
            name, arguments, {}, self.folder / f'{name}.log'
        )

    async def _start_store(self, name: str) -> None:
        process = self.processes[name]
        await process.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await is_listening(self.store_address):
                await asyncio.sleep(0.05)

    async def _add_engine(self, name: str, index: int, *, model: bool) -> None:
        address = free_address()
        proxy = Proxy(address)
        await proxy.open()
        self.proxies[f'to {name}'] = proxy
        zone = ZONES[index % len(ZONES)]
        self.engines[name] = address
        self.zones[name] = zone
        settings = {
            'engine_id': name,
            'service': 'advisor' if model else 'bookings',
            'zone': zone,
            'store': self.store_address,
            'bind': address,
            'advertised': proxy.address,
            'model': 'fitting' if model else '',
            'version': self.settings.version if model else 0,
            'chunks': self.settings.chunks,
            'harmful_part': HARMFUL_PART if model else '',
        }
        self._add_fake(name, 'engine', json.dumps(settings))

    async def _add_relay(self, name: str, index: int) -> None:
        addresses = {
            'caller': free_address(),
            'directory': free_address(),
            'ready': free_address(),
        }
        self.relays[name] = addresses
        listen = (
            f'front = "{addresses["caller"]}"\n'
            f'ready = "{addresses["ready"]}"\n'
            f'directory = "{addresses["directory"]}"\n'
        )
        await self._add_daemon(name, 'relay', index, listen, '')

    async def _add_loader(self, name: str, engine: str, index: int) -> None:
        role_settings = (
            f'app = "{self.proxies[f"to {engine}"].address}"\n'
            'service = "advisor"\n'
        )
        await self._add_daemon(name, 'loader', index, '', role_settings)

    async def _add_daemon(
        self, name: str, role: str, index: int, listen: str, role_settings: str
    ) -> None:
        proxy = Proxy(self.store_address)
        await proxy.open()
        self.proxies[f'{name} to store'] = proxy
        path = self.folder / f'{name}.toml'
        settings = SETTINGS_TEMPLATE.format(
            name=name,
            host=OWN_HOST,
            zone=ZONES[index % len(ZONES)],
            first_port=free_port_pair(),
            store=proxy.address,
            listen=listen,
            role_settings=f'{DUTY_CONTRACTS}\n{role_settings}',
        )
        duties = DUTY_TEMPLATE.format(
            address=self.duty_address, per_s=DUTIES_PER_S
        )
        path.write_text(settings + duties)
        self.processes[name] = ManagedProcess(
            name,
            ['-m', 'bramleylug.platform', role, '--metrics-port', '0'],
            {'BRAMLEYLUG_CONFIG': str(path)},
            self.folder / f'{name}.log',
        )


def build_configuration(
    version: int,
    keys: Iterable[str],
    origin: str,
    idle_limit_s: float,
    chunks: int,
    unused_routes: int = 0,
) -> dict[str, Any]:
    """Return a configuration with a route for streams and one for bookings.

    :param unused_routes: number of further routes, which no client uses.
    """
    route = {
        'host': 'advisor.example',
        'timeout_ms': 5000,
        'target_latency_ms': 400,
        'priority': 1,
        'public': False,
    }
    stream_route = {
        **route,
        'name': 'ask',
        'path_prefix': '/ask/',
        'kind': 'streaming',
        'service': 'advisor',
        'max_attempts': 2,
        'resumable': True,
    }
    return {
        'version': version,
        'routes': [
            stream_route,
            {
                **route,
                'name': 'book',
                'path_prefix': '/book/',
                'kind': 'unsafe',
                'service': 'bookings',
                'max_attempts': 2,
            },
            *(
                {
                    **stream_route,
                    'name': f'unused-{number}',
                    'host': f'unused-{number}.example',
                    'path_prefix': f'/unused/{number}/',
                    'public': True,
                    'allowed_regions': [],
                }
                for number in range(unused_routes)
            ),
        ],
        'services': [
            {
                'name': 'advisor',
                'max_connections': 200,
                'cold_per_s': 0.0,
                'engine': {
                    'models': [{'name': 'fitting', 'warm_s': 0.05}],
                    'layers': 4,
                    'chunks': chunks,
                    'chunk_bytes': 4096,
                },
            },
            {'name': 'bookings', 'max_connections': 200, 'cold_per_s': 0.0},
            {'name': 'origin', 'origin': origin, 'max_connections': 48},
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1048576,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': int(idle_limit_s * 1000),
        },
        'tenants': [{'name': 'garage', 'api_keys': list(keys)}],
    }


async def post(address: str, path: str, body: bytes) -> bytes:
    """Send a POST request and return the body of the answer.

    :raises OSError: when the call fails or the status is not 200.
    :raises TimeoutError: when there is no answer within 1 s.
    """
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(1.0):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f'POST {path} HTTP/1.1\r\nHost: {address}\r\n'
            f'Connection: close\r\nContent-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        answer = await reader.read()
        writer.close()
    if not answer.startswith(b'HTTP/1.1 200'):
        raise OSError(answer[:80])
    return answer.partition(b'\r\n\r\n')[2]


async def is_listening(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    return True


SETTINGS_TEMPLATE = """
node_name = "{name}"
ip = "{host}"
zone = "{zone}"
region = "north"
internal_ports = [{first_port}, {first_port}]
{role_settings}
[zones]
zone-a = "north"
zone-b = "north"
[listen]
{listen}
[limits]
memory_mb = 300
file_descriptors = 4200
link_mbps = 100.0
[bounds]
grace_s = 8
stable_window_ms = 3000
fail_closed = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_slack = 100
cold_overshoot = 1.5
cold_slack = 5
version_ms = 8000
ttl_max_s = 5
lease_ms = 3000
report_window_s = 5
usage_late_s = 10
[platform]
address = "{store}"
"""
# Top-level settings and table of processes with duties.
DUTY_CONTRACTS = 'contracts = ["leader"]'
DUTY_TEMPLATE = """[cloud]
address = "{address}"
duties = ["usage"]
duty_per_s = {per_s}
"""
