"""Tests of the relay's answer where serving a request fails."""

from unittest.mock import Mock

from loguru import logger

from bramleylug.cluster.route_table import ServiceShare
from testing.relay.builders import build_route
from testing.relay.scripted_engines import RecordingExchange
from testing.relay.test_relay import RelayCase


class TestFailures(RelayCase):
    """Every request gets an answer and a line in the log."""

    def setUp(self) -> None:
        """Collect the numbers of the logged events."""
        self.logged: list[str] = []
        sink = logger.add(self.collect, format='{extra[event]}')
        self.addCleanup(logger.remove, sink)
        self.exchange = RecordingExchange()

    def collect(self, line: str) -> None:
        """Record the number of an event."""
        self.logged.append(line.strip())

    async def serve_failing(self, part: str) -> None:
        """Serve a request while a part of the work raises."""
        self.relay = self.build_relay(build_route())
        failing = Mock(side_effect=ValueError('odd value'))
        if part == 'read_request':
            self.relay.dialect.read_request = failing
        else:
            self.relay.checks = Mock(check=failing)
        await self.relay.serve(self.exchange)

    async def test_request_that_cannot_be_read_is_answered(self) -> None:
        """It waited for ever, and counted as running for ever."""
        await self.serve_failing('read_request')

        self.assertEqual((self.exchange.status, self.relay.running), (503, 0))
        self.assertEqual(self.exchange.headers_sent['X-Run'], 'not_run')
        self.assertEqual(self.logged, ['BL1010', 'BL5004', 'BL2004'])

    async def test_request_whose_checks_fail_is_answered(self) -> None:
        """It waited for ever, and counted as running for ever."""
        await self.serve_failing('check')

        self.assertEqual((self.exchange.status, self.relay.running), (503, 0))
        self.assertEqual(self.logged, ['BL1010', 'BL5004', 'BL2004'])

    async def test_route_without_a_positive_weight_is_refused(self) -> None:
        """The choice of a service raised, and the request waited for ever."""
        shares = (ServiceShare('advisor', 0), ServiceShare('bookings', 0))

        exchange = await self.serve(shares=shares)

        self.assertEqual((exchange.status, self.relay.running), (503, 0))
        self.assertEqual(exchange.headers_sent['X-Run'], 'not_run')
        self.assertEqual(self.logged, ['BL1010', 'BL2004'])
