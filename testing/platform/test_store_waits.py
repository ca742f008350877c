"""Tests of waits for changes at the platform's store."""

import unittest
from typing import Any

from bramleylug.platform.keyvalue import READ_TIMEOUT_S, PlatformStore
from bramleylug.web.http_client import CallAnswer
from testing.relay.scripted_engines import complete_answer
from testing.web.paced_server import PacedServer

NO_EVENTS = b'{"events": [], "current_rev": 5}'
NO_ITEMS = b'{"items": [], "has_more": false, "current_rev": 5}'


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
