"""An engine, its loader and a relay as processes, and a caller."""

import asyncio
import json
import signal
import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from itertools import count as numbers
from pathlib import Path
from typing import Any, final

from bramleylug.soak.clients import HOST, classify_answer
from bramleylug.soak.deployment import (
    KEYS,
    Deployment,
    DeploymentSettings,
    is_listening,
    post,
)
from bramleylug.soak.observations import Outcome
from bramleylug.web.client_connection import (
    ClientConnection,
    ClientRequest,
    call,
)
from bramleylug.web.http_client import CALL_ERRORS

ENGINE = 'engine-0'
LOADER = 'loader-0'
RELAY = 'relay-0'
PLATFORM = 'bramleylug.platform'
STOPPING_LOADER = 'testing.platform.stopping_loader'
CHUNKS = 32
# State of a stopped process in /proc.
STOPPED = 'T'
POLL_S = 0.02
CALL_INTERVAL_S = 0.05
CONNECT_TIMEOUT_S = 1.0
# The longest wait for something that has to happen.
TIMEOUT_S = 40.0


@final
class WeightsProcesses:
    """The processes of one host and of a relay.

    :ivar served: requests that were served whole.
    :ivar errors: what was wrong with answers.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.served = 0
        self.errors: list[str] = []
        self.caller: asyncio.Task[None] | None = None

    async def start(self, trouble: dict[str, Any], program: str) -> None:
        """Start the loader once the engine has its trouble."""
        await self.deployment.start(later=(LOADER,))
        async with asyncio.timeout(TIMEOUT_S):
            while not await is_listening(self.deployment.engines[ENGINE]):
                await asyncio.sleep(POLL_S)
        await self.engine(**trouble)
        self.deployment.processes[LOADER].arguments[1] = program
        self.deployment.supervise(LOADER)
        self.caller = asyncio.create_task(self.run_caller())

    async def stop(self) -> None:
        if self.caller is not None:
            self.caller.cancel()
        await self.deployment.stop()

    async def engine(self, **trouble: Any) -> dict[str, Any]:
        """Give the engine trouble; return what it has seen so far."""
        address = self.deployment.engines[ENGINE]
        raw = await post(address, '/-/trouble', json.dumps(trouble).encode())
        return dict(json.loads(raw))

    async def engine_until(
        self, check: Callable[[dict[str, Any]], bool]
    ) -> None:
        """Poll what the engine has seen until it is as wanted.

        :raises TimeoutError: after :data:`TIMEOUT_S`.
        """
        async with asyncio.timeout(TIMEOUT_S):
            while not check(await self.engine()):
                await asyncio.sleep(POLL_S)

    async def serve(self, requests: int) -> dict[str, Any]:
        """Wait for requests to be served; return what the engine has seen.

        :raises TimeoutError: after :data:`TIMEOUT_S`.
        """
        wanted = self.served + requests
        async with asyncio.timeout(TIMEOUT_S):
            while self.served < wanted:
                await asyncio.sleep(POLL_S)
        return await self.engine()

    async def loader_stopped_itself(self) -> None:
        """Wait until the loader is stopped.

        :raises TimeoutError: after :data:`TIMEOUT_S`.
        """
        loader = self.deployment.processes[LOADER]
        async with asyncio.timeout(TIMEOUT_S):
            while loader.process is None or not is_stopped(loader.process.pid):
                await asyncio.sleep(POLL_S)

    def send(self, signo: signal.Signals, *names: str) -> None:
        for name in names:
            self.deployment.processes[name].send(signo)

    async def run_caller(self) -> None:
        """Send one request after another until cancelled."""
        address = self.deployment.relays[RELAY]['caller']
        for number in numbers():
            await asyncio.sleep(CALL_INTERVAL_S)
            with suppress(*CALL_ERRORS):
                await self._request(address, f'c-{number}')

    async def _request(self, address: str, request_id: str) -> None:
        headers = [
            ('Host', HOST),
            ('X-Request-Id', request_id),
            ('X-Request-Deadline', '2000'),
            ('Authorization', f'Bearer {KEYS[0]}'),
            ('X-Model', 'fitting'),
            ('X-Prompt-Prefix', f'shared:800,{request_id}:60'),
        ]
        connection = await ClientConnection.open(
            address, timeout_s=CONNECT_TIMEOUT_S
        )
        try:
            head, body = await call(
                connection, ClientRequest('POST', '/ask/1', headers, b'{}')
            )
        finally:
            connection.close()
        outcome, error = classify_answer(head, body, request_id, booking=False)
        if error:
            self.errors.append(error)
        elif outcome is Outcome.complete:
            self.served += 1


def is_stopped(process_id: int) -> bool:
    """Return whether a process is stopped by a signal."""
    stat = Path(f'/proc/{process_id}/stat').read_text()
    return stat.rpartition(')')[2].split()[0] == STOPPED


@asynccontextmanager
async def running_processes(
    *, program: str = PLATFORM, **trouble: Any
) -> AsyncIterator[WeightsProcesses]:
    """Run an engine without weights, then its loader, and call it.

    :param program: module that runs the loader.
    :param trouble: trouble of the engine before the loader is started.
    """
    settings = DeploymentSettings(
        relays=1, engines=1, records=0, version=0, chunks=CHUNKS
    )
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), settings)
        processes = WeightsProcesses(deployment)
        try:
            await processes.start(trouble, program)
            yield processes
        finally:
            await processes.stop()
