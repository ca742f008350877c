"""Tests of waits for changes at the platform's store."""

import asyncio
import json
import time
import unittest
from collections.abc import Sequence
from contextlib import suppress
from typing import Any

from bramleylug.fakes.metadata_store import FakeMetadataStore
from bramleylug.platform.keyvalue import READ_TIMEOUT_S, PlatformStore
from bramleylug.store.changes import AnswerUnusable, StoreChange
from bramleylug.store.read_schedule import ReadSchedule
from bramleylug.store.watcher import StoreWatcher
from bramleylug.web.client_connection import AnswerTooLarge
from bramleylug.web.http_client import AnswerOverdue, CallAnswer
from testing.relay.scripted_engines import complete_answer
from testing.web.paced_server import PacedServer

NO_EVENTS = b'{"events": [], "current_rev": 5}'
NO_ITEMS = b'{"items": [], "has_more": false, "current_rev": 5}'

# A configuration of 1,400 routes, written so often in 2 s.
CONFIGURATION_BYTES = 430_000
CONFIGURATIONS = 25
CATCH_UP_S = 5.0


class TestWaits(unittest.IsolatedAsyncioTestCase):
    """How long the store held a wait tells when it ended."""

    async def held_s(self, wait_s: float, first_byte_after_s: float) -> float:
        """Return for how long a wait counts as held open."""

        async def call(*arguments: Any, **options: Any) -> CallAnswer:
            return CallAnswer(200, NO_EVENTS, first_byte_after_s, {})

        store = PlatformStore('127.0.0.1:1')
        store.client.call = call
        answer = await store.wait_for_changes('', 1, wait_s)
        return answer.first_byte_after_s

    async def test_wait_that_ended_in_time_was_held(self) -> None:
        self.assertEqual(await self.held_s(1.0, 0.85), 0.85)

    async def test_answer_after_the_wait_does_not_date_a_change(self) -> None:
        """Guards against requests on older weights beside a slow link."""
        self.assertEqual(await self.held_s(1.0, 1.5), 0)
        self.assertEqual(await self.held_s(0.001, 0.3), 0)


class TestSlowLinks(unittest.IsolatedAsyncioTestCase):
    """A listing whose bytes arrive slowly is not read again from its start."""

    async def test_listing_that_takes_longer_than_one_timeout(self) -> None:
        """Guards against links full of listings that were given up."""
        answer = complete_answer(NO_ITEMS)
        pause_s = 1.3 * READ_TIMEOUT_S / len(answer)
        server = await PacedServer(answer, pause_s).open()
        self.addAsyncCleanup(server.close)

        page = await PlatformStore(server.address).list_page('', '')

        self.assertEqual(page.revision, 5)


class TestLargeAnswers(unittest.IsolatedAsyncioTestCase):
    """What a process missed may be more than it can take in one answer."""

    async def asyncSetUp(self) -> None:
        self.fake = FakeMetadataStore()
        self.fake.start()
        self.addCleanup(self.fake.stop)
        self.versions: list[int] = []
        self.watcher = StoreWatcher(
            PlatformStore(self.fake.web.address),
            '',
            self.take,
            time.monotonic,
            ReadSchedule(2.0, 1.0),
        )

    def take(self, changes: Sequence[StoreChange]) -> None:
        """Note the versions of the configurations among changes."""
        self.versions.extend(
            json.loads(change.value)['version'] for change in changes
        )

    async def watch_until(self, version: int) -> None:
        """Watch until a version is known, for :data:`CATCH_UP_S` at most."""
        task = asyncio.create_task(self.watcher.run())
        with suppress(TimeoutError):
            async with asyncio.timeout(CATCH_UP_S):
                while version not in self.versions:
                    await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_process_that_paused_learns_of_the_newest_version(
        self,
    ) -> None:
        """Guards against requests by an old configuration (CONFIG)."""
        routes = 'r' * CONFIGURATION_BYTES
        self.fake.put('op/config', {'version': 1, 'routes': routes})
        await self.watch_until(1)
        newest = 1 + CONFIGURATIONS
        for version in range(2, newest + 1):
            self.fake.put('op/config', {'version': version, 'routes': routes})

        await self.watch_until(newest)

        self.assertEqual(self.versions, [1, newest])

    async def test_answer_that_cannot_be_used_is_no_outage(self) -> None:
        """Guards against watches repeated for an answer that only grows."""
        store = PlatformStore('127.0.0.1:1')
        for error in (AnswerTooLarge('large'), AnswerOverdue('slow')):

            async def call(
                *arguments: Any, error: Exception = error, **options: Any
            ) -> CallAnswer:
                raise error

            store.client.call = call
            with self.subTest(error), self.assertRaises(AnswerUnusable):
                await store.wait_for_changes('', 1, 1.0)
