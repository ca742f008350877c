"""Tests of the connections of a server port, without sockets."""

import unittest

from bramleylug.web.exchange import Exchange
from testing.web.ports import REQUEST, PortHarness


class TestAnswers(unittest.TestCase):
    """Each request gets its own complete response, in order."""

    def test_pipelined_request_waits_for_the_previous_response(self) -> None:
        """A request is served only when the previous response has ended."""
        harness = PortHarness()
        sock = harness.connect()
        harness.receive(sock, REQUEST * 2)
        served_before = len(harness.served)
        harness.served[0].reply(200, b'first')

        self.assertEqual((served_before, len(harness.served)), (1, 2))
        self.assertTrue(sock.sent.endswith(b'first'))

    def test_response_shorter_than_announced_resets_the_connection(
        self,
    ) -> None:
        """The client must not take it for a complete response."""
        harness = PortHarness()
        harness.receive(harness.connect(), REQUEST)
        exchange = harness.served[0]
        exchange.start(200, {}, 5)
        exchange.send(b'abc')
        exchange.finish()

        self.assertEqual(harness.transport.events, ['reset'])

    def test_aborted_response_resets_the_connection(self) -> None:
        """No other request is served after an incomplete response."""
        harness = PortHarness()
        harness.receive(harness.connect(), REQUEST * 2)
        harness.served[0].start(200, {})
        harness.served[0].abort()

        self.assertEqual(len(harness.served), 1)
        self.assertEqual(harness.transport.events, ['reset'])

    def test_draining_port_closes_connection_after_the_response(self) -> None:
        """A request that was partly received is still answered."""
        harness = PortHarness()
        sock = harness.connect()
        harness.receive(sock, REQUEST[:-1])
        harness.port.start_draining()
        busy = harness.port.busy
        harness.receive(sock, REQUEST[-1:])
        harness.served[0].reply(200, b'done')

        self.assertTrue(busy)
        self.assertIn(b'Connection: close', sock.sent)
        self.assertFalse(harness.port.busy)

    def test_draining_port_closes_idle_connections_with_a_response(
        self,
    ) -> None:
        """A request on a new connection is still answered for a while."""
        harness = PortHarness()
        idle = harness.connect()
        harness.pass_time(3)
        harness.call(harness.port.start_draining)
        late = harness.connect()
        busy = harness.port.busy
        harness.pass_time(1)
        harness.receive(late, REQUEST)
        harness.served[0].reply(503, b'elsewhere')

        self.assertIn(b'"code": "leaving"', idle.sent)
        self.assertTrue(busy)
        self.assertTrue(late.sent.endswith(b'elsewhere'))
        self.assertFalse(harness.port.busy)

    def test_pipelined_request_is_answered_though_the_port_drains(
        self,
    ) -> None:
        """It was received before the previous response ended."""
        harness = PortHarness()
        sock = harness.connect()
        harness.receive(sock, REQUEST * 2)
        harness.served[0].start(200, {}, 0)
        harness.port.start_draining()
        harness.served[0].finish()
        harness.served[1].reply(503, b'elsewhere')

        self.assertTrue(sock.sent.endswith(b'elsewhere'))
        self.assertFalse(harness.port.busy)

    def test_connection_in_use_gets_a_notice_when_it_closes(
        self,
    ) -> None:
        """A response begun before draining did not announce the close."""
        harness = PortHarness()
        sock = harness.connect()
        harness.receive(sock, REQUEST)
        harness.served[0].start(200, {}, 0)
        harness.port.start_draining()
        harness.served[0].finish()

        self.assertIn(b'"code": "leaving"', sock.sent)

    def test_nothing_more_is_served_on_a_reset_connection(self) -> None:
        """Requests behind one that failed are discarded."""
        served = []

        def fail(exchange: Exchange) -> None:
            served.append(exchange)
            raise ValueError('odd request')

        harness = PortHarness(fail)
        harness.receive(harness.connect(), REQUEST * 3)

        self.assertEqual(
            (len(served), harness.transport.events), (1, ['reset'])
        )

    def test_valid_request_id_is_kept(self) -> None:
        """An id that is too long is replaced."""
        harness = PortHarness()
        for offered in (b'call-7', b'x' * 65):
            head = b'GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\n\r\n'
            harness.receive(harness.connect(), head % offered)
        ids = [exchange.request_id for exchange in harness.served]

        self.assertEqual(ids[0], 'call-7')
        self.assertEqual(len(ids[1]), 32)

    def test_malformed_and_framing_headers_are_not_sent(self) -> None:
        """Headers of an upstream can't split or reframe the response."""
        harness = PortHarness()
        sock = harness.connect()
        harness.receive(sock, REQUEST)
        harness.served[0].reply(
            200, b'', [('A', 'x\r\nB: y'), ('Content-Length', '9'), ('C', 'z')]
        )

        self.assertNotIn(b'B: y', sock.sent)
        self.assertNotIn(b'9', sock.sent.partition(b'Content-Length')[2])
        self.assertIn(b'C: z', sock.sent)


