"""Tests of serving a request by trying agents."""

import asyncio
import json
import unittest
from typing import Any

from bramleylug.entry.answers import AnswerWriter
from testing.entry.models import BOOKINGS, MODEL, ModelEntry


def error_of(answer: bytes) -> dict[str, Any]:
    """Return the JSON of an error answer."""
    return dict(json.loads(answer.partition(b'\r\n\r\n')[2]))


class TestOutcomes(unittest.TestCase):
    """Callers learn the truth."""

    def setUp(self) -> None:
        """Start with one agent."""
        self.entry = ModelEntry(('zone-a',))
        self.agent = self.entry.agents['agent-0']

    def test_lost_call_is_unknown(self) -> None:
        """A connection that broke may have brought the request."""
        self.agent.behaviour = 'lose before'
        answer = self.entry.send(BOOKINGS, 'r')

        self.assertEqual(error_of(answer)['run'], 'unknown')
        self.assertIn(b'Retry-After: 1', answer)

    def test_unreachable_agent_is_not_run(self) -> None:
        """No connection, no byte."""
        self.agent.behaviour = 'unreachable'
        error = error_of(self.entry.send(BOOKINGS, 'r'))

        self.assertEqual(
            (error['run'], error['code']), ('not_run', 'connection_failed')
        )

    def test_refusal_without_another_address_names_a_time(self) -> None:
        """A caller that came back at once would find the same."""
        self.agent.behaviour = 'refuse'
        answer = self.entry.send(BOOKINGS, 'r')

        self.assertIn(b'Retry-After: 1\r\n', answer)
        self.assertEqual(error_of(answer)['retry_after_s'], 1)

    def test_bad_headers_are_refused(self) -> None:
        """Nothing raises, nothing runs."""
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
        self.assertEqual(self.agent.asked, [])

    def test_unknown_service_is_not_found(self) -> None:
        """Its status is 404."""
        self.assertTrue(
            self.entry.send('none%2f', 'r').startswith(b'HTTP/1.1 404')
        )

    def test_request_id_and_deadline_reach_the_agent(self) -> None:
        """The deadline is the time that is left."""
        self.entry.send(MODEL, 'r', {'X-Deadline-Ms': '1500'})
        asked = self.agent.asked[0]

        self.assertEqual((asked.request_id, asked.deadline_ms), ('r', 1500))

    def test_agent_has_time_to_tell_that_a_request_did_not_run(self) -> None:
        """The call ends a little after the agent's own deadline."""
        self.entry.send(MODEL, 'r', {'X-Deadline-Ms': '1500'})

        self.assertEqual(self.agent.timeouts, [1.7])

    def test_broken_answers_never_pass_as_whole(self) -> None:
        """Each is reset after what was sent of it."""
        for behaviour in ('cut', 'long', 'silent end'):
            self.agent.behaviour = behaviour
            self.entry.send(MODEL, 'r')

        self.assertEqual(self.entry.port.transport.ended, ['reset'] * 3)

    def test_answers_broken_before_their_body_are_errors(self) -> None:
        """Nothing was sent, so that the caller can be told."""
        for behaviour in ('short', 'twice', 'broken'):
            self.agent.behaviour = behaviour
            answer = self.entry.send(MODEL, 'r')
            self.assertTrue(answer.startswith(b'HTTP/1.1 502'))
            self.assertIn(error_of(answer)['run'], {'ran', 'unknown'})


class TestRetries(unittest.TestCase):
    """A second agent is asked where that is safe."""

    def setUp(self) -> None:
        """Start with a near agent that fails and a far one that serves."""
        self.entry = ModelEntry(('zone-a', 'zone-b', 'zone-b'))
        self.entry.agents['agent-2'].behaviour = 'unreachable'
        self.near = self.entry.agents['agent-0']
        self.far = self.entry.agents['agent-1']

    def test_refusal_is_tried_elsewhere(self) -> None:
        """Also for a service that runs once."""
        self.near.behaviour = 'refuse'
        answer = self.entry.send(BOOKINGS, 'r', {'Idempotency-Key': 'k'})

        self.assertTrue(answer.endswith(b'\r\n\r\nr'))

    def test_unknown_is_tried_elsewhere_only_without_a_key(self) -> None:
        """And only for an idempotent service."""
        self.near.behaviour = 'lose'
        headers = {'Idempotency-Key': 'k'}
        for request_id, service, extra in (
            ('plain', MODEL, {}),
            ('keyed', MODEL, headers),
            ('once', BOOKINGS, {}),
        ):
            self.entry.now_s += 10
            self.entry.send(service, request_id, extra)

        self.assertEqual(self.entry.runs, {'plain': 2, 'keyed': 1, 'once': 1})

    def test_refusal_after_an_unknown_try_is_no_not_run(self) -> None:
        """The first agent may have run it."""
        self.near.behaviour = 'lose'
        self.far.behaviour = 'refuse'
        error = error_of(self.entry.send(MODEL, 'r'))

        self.assertEqual(
            (error['run'], error['code']), ('unknown', 'connection_failed')
        )

    def test_request_that_crashes_upstreams_is_tried_twice_at_most(
        self,
    ) -> None:
        """The second agent learns of the first crash."""
        for each in self.entry.agents.values():
            each.behaviour = 'crash'
        self.entry.send(MODEL, 'r')

        self.assertEqual(
            [agent.asked[0].crashes for agent in (self.near, self.far)], [0, 1]
        )
        self.assertEqual(self.entry.runs['r'], 2)

    def test_time_spent_is_taken_from_the_deadline(self) -> None:
        """The second agent gets what is left."""
        self.near.behaviour = 'refuse'
        parts = self.near.parts

        def refuse_late(request: Any) -> list[Any]:
            self.entry.now_s += 0.25
            return parts(request)

        self.near.parts = refuse_late  # type: ignore[method-assign]
        self.entry.send(MODEL, 'r', {'X-Deadline-Ms': '1000'})

        self.assertEqual(self.far.asked[0].deadline_ms, 750)

    def test_no_try_after_the_deadline(self) -> None:
        """The first refusal is the answer, at once."""
        self.near.behaviour = 'refuse'
        self.near.parts = self._late_refusal()  # type: ignore[method-assign]
        answer = self.entry.send(MODEL, 'r', {'X-Deadline-Ms': '1000'})

        self.assertEqual(error_of(answer)['run'], 'not_run')
        self.assertEqual(self.far.asked, [])

    def _late_refusal(self) -> Any:
        parts = self.near.parts

        def refuse(request: Any) -> list[Any]:
            self.entry.now_s += 2
            return parts(request)

        return refuse


class TestCallers(unittest.TestCase):
    """A caller that is slow or gone holds nothing up."""

    def test_stream_is_not_read_while_the_caller_is_behind(self) -> None:
        """And it is cancelled when the caller has gone."""
        entry = ModelEntry(('zone-a',))
        sock, exchange = entry.accept(MODEL, 'r' * 60, {})
        sock.room = 0

        async def play() -> tuple[int, bool]:
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

        self.assertEqual(asyncio.run(play()), (20, True))
