"""Tests of the bars that are kept in the store."""

import unittest
from random import Random
from unittest.mock import patch

from bramleylug.cluster.bar_archive import BarArchive
from bramleylug.cluster.crash_suspects import (
    BAR_S,
    SharedSuspects,
    crash_id_of,
    fingerprint_of,
)
from bramleylug.cluster.suspect import RETENTION_S, RequestTraits
from bramleylug.cluster.suspect_messages import decode_bar
from bramleylug.store.changes import StoreUnavailable
from testing.store.scripted import ScriptedStore

PART = fingerprint_of(b'part', b'harmful')


class RecordingStore(ScriptedStore):
    """Keeps what is written, unless it is down."""

    def __init__(self) -> None:
        super().__init__()
        self.written: dict[str, bytes] = {}
        self.down = False

    async def put(self, key, value, lease_id):
        if self.down:
            raise StoreUnavailable('down')
        self.written[key] = value


class TestBarArchive(unittest.IsolatedAsyncioTestCase):
    """Bars outlast a restart of all relays."""

    def setUp(self) -> None:
        """Let three engines crash under requests that share a part."""
        self.now_s = 1000.0
        self.unix_s = 5_000_000.0
        self.store = RecordingStore()
        self.suspects = SharedSuspects(lambda: self.now_s)
        for engine in ('a', 'b', 'c'):
            name = engine.encode()
            self.suspects.record_crashes(
                RequestTraits(name, (PART,), name),
                crash_id_of(engine, 1),
                parts=True,
            )
        self.archive = self.build_archive(self.suspects)
        self.enterContext(
            patch('bramleylug.cluster.bar_archive.MAX_DELAY_S', 0.0)
        )

    def build_archive(self, suspects):
        return BarArchive(
            self.store,
            suspects,
            lambda fingerprint: fingerprint.hex(),
            lambda: self.unix_s,
            Random(1),
        )

    def read_all(self, suspects) -> None:
        for raw in self.store.written.values():
            report = decode_bar(raw, self.unix_s)
            suspects.merge(report)
            suspects.mark_stored(report.fingerprint, report.strikes)

    async def test_bar_outlasts_a_restart_of_all_relays(self) -> None:
        """A relay that has met no crash itself reads it from the store."""
        await self.archive.write()
        self.now_s += 60.0
        self.unix_s += 60.0
        restarted = SharedSuspects(lambda: self.now_s, self.now_s)
        self.read_all(restarted)

        self.assertAlmostEqual(
            restarted.barred_for_s(PART, b'x'), BAR_S - 60.0, delta=0.1
        )
        self.assertEqual(list(self.store.written), [PART.hex()])

    async def test_bar_is_written_once(self) -> None:
        """A relay does not write what it has read."""
        await self.archive.write()
        other = SharedSuspects(lambda: self.now_s)
        self.read_all(other)

        self.assertFalse(self.archive.has_pending())
        self.assertFalse(self.build_archive(other).has_pending())

    async def test_bar_that_could_not_be_written_stays_pending(self) -> None:
        """The store was down."""
        self.store.down = True
        await self.archive.write()
        self.assertTrue(self.archive.has_pending())
        self.store.down = False
        await self.archive.write()

        self.assertFalse(self.archive.has_pending())

    async def test_bar_that_was_lifted_and_set_again_is_written(self) -> None:
        """The store holds the one before, which may expire first."""
        await self.archive.write()
        self.suspects.record_survivals((PART,), self.now_s)
        self.now_s += RETENTION_S + 1
        for engine in ('d', 'e', 'f'):
            name = engine.encode()
            self.suspects.record_crashes(
                RequestTraits(name, (PART,), name),
                crash_id_of(engine, 1),
                parts=True,
            )

        self.assertTrue(self.archive.has_pending())

    async def test_clock_that_was_put_back_prolongs_no_bar(self) -> None:
        """A bar from the future counts as new."""
        await self.archive.write()
        self.unix_s -= 3600.0
        restarted = SharedSuspects(lambda: self.now_s)
        self.read_all(restarted)

        self.assertAlmostEqual(
            restarted.barred_for_s(PART, b'x'), BAR_S, delta=0.1
        )
