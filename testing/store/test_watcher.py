"""Tests of keeping the mirror in step with the store."""

import asyncio
import unittest

from loguru import logger

from bramleylug.store.changes import (
    AnswerUnusable,
    HistoryLost,
    Page,
    Removal,
    StoreChanges,
    StoreItem,
)
from bramleylug.store.read_schedule import ReadSchedule
from bramleylug.store.watcher import RETRY_MAX_S, StoreWatcher
from testing.store.held_bytes import held_bytes
from testing.store.scripted import ScriptedStore, unanswered
from testing.virtual_time import in_virtual_time


def item(key: str, revision: int) -> StoreItem:
    """Return an item without a lease."""
    return StoreItem(key, b'', revision)


def reject(changes: object) -> None:
    """Take no changes."""
    raise RuntimeError('not taken')


class TestStoreWatcher(unittest.TestCase):
    """No change is missed, whatever goes wrong at the store."""

    @in_virtual_time
    async def test_watch_resumes_at_the_revision_of_the_first_page(
        self,
    ) -> None:
        """Pages are no snapshot: one may lack what changed after the first."""
        store = ScriptedStore(
            StoreChanges((), 12),
            pages=[
                Page((item('a', 1),), 10, more=True),
                Page((item('b', 11),), 12, more=False),
            ],
        )

        changes = await self.watch(store)

        self.assertEqual(changes, [item('a', 1), item('b', 11)])
        self.assertEqual(
            store.calls,
            [('list', ''), ('list', 'a'), ('wait', 10), ('wait', 12)],
        )

    @in_virtual_time
    async def test_lost_history_triggers_a_full_listing(self) -> None:
        """Keys that the new listing lacks are reported as removed."""
        store = ScriptedStore(
            HistoryLost(),
            pages=[
                Page((item('a', 1), item('b', 2)), 5, more=False),
                Page((item('a', 1),), 9, more=False),
            ],
        )

        changes = await self.watch(store)

        self.assertEqual(changes[2:], [Removal('b', 9)])
        self.assertEqual(store.calls[-1], ('wait', 9))

    @in_virtual_time
    async def test_unanswered_wait_is_repeated_from_the_same_revision(
        self,
    ) -> None:
        """Otherwise the changes of a lost answer would be missed."""
        store = ScriptedStore(
            unanswered(),
            StoreChanges((item('a', 6),), 6),
            pages=[Page((), 5, more=False)],
        )

        changes = await self.watch(store)

        self.assertEqual(changes, [item('a', 6)])
        self.assertEqual(store.calls[1:3], [('wait', 5), ('wait', 5)])

    @in_virtual_time
    async def test_answer_of_a_later_era_leads_to_a_full_listing(self) -> None:
        """Its revisions do not continue those of the era before."""
        store = ScriptedStore(
            StoreChanges((item('a', 6),), 6, era=2),
            pages=[
                Page((item('a', 5),), 5, more=False, era=1),
                Page((item('b', 6),), 6, more=False, era=2),
            ],
        )

        changes = await self.watch(store)

        self.assertEqual(changes, [item('a', 5), item('b', 6)])
        self.assertEqual(
            store.calls,
            [('list', ''), ('wait', 5), ('list', ''), ('wait', 6)],
        )

    @in_virtual_time
    async def test_listing_across_two_eras_is_repeated(self) -> None:
        """Half of it is from a state that is gone."""
        store = ScriptedStore(
            pages=[
                Page((item('a', 5),), 5, more=True, era=1),
                Page((item('b', 4),), 4, more=False, era=2),
                Page((item('b', 4),), 4, more=False, era=2),
            ],
        )

        self.assertEqual(await self.watch(store), [item('b', 4)])

    @in_virtual_time
    async def test_answer_that_cannot_be_used_is_not_asked_for_again(
        self,
    ) -> None:
        """Guards against configurations that stay old after a pause."""
        store = ScriptedStore(
            unanswered(),
            AnswerUnusable('too large'),
            pages=[
                Page((item('a', 5),), 5, more=False),
                Page((item('a', 30),), 30, more=False),
            ],
        )

        changes = await self.watch(store)

        self.assertEqual(changes, [item('a', 5), item('a', 30)])
        self.assertEqual(store.calls[-2:], [('list', ''), ('wait', 30)])

    @in_virtual_time
    async def test_store_whose_answers_are_odd_is_called_less_often(
        self,
    ) -> None:
        """Guards against a store that is busy with listings only."""
        answers = 20
        store = ScriptedStore(
            *(AnswerUnusable('odd') for _ in range(answers)),
            pages=[Page((), 5, more=False) for _ in range(answers + 1)],
        )
        began_s = asyncio.get_running_loop().time()

        await self.watch(store)

        took_s = asyncio.get_running_loop().time() - began_s
        self.assertGreater(took_s, answers * RETRY_MAX_S * 0.8)

    @in_virtual_time
    async def test_changes_that_are_not_taken_are_held_once_a_key(
        self,
    ) -> None:
        """Guards against relays that an error makes exceed their memory."""
        configurations = [
            StoreItem('op/config', revision.to_bytes(2) * 50_000, revision)
            for revision in range(6, 26)
        ]
        watcher = StoreWatcher(
            ScriptedStore(
                *(StoreChanges((one,), one.revision) for one in configurations),
                pages=[Page((), 5, more=False)],
            ),
            '',
            reject,
            asyncio.get_running_loop().time,
            ReadSchedule(2.0, 0.01),
        )
        for _ in configurations:
            with self.assertRaises(RuntimeError):
                await watcher.run()

        self.assertLess(held_bytes(watcher.unreported), 2 * 100_000)

    @in_virtual_time
    async def test_silence_of_the_store_is_logged_while_it_lasts(
        self,
    ) -> None:
        """With what the last call ended with, and after which time."""
        logged: list[str] = []
        sink = logger.add(lambda message: logged.append(str(message)), level=0)
        self.addCleanup(logger.remove, sink)
        store = ScriptedStore(
            *(unanswered() for _ in range(20)),
            pages=[Page((), 5, more=False)],
        )

        await self.watch(store)

        silences = [line for line in logged if 'BL1025' in line]
        self.assertEqual(len(silences), 4)
        self.assertIn('the last after 0.0 s: silent', silences[0])

    async def watch(self, store: ScriptedStore) -> list[object]:
        """Watch until the script is used up; return the reported changes."""
        changes: list[object] = []
        clock = asyncio.get_running_loop().time
        watcher = StoreWatcher(
            store, '', changes.extend, clock, ReadSchedule(2.0, 0.01)
        )
        task = asyncio.create_task(watcher.run())
        await store.done.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return changes
