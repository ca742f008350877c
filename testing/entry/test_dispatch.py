"""Tests of dispatching requests to agents, with retries."""

import asyncio
import json
import unittest
from threading import Event, Thread
from typing import Any

from loguru import logger

from bramleylug.entry.answers import AnswerWriter
from bramleylug.entry.dispatch import DispatchLoop
from bramleylug.web.exchange import Exchange
from testing.entry.models import BOOKINGS, MODEL, ModelEntry
from testing.web.ports import REQUEST, PortHarness

TIMEOUT_S = 5.0


def error_of(answer: bytes) -> dict[str, Any]:
    return dict(json.loads(answer.partition(b'\r\n\r\n')[2]))


class TestOutcomes(unittest.TestCase):
    """The reported outcome is never wrong about whether a request ran."""

    def setUp(self) -> None:
        self.entry = ModelEntry(('zone-a',))
        self.agent = self.entry.agents['agent-0']

    def test_lost_connection_is_unknown(self) -> None:
        """The agent may have received the request before."""
        self.agent.behaviour = 'lose before'
        answer = self.entry.send(BOOKINGS, 'r')

        self.assertEqual(error_of(answer)['run'], 'unknown')
        self.assertIn(b'Retry-After: 1', answer)

    def test_unreachable_agent_is_not_run(self) -> None:
        """Without a connection nothing was sent."""
        self.agent.behaviour = 'unreachable'
        error = error_of(self.entry.send(BOOKINGS, 'r'))

        self.assertEqual(
            (error['run'], error['code']), ('not_run', 'connection_failed')
        )

    def test_refusal_without_another_address_has_a_retry_time(self) -> None:
        """An immediate retry would be refused again."""
        self.agent.behaviour = 'refuse'
        answer = self.entry.send(BOOKINGS, 'r')

        self.assertIn(b'Retry-After: 1\r\n', answer)
        self.assertEqual(error_of(answer)['retry_after_s'], 1)

    def test_invalid_headers_are_refused(self) -> None:
        cases = (
            {'X-Deadline-Ms': 'soon'},
            {'X-Deadline-Ms': '-1'},
            {'X-Priority': '1e9'},
            {'Idempotency-Key': 'k' * 257},
        )
        errors = [
            error_of(self.entry.send(MODEL, 'r', headers)) for headers in cases
        ]

        self.assertEqual(
            {(error['code'], error['run']) for error in errors},
            {('bad_request', 'not_run')},
        )
        self.assertEqual(self.agent.requests, [])

    def test_unknown_service_is_not_found(self) -> None:
        self.assertTrue(
            self.entry.send('none%2f', 'r').startswith(b'HTTP/1.1 404')
        )

    def test_request_id_and_deadline_reach_the_agent(self) -> None:
        self.entry.send(MODEL, 'r', {'X-Deadline-Ms': '1500'})
        received = self.agent.requests[0]

        self.assertEqual(
            (received.request_id, received.deadline_ms), ('r', 1500)
        )

    def test_call_outlasts_the_deadline_of_the_agent(self) -> None:
        """The agent's refusal at its deadline still arrives."""
        self.entry.send(MODEL, 'r', {'X-Deadline-Ms': '1500'})

        self.assertEqual(self.agent.timeouts, [1.7])

    def test_truncated_answers_are_reset(self) -> None:
        """A caller never takes one for a complete answer."""
        for behaviour in ('cut', 'long', 'silent end'):
            self.agent.behaviour = behaviour
            self.entry.send(MODEL, 'r')

        self.assertEqual(self.entry.port.transport.events, ['reset'] * 3)

    def test_failure_before_the_body_is_an_error_answer(self) -> None:
        """Nothing was sent yet, so that an error can be sent instead."""
        for behaviour in ('short', 'twice', 'broken'):
            self.agent.behaviour = behaviour
            answer = self.entry.send(MODEL, 'r')
            self.assertTrue(answer.startswith(b'HTTP/1.1 502'))
            self.assertIn(error_of(answer)['run'], {'ran', 'unknown'})


