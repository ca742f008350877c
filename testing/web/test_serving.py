"""Tests of exchanges whose serving ends without an answer."""

import asyncio
import unittest

from bramleylug.web.serving import serve_to_end
from testing.web.ports import REQUEST, PortHarness


class TestServeToEnd(unittest.IsolatedAsyncioTestCase):
    """The client is told that nothing will answer its request."""

    async def test_cancelled_work_leaves_no_exchange_open(self) -> None:
        """A call on a closed channel raises that, and so does a stop."""
        harness = PortHarness()
        sock = harness.connect()
        harness.receive(sock, REQUEST)
        work = asyncio.Event().wait
        task = asyncio.create_task(serve_to_end(harness.served[0], work))
        await asyncio.sleep(0)

        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task

        self.assertIn(b' 502 ', sock.sent)
