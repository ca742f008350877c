"""A process that starts late knows which versions may no longer serve.

Processes on virtual time start while the store, which may not answer at
first, already holds a newer target version.
"""

import asyncio
import json
import time
import unittest
from collections.abc import Iterable
from itertools import product
from typing import NamedTuple

from bramleylug.cluster.crash_suspects import (
    BAR_S,
    SharedSuspects,
    crash_id_of,
    fingerprint_of,
)
from bramleylug.cluster.process import ProcessCore
from bramleylug.cluster.suspect import RequestTraits
from bramleylug.cluster.suspect_messages import encode_bar
from bramleylug.loader.daemon import LoaderDaemon
from bramleylug.loader.policy import (
    CLOSING_NOTICE_S,
    LoadAction,
    LoadPolicy,
    LoadWeights,
)
from bramleylug.platform.store_changes import bar_key
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
# A process that has just started is bound by limits after this time.
CALM_WINDOW_S = 3.0
# Enough for every outage below.
WATCHED_S = 20.0
POLL_S = 0.1
PART = fingerprint_of(b'part', b'harmful')


class Start(NamedTuple):
    """When a process starts.

    :ivar delay_s: time from the naming of a version to the start.
    :ivar outage_s: how long the store does not answer after the start.
    """

    delay_s: float
    outage_s: float

    def latest_s(self) -> float:
        """Return how long after the start older weights may serve."""
        return max(VERSION_LIMIT_S - self.delay_s, CALM_WINDOW_S)


def all_starts() -> Iterable[Start]:
    """Return starts before and after the end of a version's time."""
    return (
        Start(*both)
        for both in product(
            (0.0, 0.5, 4.0, 7.9, 8.1, 11.0, 60.0),
            (0.0, 0.9, 1.7, 2.9, 3.1, 9.0),
        )
    )


def write_version(store: ModelStore, version: int) -> None:
    """Write a target version as the operator does."""
    value = json.dumps({'model': MODEL, 'version': version}).encode()
    store.write(f'op/version/{MODEL}', value)


def build_core(store: ModelStore) -> ProcessCore:
    """Return the core of a relay."""
    return ProcessCore(
        build_settings(
            version_limit=VERSION_LIMIT_S, calm_window=CALM_WINDOW_S
        ),
        build_adapter(store),
        build_peer(),
        Beat,
        asyncio.get_running_loop().time,
    )


async def end_outage(core: ProcessCore, outage_s: float) -> None:
    """Let the store answer after a time."""
    link = core.adapter.store
    link.is_cut = outage_s > 0
    await asyncio.sleep(outage_s)
    link.is_cut = False


async def served_s(start: Start) -> float:
    """Return how long after the start of a relay older weights may serve.

    A relay that has not read the store knows no upstreams and serves none.
    """
    store = ModelStore()
    write_version(store, 1)
    write_version(store, 2)
    loop = asyncio.get_running_loop()
    await asyncio.sleep(start.delay_s)
    started_s = loop.time()
    core = build_core(store)
    last_s = 0.0
    async with running(core, end_outage(core, start.outage_s)):
        while loop.time() < started_s + WATCHED_S:
            await asyncio.sleep(POLL_S)
            required = core.view.constraints().min_versions.get(MODEL, 0)
            if core.view.mirror.loaded and required < 2:
                last_s = loop.time() - started_s
    return last_s


async def load_delay_s(start: Start) -> float:
    """Return how long after the naming of a version a loader orders it.

    The loader starts beside an engine that holds the version before.
    """
    store = ModelStore()
    write_version(store, 2)
    loop = asyncio.get_running_loop()
    set_s = loop.time()
    await asyncio.sleep(start.delay_s)
    loader = LoaderDaemon(
        build_loader_settings(
            chunk_bind='127.0.0.1:0', version_limit=VERSION_LIMIT_S
        ),
        build_adapter(store),
        loop.time,
    )
    loader.core.view.apply_route_table(build_table())
    policy = LoadPolicy()
    order: LoadAction | None = None
    outage = end_outage(loader.core, start.outage_s)
    async with running(loader.core, outage):
        while not isinstance(order, LoadWeights):
            await asyncio.sleep(POLL_S)
            newest = loader.core.view.versions.newest(MODEL)
            observation = loader.observe(newest, build_engine_state())
            for action in policy.step(observation, loop.time()):
                order = action
    return loop.time() - set_s


async def bar_left_s(age_s: float, outage_s: float) -> float:
    """Return for how long a relay that starts still applies a stored bar."""
    store = ModelStore()
    suspects = SharedSuspects(asyncio.get_running_loop().time)
    for engine in ('a', 'b', 'c'):
        name = engine.encode()
        traits = RequestTraits(name, (PART,), name)
        suspects.record_crashes(traits, crash_id_of(engine, 1), parts=True)
    report = suspects.unstored_bars()[0]
    store.write(bar_key(PART), encode_bar(report, time.time() - age_s))
    core = build_core(store)
    async with running(core, end_outage(core, outage_s)):
        await asyncio.sleep(outage_s + 2.0)
        return core.view.suspects.barred_for_s(PART, b'other')


class TestStartAfterAVersionWasSet(unittest.TestCase):
    """The limit of older weights does not begin anew."""

    @in_virtual_time
    async def test_restarted_relay_sends_nothing_to_outdated_weights(
        self,
    ) -> None:
        """Guards against a restart that lets older weights serve again."""
        late = {
            start: after_s
            for start in all_starts()
            if (after_s := await served_s(start)) > start.latest_s()
        }

        self.assertEqual(late, {})

    @in_virtual_time
    async def test_restarted_loader_loads_before_the_limit(self) -> None:
        """Guards against loads that are planned from the start anew."""
        late = {}
        for start in all_starts():
            delay_s = await load_delay_s(start)
            ready_s = start.delay_s + start.outage_s + 2.0 + CLOSING_NOTICE_S
            if delay_s > max(VERSION_LIMIT_S, ready_s):
                late[start] = delay_s

        self.assertEqual(late, {})


class TestStartWhileABarHolds(unittest.TestCase):
    """Bars neither end with the processes nor begin anew."""

    @in_virtual_time
    async def test_restarted_relay_applies_the_rest_of_a_bar(self) -> None:
        """Guards against harmful prompt parts that a restart unbars."""
        for outage_s in (0.0, 9.0):
            left_s = await bar_left_s(20.0, outage_s)
            with self.subTest(outage_s=outage_s):
                self.assertAlmostEqual(left_s, BAR_S - 20, delta=outage_s + 2.5)

    @in_virtual_time
    async def test_restarted_relay_applies_no_bar_that_has_ended(self) -> None:
        """Guards against sound prompt parts that a restart bars anew."""
        self.assertEqual(await bar_left_s(BAR_S + 1, 0.0), 0)
