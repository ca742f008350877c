"""A relay process whose engines answer some callers without end."""

import asyncio
import os
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from bramleylug.fakes.metadata_store import FakeMetadataStore
from bramleylug.soak.addresses import OWN_HOST, free_address, free_port_pair
from bramleylug.soak.deployment import SETTINGS_TEMPLATE, build_configuration

START_TIMEOUT_S = 15.0
ENDLESS_ENGINES = 3
GREEDY_CALLERS = 40
CALL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 3.0
KEY = 'key-1'


@dataclass
class PlayResult:
    """What the other callers and the relay saw.

    :ivar took_ms: time of each call that was served, in order of time.
    :ivar refused: calls that were answered, but not served.
    :ivar lost: calls without an answer in :data:`CALL_TIMEOUT_S`.
    :ivar peak_mb: highest resident memory of the relay.
    :ivar processor_s: processor time of the relay in the play.
    """

    took_ms: list[float] = field(default_factory=list)
    refused: int = 0
    lost: int = 0
    peak_mb: float = 0
    processor_s: float = 0

    @property
    def p95_ms(self) -> float:
        ordered = sorted(self.took_ms)
        return ordered[len(ordered) * 95 // 100] if ordered else float('inf')


class EndlessPlay:
    """Store in this process; relay and engines in processes of their own.

    :param form: how the engines of the streams answer without end.
    :param size: bytes of each piece that they send.
    :param callers: how many callers read such answers.
    :ivar log: output of the relay, once it has ended.
    """

    def __init__(
        self,
        form: str,
        size: int,
        length_s: float = 6.0,
        callers: int = GREEDY_CALLERS,
    ) -> None:
        self.form = form
        self.size = size
        self.length_s = length_s
        self.callers = callers
        self.store = FakeMetadataStore()
        self.caller_bind = free_address()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.result = PlayResult()
        self.log = ''

    def run(self) -> PlayResult:
        """Play, and end all processes."""
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder) / 'relay.log'
            try:
                self._start(Path(folder), log)
                asyncio.run(self._play())
            finally:
                self._stop()
                self.log = log.read_text()
        return self.result

    def _stop(self) -> None:
        for process in self.processes:
            process.kill()
            process.wait()
        self.store.stop()

    def _start(self, folder: Path, log: Path) -> None:
        self.store.start()
        store = self.store.web.address
        config = build_configuration(3, [KEY], free_address(), 15.0, 8)
        self.store.put('op/config', config)
        addresses = [free_address() for _ in range(ENDLESS_ENGINES)]
        self._spawn(
            'testing.relay.endless_engine',
            self.form,
            str(self.size),
            *addresses,
        )
        for number, address in enumerate(addresses):
            self._register(f'endless-{number}', address)
        engine = (
            '{"engine_id": "sound", "service": "bookings", "zone": "zone-a", '
            f'"store": "{store}", "bind": "{free_address()}"}}'
        )
        self._spawn('bramleylug.soak.stand_in', 'engine', engine)
        path = folder / 'relay.toml'
        path.write_text(
            SETTINGS_TEMPLATE.format(
                name='relay',
                host=OWN_HOST,
                zone='zone-a',
                first_port=free_port_pair(),
                store=store,
                listen=f'front = "{self.caller_bind}"\n'
                f'ready = "{free_address()}"\ndirectory = "{free_address()}"',
                role_settings='',
            )
        )
        with log.open('wb') as output:
            self._spawn(
                'bramleylug.platform',
                'relay',
                '--metrics-port',
                '0',
                env={**os.environ, 'BRAMLEYLUG_CONFIG': str(path)},
                stdout=output,
                stderr=output,
            )

    def _spawn(self, module: str, *arguments: str, **options: Any) -> None:
        self.processes.append(
            subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', module, *arguments], **options
            )
        )

    def _register(self, name: str, address: str) -> None:
        document = {
            'service': 'advisor',
            'address': address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 16,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': time.time_ns() // 1_000_000,
            'models': [{'name': 'fitting', 'version': 1}],
            'layers': {'from': 0, 'to': 4, 'version': 1},
        }
        self.store.put(f'servers/{name}', document)

    async def _play(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self._status_of('start') != b'200':
                await asyncio.sleep(0.05)
        before_s = self._processor_s()
        greedy = [
            asyncio.create_task(self._read_slowly(number))
            for number in range(self.callers)
        ]
        calls = []
        for number in range(round(self.length_s / CALL_INTERVAL_S)):
            calls.append(asyncio.create_task(self._call(number)))
            self._sample_memory()
            await asyncio.sleep(CALL_INTERVAL_S)
        self.result.processor_s = self._processor_s() - before_s
        await asyncio.gather(*calls)
        for task in greedy:
            task.cancel()
        await asyncio.gather(*greedy, return_exceptions=True)

    async def _call(self, number: int) -> None:
        sent_s = time.monotonic()
        match await self._status_of(f'b{number}'):
            case b'200':
                took_s = time.monotonic() - sent_s
                self.result.took_ms.append(took_s * 1000)
            case b'':
                self.result.lost += 1
            case _:
                self.result.refused += 1

    async def _status_of(self, request_id: str) -> bytes:
        """Return the status of the answer to a call; empty for none."""
        writer: Any = None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reader, writer = await self._send(request_id, '/book/1')
                return bytes(await reader.read(12))[9:]
        except (OSError, TimeoutError):
            return b''
        finally:
            if writer is not None:
                writer.close()

    async def _read_slowly(self, number: int) -> None:
        attempt = 0
        while True:
            attempt += 1
            try:
                reader, writer = await self._send(
                    f'g{number}-{attempt}', '/ask/1'
                )
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                while await reader.read(256):
                    await asyncio.sleep(0.05)
            except OSError:
                await asyncio.sleep(0.1)
            finally:
                writer.close()

    async def _send(self, request_id: str, path: str) -> Any:
        host, _, port = self.caller_bind.rpartition(':')
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=1024
        )
        model = 'X-Model: fitting\r\n' if path == '/ask/1' else ''
        writer.write(
            f'POST {path} HTTP/1.1\r\nHost: advisor.example\r\n'
            f'X-Request-Id: {request_id}\r\nX-Request-Deadline: 5000\r\n'
            f'Authorization: Bearer {KEY}\r\n{model}'
            'Connection: close\r\nContent-Length: 0\r\n\r\n'.encode()
        )
        return reader, writer

    def _sample_memory(self) -> None:
        pages = Path(f'/proc/{self.processes[-1].pid}/statm').read_text()
        resident = int(pages.split()[1]) * os.sysconf('SC_PAGE_SIZE')
        self.result.peak_mb = max(self.result.peak_mb, resident / 2**20)

    def _processor_s(self) -> float:
        stat = Path(f'/proc/{self.processes[-1].pid}/stat').read_text()
        times = stat.rpartition(')')[2].split()[11:13]
        return sum(map(int, times)) / os.sysconf('SC_CLK_TCK')


def main(form: str, size: str, callers: str, log: str) -> None:
    """Play once, and print what was measured."""
    play = EndlessPlay(form, int(size), callers=int(callers))
    try:
        shown = play.run()
    finally:
        Path(log).write_text(play.log)
    print(
        f'{form:22}{size:>6} callers {callers} served {len(shown.took_ms):4} '
        f'refused {shown.refused:3} lost {shown.lost:3} '
        f'p95 {shown.p95_ms:5.0f} ms '
        f'max {max(shown.took_ms, default=0):5.0f} ms '
        f'memory {shown.peak_mb:4.0f} MB processor {shown.processor_s:.1f} s',
        flush=True,
    )


if __name__ == '__main__':
    main(*sys.argv[1:])
