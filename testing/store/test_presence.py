"""Tests of registering a process in the store."""

import asyncio
import unittest
from unittest.mock import patch

from bramleylug.store.changes import Lease, StoreUnavailable
from bramleylug.store.presence import FixedItem, Presence
from testing.store.scripted import ScriptedStore
from testing.virtual_time import in_virtual_time


class TestPresence(unittest.TestCase):
    """The key exists while the process lives."""

    @in_virtual_time
    async def test_changed_value_is_written_at_once(self) -> None:
        """A planned stop is announced before the next renewal."""
        store = ScriptedStore()
        values = [b'serving']
        presence = Presence(store, 'key', lambda: values[0])
        task = asyncio.create_task(presence.run())
        await asyncio.sleep(0)
        values[0] = b'leaving'
        presence.announce()
        await asyncio.sleep(0.01)
        task.cancel()

        writes = [call for call in store.calls if call[0] == 'put']

        self.assertEqual(
            writes,
            [('put', 'key', b'serving', 1), ('put', 'key', b'leaving', 1)],
        )

    @in_virtual_time
    async def test_nothing_is_written_before_the_first_look(self) -> None:
        """Whether the key was there is not known after it is written."""
        store = ScriptedStore()
        seen: list[int] = []

        async def look() -> None:
            seen.append(len(store.calls))
            if len(seen) == 1:
                raise StoreUnavailable('slow')

        presence = Presence(store, 'key', lambda: b'serving', before_first=look)
        task = asyncio.create_task(presence.run())
        await asyncio.sleep(5.0)
        task.cancel()

        writes = [
            place for place, call in enumerate(store.calls) if call[0] == 'put'
        ]
        self.assertEqual(len(seen), 2)
        self.assertEqual(writes, [seen[1]])

    @in_virtual_time
    async def test_ended_lease_is_replaced(self) -> None:
        """The lease of a process that was suspended may expire."""
        store = ScriptedStore()
        presence = Presence(store, 'key', lambda: b'serving')
        task = asyncio.create_task(presence.run())
        await asyncio.sleep(0)
        store.ended.add(1)
        presence.announce()
        await asyncio.sleep(0.01)
        task.cancel()

        self.assertIn(('put', 'key', b'serving', 2), store.calls)

    @in_virtual_time
    async def test_lease_of_an_earlier_era_is_replaced(self) -> None:
        """Its id may belong to another process now."""
        store = ScriptedStore()
        presence = Presence(store, 'key', lambda: b'serving')
        task = asyncio.create_task(presence.run())
        await asyncio.sleep(0)
        store.era = 1
        presence.announce()
        await asyncio.sleep(0.01)
        task.cancel()

        self.assertNotIn(('keep', 1), store.calls)
        self.assertIn(('put', 'key', b'serving', 2), store.calls)

    @in_virtual_time
    async def test_withdrawn_key_does_not_come_back(self) -> None:
        """A process that stops requests no second lease."""
        store = ScriptedStore()
        presence = Presence(store, 'key', lambda: b'serving')
        task = asyncio.create_task(presence.run())
        await asyncio.sleep(0)
        await presence.withdraw()
        store.ended.add(1)
        presence.announce()
        await asyncio.wait_for(task, 1)

        self.assertEqual(store.leases, 1)
        self.assertIn(('end', 1), store.calls)

    @in_virtual_time
    async def test_lease_granted_during_a_withdrawal_registers_nothing(
        self,
    ) -> None:
        """Guards against a stopped process that is registered again."""
        store = ScriptedStore()
        presence = Presence(store, 'key', lambda: b'serving')
        grant_lease = store.grant_lease

        async def withdraw_and_grant(ttl_s: float) -> Lease:
            await presence.withdraw()
            return await grant_lease(ttl_s)

        with patch.object(store, 'grant_lease', withdraw_and_grant):
            await asyncio.wait_for(presence.run(), 3)

        self.assertEqual(store.calls, [('grant', 1), ('end', 1)])

    @in_virtual_time
    async def test_fixed_item_is_written_for_each_lease(self) -> None:
        """A key under an ended lease is gone."""
        store = ScriptedStore()
        registered = []
        presence = Presence(
            store,
            'key',
            lambda: b'serving',
            fixed_item=FixedItem('feed', b'address'),
            on_registered=lambda: registered.append(len(store.calls)),
        )
        task = asyncio.create_task(presence.run())
        await asyncio.sleep(0)
        store.ended.add(1)
        presence.announce()
        await asyncio.sleep(0.01)
        task.cancel()

        writes = [call[1:] for call in store.calls if call[0] == 'put']
        self.assertEqual(
            writes,
            [
                ('feed', b'address', 1),
                ('key', b'serving', 1),
                ('feed', b'address', 2),
                ('key', b'serving', 2),
            ],
        )
        # The lease and two writes come first.
        self.assertEqual(registered[0], 3)
