"""Regression tests: a value that cannot be used takes no other with it."""

import asyncio
import json
import unittest
from dataclasses import asdict
from math import inf, nan
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from loguru import logger

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.heartbeats import (
    MAX_BOOT,
    HeartbeatSocket,
    relay_heartbeat,
)
from bramleylug.cluster.peers import Requester
from bramleylug.cluster.upstreams import UpstreamRecord
from bramleylug.loader.engine import EngineUnavailable
from bramleylug.loader.sources import FetchFailed
from bramleylug.observability.rejections import (
    LOG_INTERVAL_S,
    MAX_KEYS,
    RejectionLog,
)
from bramleylug.platform.dialect import PlatformDialect
from bramleylug.platform.engines import PlatformEngine, PlatformOrigin
from bramleylug.platform.keyvalue import PlatformStore
from bramleylug.platform.store_changes import (
    StoreChangeHandler,
    bar_key,
    encode_peer,
)
from bramleylug.relay.dialect import RequestMetadata
from bramleylug.settings.addresses import parse_ip_address
from bramleylug.store.changes import (
    Page,
    StoreChanges,
    StoreItem,
    StoreUnavailable,
)
from bramleylug.store.feed import ChangeFeed, FeedEncoder, decode
from bramleylug.store.mirror import Mirror
from bramleylug.store.read_schedule import ReadSchedule
from bramleylug.store.watcher import StoreWatcher
from bramleylug.web.client_connection import ClientConnection, ClientRequest
from bramleylug.web.http_client import CallAnswer
from bramleylug.wire.beats_pb2 import (
    ArchivedBar,
    Beat,
    CrashRecord,
    NamedLimit,
    UpstreamCrash,
)
from testing.platform.builders import (
    CONFIG,
    ENGINE,
    REPORT,
    build_config,
    build_engine,
)
from testing.relay.builders import (
    build_caller_request,
    build_peer,
    build_settings,
)
from testing.store.scripted import ScriptedStore
from testing.virtual_time import in_virtual_time

NESTED = b'[' * 100_000
HUGE = 10**400
PEER = {
    **asdict(build_peer('relay-2')),
    'serving': '127.0.0.1:1',
    'beats': '127.0.0.1:2',
}
# What another writer may put into a field.
ODD = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from(
        [-1, 2**31, 2**32, 2**63, 2**64, HUGE, 1e308, -0.5, inf, -inf, nan]
    ),
    st.sampled_from(
        [
            '',
            '\ud800',
            'a\r\nb: c',
            '\x00',
            'x' * 10_000,
            '127.0.0.1:99999',
            '127.0.0.1:0',
            '0.0.0.0:80',
            f'{"a" * 70}.example:80',
            '..:80',
            '127.0.0.1:' + '9' * 5000,
            '224.0.0.1:80',
            'Оюуна',
        ]
    ),
    st.sampled_from([[], {}, [[]], [{}], {'from': HUGE}, [{'name': '\ud800'}]]),
)
DOCUMENTS = {
    'servers/e-odd': ENGINE,
    'op/config': CONFIG,
    'op/version/fitting': {'model': 'fitting', 'version': 2},
    'bramleylug/peers/relay-2': PEER,
}
KEYS = {*DOCUMENTS, 'bramleylug/bars/00', 'servers/', 'op/version/'}
ODD_KEYS = st.sampled_from(
    ['servers/', 'servers/a b', 'servers/\r\n', 'servers/é', 'op/evacuate/']
)


def replace_some_field(draw: Any, document: Any) -> None:
    """Put an odd value somewhere into a document."""
    place = document
    while True:
        names = list(place) if isinstance(place, dict) else range(len(place))
        name = draw(st.sampled_from(list(names)))
        nested = isinstance(place[name], dict | list) and place[name]
        if not nested or draw(st.booleans()):
            place[name] = draw(ODD)
            return
        place = place[name]


@st.composite
def odd_documents(draw: Any) -> tuple[str, bytes]:
    """Return key and value of a document in which some fields are odd."""
    key = draw(st.sampled_from(sorted(DOCUMENTS)))
    document = json.loads(json.dumps(DOCUMENTS[key]))
    for _ in range(draw(st.integers(1, 3))):
        replace_some_field(draw, document)
    if key.startswith('servers/') and draw(st.booleans()):
        key = draw(ODD_KEYS)
    return key, json.dumps(document).encode()


