"""Runs a soak: starts the processes and clients, injects faults, checks."""

import asyncio
import json
import time
from collections import Counter
from collections.abc import Awaitable, Sequence
from pathlib import Path
from typing import Any, TypedDict, final

from bramleylug.soak.cancellation import cancel_until_done
from bramleylug.soak.checks import find_violations
from bramleylug.soak.clients import (
    CLIENT_COUNT,
    EXTRA_CLIENT_COUNT,
    Client,
    Directory,
)
from bramleylug.soak.deployment import (
    IDLE_LIMIT_S,
    KEYS,
    Deployment,
    post,
)
from bramleylug.soak.fault_injector import FaultInjector
from bramleylug.soak.fault_schedule import (
    ALL_KINDS,
    Fault,
    Kind,
    generate_faults,
)
from bramleylug.soak.idle_clients import IdleClient
from bramleylug.soak.observations import (
    HarmfulRun,
    Observations,
    Outcome,
    Rejection,
    RequestRecord,
    Run,
)
from bramleylug.soak.traffic import Traffic

IDLE_CLIENT_COUNT = 24
READY_TIMEOUT_S = 20.0
# Processes may still be starting and weights loading after the last fault.
SETTLE_S = 12.0
RECOVERY_CHECK_S = 4.0
RUNS_POLL_S = 0.4
OWN_LOOP_INTERVAL_S = 0.1


class Summary(TypedDict):
    """Result of a soak, which is printed as JSON.

    ``stood_still_s`` is the longest time for which the soak itself did not
    run: it holds all clients and proxies. ``corrupt_runs`` counts runs with
    layers that were taken from corrupt chunks, including those that had been
    corrupt for so short a time that the run is no violation.
    """

    seed: int
    faults: int
    endings: dict[str, int]
    runs: int
    corrupt_runs: int
    stood_still_s: float
    violations: list[str]


