"""Running a daemon until it is asked to stop, and stopping it as planned."""

import signal
import time
from collections.abc import Callable
from threading import Event, Lock, Thread
from types import FrameType
from typing import Any, Protocol, final

from bramleylug.observability.events import LogEvent, emit

IDLE_POLL_S = 0.05
IDLE_CHECKS = 4
SPREAD_S = 1.5
JOIN_S = 5.0


class Daemon(Protocol):
    """What a daemon offers to be run."""

    def open(self) -> None:
        """Start all work beside the circuits loop."""

    def close(self) -> None:
        """Stop all work beside the circuits loop."""

    def start_draining(self) -> None:
        """Take no new work from now on."""

    def is_idle(self) -> bool:
        """Tell whether every request has ended and its answer has left."""

    def run(self) -> Any:
        """Run the circuits loop."""

    def stop(self) -> Any:
        """Stop the circuits loop."""


@final
class DaemonRunner:
    """Runs one daemon in a thread and stops it as planned.

    :param name: name of the instance, for log lines.
    :param sleep: waits for seconds.
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
        self.asked_to_stop = Event()
        self.lock = Lock()
        self.stopped = False

    def run(self) -> None:
        """Run until SIGTERM or SIGINT, then finish what runs."""
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        self.start()
        self.asked_to_stop.wait()
        self.drain_and_stop()

    def start(self) -> None:
        """Run in a thread of its own."""
        self.daemon.open()
        self.thread = Thread(target=self.daemon.run, daemon=True)
        self.thread.start()

    def drain_and_stop(self) -> None:
        """Stop as planned: refuse new work, finish what runs, end.

        Callers that connect while the news spreads are still answered with
        a refusal that names other addresses.
        """
        emit(LogEvent.planned_stop, name=self.name)
        self.daemon.start_draining()
        self.sleep(SPREAD_S)
        quiet = 0
        while quiet < IDLE_CHECKS:
            quiet = quiet + 1 if self.daemon.is_idle() else 0
            self.sleep(IDLE_POLL_S)
        self.stop()
        emit(LogEvent.stopped, name=self.name)

    def stop(self) -> None:
        """Stop at once; a second call does nothing."""
        with self.lock:
            if self.stopped:
                return
            self.stopped = True
        self.daemon.close()
        self.daemon.stop()
        if self.thread is not None:
            self.thread.join(JOIN_S)

    def _on_signal(self, signo: int, frame: FrameType | None) -> None:
        self.asked_to_stop.set()
