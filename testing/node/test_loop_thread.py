"""Tests of coroutines that other threads submit to a loop."""

import unittest
from threading import Event

from loguru import logger

from bramleylug.node.loop_thread import LoopThread
from testing.web.ports import REQUEST, PortHarness

TIMEOUT_S = 5.0


async def fail() -> None:
    """Fail as an unexpected value would."""
    raise ValueError('odd value')


class TestFailingWork(unittest.TestCase):
    """A failure is logged and leaves no client without an answer."""

    def setUp(self) -> None:
        """Start a loop; collect the log."""
        self.lines: list[str] = []
        self.logged = Event()
        sink = logger.add(self.collect, format='{message}')
        self.addCleanup(logger.remove, sink)
        self.thread = LoopThread('test')
        self.thread.start()
        self.addCleanup(self.thread.stop)

    def collect(self, line: str) -> None:
        """Record a line of the log."""
        self.lines.append(line)
        self.logged.set()

    def test_failure_of_spawned_work_is_logged(self) -> None:
        """The task was dropped, exception and all."""
        self.thread.spawn(fail)
        logged = self.logged.wait(TIMEOUT_S)

        self.assertTrue(logged)
        self.assertIn('BL5004', self.lines[0])
        self.assertIn('odd value', self.lines[0])

    def test_failure_of_an_exchange_is_answered_and_logged(self) -> None:
        """The client waited for ever, on a connection without time limit."""
        harness = PortHarness()
        sock = harness.connect()
        harness.receive(sock, REQUEST)
        self.thread.serve(harness.served[0], fail)
        logged = self.logged.wait(TIMEOUT_S)

        self.assertTrue(logged)
        self.assertIn('BL5004', self.lines[0])
        self.assertIn(b' 502 ', sock.sent)
        self.assertIn(b'X-Run: unknown', sock.sent)
        self.assertFalse(harness.port.busy)

    def test_failure_in_the_middle_of_a_response_resets_it(self) -> None:
        """What was sent must not be taken for a complete response."""
        harness = PortHarness()
        harness.receive(harness.connect(), REQUEST)
        exchange = harness.served[0]

        async def fail_later() -> None:
            exchange.start(200, {})
            exchange.send(b'part')
            raise ValueError

        self.thread.serve(exchange, fail_later)
        self.logged.wait(TIMEOUT_S)

        self.assertEqual(harness.transport.events, ['reset'])

    def test_failure_after_a_response_leaves_it_as_it_is(self) -> None:
        harness = PortHarness()
        sock = harness.connect()
        harness.receive(sock, REQUEST)
        exchange = harness.served[0]

        async def fail_afterwards() -> None:
            exchange.reply(200, b'whole')
            raise ValueError

        self.thread.serve(exchange, fail_afterwards)
        self.logged.wait(TIMEOUT_S)

        self.assertTrue(sock.sent.endswith(b'whole'))
        self.assertEqual(harness.transport.events, [])
