"""Tests of the connections of a caller port, without sockets."""

import unittest

from bramleylug.web.exchange import Exchange
from testing.web.ports import REQUEST, PortHarness


class TestAnswers(unittest.TestCase):
    """Each request gets its own whole answer, in order."""

    def test_pipelined_request_waits_for_the_answer_before(self) -> None:
        """The second is served only when the first has ended."""
        bench = PortHarness()
        sock = bench.connect()
        bench.receive(sock, REQUEST * 2)
        served_before = len(bench.served)
        bench.served[0].reply(200, b'first')

        self.assertEqual((served_before, len(bench.served)), (1, 2))
        self.assertTrue(sock.sent.endswith(b'first'))

    def test_short_answer_is_reset_not_ended(self) -> None:
        """Fewer bytes than announced never pass as whole."""
        bench = PortHarness()
        bench.receive(bench.connect(), REQUEST)
        exchange = bench.served[0]
        exchange.start(200, {}, 5)
        exchange.send(b'abc')
        exchange.finish()

        self.assertEqual(bench.transport.ended, ['reset'])

    def test_aborted_answer_closes_the_connection(self) -> None:
        """No second request is taken where an answer broke off."""
        bench = PortHarness()
        bench.receive(bench.connect(), REQUEST * 2)
        bench.served[0].start(200, {})
        bench.served[0].abort()

        self.assertEqual(len(bench.served), 1)
        self.assertEqual(bench.transport.ended, ['reset'])

    def test_leaving_port_closes_after_the_answer(self) -> None:
        """What was accepted is answered, then the connection ends."""
        bench = PortHarness()
        sock = bench.connect()
        bench.receive(sock, REQUEST[:-1])
        bench.port.start_draining()
        busy = bench.port.busy
        bench.receive(sock, REQUEST[-1:])
        bench.served[0].reply(200, b'done')

        self.assertTrue(busy)
        self.assertIn(b'Connection: close', sock.sent)
        self.assertFalse(bench.port.busy)

    def test_leaving_port_closes_idle_connections_with_a_true_word(
        self,
    ) -> None:
        """A new connection may still bring a request, for a while."""
        bench = PortHarness()
        idle = bench.connect()
        bench.pass_time(3)
        bench.call(bench.port.start_draining)
        late = bench.connect()
        busy = bench.port.busy
        bench.pass_time(1)
        bench.receive(late, REQUEST)
        bench.served[0].reply(503, b'elsewhere')

        self.assertIn(b'"code": "leaving"', idle.sent)
        self.assertTrue(busy)
        self.assertTrue(late.sent.endswith(b'elsewhere'))
        self.assertFalse(bench.port.busy)

    def test_pipelined_request_is_answered_though_the_port_leaves(
        self,
    ) -> None:
        """It was received before the answer that runs has ended."""
        bench = PortHarness()
        sock = bench.connect()
        bench.receive(sock, REQUEST * 2)
        bench.served[0].start(200, {}, 0)
        bench.port.start_draining()
        bench.served[0].finish()
        bench.served[1].reply(503, b'elsewhere')

        self.assertTrue(sock.sent.endswith(b'elsewhere'))
        self.assertFalse(bench.port.busy)

    def test_answer_begun_before_the_leave_ends_with_a_true_word(
        self,
    ) -> None:
        """It did not say that the connection closes."""
        bench = PortHarness()
        sock = bench.connect()
        bench.receive(sock, REQUEST)
        bench.served[0].start(200, {}, 0)
        bench.port.start_draining()
        bench.served[0].finish()

        self.assertIn(b'"code": "leaving"', sock.sent)

    def test_nothing_more_is_served_on_a_reset_connection(self) -> None:
        """Requests behind the one that failed are dropped."""
        served = []

        def fail(exchange: Exchange) -> None:
            served.append(exchange)
            raise ValueError('odd request')

        bench = PortHarness(fail)
        bench.receive(bench.connect(), REQUEST * 3)

        self.assertEqual((len(served), bench.transport.ended), (1, ['reset']))

    def test_request_id_is_returned_when_plain(self) -> None:
        """A long or odd id is replaced."""
        bench = PortHarness()
        for offered in (b'call-7', b'x' * 65):
            head = b'GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\n\r\n'
            bench.receive(bench.connect(), head % offered)
        ids = [exchange.request_id for exchange in bench.served]

        self.assertEqual(ids[0], 'call-7')
        self.assertEqual(len(ids[1]), 32)

    def test_answer_headers_cannot_break_the_head(self) -> None:
        """Framing headers and line ends of an upstream are dropped."""
        bench = PortHarness()
        sock = bench.connect()
        bench.receive(sock, REQUEST)
        bench.served[0].reply(
            200, b'', [('A', 'x\r\nB: y'), ('Content-Length', '9'), ('C', 'z')]
        )

        self.assertNotIn(b'B: y', sock.sent)
        self.assertNotIn(b'9', sock.sent.partition(b'Content-Length')[2])
        self.assertIn(b'C: z', sock.sent)


