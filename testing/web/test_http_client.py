"""Tests of the HTTP client for many addresses."""

import asyncio
import unittest

from bramleylug.web.client_connection import AnswerTooLarge
from bramleylug.web.http_client import (
    CALL_ERRORS,
    MAX_ANSWER_BYTES,
    MAX_IDLE_ADDRESSES,
    AnswerOverdue,
    CallAnswer,
    HttpClient,
    HttpClients,
)
from testing.builders import prefixes
from testing.relay.scripted_engines import ScriptedEngine, complete_answer
from testing.web.paced_server import PacedServer

ANSWER = complete_answer(b'whole')
PIECE_PAUSE_S = 0.02


class TestHttpClients(unittest.IsolatedAsyncioTestCase):
    """Idle connections do not add up over all peers of a large fleet."""

    async def asyncSetUp(self) -> None:
        self.clients = HttpClients(connect_timeout_s=1)
        self.peers = [
            await ScriptedEngine(ANSWER, ANSWER).open()
            for _ in range(MAX_IDLE_ADDRESSES + 8)
        ]
        for peer in self.peers:
            self.addAsyncCleanup(peer.close)

    def open_connections(self) -> int:
        return sum(
            len(client.idle) for client in self.clients.by_address.values()
        )

    async def test_connections_of_the_longest_unused_addresses_close(
        self,
    ) -> None:
        """With 1,100 peers, each of them kept a descriptor on both sides."""
        for peer in self.peers:
            await self.clients.get(peer.address, '/', timeout_s=1)

        self.assertEqual(self.open_connections(), MAX_IDLE_ADDRESSES)
        self.assertNotIn(self.peers[0].address, self.clients.by_address)

    async def test_addresses_in_turn_keep_their_connections(self) -> None:
        """44 loaders fetch from each other in turn; 32 were kept."""
        self.clients.max_idle_addresses = len(self.peers)
        for peer in (*self.peers, *self.peers):
            await self.clients.get(peer.address, '/', timeout_s=1)

        self.assertEqual(self.open_connections(), len(self.peers))

    async def test_used_address_keeps_its_connection(self) -> None:
        for peer in (*self.peers[:-1], self.peers[0], self.peers[-1]):
            await self.clients.get(peer.address, '/', timeout_s=1)

        self.assertIn(self.peers[-1].address, self.clients.by_address)
        self.assertEqual(len(self.peers[0].heads), 2)


class TestIdleTime(unittest.IsolatedAsyncioTestCase):
    """A peer that takes few connections is not kept from other callers."""

    async def asyncSetUp(self) -> None:
        self.peer = await ScriptedEngine(ANSWER, ANSWER).open()
        self.addAsyncCleanup(self.peer.close)

    async def get(self, clients: HttpClients) -> None:
        await clients.get(self.peer.address, '/', timeout_s=1)

    async def test_connection_closes_when_it_has_been_idle(self) -> None:
        """The origin of weights counted those of idle loaders (RECOVER)."""
        clients = HttpClients(connect_timeout_s=1, max_idle_s=0.05)
        await self.get(clients)
        await asyncio.wait_for(self.peer.closed.wait(), 5)

        await self.get(clients)
        self.assertEqual(len(self.peer.heads), 2)

    async def test_connection_that_was_used_since_does_not_close(self) -> None:
        """Its time begins anew with each answer."""
        clients = HttpClients(connect_timeout_s=1, max_idle_s=60)
        await self.get(clients)
        await self.get(clients)
        client = clients.by_address[self.peer.address]
        connection = client.idle[0]

        client.close_idle(connection, answered=1)
        self.assertEqual(client.idle, [connection])
        client.close_idle(connection, answered=2)
        self.assertEqual(client.idle, [])


class TestCutAnswers(unittest.IsolatedAsyncioTestCase):
    """Answers of the store, of the origin and of feeds are whole, or fail."""

    async def call(self, answer: bytes) -> CallAnswer:
        peer = await ScriptedEngine([answer, None]).open()
        client = HttpClient(peer.address, connect_timeout_s=1)
        try:
            return await client.call('GET', '/', timeout_s=1)
        finally:
            client.close()
            await peer.close()

    async def test_answer_cut_after_any_byte_fails(self) -> None:
        for head in (b'204 X\r\n', b'200 X\r\nContent-Length: 0\r\n'):
            raw = b'HTTP/1.1 %sX-More: 1\r\n\r\n' % head
            for cut in prefixes(raw):
                with self.subTest(cut=cut), self.assertRaises(CALL_ERRORS):
                    await self.call(cut)
            self.assertEqual((await self.call(raw)).body, b'')

    async def test_cut_body_with_a_length_fails(self) -> None:
        for cut in prefixes(ANSWER):
            with self.subTest(cut=cut), self.assertRaises(CALL_ERRORS):
                await self.call(cut)


class TestArrivingAnswers(unittest.IsolatedAsyncioTestCase):
    """Time limits of an answer that arrives in many pieces."""

    async def asyncSetUp(self) -> None:
        self.peer = await PacedServer(ANSWER, PIECE_PAUSE_S).open()
        self.addAsyncCleanup(self.peer.close)
        self.client = HttpClient(self.peer.address, connect_timeout_s=1)
        self.whole_s = len(ANSWER) * PIECE_PAUSE_S

    async def test_answer_that_advances_is_not_given_up(self) -> None:
        answer = await self.client.call(
            'GET', '/', timeout_s=self.whole_s / 3, limit_s=3 * self.whole_s
        )

        self.assertEqual(answer.body, b'whole')

    async def test_answer_that_stops_is_given_up(self) -> None:
        self.peer.stops_after = len(ANSWER) // 2

        failure = await self.failure_of_call(limit_s=60)

        self.assertIs(failure, TimeoutError)

    async def test_answer_that_takes_longer_than_its_limit(self) -> None:
        """The same call would end like this again."""
        failure = await self.failure_of_call(limit_s=self.whole_s / 2)

        self.assertIs(failure, AnswerOverdue)

    async def failure_of_call(self, limit_s: float) -> type[Exception] | None:
        """Return how a call ends; ``None`` if it is answered."""
        try:
            await self.client.call(
                'GET', '/', timeout_s=self.whole_s / 3, limit_s=limit_s
            )
        except TimeoutError as error:
            return type(error)
        return None

    async def test_answer_that_is_too_large_is_not_awaited(self) -> None:
        """Guards against memory and links filled by what is thrown away."""
        length_bytes = MAX_ANSWER_BYTES + 1
        head = b'HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n'
        peer = await PacedServer(head % length_bytes, 0).open()
        self.addAsyncCleanup(peer.close)
        client = HttpClient(peer.address, connect_timeout_s=1)

        with self.assertRaises(AnswerTooLarge):
            await client.call('GET', '/', timeout_s=60)

    async def test_time_limit_without_another_one_holds_for_the_call(
        self,
    ) -> None:
        with self.assertRaises(TimeoutError):
            await self.client.call('GET', '/', timeout_s=self.whole_s / 3)
