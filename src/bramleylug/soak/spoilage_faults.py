"""Spoils staged chunks of an engine whose host is paused meanwhile."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Iterable
from random import Random
from typing import Any, final

from bramleylug.soak.deployment import ENGINE_COUNT, Deployment, post
from bramleylug.soak.fault_schedule import Fault

# A host that is the last one to load new weights begins to stage them within
# this time.
STAGING_LIMIT_S = 10.0
POLL_S = 0.05
# Lateness of the answers to reads and writes of chunks, and of the order.
STAGING_DELAY_S = 0.15
ORDER_DELAY_S = 0.5
# The pause begins at most this long after the first chunk was read back.
MAX_MOMENT_S = 1.2
MIN_PAUSE_S = 3.0
MAX_PAUSE_S = 4.5


@final
class SpoilageFaults:
    """Names new weights and disturbs how one engine takes them.

    :param name_weights: names new weights.
    :param pause: stops processes together for a time.
    """

    def __init__(
        self,
        deployment: Deployment,
        name_weights: Callable[[Fault], Awaitable[None]],
        pause: Callable[[Iterable[str], float], Awaitable[None]],
    ) -> None:
        self.deployment = deployment
        self.name_weights = name_weights
        self.pause = pause

    async def staged_spoilt(self, fault: Fault) -> None:
        index = int(fault.pick * ENGINE_COUNT)
        engine, loader = f'engine-{index}', f'loader-{index}'
        random = Random(fault.pick)  # noqa: S311
        chunks = self.deployment.settings.chunks
        spoilage = {
            'chunks': [random.randrange(chunks)],
            'read_backs': random.randint(1, chunks),
        }
        late_order = {
            'wait_s': ORDER_DELAY_S,
            'lost': random.choice((False, True)),
        }
        await self._engine(
            engine,
            staging_delay_s=STAGING_DELAY_S,
            spoilage=spoilage,
            late_orders=[late_order],
        )
        await self.name_weights(fault)
        await self._wait_for_staging(engine)
        await asyncio.sleep(random.uniform(0, MAX_MOMENT_S))
        paused = random.choice(((engine, loader), (engine,), (loader,)))
        await self.pause(paused, random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
        await self._engine(engine, staging_delay_s=0)

    async def _wait_for_staging(self, engine: str) -> None:
        """Return once a chunk was read back, or none is for long."""
        polls = round(STAGING_LIMIT_S / POLL_S)
        for _ in range(polls):
            seen = await self._engine(engine)
            if seen.get('read_backs'):
                return
            await asyncio.sleep(POLL_S)

    async def _engine(self, name: str, **trouble: Any) -> dict[str, Any]:
        """Give an engine trouble; return what it saw, nothing if it is down."""
        address = self.deployment.engines[name]
        try:
            raw = await post(
                address, '/-/trouble', json.dumps(trouble).encode()
            )
        except (OSError, TimeoutError):
            return {}
        return dict(json.loads(raw))
