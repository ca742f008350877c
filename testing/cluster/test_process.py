"""Tests of the incarnations of processes."""

import unittest

from bramleylug.cluster.process import ProcessCore
from bramleylug.store.changes import Page, StoreItem
from bramleylug.wire.beats_pb2 import Beat
from testing.relay.builders import build_peer, build_settings
from testing.store.scripted import ScriptedStore


class FakeAdapter:
    """Adapter without a platform."""

    store = ScriptedStore()

    def watched_prefixes(self, role):
        return ('',)

    def feed_prefix(self, zone):
        return f'feeds/{zone}/'

    def peer_key(self, name):
        return name

    def encode_peer(self, record):
        return b''

    def store_change_handler(self, view):
        return list


class RecordingSocket:
    """Records the datagrams sent to each address."""

    def __init__(self):
        self.sent = []

    def send(self, heartbeat, addresses):
        self.sent += [(address, heartbeat) for address in addresses]


def build_core(name, boot):
    """Return a process that knows the other relay."""
    core = ProcessCore(
        build_settings(name=name),
        FakeAdapter(),
        build_peer(name, boot=boot),
        lambda: Beat(name=name, boot=core.record.boot),
        lambda: 100.0,
    )
    core.socket = RecordingSocket()
    for peer in ('relay-1', 'relay-2'):
        core.view.peers.add(build_peer(peer))
    core.view.mirror.confirm(100.0, 100.0)
    return core


class TestIncarnations(unittest.TestCase):
    """A process whose clock went back between two starts is heard."""

    def test_lower_incarnation_is_told_the_known_one(self) -> None:
        """Its heartbeats are ignored until it has raised its own."""
        core = build_core('relay-1', 1)
        core.receive_heartbeat(Beat(name='relay-2', boot=500))

        core.receive_heartbeat(Beat(name='relay-2', boot=400))

        address, refutation = core.socket.sent[-1]
        self.assertEqual(address, 'relay-2:81')
        self.assertEqual(refutation.known_boot, 500)

    def test_process_continues_as_a_later_incarnation(self) -> None:
        """It tells all peers at once."""
        core = build_core('relay-2', 400)

        core.receive_heartbeat(Beat(name='relay-1', known_boot=500))

        self.assertEqual(core.record.boot, 501)
        self.assertEqual(core.socket.sent[-1][1].boot, 501)

    def test_late_heartbeat_of_the_previous_incarnation(
        self,
    ) -> None:
        """Peers know the current incarnation already."""
        core = build_core('relay-2', 400)

        core.receive_heartbeat(Beat(name='relay-1', known_boot=400))

        self.assertEqual((core.record.boot, core.socket.sent), (400, []))


class TestStoreNews(unittest.TestCase):
    """Heartbeats tell when their sender heard of the store last."""

    def told(self, heard_s: float) -> Beat:
        core = build_core('relay-1', 1)
        core.view.mirror.heard_s = heard_s
        core.send_heartbeat_to('relay-2')
        return core.socket.sent[-1][1]

    def test_age_of_the_last_answer_is_told(self) -> None:
        self.assertEqual(self.told(98.5).store_heard_age_ms, 1500)

    def test_process_that_has_heard_nothing_tells_nothing(self) -> None:
        for heard_s in (float('-inf'), -600.0):
            with self.subTest(heard_s):
                heartbeat = self.told(heard_s)

                self.assertFalse(heartbeat.HasField('store_heard_age_ms'))

    def test_news_of_the_store_takes_five_bytes(self) -> None:
        """Ninety heartbeats a second share 17 kB/s with all others."""
        news = Beat(store_heard_age_ms=600000)

        self.assertEqual(news.ByteSize(), 5)


class TestEarlierRecord(unittest.IsolatedAsyncioTestCase):
    """A relay whose name the others know need not wait for its share."""

    async def test_found_record_settles_the_name(self) -> None:
        self.assertTrue(await self.is_settled('relay-1'))

    async def test_record_of_a_similar_name_does_not(self) -> None:
        self.assertFalse(await self.is_settled('relay-10'))

    async def is_settled(self, found: str) -> bool:
        """Return whether relay-1 is settled when it has just registered."""
        core = build_core('relay-1', 2)
        core.view.peers.remove('relay-1')
        page = Page((StoreItem(found, b'', 1),), 1, more=False)
        core.adapter.store.pages = [page]
        await core.presence.before_first()
        core.view.peers.add(build_peer('relay-1', boot=2), 100.0)
        return core.view.peers.is_settled(100.0, 1.5)
