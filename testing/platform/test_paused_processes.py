"""A process that stood still counts limits from when they began.

The event loop of one process on virtual time jumps ahead, as that of a host
that was suspended.
"""

import asyncio
import json
import unittest
from collections.abc import Iterable
from itertools import product
from typing import Any, NamedTuple

from bramleylug.cluster.process import ProcessCore
from bramleylug.loader.daemon import LoaderDaemon
from bramleylug.loader.engine_updater import IDLE_INTERVAL_S
from bramleylug.wire.beats_pb2 import Beat
from testing.platform.virtual_processes import build_adapter, running
from testing.relay.builders import (
    MODEL,
    build_engine_state,
    build_loader_settings,
    build_peer,
    build_settings,
    build_table,
)
from testing.store.model_store import ModelStore
from testing.virtual_time import in_virtual_time

# Time after which older weights serve no request.
VERSION_LIMIT_S = 8.0
START_S = 6.0


class Pause(NamedTuple):
    """A time without any step of the process, and a write meanwhile.

    :ivar start_s: when it begins, in the wait of the process for changes.
    :ivar write_share: share of the pause before the write.
    """

    start_s: float
    length_s: float
    write_share: float


def all_pauses() -> Iterable[Pause]:
    """Return pauses at all moments of a wait and of the time after it."""
    return (
        Pause(start / 20, length_s, share)
        for start, length_s, share in product(
            range(0, 30, 2), (0.6, 1.5, 3.0, 4.57), (0, 0.07, 0.5, 1)
        )
    )


async def suspend(pause: Pause, store: ModelStore) -> float:
    """Let the process stand still; return when a version was set."""
    loop: Any = asyncio.get_running_loop()
    await asyncio.sleep(START_S + pause.start_s)
    loop.instant.now_s += pause.length_s * pause.write_share
    set_s = loop.time()
    value = json.dumps({'model': MODEL, 'version': 2}).encode()
    store.write(f'op/version/{MODEL}', value)
    loop.instant.now_s += pause.length_s * (1 - pause.write_share)
    await asyncio.sleep(1.0)
    return set_s


async def poll_target(loader: LoaderDaemon) -> None:
    """Ask for the target version as often as an idle loader does."""
    while True:
        loader.target_version()
        await asyncio.sleep(IDLE_INTERVAL_S)


async def relay_delay_s(pause: Pause) -> float:
    """Return how long older weights serve after a version is set."""
    store = ModelStore()
    core = ProcessCore(
        build_settings(version_limit=VERSION_LIMIT_S),
        build_adapter(store),
        build_peer(),
        Beat,
        asyncio.get_running_loop().time,
    )
    async with running(core):
        set_s = await suspend(pause, store)
    return core.view.versions.expires_s(MODEL, 1) - set_s


async def loader_delay_s(pause: Pause) -> float:
    """Return how late a loader counts the time since a version is set."""
    store = ModelStore()
    loader = LoaderDaemon(
        build_loader_settings(chunk_bind='127.0.0.1:0'),
        build_adapter(store),
        asyncio.get_running_loop().time,
    )
    loader.core.view.apply_route_table(build_table())
    async with running(loader.core, poll_target(loader)):
        set_s = await suspend(pause, store)
        observation = loader.observe(2, build_engine_state())
    return observation.outdated_since_s - set_s


class TestVersionSetDuringAPause(unittest.TestCase):
    """Its limit begins when it is set, not when it is read."""

    @in_virtual_time
    async def test_paused_relay_sends_nothing_to_outdated_weights(self) -> None:
        """Guards against requests that begin on older weights (VERSION)."""
        delays = {pause: await relay_delay_s(pause) for pause in all_pauses()}
        worst = max(delays, key=delays.__getitem__)

        self.assertLessEqual(delays[worst], VERSION_LIMIT_S, worst)

    @in_virtual_time
    async def test_paused_loader_plans_its_load_before_the_limit(self) -> None:
        """Guards against engines that load after their weights expired."""
        delays = {pause: await loader_delay_s(pause) for pause in all_pauses()}
        worst = max(delays, key=delays.__getitem__)

        self.assertLessEqual(delays[worst], 0, worst)
