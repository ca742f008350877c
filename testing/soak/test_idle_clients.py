"""Tests of clients that hold connections idle, at scripted relays."""

import asyncio
import socket
import unittest
from contextlib import suppress
from types import SimpleNamespace
from typing import Any

from bramleylug.soak.clients import RelayAddress
from bramleylug.soak.idle_clients import IdleClient
from bramleylug.soak.observations import Observations
from bramleylug.soak.traffic import IdleLimit, Traffic

ANSWER = (
    b'HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n'
    b'Content-Length: %d\r\n\r\n%s'
)
REFUSAL = b'HTTP/1.1 408 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'
OBSERVED_S = 1.0


class TestIdleClients(unittest.IsolatedAsyncioTestCase):
    """A request is lost only if it was read and got no answer at all."""

    async def observe(self, end: Any) -> Observations:
        """Answer one request; then have ``end`` end its connection."""

        async def serve(reader, writer):
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            await reader.readexactly(2)
            _, _, rest = head.partition('X-Request-Id: ')
            body = b'{"id": "%s"}' % rest.partition('\r\n')[0].encode()
            writer.write(ANSWER % (len(body), body))
            await writer.drain()
            await asyncio.sleep(0.05)
            # The test may end before the connection does.
            with suppress(asyncio.CancelledError):
                await end(reader, writer)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        directory = SimpleNamespace(
            addresses=[RelayAddress('relay-0', f'{host}:{port}')]
        )
        observations = Observations()
        traffic = Traffic()
        traffic.publish_limit(15.0)
        client = IdleClient(0, directory, observations, traffic, seed=1)
        task = asyncio.create_task(client.run())
        await asyncio.sleep(OBSERVED_S)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return observations

    async def test_silent_close_that_reads_on_loses_a_request(self) -> None:
        """The relay closes its side only and discards what it reads."""

        async def end(reader, writer):
            writer.get_extra_info('socket').shutdown(socket.SHUT_WR)
            await asyncio.sleep(OBSERVED_S)

        observations = await self.observe(end)

        self.assertGreaterEqual(len(observations.unanswered), 1)
        self.assertEqual({one.error for one in observations.requests}, {''})

    async def test_close_that_reads_nothing_loses_no_request(self) -> None:
        """The kernel answers the request with a reset."""

        async def end(reader, writer):
            writer.close()

        observations = await self.observe(end)

        self.assertEqual(observations.unanswered, [])
        self.assertGreaterEqual(len(observations.requests), 1)

    async def test_notice_before_the_close_answers_a_request(self) -> None:
        async def end(reader, writer):
            writer.write(REFUSAL)
            writer.get_extra_info('socket').shutdown(socket.SHUT_WR)
            await asyncio.sleep(OBSERVED_S)

        observations = await self.observe(end)

        self.assertEqual(observations.unanswered, [])
        self.assertGreaterEqual(len(observations.requests), 1)


class TestTraffic(unittest.TestCase):
    """Clients know a lowered limit at once, a raised one later."""

    def test_longest_idle_time_follows_the_published_limits(self) -> None:
        traffic = Traffic(
            idle_limits=[
                IdleLimit(0.0, 15.0),
                IdleLimit(100.0, 5.0),
                IdleLimit(110.0, 10.0),
            ]
        )

        self.assertEqual(traffic.longest_idle_s(112.0), 4.0)
        self.assertEqual(traffic.longest_idle_s(117.0), 8.0)