class TestSlowClients(unittest.TestCase):
    """Slow clients are limited in bytes and time."""

    def test_pending_bytes_are_those_the_socket_has_not_accepted(self) -> None:
        """The owner of the exchange sees how far the client is behind."""
        harness = PortHarness()
        sock = harness.connect()
        harness.receive(sock, REQUEST)
        exchange = harness.served[0]
        exchange.start(200, {}, 100)
        sock.capacity = 0
        exchange.send(b'x' * 100)
        before = exchange.pending_bytes
        harness.drain(sock, 60)

        self.assertEqual((before, exchange.pending_bytes), (100, 40))

    def test_client_that_stops_reading_is_reset(self) -> None:
        """The exchange reports the stall, and the client sees an error."""
        harness = PortHarness(stall_timeout_s=5)
        sock = harness.connect()
        harness.receive(sock, REQUEST)
        exchange = harness.served[0]
        sock.capacity = 0
        exchange.start(200, {})
        harness.pass_time(6)

        self.assertTrue(exchange.stalled and exchange.closed)
        self.assertEqual(harness.transport.events, ['reset'])

    def test_client_that_reads_the_last_bytes_one_by_one_is_reset(self) -> None:
        """A finished response has one time limit, not one per byte."""
        harness = PortHarness(stall_timeout_s=5)
        sock = harness.connect()
        harness.receive(sock, REQUEST)
        sock.capacity = 0
        harness.served[0].reply(200, b'x' * 100)
        for _ in range(3):
            harness.pass_time(2)
            harness.drain(sock, 1)

        self.assertEqual(harness.transport.events, ['reset'])

    def test_slow_head_and_body_get_a_timeout_response(self) -> None:
        """Head and body of a request have time limits of their own."""
        harness = PortHarness(head_timeout_s=5, body_timeout_s=9)
        socks = [harness.connect(), harness.connect()]
        harness.receive(socks[0], REQUEST[:9])
        harness.receive(socks[1], REQUEST[:-1])
        harness.pass_time(6)
        early = [b'408' in sock.sent for sock in socks]
        harness.pass_time(4)

        self.assertEqual(early, [True, False])
        self.assertIn(b'408', socks[1].sent)

    def test_idle_connection_is_closed_with_a_response(self) -> None:
        """A request sent meanwhile is answered: it did not run."""
        harness = PortHarness(idle_timeout_s=5)
        sock = harness.connect()
        harness.pass_time(6)
        harness.receive(sock, REQUEST)
        harness.pass_time(3)

        self.assertIn(b'"run": "not_run"', sock.sent)
        self.assertEqual(harness.served, [])
        self.assertEqual(harness.transport.events, ['closed'])

    def test_number_of_connections_is_limited(self) -> None:
        """A connection above the limit gets a 503 response."""
        harness = PortHarness(connections=1)
        harness.connect()
        sock = harness.connect()

        self.assertIn(b'503', sock.sent)
        self.assertIn(b'"run": "not_run"', sock.sent)

    def test_input_is_reserved_and_released(self) -> None:
        """The body is reserved until the response has ended."""
        harness = PortHarness()
        sock = harness.connect()
        harness.receive(sock, REQUEST)
        held = harness.ledger.held_bytes
        harness.served[0].reply(200, b'')

        self.assertEqual((held, harness.ledger.held_bytes), (46, 0))

    def test_input_beyond_the_memory_limit_is_refused(self) -> None:
        """No reservation remains afterwards."""
        harness = PortHarness(memory_bytes=20)
        sock = harness.connect()
        harness.receive(sock, REQUEST[:-1])

        self.assertIn(b'503', sock.sent)
        self.assertEqual(harness.ledger.held_bytes, 0)

    def test_much_pipelined_input_pauses_reading(self) -> None:
        """A client that keeps sending while it is answered is not read."""
        harness = PortHarness(head_bytes=100)
        sock = harness.connect()
        harness.receive(sock, REQUEST * 5)
        harness.served[0].reply(200, b'')

        self.assertEqual(
            harness.transport.events, ['paused', 'resumed', 'paused']
        )