class TestRetries(unittest.TestCase):
    """Another agent is tried if that is safe."""

    def setUp(self) -> None:
        """Start with agents in the entry's zone and in another one."""
        self.entry = ModelEntry(('zone-a', 'zone-b', 'zone-b'))
        self.entry.agents['agent-2'].behaviour = 'unreachable'
        self.local = self.entry.agents['agent-0']
        self.remote = self.entry.agents['agent-1']

    def test_refusal_is_retried_at_another_agent(self) -> None:
        """Also for a non-idempotent service with a key."""
        self.local.behaviour = 'refuse'
        answer = self.entry.send(BOOKINGS, 'r', {'Idempotency-Key': 'k'})

        self.assertTrue(answer.endswith(b'\r\n\r\nr'))

    def test_unknown_is_retried_only_without_a_key(self) -> None:
        """And only if the service is idempotent."""
        self.local.behaviour = 'lose'
        headers = {'Idempotency-Key': 'k'}
        for request_id, service, extra in (
            ('plain', MODEL, {}),
            ('keyed', MODEL, headers),
            ('once', BOOKINGS, {}),
        ):
            self.entry.now_s += 10
            self.entry.send(service, request_id, extra)

        self.assertEqual(self.entry.runs, {'plain': 2, 'keyed': 1, 'once': 1})

    def test_refusal_after_an_unknown_attempt_stays_unknown(self) -> None:
        """The first agent may have run the request."""
        self.local.behaviour = 'lose'
        self.remote.behaviour = 'refuse'
        error = error_of(self.entry.send(MODEL, 'r'))

        self.assertEqual(
            (error['run'], error['code']), ('unknown', 'connection_failed')
        )

    def test_crashing_request_is_attempted_twice_at_most(self) -> None:
        """The second agent is told of the first crash."""
        for crashing in self.entry.agents.values():
            crashing.behaviour = 'crash'
        self.entry.send(MODEL, 'r')

        self.assertEqual(
            [agent.requests[0].crashes for agent in (self.local, self.remote)],
            [0, 1],
        )
        self.assertEqual(self.entry.runs['r'], 2)

    def test_retry_gets_the_remaining_time(self) -> None:
        self.local.behaviour = 'refuse'
        parts = self.local.parts

        def refuse_late(request: Any) -> list[Any]:
            self.entry.now_s += 0.25
            return parts(request)

        self.local.parts = refuse_late  # type: ignore[method-assign]
        self.entry.send(MODEL, 'r', {'X-Deadline-Ms': '1000'})

        self.assertEqual(self.remote.requests[0].deadline_ms, 750)

    def test_no_attempt_after_the_deadline(self) -> None:
        """The first refusal is answered at once."""
        self.local.behaviour = 'refuse'
        self.local.parts = self._late_refusal()  # type: ignore[method-assign]
        answer = self.entry.send(MODEL, 'r', {'X-Deadline-Ms': '1000'})

        self.assertEqual(error_of(answer)['run'], 'not_run')
        self.assertEqual(self.remote.requests, [])

    def _late_refusal(self) -> Any:
        parts = self.local.parts

        def refuse(request: Any) -> list[Any]:
            self.entry.now_s += 2
            return parts(request)

        return refuse


class TestCallers(unittest.TestCase):
    """Flow control towards slow and disconnected callers."""

    def test_write_blocks_until_the_caller_reads_or_disconnects(self) -> None:
        """A blocked write ends when the caller disconnects."""
        entry = ModelEntry(('zone-a',))
        sock, exchange = entry.accept(MODEL, 'r' * 60, {})
        sock.capacity = 0

        async def write_and_disconnect() -> tuple[int, bool]:
            writer = AnswerWriter(exchange, 10)
            exchange.start(200, {})
            writing = asyncio.ensure_future(writer.write(b'x' * 20))
            await asyncio.sleep(0)
            pending = exchange.pending_bytes
            waiting = not writing.done()
            entry.port.transport.drop(sock)  # type: ignore[arg-type]
            entry.port.port.disconnected(sock)  # type: ignore[arg-type]
            await writing
            return pending, waiting and writer.caller_disconnected

        self.assertEqual(asyncio.run(write_and_disconnect()), (20, True))


class FailingDispatcher:
    """A dispatcher of which every call fails."""

    async def close_stale_channels(self) -> None:
        """Do nothing."""

    async def serve(self, exchange: Exchange, _reservation: object) -> None:
        raise ValueError(exchange.path)

    async def serve_ticket(self, exchange: Exchange) -> None:
        raise ValueError(exchange.path)


class TestFailures(unittest.TestCase):
    """A failure leaves no caller without an answer."""

    def setUp(self) -> None:
        """Start a loop; collect the log."""
        self.lines: list[str] = []
        self.logged = Event()
        sink = logger.add(self.collect, format='{message}')
        self.addCleanup(logger.remove, sink)
        build: Any = FailingDispatcher
        self.loop: Any = DispatchLoop(build)
        thread = Thread(target=self.loop.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, TIMEOUT_S)
        self.addCleanup(self.loop.stop)
        self.harness = PortHarness()
        self.sock = self.harness.connect()
        self.harness.receive(self.sock, REQUEST)

    def collect(self, line: str) -> None:
        """Record a line of the log."""
        self.lines.append(line)
        self.logged.set()

    def test_failed_request_is_answered_and_logged(self) -> None:
        """The caller waited for ever, and nothing was logged."""
        self.loop.submit(self.harness.served[0], None)

        self.assertTrue(self.logged.wait(TIMEOUT_S))
        self.assertIn('BL5004', self.lines[0])
        self.assertIn(b' 502 ', self.sock.sent)

    def test_failed_request_for_a_ticket_is_answered_and_logged(self) -> None:
        """The caller waited for ever, and nothing was logged."""
        self.loop.submit_ticket(self.harness.served[0])

        self.assertTrue(self.logged.wait(TIMEOUT_S))
        self.assertIn('BL5004', self.lines[0])
        self.assertIn(b' 502 ', self.sock.sent)
