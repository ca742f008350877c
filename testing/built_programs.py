"""Starts a relay that was built as for a deployment, and connects to it."""

import asyncio
import os
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

from bramleylug.cluster.descriptors import allow_descriptors
from bramleylug.fakes.metadata_store import FakeMetadataStore
from bramleylug.soak.addresses import OWN_HOST, free_address, free_port_pair
from bramleylug.soak.deployment import SETTINGS_TEMPLATE, is_listening

# This process holds one end of each connection.
NEEDED_DESCRIPTORS = 2048
START_TIMEOUT_S = 30.0
POLL_S = 0.1
ANSWER_TIMEOUT_S = 5.0
REQUEST = b'GET /ask/1 HTTP/1.1\r\nHost: advisor.example\r\n\r\n'
END_OF_HEAD = b'\r\n\r\n'


class BuiltRelay:
    """A relay of ``target/deps`` of a checkout, with a fake store.

    :ivar caller: address for callers.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = FakeMetadataStore()
        self.caller = free_address()
        self.ready = free_address()
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the relay and wait until it listens.

        :raises TimeoutError: when it does not.
        """
        self.store.start()
        path = self.folder / 'relay.toml'
        path.write_text(
            SETTINGS_TEMPLATE.format(
                name='relay-0',
                host=OWN_HOST,
                zone='zone-a',
                first_port=free_port_pair(),
                store=self.store.web.address,
                listen=f'front = "{self.caller}"\nready = "{self.ready}"',
                role_settings='',
            )
        )
        self.process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'bramleylug.platform',
                'relay',
                '--metrics-port',
                '0',
            ],
            cwd=self.folder,
            env={
                **os.environ,
                'PYTHONPATH': str(self.folder / 'target' / 'deps'),
                'BRAMLEYLUG_CONFIG': str(path),
            },
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self._wait_until_listening()

    def kill(self) -> None:
        """Kill the relay and stop its store."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self.store.stop()

    def _wait_until_listening(self) -> None:
        end_s = time.monotonic() + START_TIMEOUT_S
        while not asyncio.run(is_listening(self.caller)):
            if time.monotonic() > end_s:
                raise TimeoutError(f'nothing listens on {self.caller}')
            time.sleep(POLL_S)


async def hold_connections(address: str, connections: int) -> int:
    """Send a request on each of many connections, which all stay open.

    :returns: how many were answered; none is opened after one that was not.
    :raises OSError: when the system allows too few descriptors.
    """
    allowed = allow_descriptors(NEEDED_DESCRIPTORS)
    if allowed < NEEDED_DESCRIPTORS:
        raise OSError(f'only {allowed} descriptors are allowed')
    host, _, port = address.rpartition(':')
    writers: list[asyncio.StreamWriter] = []
    answered = 0
    with suppress(TimeoutError):
        for _ in range(connections):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writers.append(writer)
                writer.write(REQUEST)
                await reader.readuntil(END_OF_HEAD)
                answered += 1
    for writer in writers:
        writer.close()
    return answered
