"""Has the engines of a deployment misbehave."""

import asyncio
import json
import signal
import time
from typing import Any, final

from bramleylug.soak.deployment import Deployment, post
from bramleylug.soak.fault_schedule import MAX_DURATION_S, Fault

# Time for which an engine that leaves goes on serving, after which it ends.
LEAVING_S = 3.0
ENDLESS_ANSWERS = 3
# Limits that an engine names, and how long it names each at least.
MAX_LIMIT_PER_S = 8.0
MIN_LIMIT_PER_S = 0.5
IN_NEED_S = 4.0
CUT_STREAMS = 3
MIN_SILENCE_S = 1.0
MAX_SILENCE_S = 2.0
# Engines write for this long between two silences.
MIN_SPEECH_S = 2.0
# Picks below this affect one engine, others all of them.
ONE_ENGINE_SHARE = 0.5


@final
class EngineFaults:
    """Carries out the faults that engines commit themselves.

    :ivar silent_until_s: Unix time until which engines are silent.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.silent_until_s = 0.0

    async def leaving(self, fault: Fault) -> None:
        name = self.select(fault)
        previous = self.deployment.processes[name].process
        await self._trouble(name, {'leaving': True})
        await asyncio.sleep(fault.for_s + LEAVING_S)
        if self.deployment.processes[name].process is previous:
            self.deployment.processes[name].send(signal.SIGKILL)

    async def busy(self, fault: Fault) -> None:
        name = self.select(fault)
        await self._trouble(name, {'busy_s': fault.for_s})

    async def endless(self, fault: Fault) -> None:
        name = self.select(fault)
        await self._trouble(name, {'endless': ENDLESS_ANSWERS})

    async def silence(self, fault: Fault) -> None:
        """Silence engines; nothing happens if they were just silent."""
        if time.time() < self.silent_until_s + MIN_SPEECH_S:
            return
        span_s = MAX_SILENCE_S - MIN_SILENCE_S
        silent_s = MIN_SILENCE_S + span_s * fault.for_s / MAX_DURATION_S
        self.silent_until_s = time.time() + silent_s
        await self._trouble_some(fault, {'silent_s': silent_s})
        await asyncio.sleep(silent_s)

    async def unframed(self, fault: Fault) -> None:
        await self._trouble_some(fault, {'unframed_s': fault.for_s})
        await asyncio.sleep(fault.for_s)

    async def cut_event(self, fault: Fault) -> None:
        await self._trouble_some(fault, {'cut_streams': CUT_STREAMS})

    async def in_need(self, fault: Fault) -> None:
        """Name a limit, another one later, and take it back."""
        name = self.select(fault)
        for limit_per_s in (MAX_LIMIT_PER_S * fault.pick, MIN_LIMIT_PER_S):
            await self._trouble(name, {'limit_per_s': limit_per_s})
            await asyncio.sleep(IN_NEED_S + fault.for_s)
        await self._trouble(name, {'limit_per_s': None})

    def select(self, fault: Fault) -> str:
        names = list(self.deployment.engines)
        return names[int(fault.pick * len(names))]

    async def _trouble_some(
        self, fault: Fault, trouble: dict[str, Any]
    ) -> None:
        """Tell one engine, or all of them, to misbehave."""
        names = [self.select(fault)]
        if fault.pick > ONE_ENGINE_SHARE:
            names = list(self.deployment.engines)
        await asyncio.gather(*(self._trouble(name, trouble) for name in names))

    async def _trouble(self, name: str, trouble: dict[str, Any]) -> None:
        """Tell an engine to misbehave; one that is down has no trouble."""
        address = self.deployment.engines[name]
        try:
            await post(address, '/-/trouble', json.dumps(trouble).encode())
        except (OSError, TimeoutError):
            return
