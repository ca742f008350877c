"""Tests that an answer whose status is none reaches no caller."""

import asyncio

from bramleylug.cluster.route_table import RetryPolicy
from testing.relay.scripted_engines import ScriptedEngine, complete_answer
from testing.relay.test_relay import RelayCase

# HTTP has statuses from 100 to 599 (RFC 9110, 15).
ODD_STATUSES = (
    b'000',
    b'001',
    b'099',
    b'600',
    b'777',
    b'999',
    b'1000',
    b'-20',
    b'abc',
    b'',
)
SIGNATURE = b'X-Signature: s\r\n'


def odd_answer(status, signature=SIGNATURE):
    """Return an answer with a status that is none."""
    return [
        b'HTTP/1.1 %s OK\r\n%sContent-Length: 4\r\n\r\nodd\n'
        % (status, signature)
    ]


class TestOddStatuses(RelayCase):
    """An engine in trouble answers with something that is no status."""

    async def test_caller_gets_no_such_answer(self) -> None:
        """A request that may run once ends as unknown, signed or not."""
        for status in ODD_STATUSES:
            for signature in (SIGNATURE, b''):
                with self.subTest(status=status, signature=signature):
                    exchange = await self.serve(
                        ScriptedEngine(odd_answer(status, signature)),
                        ScriptedEngine(complete_answer(b'ok')),
                        retry_policy=RetryPolicy.never,
                        streamed=False,
                    )

                    self.assertEqual(exchange.status, 502)
                    self.assertNotIn(b'odd', exchange.sent)
                    self.assertEqual(self.arrivals(), [1, 0])

    async def test_request_that_may_run_again_is_tried_elsewhere(self) -> None:
        for status in ODD_STATUSES:
            with self.subTest(status=status):
                exchange = await self.serve(
                    ScriptedEngine(odd_answer(status)),
                    ScriptedEngine(complete_answer(b'ok')),
                    retry_policy=RetryPolicy.always,
                    streamed=False,
                )

                self.assertEqual((exchange.status, exchange.sent), (200, b'ok'))

    async def test_status_that_denies_a_run_is_not_believed(self) -> None:
        """What is no answer says nothing about whether the request ran."""
        exchange = await self.serve(
            ScriptedEngine(odd_answer(b'777', b'X-Not-Run: 1\r\n')),
            retry_policy=RetryPolicy.never,
            streamed=False,
        )

        self.assertEqual(exchange.status, 502)

    async def test_connection_is_closed(self) -> None:
        await self.serve(
            ScriptedEngine(odd_answer(b'777')),
            retry_policy=RetryPolicy.never,
            streamed=False,
        )

        await asyncio.wait_for(self.engines[0].closed.wait(), 0.5)
