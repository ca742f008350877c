"""Tests of upstreams from which nothing is received."""

import asyncio
import unittest

from unittest.mock import Mock, patch

from loguru import logger

from bramleylug.cluster.heartbeats import relay_heartbeat
from bramleylug.cluster.route_table import RetryPolicy
from bramleylug.relay.relay import timeouts_of
from bramleylug.relay.silence import HedgedReader, Silence
from testing.relay.builders import build_route
from testing.relay.scripted_engines import (
    LAST_CHUNK,
    OK_HEAD,
    RecordingExchange,
    ScriptedEngine,
    complete_answer,
    event,
)
from testing.relay.test_relay import RelayCase

# The answer to a request on a connection with an earlier one names it.
OK_HEAD_WITH_ID = OK_HEAD.replace(b'X-Sig', b'X-Id: request-1\r\nX-Sig')
WHOLE_STREAM = [OK_HEAD, event(1), LAST_CHUNK]
WHOLE_STREAM_WITH_ID = [OK_HEAD_WITH_ID, event(1), LAST_CHUNK]


class SilentUpstreamCase(RelayCase):
    """Base of tests in which an upstream is silent after 0.2 s."""

    def setUp(self) -> None:
        """Let a single slow stream look for another engine after 0.6 s."""
        for name, value in (
            ('QUIET_LIMIT_S', 0.2),
            ('QUIET_STREAM_S', 0.2),
            ('STREAM_FIRST_EVENT_S', 0.6),
            ('STREAM_IDLE_S', 0.6),
        ):
            patched = patch(f'bramleylug.relay.relay.{name}', value)
            patched.start()
            self.addCleanup(patched.stop)

    def record_logs(self):
        """Return a list of the events that are logged from now on."""
        lines: list[str] = []
        token = logger.add(
            lambda message: lines.append(message.record['extra']['event']),
            level='DEBUG',
        )
        self.addCleanup(logger.remove, token)
        return lines


class TestObservation(SilentUpstreamCase):
    """The log tells since when an upstream was silent."""

    async def test_silence_and_its_end_are_logged(self) -> None:
        """No other engine is registered."""
        lines = self.record_logs()

        await self.serve(
            ScriptedEngine([OK_HEAD, event(1), 0.4, event(2), LAST_CHUNK])
        )

        silences = [line for line in lines if line in {'BL2013', 'BL2014'}]
        self.assertEqual(silences, ['BL2013', 'BL2014'])

    async def test_slow_stream_of_an_engine_that_sends_is_not_logged(
        self,
    ) -> None:
        """Another stream of the same engine goes on."""
        lines = self.record_logs()
        slow = [0.4, OK_HEAD, event(1), LAST_CHUNK]
        steady = [OK_HEAD, event(1), 0.1, event(2), 0.1, event(3), 0.1]
        steady += [event(4), 0.1, event(5), LAST_CHUNK]
        first = asyncio.create_task(self.serve(ScriptedEngine(steady, slow)))
        await asyncio.sleep(0.02)

        await self.relay.serve(RecordingExchange())
        await first

        self.assertNotIn('BL2013', lines)

    async def test_wait_without_another_engine_is_logged_once(self) -> None:
        """It is looked for several times."""
        lines = self.record_logs()

        await self.serve(ScriptedEngine([1.2, OK_HEAD, event(1), LAST_CHUNK]))

        self.assertEqual(lines.count('BL2015'), 1)


