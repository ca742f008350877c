"""Pauses processes for longer than callers wait."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import final

from bramleylug.soak.deployment import (
    ENGINE_COUNT,
    RELAY_COUNT,
    Deployment,
    is_listening,
)
from bramleylug.soak.fault_schedule import MAX_DURATION_S, Fault
from bramleylug.soak.observations import Interval, Observations
from bramleylug.soak.traffic import Traffic

MIN_PAUSE_S = 2.5
MAX_PAUSE_S = 5.0
# Processes on the host of an engine.
HOST_ROLES = ('engine', 'loader')
# A relay and a loader are paused for this long before new weights are named,
# and the loader for so long that its engine is late for the time limit.
PAUSED_BEFORE_S = 0.3
OUTDATED_S = 12.0


@final
class PauseFaults:
    """Stops processes and lets them go on.

    :param name_weights: names new weights.
    """

    def __init__(
        self,
        deployment: Deployment,
        observations: Observations,
        traffic: Traffic,
        name_weights: Callable[[Fault], Awaitable[None]],
    ) -> None:
        self.deployment = deployment
        self.observations = observations
        self.traffic = traffic
        self.name_weights = name_weights

    async def host_paused(self, fault: Fault) -> None:
        """Stop all hosts but one; one at least goes on serving."""
        spared = int(fault.pick * ENGINE_COUNT)
        serves = await is_listening(self.deployment.engines[f'engine-{spared}'])
        if not serves or self.traffic.host_pauses:
            return
        self.traffic.host_pauses += 1
        stopped = set(range(ENGINE_COUNT)) - {spared}
        await self.pause(
            [f'{role}-{one}' for one in stopped for role in HOST_ROLES],
            _duration_s(fault),
        )
        self.traffic.host_pauses -= 1

    async def naming_missed(self, fault: Fault) -> None:
        """Name new weights while a relay and a loader are stopped."""
        relay = f'relay-{int(fault.pick * RELAY_COUNT)}'
        loader = f'loader-{int(fault.pick * ENGINE_COUNT)}'
        started_s = time.time()
        pauses = [
            asyncio.create_task(self.pause(names, for_s))
            for names, for_s in (
                ([relay], PAUSED_BEFORE_S + _duration_s(fault)),
                ([loader], OUTDATED_S),
            )
        ]
        await asyncio.sleep(PAUSED_BEFORE_S)
        await self.name_weights(fault)
        await pauses[0]
        self.observations.disturbances.append(
            Interval(relay, started_s, time.time())
        )
        await pauses[1]

    async def pause(self, names: Iterable[str], for_s: float) -> None:
        """Stop processes together, and let them go on after a time."""
        paused = [self.deployment.processes[name] for name in names]
        for managed in paused:
            managed.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        for managed in paused:
            managed.send(signal.SIGCONT)


def _duration_s(fault: Fault) -> float:
    """Return the duration of a pause, which outlasts the clients' patience."""
    span_s = MAX_PAUSE_S - MIN_PAUSE_S
    return MIN_PAUSE_S + span_s * fault.for_s / MAX_DURATION_S