@final
class Soak:
    """Runs the real programs under the faults of a seed.

    :param length_s: time during which faults are started.
    :param folder: where settings, logs and ``faults.log`` are written.
    :ivar runs: runs that engines reported, by engine, request id and time.
    :ivar rejections: the same for requests that they turned away.
    """

    def __init__(
        self,
        seed: int,
        length_s: float,
        folder: Path,
        kinds: Sequence[Kind] = ALL_KINDS,
    ) -> None:
        self.seed = seed
        self.kinds = kinds
        self.length_s = length_s
        self.folder = folder
        self.deployment = Deployment(folder)
        self.observations = Observations()
        self.runs: dict[str, Run] = {}
        self.rejections: dict[str, Rejection] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.stood_still_s = 0.0
        self.traffic = Traffic()
        self.traffic.publish_limit(IDLE_LIMIT_S)
        self.injector = FaultInjector(
            self.deployment, self.observations, self.traffic
        )

    async def run(self) -> Summary:
        """Run the soak and check its observations."""
        faults = list(generate_faults(self.seed, self.length_s, self.kinds))
        try:
            await self.deployment.start()
            await self._run_faults(faults)
        finally:
            await self._stop()
        self.observations.runs = list(self.runs.values())
        self.observations.rejections = list(self.rejections.values())
        self.observations.configurations_s = self.deployment.published_s
        self._read_crashes()
        outcomes = Counter(
            str(request.outcome.value) for request in self.observations.requests
        )
        return Summary(
            seed=self.seed,
            faults=len(faults),
            endings=dict(outcomes),
            runs=len(self.observations.runs),
            corrupt_runs=len(self.observations.corrupt_runs),
            stood_still_s=round(self.stood_still_s, 2),
            violations=find_violations(self.observations),
        )

    async def _stop(self) -> None:
        await cancel_until_done(self.tasks)
        await self.deployment.stop()

    async def _run_faults(self, faults: list[Fault]) -> None:
        directory = Directory(self.deployment.relays)
        self._spawn(directory.run())
        self._spawn(self._poll_runs())
        self._spawn(self._watch_own_loop())
        for number in range(CLIENT_COUNT + EXTRA_CLIENT_COUNT):
            client = Client(
                number,
                directory,
                self.observations,
                self.traffic,
                self.seed,
            )
            self._spawn(client.run())
        for number in range(IDLE_CLIENT_COUNT):
            idle_client = IdleClient(
                number,
                directory,
                self.observations,
                self.traffic,
                self.seed,
            )
            self._spawn(idle_client.run())
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not any(
                self._is_served_stream(request)
                for request in self.observations.requests
            ):
                await asyncio.sleep(0.1)
        started_s = time.monotonic()
        injections = []
        for fault in faults:
            await asyncio.sleep(started_s + fault.at_s - time.monotonic())
            injections.append(asyncio.create_task(self._inject(fault)))
        await asyncio.gather(*injections)
        await self.deployment.publish(KEYS)
        await asyncio.sleep(SETTLE_S)
        self.observations.faults_ended_s = time.time()
        await asyncio.sleep(RECOVERY_CHECK_S)

    def _is_served_stream(self, request: RequestRecord) -> bool:
        return request.outcome is Outcome.complete and not request.booking

    async def _inject(self, fault: Fault) -> None:
        with (self.folder / 'faults.log').open('a') as log:
            log.write(f'{time.time():.2f} {fault}\n')
        await self.injector.inject(fault)

    def _spawn(self, coroutine: Awaitable[None]) -> None:
        self.tasks.add(asyncio.ensure_future(coroutine))

    async def _watch_own_loop(self) -> None:
        """Measure for how long the loop of the soak does not run."""
        while True:
            due_s = time.monotonic() + OWN_LOOP_INTERVAL_S
            await asyncio.sleep(OWN_LOOP_INTERVAL_S)
            late_s = time.monotonic() - due_s
            self.stood_still_s = max(self.stood_still_s, late_s)

    async def _poll_runs(self) -> None:
        """Poll the engines' runs, as a killed engine loses those not read."""
        while True:
            await asyncio.sleep(RUNS_POLL_S)
            for name, address in self.deployment.engines.items():
                try:
                    raw = await post(address, '/-/runs', b'')
                except (OSError, TimeoutError):
                    # Runs since the last poll of a killed engine go unchecked.
                    continue
                self._record_runs(name, json.loads(raw))
            await self._poll_duties()

    async def _poll_duties(self) -> None:
        """Poll what the service of the duties found wrong."""
        try:
            raw = await post(self.deployment.duty_address, '/breaches', b'')
        except (OSError, TimeoutError):
            # It starts, or the host is busy; the next poll returns it all.
            return
        self.observations.duty_violations = json.loads(raw)

    def _record_runs(self, name: str, reply: dict[str, list[Any]]) -> None:
        zone = self.deployment.zones[name]
        for request_id, at_s, version, _, *named in reply['runs']:
            run = Run(
                request_id,
                float(at_s),
                int(version),
                name,
                zone,
                *named,
            )
            self.runs[f'{name} {request_id} {at_s}'] = run
        for request_id, at_s, retry_after_s in reply['rejections']:
            rejection = Rejection(
                request_id, float(at_s), float(retry_after_s), name
            )
            self.rejections[f'{name} {request_id} {at_s}'] = rejection
        self.observations.corrupt_runs.update(
            f'{name} {corrupt_run[0]}' for corrupt_run in reply['corrupt_runs']
        )
        for violation in reply['faults']:
            text = f'{name}: {violation}'
            if text not in self.observations.engine_violations:
                self.observations.engine_violations.append(text)

    def _read_crashes(self) -> None:
        """Read what the engines printed of the requests that crash them."""
        for name in self.deployment.engines:
            log = (self.folder / f'{name}.log').read_text(errors='replace')
            for line in log.splitlines():
                self._read_crash(name, line.split())

    def _read_crash(self, name: str, words: list[str]) -> None:
        match words:
            case ['harmful', request_id, at_s]:
                run = HarmfulRun(request_id, float(at_s), name)
                self.observations.harmful_runs.append(run)
            case ['crashed', at_s]:
                self.observations.crashes_s.append(float(at_s))
