"""Chunks turn corrupt while processes that load them stand still.

An engine, its loader and a relay are processes, and a caller sends requests
all the time.
"""

import asyncio
import signal
import unittest
from typing import Any

from testing.platform.weights_processes import (
    CHUNKS,
    LOADER,
    STOPPING_LOADER,
    WeightsProcesses,
    running_processes,
)

PAUSE_S = 3.8
# Chunk 1 turns corrupt once every chunk was read back.
AFTER_ALL = {'chunks': [1], 'read_backs': CHUNKS}
REQUESTS = 10


def received_order(seen: dict[str, Any]) -> bool:
    return bool(seen['received_orders'])


def accepted_order(seen: dict[str, Any]) -> bool:
    return bool(seen['accepted_orders'])


class TestSpoiltWeights(unittest.IsolatedAsyncioTestCase):
    """No request runs on them, and the engine serves in the end."""

    async def assert_sound(self, processes: WeightsProcesses) -> None:
        seen = await processes.serve(REQUESTS)

        self.assertEqual(seen['spoilt'], 1)
        self.assertEqual(seen['faults'], [])
        self.assertEqual(seen['corrupt_runs'], [])
        self.assertEqual(processes.errors, [])

    async def test_chunk_turns_corrupt_during_a_slow_verification(self) -> None:
        """It was read back first; the order followed 4 s later."""
        trouble = {'staging_delay_s': 0.2, 'spoilage': {'read_backs': 1}}
        async with running_processes(**trouble) as processes:
            await self.assert_sound(processes)

    async def test_loader_is_paused_between_its_last_read_and_its_order(
        self,
    ) -> None:
        async with running_processes(
            program=STOPPING_LOADER, spoilage=AFTER_ALL
        ) as processes:
            await processes.loader_stopped_itself()
            await asyncio.sleep(PAUSE_S)
            processes.send(signal.SIGCONT, LOADER)

            await self.assert_sound(processes)

    async def test_host_is_paused_with_an_order_on_its_way(self) -> None:
        """The engine looks at it late, before the loader goes on."""
        await self._pause_with_order_on_its_way(lost=False)

    async def test_answer_to_a_late_order_is_lost(self) -> None:
        await self._pause_with_order_on_its_way(lost=True)

    async def test_loader_is_killed_with_an_order_on_its_way(self) -> None:
        """The next one finds an engine that holds the weights."""
        late_order = {'wait_s': PAUSE_S, 'lost': True}
        async with running_processes(
            spoilage=AFTER_ALL, late_orders=[late_order]
        ) as processes:
            await processes.engine_until(received_order)
            await processes.deployment.processes[LOADER].kill()
            await processes.engine_until(accepted_order)
            processes.deployment.supervise(LOADER)

            await self.assert_sound(processes)

    async def _pause_with_order_on_its_way(self, *, lost: bool) -> None:
        late_order = {'wait_s': PAUSE_S, 'lost': lost}
        async with running_processes(
            spoilage=AFTER_ALL, late_orders=[late_order]
        ) as processes:
            await processes.engine_until(received_order)
            processes.send(signal.SIGSTOP, LOADER)
            await processes.engine_until(accepted_order)
            processes.send(signal.SIGCONT, LOADER)

            await self.assert_sound(processes)
