"""Tests of engines that stop inside the head of an answer and close."""

from itertools import chain, product
from typing import Any

from bramleylug.cluster.route_table import RetryPolicy
from testing.relay.scripted_engines import (
    WHOLE_ANSWER,
    OK_HEAD,
    RESET,
    UNFRAMED_HEAD,
    RecordingExchange,
    ScriptedEngine,
    complete_answer,
    event,
)
from testing.relay.test_relay import RelayCase

EMPTY = complete_answer(b'', headers=b'X-Id: request-1\r\n')
NO_CONTENT = b'HTTP/1.1 204 X\r\nX-Signature: s\r\nX-Id: request-1\r\n\r\n'
HEADS = (
    WHOLE_ANSWER.partition(b'\r\n\r\n')[0] + b'\r\n\r\n',
    EMPTY,
    NO_CONTENT,
    OK_HEAD,
    UNFRAMED_HEAD,
)
# Pause in a head, after which the engine closes late.
SILENT_S = 0.02


def cuts(head: bytes) -> list[bytes]:
    """Return the head cut after every seventh byte, and near its end."""
    lengths = {*range(0, len(head), 7), *range(len(head) - 5, len(head))}
    return [head[:length] for length in sorted(lengths)]


ALL_CUTS = tuple(chain.from_iterable(map(cuts, HEADS)))


class TestCutHeads(RelayCase):
    """No part of an answer is taken for a whole one."""

    async def assert_failed(self, *answers: Any) -> None:
        """Have the last of some answers on one connection cut."""
        engine = ScriptedEngine(*answers)
        exchange = await self.serve(
            engine, streamed=False, retry_policy=RetryPolicy.never
        )
        for _ in answers[1:]:
            exchange = RecordingExchange()
            await self.relay.serve(exchange)
        await engine.close()

        self.assertEqual((exchange.status, exchange.ended), (502, 'own'))
        self.assertEqual(exchange.headers_sent['X-Run'], 'unknown')

    async def test_silence_in_the_head_and_a_late_close(self) -> None:
        for cut, end in product(ALL_CUTS, (None, RESET)):
            with self.subTest(cut=cut, end=end):
                await self.assert_failed([cut, SILENT_S, end])

    async def test_kept_connection_with_an_earlier_answer(self) -> None:
        for cut in ALL_CUTS:
            with self.subTest(cut=cut):
                await self.assert_failed(WHOLE_ANSWER, [cut, None])

    async def test_second_engine_of_a_broken_stream(self) -> None:
        """The stream is cut, and does not end as complete."""
        first = [OK_HEAD, event(1), None]
        for cut in ALL_CUTS:
            with self.subTest(cut=cut):
                exchange = await self.serve(
                    ScriptedEngine(first), ScriptedEngine([cut, None])
                )
                self.assertEqual(exchange.ended, 'cut')
                self.assertEqual(self.arrivals(), [1, 1])

    async def test_whole_answer_of_another_engine_replaces_it(self) -> None:
        for cut in cuts(HEADS[0]):
            with self.subTest(cut=cut):
                exchange = await self.serve(
                    ScriptedEngine([cut, None]),
                    ScriptedEngine(WHOLE_ANSWER),
                    streamed=False,
                    retry_policy=RetryPolicy.always,
                )
                self.assertEqual(exchange.sent, b'whole')
                self.assertEqual(exchange.ended, 'whole')
