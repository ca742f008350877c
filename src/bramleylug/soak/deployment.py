"""The processes of a soak, and the proxies between them."""

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, final

from bramleylug.soak.proxy import Proxy

RELAYS = 3
ENGINES = 3
ZONES = ('zone-a', 'zone-b')
START_S = 15.0
RESTART_POLL_S = 0.1
CONTROL_RETRY_S = 0.1
KEYS = ('key-1', 'key-2')


@final
@dataclass(slots=True)
class Program:
    """One process: how to start it, and the one that runs.

    :ivar wanted: whether it is to be started again when it ends.
    """

    name: str
    arguments: list[str]
    environment: dict[str, str]
    log: Path
    process: asyncio.subprocess.Process | None = None
    wanted: bool = True

    async def start(self) -> None:
        """Start it."""
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self.arguments,
                env={**os.environ, **self.environment},
                stdout=log,
                stderr=log,
            )

    def send(self, signo: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signo)

    async def keep(self) -> None:
        """Start it again whenever it ends, until it is not wanted."""
        while self.wanted:
            if self.process is None or self.process.returncode is not None:
                await self.start()
            if self.process is not None:
                await self.process.wait()

    async def restarted(self, ended: asyncio.subprocess.Process | None) -> None:
        """Wait until another process than this one runs."""
        while self.wanted and self.process is ended:
            await asyncio.sleep(RESTART_POLL_S)

    async def end(self) -> None:
        """Kill it for good."""
        self.wanted = False
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


@final
class Deployment:
    """Store, origin, engines with loaders, records and relays.

    :ivar relays: addresses of each relay by its name.
    :ivar links: proxies by what they lead from and to.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.programs: dict[str, Program] = {}
        self.relays: dict[str, dict[str, str]] = {}
        self.engines: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self.links: dict[str, Proxy] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.store_address = free_address()
        self.origin_address = free_address()
        self.version = 0
        self.publishing = asyncio.Lock()

    async def start(self) -> None:
        """Start everything and write the first configuration."""
        self._stand_in('store', 'store', self.store_address)
        self._stand_in('origin', 'origin', self.origin_address)
        await self._started('store')
        await self.publish(KEYS)
        for index in range(ENGINES):
            await self._add_engine(f'engine-{index}', index, model=True)
            await self._add_loader(f'loader-{index}', f'engine-{index}', index)
        for index in range(2):
            await self._add_engine(f'records-{index}', index, model=False)
        for index in range(RELAYS):
            await self._add_relay(f'relay-{index}', index)
        for program in self.programs.values():
            self.tasks.append(asyncio.create_task(program.keep()))

    async def stop(self) -> None:
        """End every process that was started, by its id."""
        for program in self.programs.values():
            program.wanted = False
        for program in self.programs.values():
            await program.end()
        for task in self.tasks:
            task.cancel()

    async def publish(self, keys: Iterable[str]) -> None:
        """Write a configuration that holds some keys.

        One after the other: versions have to rise in the store too.
        """
        async with self.publishing:
            self.version += 3
            document = configuration(self.version, keys, self.origin_address)
            await self.control({'put': 'op/config', 'document': document})

    async def control(self, order: dict[str, Any]) -> None:
        """Have the operator change the store, however long that takes."""
        body = json.dumps(order).encode()
        while True:
            try:
                await post(self.store_address, '/control', body)
            except (OSError, TimeoutError):
                await asyncio.sleep(CONTROL_RETRY_S)
            else:
                return

    def _stand_in(self, name: str, kind: str, text: str) -> None:
        arguments = ['-m', 'bramleylug.soak.stand_in', kind, text]
        self.programs[name] = Program(
            name, arguments, {}, self.folder / f'{name}.log'
        )

    async def _started(self, name: str) -> None:
        program = self.programs[name]
        await program.start()
        async with asyncio.timeout(START_S):
            while not await listens(self.store_address):
                await asyncio.sleep(0.05)

    async def _add_engine(self, name: str, index: int, *, model: bool) -> None:
        address = free_address()
        proxy = Proxy(address)
        await proxy.open()
        self.links[f'to {name}'] = proxy
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
            'version': 1 if model else 0,
        }
        self._stand_in(name, 'engine', json.dumps(settings))

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
        await self._add_program(name, 'relay', index, listen, '')

    async def _add_loader(self, name: str, engine: str, index: int) -> None:
        own = (
            f'app = "{self.links[f"to {engine}"].address}"\n'
            'service = "advisor"\n'
        )
        await self._add_program(name, 'loader', index, '', own)

    async def _add_program(
        self, name: str, program: str, index: int, listen: str, own: str
    ) -> None:
        proxy = Proxy(self.store_address)
        await proxy.open()
        self.links[f'{name} to store'] = proxy
        path = self.folder / f'{name}.toml'
        path.write_text(
            SETTINGS.format(
                name=name,
                zone=ZONES[index % len(ZONES)],
                first_port=free_ports(),
                store=proxy.address,
                listen=listen,
                own=own,
            )
        )
        self.programs[name] = Program(
            name,
            ['-m', 'bramleylug.platform', program, '--metrics-port', '0'],
            {'BRAMLEYLUG_CONFIG': str(path)},
            self.folder / f'{name}.log',
        )


def configuration(
    version: int, keys: Iterable[str], origin: str
) -> dict[str, Any]:
    """Return a configuration with streams and bookings."""
    route = {
        'host': 'advisor.example',
        'timeout_ms': 5000,
        'target_latency_ms': 400,
        'priority': 1,
        'public': False,
    }
    return {
        'version': version,
        'routes': [
            {
                **route,
                'name': 'ask',
                'path_prefix': '/ask/',
                'kind': 'streaming',
                'service': 'advisor',
                'max_attempts': 2,
                'resumable': True,
            },
            {
                **route,
                'name': 'book',
                'path_prefix': '/book/',
                'kind': 'unsafe',
                'service': 'bookings',
                'max_attempts': 2,
            },
        ],
        'services': [
            {
                'name': 'advisor',
                'max_connections': 200,
                'cold_per_s': 0.0,
                'engine': {
                    'models': [{'name': 'fitting', 'warm_s': 0.05}],
                    'layers': 4,
                    'chunks': 8,
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
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'garage', 'api_keys': list(keys)}],
    }


async def post(address: str, path: str, body: bytes) -> bytes:
    """Make one call with a time limit."""
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


async def listens(address: str) -> bool:
    """Tell whether somebody listens at an address."""
    host, _, port = address.rpartition(':')
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    return True


def free_address() -> str:
    """Return an address of loopback that nobody listens on."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{sock.getsockname()[1]}'


def free_ports() -> int:
    """Return a port that is free together with the next one."""
    while True:
        port = int(free_address().rpartition(':')[2])
        with socket.socket() as sock:
            try:
                sock.bind(('127.0.0.1', port + 1))
            except OSError:
                continue
        return port


SETTINGS = """
node_name = "{name}"
ip = "127.0.0.1"
zone = "{zone}"
region = "north"
internal_ports = [{first_port}, {first_port}]
{own}
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
[platform]
address = "{store}"
"""