class TestStoppedEngine(SilentUpstreamCase):
    """An engine stands still with its host for longer than callers wait."""

    async def serve_another(self, done=None, name=''):
        """Serve one more request of the same relay."""
        exchange = RecordingExchange()
        await self.relay.serve(exchange)
        if done is not None:
            done.append(name)
        return exchange

    async def test_second_wave_of_requests_is_not_sent_to_it(self) -> None:
        """Slots of callers that had left it counted as free."""
        self.spend_retry_budget()
        await self.serve(
            ScriptedEngine([30.0], [30.0]),
            ScriptedEngine(WHOLE_STREAM),
            loads=(0, 50),
            disconnect_after_s=0.5,
        )

        exchange = await asyncio.wait_for(self.serve_another(), 5)

        self.assertEqual(exchange.ended, 'whole')
        self.assertEqual(self.arrivals(), [1, 1])

    async def test_slot_of_a_caller_that_left_is_not_told_as_free(self) -> None:
        """Relays that have no request there sent theirs to it."""
        self.spend_retry_budget()

        await self.serve(ScriptedEngine([30.0]), disconnect_after_s=0.5)

        heartbeat = relay_heartbeat(
            'relay-1',
            1,
            self.relay.view.upstreams,
            self.relay.view.suspects,
            self.relay.clock(),
            draining=False,
        )
        self.assertEqual([one.running for one in heartbeat.counts], [1])

    async def test_its_requests_do_not_starve_behind_new_ones(self) -> None:
        """New requests took each slot of the other engine that was freed."""
        done: list[str] = []
        slow = [OK_HEAD_WITH_ID, event(1), 0.1, event(2), 0.1, event(3), 0.1]
        slow += [event(4), 0.1, event(5), 0.1, LAST_CHUNK]
        stopped = asyncio.create_task(
            self.serve(
                ScriptedEngine([30.0]),
                ScriptedEngine(slow, slow, slow),
                loads=(0, 99),
                objective_s=4.0,
            )
        )
        stopped.add_done_callback(lambda _: done.append('stopped'))
        await asyncio.sleep(0.02)
        self.report_load(0, 99)
        others = [
            asyncio.create_task(self.serve_another(done, name))
            for name in ('running', 'new')
        ]

        exchange = await asyncio.wait_for(stopped, 5)
        await asyncio.gather(*others)

        self.assertEqual(exchange.ended, 'whole')
        self.assertEqual(done, ['running', 'stopped', 'new'])

    async def test_its_requests_move_before_those_of_a_slow_engine(
        self,
    ) -> None:
        """Another engine was looked for too late for the caller."""
        with patch('bramleylug.relay.relay.STREAM_FIRST_EVENT_S', 10.0):
            exchange = await self.serve(
                ScriptedEngine([30.0]),
                ScriptedEngine(WHOLE_STREAM),
                disconnect_after_s=1.5,
            )

        self.assertEqual(exchange.ended, 'whole')
        self.assertEqual(self.arrivals(), [1, 1])

    async def test_request_that_may_run_once_stays_there(self) -> None:
        """New ones go to another engine all the same."""
        answer = complete_answer(b'booked')
        serving = asyncio.create_task(
            self.serve(
                ScriptedEngine([0.8, answer]),
                ScriptedEngine(answer),
                loads=(0, 50),
                retry_policy=RetryPolicy.never,
                streamed=False,
                objective_s=0.05,
            )
        )
        await asyncio.sleep(0.5)

        exchanges = [await self.serve_another(), await serving]

        self.assertEqual([one.status for one in exchanges], [200, 200])
        self.assertEqual(self.arrivals(), [1, 1])

    async def test_answer_that_comes_with_the_slot_is_forwarded(self) -> None:
        """The slot is given back."""
        self.relay = self.build_relay(build_route())
        reader = HedgedReader(self.relay.clock)
        hedge = Mock()
        reader.hedge = Mock(return_value=hedge)
        reader.watch = Mock()
        reader.queue_move = Mock()
        silence = Silence(0.0, look_s=0.0, quiet_limit_s=0.1, check_s=0.0)
        input_came = asyncio.Event()

        async def read():
            await input_came.wait()
            return b'event'

        reading = asyncio.create_task(reader.read(read, silence))
        await asyncio.sleep(0.05)
        input_came.set()
        taken = reader.queue_move.call_args.args[1]()

        self.assertEqual((taken, await reading), (True, b'event'))
        hedge.discard.assert_called_once_with()


class TestResumedEngine(SilentUpstreamCase):
    """A silent engine that goes on is used again."""

    async def test_engine_that_is_heard_again_gets_requests(self) -> None:
        """The other engine is busier."""
        self.spend_retry_budget()
        await self.serve(
            ScriptedEngine([0.5, *WHOLE_STREAM], WHOLE_STREAM_WITH_ID),
            ScriptedEngine(WHOLE_STREAM),
            loads=(0, 99),
        )
        exchange = RecordingExchange()

        await self.relay.serve(exchange)

        self.assertEqual(exchange.ended, 'whole')
        self.assertEqual(self.arrivals(), [2, 0])


class TestQuietLimits(unittest.TestCase):
    """How long a request waits before its upstream counts as silent."""

    def limits(self, silence):
        return silence.quiet_limit_s, silence.check_s, silence.may_move

    def test_streams(self) -> None:
        """One that has begun gets events in quick succession."""
        timeouts = timeouts_of(build_route())

        self.assertEqual(
            self.limits(timeouts.before_start(10.0)), (1.0, 10.5, True)
        )
        self.assertEqual(
            self.limits(timeouts.after_event(10.0)), (0.5, 10.5, True)
        )

    def test_request_that_may_run_once(self) -> None:
        """It takes longer on a slow service, and never moves."""
        for objective_s, limit_s in ((0.1, 1.0), (0.5, 1.5)):
            route = build_route(
                retry_policy=RetryPolicy.never,
                streamed=False,
                objective_s=objective_s,
            )

            silence = timeouts_of(route).before_start(10.0)

            self.assertEqual(
                self.limits(silence), (limit_s, 10.0 + limit_s, False)
            )

    def test_idempotent_request(self) -> None:
        """It moves before its upstream counts as silent."""
        route = build_route(retry_policy=RetryPolicy.always, objective_s=0.2)

        silence = timeouts_of(route).before_start(10.0)

        self.assertEqual(self.limits(silence), (1.0, 11.0, True))
        self.assertAlmostEqual(silence.look_s, 10.6)
