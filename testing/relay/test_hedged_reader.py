"""Tests of when a second attempt is looked for."""

import asyncio
import unittest
from unittest.mock import AsyncMock, Mock

from bramleylug.relay.silence import HedgedReader, Silence, UpstreamSilent
from bramleylug.web.client_connection import ClientConnection, ClientRequest
from testing.virtual_time import in_virtual_time

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


class TestPauses(unittest.TestCase):
    """A process that stood still reads late what had arrived in time."""

    @in_virtual_time
    async def test_answer_from_a_pause_starts_no_second_attempt(self) -> None:
        """The timer and the socket are due in the same pass of the loop."""
        loop = asyncio.get_running_loop()
        connection = ClientConnection(None)
        connection.connection_made(
            Mock(
                get_write_buffer_size=Mock(return_value=0),
                get_extra_info=Mock(return_value=None),
            )
        )
        connection.send(ClientRequest('GET', '/', [('Host', 'engine')], b''))
        reader = HedgedReader(loop.time)
        reader.connection = connection
        reader.hedge = Mock(return_value=None)
        reading = asyncio.create_task(
            reader.read(connection.read_head, Silence(0.0, look_s=1.5))
        )
        await asyncio.sleep(0.5)

        loop.instant.now_s += 4
        loop.call_soon(connection.data_received, ANSWER)
        head = await reading

        self.assertEqual(head.status, 200)
        reader.hedge.assert_not_called()


async def read_nothing() -> bytes:
    """Read the end of an answer without an event."""
    await asyncio.sleep(10)
    return b''


class TestEndlessInput(unittest.TestCase):
    """Bytes that make no event are no reason to stay at an upstream."""

    @in_virtual_time
    async def test_bytes_without_an_event_keep_no_request(self) -> None:
        """Guards against requests that stay at an engine without progress."""
        loop = asyncio.get_running_loop()
        connection = Mock(has_input=True)
        reader = HedgedReader(loop.time)
        reader.connection = connection
        hedge = Mock(prepare=AsyncMock(return_value=True))
        reader.hedge = Mock(return_value=hedge)

        connection.wait_for_input = AsyncMock()
        with self.assertRaises(UpstreamSilent):
            await reader.read(
                read_nothing,
                Silence(0.0, look_s=1.5, end_s=5.0, prefer_other_s=2.0),
            )

        self.assertLess(loop.time(), 2.0)

    @in_virtual_time
    async def test_second_attempt_is_waited_for_beside_such_bytes(
        self,
    ) -> None:
        """Also when it begins after the patience of the caller."""
        loop = asyncio.get_running_loop()

        async def prepare() -> bool:
            await asyncio.sleep(1.0)
            return True

        reader = HedgedReader(loop.time)
        reader.connection = Mock(has_input=True, wait_for_input=AsyncMock())
        reader.hedge = Mock(return_value=Mock(prepare=prepare))

        with self.assertRaises(UpstreamSilent):
            await reader.read(
                read_nothing,
                Silence(0.0, look_s=1.5, end_s=5.0, prefer_other_s=2.0),
            )

        self.assertLess(loop.time(), 4.0)
