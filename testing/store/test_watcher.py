"""Tests of following the store through its troubles."""

import asyncio
import unittest

from bramleylug.store.changes import (
    HistoryLost,
    Page,
    Removal,
    StoreChanges,
    StoreItem,
)
from bramleylug.store.watcher import StoreWatcher
from testing.store.scripted import ScriptedStore, away
from testing.virtual_time import in_virtual_time


def item(key: str, revision: int) -> StoreItem:
    """Return an item without a lease."""
    return StoreItem(key, b'', revision)


class TestFollower(unittest.TestCase):
    """No change is missed, whatever the store does."""

    @in_virtual_time
    async def test_pages_are_joined_and_watched_from_the_first(self) -> None:
        """Pages are no snapshot: changes since the first are asked for."""
        store = ScriptedStore(
            StoreChanges((), 12),
            pages=[
                Page((item('a', 1),), 10, more=True),
                Page((item('b', 11),), 12, more=False),
            ],
        )

        news = await self.follow(store)

        self.assertEqual(news, [item('a', 1), item('b', 11)])
        self.assertEqual(
            store.calls,
            [('list', ''), ('list', 'a'), ('wait', 10), ('wait', 12)],
        )

    @in_virtual_time
    async def test_lost_history_is_made_up_by_reading_anew(self) -> None:
        """What vanished meanwhile is told as removed."""
        store = ScriptedStore(
            HistoryLost(),
            pages=[
                Page((item('a', 1), item('b', 2)), 5, more=False),
                Page((item('a', 1),), 9, more=False),
            ],
        )

        news = await self.follow(store)

        self.assertEqual(news[2:], [Removal('b', 9)])
        self.assertEqual(store.calls[-1], ('wait', 9))

    @in_virtual_time
    async def test_silent_store_is_asked_again_from_the_same_place(
        self,
    ) -> None:
        """A wait that broke off lost nothing."""
        store = ScriptedStore(
            away(),
            StoreChanges((item('a', 6),), 6),
            pages=[Page((), 5, more=False)],
        )

        news = await self.follow(store)

        self.assertEqual(news, [item('a', 6)])
        self.assertEqual(store.calls[1:3], [('wait', 5), ('wait', 5)])

    async def follow(self, store: ScriptedStore) -> list[object]:
        """Follow until the script is over; return the news."""
        news: list[object] = []
        clock = asyncio.get_running_loop().time
        watcher = StoreWatcher(store, '', news.extend, clock, wait_s=0.01)
        task = asyncio.create_task(watcher.run())
        await store.done.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return news
