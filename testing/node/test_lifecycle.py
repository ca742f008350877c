"""Tests of the graceful stop of a daemon."""

import unittest

from bramleylug.node.lifecycle import IDLE_CHECKS, DaemonRunner


class ScriptedDaemon:
    """Daemon that becomes idle as scripted and records the calls.

    :param idle: answers of ``is_idle``; the last one is repeated.
    """

    def __init__(self, idle: list[bool]) -> None:
        self.idle = idle
        self.calls: list[str] = []

    def open(self) -> None:
        self.calls.append('open')

    def close(self) -> None:
        self.calls.append('close')

    def start_draining(self) -> None:
        self.calls.append('start_draining')

    def is_idle(self) -> bool:
        answer = self.idle[0] if len(self.idle) == 1 else self.idle.pop(0)
        self.calls.append('idle' if answer else 'busy')
        return answer

    def run(self) -> None:
        self.calls.append('run')

    def stop(self) -> None:
        self.calls.append('stop')


class TestPlannedStop(unittest.TestCase):
    """A planned stop interrupts no request."""

    def test_stop_waits_until_the_daemon_stays_idle(self) -> None:
        """A request that arrives after an idle moment is still finished."""
        daemon = ScriptedDaemon([False, True, False, True])

        DaemonRunner(daemon, 'd', sleep=lambda _: None).drain_and_stop()

        self.assertEqual(
            daemon.calls,
            [
                'start_draining',
                'busy',
                'idle',
                'busy',
                *['idle'] * IDLE_CHECKS,
                'close',
                'stop',
            ],
        )

    def test_second_stop_does_nothing(self) -> None:
        """The daemon is closed and stopped once."""
        daemon = ScriptedDaemon([True])
        runner = DaemonRunner(daemon, 'd', sleep=lambda _: None)
        runner.stop()
        runner.stop()

        self.assertEqual(daemon.calls, ['close', 'stop'])
