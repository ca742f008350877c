"""Runs a daemon until a stop signal and then stops it gracefully."""

import signal
import socket
import time
from collections.abc import Callable
from threading import Lock, Thread
from types import FrameType
from typing import Any, Protocol, final

from bramleylug.observability.events import LogEvent, emit

IDLE_POLL_S = 0.05
# Consecutive checks that must find the daemon idle: a request may still
# arrive after the first.
IDLE_CHECKS = 4
DRAIN_ANNOUNCEMENT_S = 1.5
JOIN_TIMEOUT_S = 5.0
STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))
SIGNAL_READ_BYTES = 64


class Daemon(Protocol):
    """Interface of a daemon that :class:`DaemonRunner` runs."""

    def open(self) -> None:
        """Start all work outside the circuits loop."""

    def close(self) -> None:
        """Stop all work outside the circuits loop."""

    def start_draining(self) -> None:
        """Refuse new requests from now on."""

    def is_idle(self) -> bool:
        """Return whether every request has ended and its answer was sent."""

    def run(self) -> Any:
        """Run the circuits loop."""

    def stop(self) -> Any:
        """Stop the circuits loop."""


@final
class StopSignals:
    """Lets the main thread wait for a signal to stop.

    The kernel may give a signal to any thread. It writes the number of the
    signal to a socket, which the main thread reads: a wait for a lock would
    go on until the main thread itself is interrupted.
    """

    def __init__(self) -> None:
        reader, writer = socket.socketpair()
        writer.setblocking(False)  # noqa: FBT003
        self.reader = reader
        self.writer = writer

    def __enter__(self) -> 'StopSignals':
        for signo in STOP_SIGNALS:
            signal.signal(signo, _ignore_signal)
        signal.set_wakeup_fd(self.writer.fileno())
        return self

    def __exit__(self, *raised: object) -> None:
        signal.set_wakeup_fd(-1)
        self.reader.close()
        self.writer.close()

    def wait(self) -> None:
        """Block until the process gets SIGTERM or SIGINT."""
        received = b''
        while STOP_SIGNALS.isdisjoint(received):
            received = self.reader.recv(SIGNAL_READ_BYTES)


@final
class DaemonRunner:
    """Runs a daemon in a thread and stops it gracefully.

    :param name: name of the instance, for log lines.
    :param sleep: waits for a number of seconds.
    """

    def __init__(
        self,
        daemon: Daemon,
        name: str,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.daemon = daemon
        self.name = name
        self.sleep = sleep
        self.thread: Thread | None = None
        self.lock = Lock()
        self.stopped = False

    def run(self) -> None:
        """Run until SIGTERM or SIGINT, then drain and stop."""
        with StopSignals() as stop_signals:
            self.start()
            stop_signals.wait()
            self.drain_and_stop()

    def start(self) -> None:
        """Start the daemon in a thread of its own."""
        self.daemon.open()
        self.thread = Thread(target=self.daemon.run, daemon=True)
        self.thread.start()

    def drain_and_stop(self) -> None:
        """Refuse new requests, finish the running ones, then stop.

        Until the announcement has spread, callers that still connect are
        answered with a refusal that contains other addresses.
        """
        emit(LogEvent.planned_stop, name=self.name)
        self.daemon.start_draining()
        self.sleep(DRAIN_ANNOUNCEMENT_S)
        idle_checks = 0
        while idle_checks < IDLE_CHECKS:
            idle_checks = idle_checks + 1 if self.daemon.is_idle() else 0
            self.sleep(IDLE_POLL_S)
        self.stop()
        emit(LogEvent.stopped, name=self.name)

    def stop(self) -> None:
        """Stop without draining; a second call has no effect."""
        with self.lock:
            if self.stopped:
                return
            self.stopped = True
        self.daemon.close()
        self.daemon.stop()
        if self.thread is not None:
            self.thread.join(JOIN_TIMEOUT_S)


def _ignore_signal(signo: int, frame: FrameType | None) -> None:
    """Do nothing: the wakeup descriptor has the signal's number."""