class Relay:
    """A relay's view of the cluster, and what it does with it."""

    def __init__(self) -> None:
        self.now_s = 100.0
        own = build_peer('relay-1')
        self.view = ClusterView(
            build_settings(), lambda: own, Mirror(3.0), lambda: self.now_s
        )
        self.handler = StoreChangeHandler(self.view)
        self.revision = 1

    def write(self, *written: tuple[str, bytes]) -> None:
        """Apply writes to the store as one batch."""
        items = []
        for key, value in written:
            self.revision += 1
            items.append(StoreItem(key, value, self.revision))
        self.handler.apply(items)

    def engines(self) -> set[str]:
        return set(self.view.upstreams.by_id)

    def use_everything(self) -> None:
        """Do with the view what a relay does with it all the time."""
        self.view.update_preferred()
        newest = self.view.constraints().newest_versions
        for upstream in self.view.upstreams.by_id.values():
            send_request(upstream.record, max(newest.values(), default=0))
            upstream.sendable(self.now_s)
            upstream.running += 1
        for record in self.view.peers.known.values():
            parse_ip_address(record.beats)
            encode_peer(record)
        self.view.peers.addresses_for(
            Requester('north', 'zone-a', frozenset()), self.now_s
        )
        heartbeat = relay_heartbeat(
            'relay-1',
            1,
            self.view.upstreams,
            self.view.suspects,
            self.now_s,
            draining=False,
        )
        table = self.view.table
        heartbeat.configuration = 0 if table is None else table.version
        heartbeat.SerializeToString()


class Transport:
    """Discards what is written to it."""

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, raw: bytes) -> None:
        """Discard it."""


def send_request(record: UpstreamRecord, version: int) -> None:
    """Connect and send to an upstream, but for the network."""
    parse_ip_address(record.address)
    metadata = RequestMetadata(
        record.upstream_id, 'garage', 1.0, 0, version, ''
    )
    headers = PlatformDialect().write_request(build_caller_request(), metadata)
    connection = ClientConnection()
    connection.transport = Transport()
    connection.send(ClientRequest('POST', '/ask/1', headers, b'fits?'))


class TestBatches(unittest.TestCase):
    """What is applied does not depend on a neighbour in the same batch."""

    def test_unreadable_engine_hides_no_change_behind_it(self) -> None:
        """Guards against requests into an evacuated zone (EVAC)."""
        odd = (
            NESTED,
            build_engine(cold_remaining_ms=HUGE),
            build_engine(address='127.0.0.1:99999'),
            build_engine(zone='\ud800'),
        )
        for value in odd:
            with self.subTest(value[:40]):
                relay = Relay()
                relay.write(
                    ('servers/e-odd', value),
                    ('servers/e-1', build_engine()),
                    ('op/evacuate/zone-b', b'{}'),
                )
                self.assertEqual(relay.engines(), {'e-1'})
                self.assertEqual(relay.view.zones_out, {'zone-b'})

    def test_unreadable_record_ends_the_one_before_it(self) -> None:
        """It names no engine to use."""
        relay = Relay()
        relay.write(('servers/e-1', build_engine()))
        relay.write(('servers/e-1', NESTED))

        self.assertEqual(relay.engines(), set())

    def test_unreadable_configuration_leaves_the_last_good_one(self) -> None:
        relay = Relay()
        relay.write(('op/config', build_config()))
        odd = (
            NESTED,
            build_config(version=HUGE),
            build_config(tenants=[{'name': 'a\r\nb: c', 'api_keys': ['k']}]),
        )
        for value in odd:
            with self.subTest(value[:40]):
                relay.write(('op/config', value))
                self.assertEqual(relay.view.table.version, 7)

    def test_key_that_begins_like_the_configuration_is_another_one(
        self,
    ) -> None:
        """Guards against a backup of the configuration being put in force."""
        relay = Relay()
        relay.write(('op/config-backup', build_config(version=99)))

        self.assertIsNone(relay.view.table)

    @given(odd_documents())
    def test_odd_document_harms_nothing(
        self, written: tuple[str, bytes]
    ) -> None:
        """Neither its neighbours nor what uses the view afterwards."""
        relay = Relay()
        relay.write(
            ('servers/e-1', build_engine()),
            ('op/evacuate/zone-b', b'{}'),
            written,
            ('servers/e-2', build_engine(address='127.0.0.1:8081')),
        )

        self.assertLessEqual({'e-1', 'e-2'}, relay.engines())
        self.assertIn('zone-b', relay.view.zones_out)
        relay.use_everything()

    @given(st.binary(max_size=64), st.sampled_from(sorted(KEYS)))
    def test_odd_bytes_harm_nothing(self, value: bytes, key: str) -> None:
        relay = Relay()
        relay.write((key, value), ('servers/e-1', build_engine()))

        self.assertIn('e-1', relay.engines())
        relay.use_everything()

    @given(st.lists(st.integers(0, 2**32 - 1), min_size=4, max_size=4))
    def test_odd_bar_harms_nothing(self, numbers: list[int]) -> None:
        """A bar is kept in the store and sent on in heartbeats."""
        age_ms, bar_ms, strikes, written_ms = numbers
        record = CrashRecord(
            fingerprint=b'part',
            crashes=[UpstreamCrash(crash_id=b'c', age_ms=age_ms)],
            is_part=True,
            bar_ms=bar_ms,
            strikes=strikes,
        )
        value = ArchivedBar(record=record, written_ms=written_ms)
        relay = Relay()
        relay.write((bar_key(b'part'), value.SerializeToString()))

        relay.use_everything()


