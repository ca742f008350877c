"""Tests of when a second attempt is looked for."""

import asyncio
import unittest
from unittest.mock import Mock

from bramleylug.relay.silence import HedgedReader, Silence
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
