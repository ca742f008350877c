"""Publishes large configurations while a relay is paused."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, final

from bramleylug.soak.deployment import RELAY_COUNT, Deployment
from bramleylug.soak.fault_schedule import Fault
from bramleylug.soak.observations import Interval, Observations

# Together more than a process reads in one answer of the store.
UNUSED_ROUTES = 1800
PUBLICATIONS = 25
PUBLICATION_GAP_S = 0.08
# The zone stays out for longer than the relay may be excused.
EXTRA_DURATION_S = 5.0


@final
class ConfigurationFaults:
    """Lets a relay miss many configurations, and a change that follows them.

    :param publish: publishes a configuration with a number of unused routes.
    :param zone_out: takes a zone out for some time.
    :ivar running: whether a fault of this kind has not ended.
    """

    def __init__(
        self,
        deployment: Deployment,
        observations: Observations,
        publish: Callable[[int], Awaitable[None]],
        zone_out: Callable[[Fault], Coroutine[Any, Any, None]],
    ) -> None:
        self.deployment = deployment
        self.observations = observations
        self.publish = publish
        self.zone_out = zone_out
        self.running = False

    async def configurations_missed(self, fault: Fault) -> None:
        """Do nothing while an earlier fault of this kind has not ended."""
        if self.running:
            return
        self.running = True
        relay = f'relay-{int(fault.pick * RELAY_COUNT)}'
        paused = self.deployment.processes[relay]
        started_s = time.time()
        paused.send(signal.SIGSTOP)
        for _ in range(PUBLICATIONS):
            await self.publish(UNUSED_ROUTES)
            await asyncio.sleep(PUBLICATION_GAP_S)
        outage = asyncio.create_task(
            self.zone_out(fault._replace(for_s=fault.for_s + EXTRA_DURATION_S))
        )
        await asyncio.sleep(fault.for_s)
        paused.send(signal.SIGCONT)
        self.observations.disturbances.append(
            Interval(relay, started_s, time.time())
        )
        await outage
        await self.publish(0)
        self.running = False