class TestDelivery(unittest.TestCase):
    """The mirror's revision does not run ahead of what was applied."""

    @in_virtual_time
    async def test_changes_that_were_not_taken_are_reported_again(self) -> None:
        """Guards against changes that are lost when applying them fails."""
        taken: list[StoreItem] = []
        failures = [RuntimeError('once')]

        def take(changes) -> None:
            if failures:
                raise failures.pop()
            taken.extend(changes)

        item = StoreItem('op/evacuate/zone-b', b'', 3)
        store = ScriptedStore(
            StoreChanges((), 3), pages=[Page((item,), 3, more=False)]
        )
        clock = asyncio.get_running_loop().time
        watcher = StoreWatcher(store, '', take, clock, ReadSchedule(2.0, 1.0))
        with self.assertRaises(RuntimeError):
            await watcher.run()
        task = asyncio.create_task(watcher.run())
        await store.done.wait()
        task.cancel()

        self.assertEqual(taken, [item])


class TestStoreAnswers(unittest.IsolatedAsyncioTestCase):
    """Odd answers of the store and of engines are failed calls."""

    def answering(self, owner, raw: bytes, headers=()) -> None:
        """Let a client answer every call in the same way."""

        async def call(*arguments, **options):
            return CallAnswer(200, raw, 0.0, dict(headers))

        owner.call = call
        owner.get = call

    async def test_odd_answer_of_the_store_is_unavailable(self) -> None:
        store = PlatformStore('127.0.0.1:1')
        for raw in (NESTED, b'[]', b'{"items": 1}', b'{"events": [{}]}'):
            with self.subTest(raw[:20]):
                self.answering(store.client, raw)
                with self.assertRaises(StoreUnavailable):
                    await store.list_page('', '')
                with self.assertRaises(StoreUnavailable):
                    await store.wait_for_changes('', 1, 1.0)

    async def test_key_without_utf8_form_can_be_passed_on(self) -> None:
        """Others of the zone would get no answer of a reader otherwise."""
        store = PlatformStore('127.0.0.1:1')
        entry = {'key': 'servers/\ud800', 'value': '', 'revision': 5}
        page = {'items': [entry], 'current_rev': 5, 'has_more': False}
        self.answering(store.client, json.dumps(page).encode())
        mirror = Mirror(3.0)
        page = await store.list_page('', '')
        mirror.replace(page.items, 5, 0.0)
        mirror.confirm(0.0, 0.0)

        raw, compressed = FeedEncoder().encode(
            ChangeFeed(mirror, float).listing('', 0.0)
        )

        self.assertEqual(decode(raw, compressed=compressed).revision, 5)

    async def test_era_with_thousands_of_digits_is_none(self) -> None:
        store = PlatformStore('127.0.0.1:1')
        page = b'{"items": [], "current_rev": 5, "has_more": false}'
        self.answering(store.client, page, {'store-era': '9' * 5000})

        self.assertEqual((await store.list_page('', '')).era, 0)

    async def test_odd_report_makes_the_engine_unavailable(self) -> None:
        """Its loader sends what it reads to all relays."""
        engine = PlatformEngine('127.0.0.1:1')
        odd = (
            NESTED,
            json.dumps({**REPORT, 'active_requests': 2**40}).encode(),
            json.dumps({**REPORT, 'queue_depth': inf}).encode(),
            json.dumps({**REPORT, 'born': -1}).encode(),
            json.dumps({**REPORT, 'sequence': 'x'}).encode(),
        )
        for raw in odd:
            with self.subTest(raw[:20]):
                self.answering(engine.client, raw)
                with self.assertRaises(EngineUnavailable):
                    await engine.report('fitting', 1.0)

    async def test_odd_manifest_is_corrupt(self) -> None:
        origin = PlatformOrigin()
        for raw in (NESTED, b'{"version": 2, "chunk_bytes": 4, "digests": 7}'):
            with self.subTest(raw[:20]):
                self.answering(origin.clients, raw)
                with self.assertRaises(FetchFailed):
                    await origin.manifest('127.0.0.1:1', 'fitting', 2)


