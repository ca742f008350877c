"""Tests of upstreams from which nothing is received."""

import asyncio

from unittest.mock import patch

from loguru import logger

from testing.relay.scripted_engines import (
    LAST_CHUNK,
    OK_HEAD,
    RecordingExchange,
    ScriptedEngine,
    event,
)
from testing.relay.test_relay import RelayCase


class SilentUpstreamCase(RelayCase):
    """Base of tests in which an upstream is silent after 0.2 s."""

    def setUp(self) -> None:
        """Let a single slow stream look for another engine after 0.6 s."""
        for name, value in (
            ('QUIET_LIMIT_S', 0.2),
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
