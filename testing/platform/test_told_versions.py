"""Loaders learn of a version that their way to the store does not bring.

A relay and a loader of one zone on virtual time, with a store that is a model
and datagrams that arrive after some milliseconds or are lost.
"""

import asyncio
import json
import unittest
from collections.abc import Iterable
from contextlib import AsyncExitStack
from functools import partial
from typing import Any

from bramleylug.cluster.heartbeats import HEARTBEAT_INTERVAL_S
from bramleylug.cluster.process import ProcessCore
from bramleylug.loader.daemon import LoaderDaemon, own_record
from bramleylug.wire.beats_pb2 import Beat
from testing.platform.virtual_processes import build_adapter, running
from testing.relay.builders import (
    MODEL,
    build_loader_settings,
    build_peer,
    build_settings,
    build_table,
)
from testing.store.model_store import ModelStore
from testing.virtual_time import in_virtual_time

# News of a version reaches every loader of a zone within this time.
NEWS_S = 0.7
LATENCY_S = 0.004
# Longest time that a loader waits for a silent store, and a call of it.
STORE_WORD_S = 6.0
ALL = 1000


class LoaderLink:
    """Delivers datagrams to a loader.

    :ivar losses: datagrams that are lost first.
    """

    def __init__(self, loader: LoaderDaemon, losses: int) -> None:
        self.loader = loader
        self.losses = losses

    def send(self, heartbeat: Beat, addresses: Iterable[str]) -> None:
        if self.loader.settings.beat_bind not in set(addresses):
            return
        if self.losses:
            self.losses -= 1
            return
        asyncio.get_running_loop().call_later(
            LATENCY_S, self.loader.receive_heartbeat, heartbeat
        )


class Zone:
    """A relay in touch with the store and a loader that is cut off from it."""

    def __init__(self, losses: int = 0) -> None:
        self.store = ModelStore()
        clock = asyncio.get_running_loop().time
        self.loader_adapter = build_adapter(self.store)
        self.loader = LoaderDaemon(
            build_loader_settings(chunk_bind='127.0.0.1:0'),
            self.loader_adapter,
            clock,
        )
        self.loader.core.view.apply_route_table(build_table())
        self.relay = ProcessCore(
            build_settings(),
            build_adapter(self.store),
            build_peer(),
            Beat,
            clock,
        )
        self.relay.view.peers.add(own_record(self.loader.settings))
        self.relay.socket = LoaderLink(self.loader, losses)
        self.named_s = 0.0

    async def run_heartbeats(self) -> None:
        while True:
            self.relay.send_due_heartbeats()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def play(self, watch: Any) -> None:
        """Cut the loader off, name version 2, and run a check."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(
                running(self.relay, self.run_heartbeats())
            )
            await stack.enter_async_context(running(self.loader.core))
            await asyncio.sleep(5.0)
            self.loader_adapter.store.is_cut = True
            self.named_s = asyncio.get_running_loop().time()
            value = json.dumps({'model': MODEL, 'version': 2}).encode()
            self.store.write(f'op/version/{MODEL}', value)
            await watch()

    async def until_known(self) -> None:
        async with asyncio.timeout(20):
            while self.loader.targets.to_download().version < 2:
                await asyncio.sleep(0.02)


class TestToldVersions(unittest.TestCase):
    """A version that any process of the zone has read is downloaded by all."""

    @in_virtual_time
    async def test_loader_that_is_cut_off_learns_of_a_version(self) -> None:
        """It heard of it 3.6 s late, when the origin was gone already."""
        for losses in (0, 1):
            zone = Zone(losses)
            await zone.play(zone.until_known)
            now_s = asyncio.get_running_loop().time()

            with self.subTest(losses=losses):
                self.assertLessEqual(now_s - zone.named_s, NEWS_S)

    @in_virtual_time
    async def test_news_causes_no_call_of_the_store(self) -> None:
        """Those of a loader follow from its own schedule."""
        calls = []
        for losses in (0, ALL):
            zone = Zone(losses)
            await zone.play(partial(asyncio.sleep, STORE_WORD_S))
            calls.append(len(zone.loader_adapter.store.calls))

        self.assertEqual(calls[0], calls[1])

    @in_virtual_time
    async def test_engine_loads_what_the_store_has_confirmed(self) -> None:
        """What was only told is downloaded and not loaded."""
        zone = Zone()

        async def watch() -> None:
            await zone.until_known()
            self.assertFalse(zone.loader.targets.may_load(2))
            self.assertTrue(zone.loader.targets.may_load(1))
            zone.loader_adapter.store.is_cut = False
            await asyncio.sleep(STORE_WORD_S)
            self.assertTrue(zone.loader.targets.may_load(2))

        await zone.play(watch)

    @in_virtual_time
    async def test_told_version_is_not_believed_for_ever(self) -> None:
        """A process that tells of one that was never named stops at last."""
        zone = Zone()
        loader = zone.loader
        async with running(loader.core):
            told = Beat(name='relay-1', boot=1)
            told.named.add(model=MODEL, version=9)
            loader.receive_heartbeat(told)
            self.assertEqual(loader.targets.to_download().version, 9)
            await asyncio.sleep(15.0)

        self.assertEqual(loader.targets.to_download().version, 0)