class TestAddresses(unittest.IsolatedAsyncioTestCase):
    """An address that cannot be connected to is a failed connection."""

    async def test_connection_to_no_address_is_an_os_error(self) -> None:
        """The attempt then counts as not run, and another engine is tried."""
        long_label = f'{"a" * 70}.example:80'
        for address in ('127.0.0.1:99999', 'nowhere', long_label, '..:80'):
            with self.subTest(address), self.assertRaises(OSError):
                await ClientConnection.open(address, timeout_s=1.0)

    async def test_peer_without_an_address_keeps_heartbeats_going(
        self,
    ) -> None:
        """Guards against a transport that closes itself for good."""
        heard = asyncio.Event()
        receiver = HeartbeatSocket.open(
            '127.0.0.1:0', lambda heartbeat: heard.set()
        )
        sender = HeartbeatSocket.open('127.0.0.1:0', lambda _: None)
        odd = ['nowhere', f'{"a" * 70}.example:80', '127.0.0.1:99999']
        sender.send(Beat(name='r'), [*odd, receiver.port.address])

        await asyncio.wait_for(heard.wait(), 5.0)
        self.assertFalse(sender.port.closed)
        sender.close()
        receiver.close()


class TestHeartbeats(unittest.TestCase):
    """Numbers that no process sends are not believed."""

    def test_incarnation_without_a_next_one_is_ignored(self) -> None:
        """Guards against a process that can send no heartbeat any more."""
        received = []
        socket = HeartbeatSocket(received.append)
        for odd in (
            Beat(name='r', known_boot=MAX_BOOT),
            Beat(name='r', boot=2**64 - 1),
            Beat(name='r', limits=[NamedLimit(upstream_id='e', per_s=nan)]),
            Beat(name='r', limits=[NamedLimit(upstream_id='e', per_s=-1)]),
        ):
            socket.receive(odd.SerializeToString(), ('127.0.0.1', 1))

        self.assertEqual(received, [])


class TestRejectionLog(unittest.TestCase):
    """A value that is written again and again does not fill the log."""

    def test_key_is_logged_once_in_ten_minutes(self) -> None:
        """An engine's heartbeat may repeat it every second for a week."""
        now_s = 0.0
        lines = []
        handler = logger.add(lines.append, format='{message}')
        log = RejectionLog(lambda: now_s)
        for second in range(3600):
            now_s = float(second)
            log.record('servers/e-1', 'odd')
        logger.remove(handler)

        self.assertEqual(len(lines), 3600 / LOG_INTERVAL_S)
        self.assertIn('599 times more', lines[-1])

    def test_number_of_keys_is_limited(self) -> None:
        lines = []
        handler = logger.add(lines.append, format='{message}')
        log = RejectionLog(float)
        for number in range(1000):
            log.record(f'servers/e-{number}', 'odd')
        logger.remove(handler)

        self.assertEqual(len(lines), MAX_KEYS + 1)
