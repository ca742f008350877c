"""Tests of signals that a daemon gets from its platform."""

import signal
import subprocess  # noqa: S404
import sys
import time
import unittest

# Whether a signal is lost depends on the thread that the kernel gives it to.
CHILD_COUNT = 16
EXIT_TIMEOUT_S = 10.0
PROGRAM = """
import time
from bramleylug.node.lifecycle import DaemonRunner
from testing.node.test_lifecycle import ScriptedDaemon

daemon = ScriptedDaemon([True])
daemon.run = lambda: [time.sleep(0.001) for _ in range(30000)]
runner = DaemonRunner(daemon, 'd', sleep=lambda _: None)
print('runs', flush=True)
runner.run()
"""


def start_daemon() -> subprocess.Popen[bytes]:
    """Return a process with a daemon that waits for a signal to stop."""
    child = subprocess.Popen(  # noqa: S603
        [sys.executable, '-c', PROGRAM],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    if child.stdout is not None:
        child.stdout.readline()
        child.stdout.close()
    return child


def has_ended(child: subprocess.Popen[bytes]) -> bool:
    """Return whether a process ends in time; kill it otherwise."""
    try:
        child.wait(EXIT_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        child.kill()
        child.wait()
        return False
    return True


class TestSuspendedDaemon(unittest.TestCase):
    """A daemon is told to stop while its host stands still."""

    def test_daemon_that_was_suspended_stops_as_planned(self) -> None:
        """Guards against a stop signal that another thread receives."""
        children = [start_daemon() for _ in range(CHILD_COUNT)]
        time.sleep(0.5)

        for signo in (signal.SIGSTOP, signal.SIGTERM, signal.SIGCONT):
            for child in children:
                child.send_signal(signo)
            time.sleep(0.2)

        ended = list(map(has_ended, children))
        self.assertEqual(ended.count(False), 0)
