"""Tests of the planned stop."""

import unittest

from bramleylug.node.lifecycle import QUIET_CHECKS, DaemonRunner


class ScriptedDaemon:
    """Daemon that becomes quiet as scripted and notes what is asked.

    :param quiet: answers of ``is_quiet``, the last one for good.
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

    def begin_leaving(self) -> None:
        """Note the call."""
        self.asked.append('begin_leaving')

    def is_quiet(self) -> bool:
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

        DaemonRunner(daemon, 'd', sleep=lambda _: None).leave()

        self.assertEqual(
            daemon.asked,
            [
                'begin_leaving',
                'busy',
                'quiet',
                'busy',
                *['quiet'] * QUIET_CHECKS,
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
