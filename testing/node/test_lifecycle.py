"""Tests of the planned stop."""

import unittest

from bramleylug.node.lifecycle import IDLE_CHECKS, DaemonRunner


class ScriptedDaemon:
    """Daemon that becomes quiet as scripted and notes what is asked.

    :param quiet: answers of ``is_idle``, the last one for good.
    """

    def __init__(self, quiet: list[bool]) -> None:
        """Start with nothing asked."""
        self.quiet = quiet
        self.asked: list[str] = []

    def open(self) -> None:
        """Note the call."""
        self.asked.append('open')

    def close(self) -> None:
        """Note the call."""
        self.asked.append('close')

    def start_draining(self) -> None:
        """Note the call."""
        self.asked.append('start_draining')

    def is_idle(self) -> bool:
        """Answer as scripted."""
        answer = self.quiet[0] if len(self.quiet) == 1 else self.quiet.pop(0)
        self.asked.append('quiet' if answer else 'busy')
        return answer

    def run(self) -> None:
        """Note the call."""
        self.asked.append('run')

    def stop(self) -> None:
        """Note the call."""
        self.asked.append('stop')


class TestPlannedStop(unittest.TestCase):
    """A planned stop cuts no request."""

    def test_stop_waits_for_lasting_quiet(self) -> None:
        """A request that comes in a quiet moment is still finished."""
        daemon = ScriptedDaemon([False, True, False, True])

        DaemonRunner(daemon, 'd', sleep=lambda _: None).drain_and_stop()

        self.assertEqual(
            daemon.asked,
            [
                'start_draining',
                'busy',
                'quiet',
                'busy',
                *['quiet'] * IDLE_CHECKS,
                'close',
                'stop',
            ],
        )

    def test_second_stop_does_nothing(self) -> None:
        """Stopping is done once."""
        daemon = ScriptedDaemon([True])
        runner = DaemonRunner(daemon, 'd', sleep=lambda _: None)
        runner.stop()
        runner.stop()

        self.assertEqual(daemon.asked, ['close', 'stop'])