class TestSlowCallers(unittest.TestCase):
    """Slow callers are bounded in bytes and time."""

    def test_pending_bytes_follow_what_the_socket_takes(self) -> None:
        """The owner sees how far the caller is behind."""
        bench = PortHarness()
        sock = bench.connect()
        bench.receive(sock, REQUEST)
        exchange = bench.served[0]
        exchange.start(200, {}, 100)
        sock.room = 0
        exchange.send(b'x' * 100)
        before = exchange.pending_bytes
        bench.drain(sock, 60)

        self.assertEqual((before, exchange.pending_bytes), (100, 40))

    def test_caller_that_stops_reading_is_cut(self) -> None:
        """The owner is told, and the cut is visible."""
        bench = PortHarness(stall_timeout_s=5)
        sock = bench.connect()
        bench.receive(sock, REQUEST)
        exchange = bench.served[0]
        sock.room = 0
        exchange.start(200, {})
        bench.pass_time(6)

        self.assertTrue(exchange.stalled and exchange.closed)
        self.assertEqual(bench.transport.ended, ['reset'])

    def test_caller_that_reads_the_last_bytes_in_drips_is_cut(self) -> None:
        """A finished answer has one stall time to leave, not one a byte."""
        bench = PortHarness(stall_timeout_s=5)
        sock = bench.connect()
        bench.receive(sock, REQUEST)
        sock.room = 0
        bench.served[0].reply(200, b'x' * 100)
        for _ in range(3):
            bench.pass_time(2)
            bench.drain(sock, 1)

        self.assertEqual(bench.transport.ended, ['reset'])

    def test_slow_head_and_body_are_answered_with_a_timeout(self) -> None:
        """Each part of a request has its own time."""
        bench = PortHarness(head_timeout_s=5, body_timeout_s=9)
        socks = [bench.connect(), bench.connect()]
        bench.receive(socks[0], REQUEST[:9])
        bench.receive(socks[1], REQUEST[:-1])
        bench.pass_time(6)
        early = [b'408' in sock.sent for sock in socks]
        bench.pass_time(4)

        self.assertEqual(early, [True, False])
        self.assertIn(b'408', socks[1].sent)

    def test_idle_connection_is_closed_with_a_true_word(self) -> None:
        """A request that crosses the close is answered as not run."""
        bench = PortHarness(idle_timeout_s=5)
        sock = bench.connect()
        bench.pass_time(6)
        bench.receive(sock, REQUEST)
        bench.pass_time(3)

        self.assertIn(b'"run": "not_run"', sock.sent)
        self.assertEqual(bench.served, [])
        self.assertEqual(bench.transport.ended, ['closed'])

    def test_connections_are_bounded(self) -> None:
        """One too many is refused and did not run."""
        bench = PortHarness(connections=1)
        bench.connect()
        sock = bench.connect()

        self.assertIn(b'503', sock.sent)
        self.assertIn(b'"run": "not_run"', sock.sent)

    def test_input_is_counted_and_given_back(self) -> None:
        """The body counts until its answer has ended."""
        bench = PortHarness()
        sock = bench.connect()
        bench.receive(sock, REQUEST)
        held = bench.ledger.held_bytes
        bench.served[0].reply(200, b'')

        self.assertEqual((held, bench.ledger.held_bytes), (46, 0))

    def test_input_beyond_the_total_is_refused(self) -> None:
        """Nothing is held that was not reserved."""
        bench = PortHarness(memory_bytes=20)
        sock = bench.connect()
        bench.receive(sock, REQUEST[:-1])

        self.assertIn(b'503', sock.sent)
        self.assertEqual(bench.ledger.held_bytes, 0)

    def test_pipelined_flood_pauses_reading(self) -> None:
        """A caller that sends on while it is answered is not read."""
        bench = PortHarness(head_bytes=100)
        sock = bench.connect()
        bench.receive(sock, REQUEST * 5)
        bench.served[0].reply(200, b'')

        self.assertEqual(bench.transport.ended, ['paused', 'resumed', 'paused'])
