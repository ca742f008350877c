"""Running a daemon until it is asked to stop, and stopping it planned."""

import signal
import time
from threading import Thread
from types import FrameType
from typing import Any, Protocol, final

QUIET_POLL_S = 0.05
SPREAD_S = 1.0


class Daemon(Protocol):
    """What a daemon offers to be run."""

    def open(self) -> None:
        """Start all work beside the circuits loop."""

    def close(self) -> None:
        """Stop all work beside the circuits loop."""

    def begin_leaving(self) -> None:
        """Take no new work from now on."""

    def is_quiet(self) -> bool:
        """Tell whether every request has ended."""

    def run(self) -> Any:
        """Run the circuits loop."""

    def stop(self) -> Any:
        """Stop the circuits loop."""


@final
class DaemonRunner:
    """Runs one daemon in the main thread or in one of its own."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        self.thread: Thread | None = None

    def run(self) -> None:
        """Run until SIGTERM or SIGINT, then finish what runs."""
        self.start()
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        while self.thread is not None and self.thread.is_alive():
            self.thread.join(1)

    def start(self) -> None:
        """Run in a thread of its own."""
        self.daemon.open()
        self.thread = Thread(target=self.daemon.run, daemon=True)
        self.thread.start()

    def leave(self) -> None:
        """Stop as planned: refuse new work, finish what runs, end."""
        self.daemon.begin_leaving()
        time.sleep(SPREAD_S)
        while not self.daemon.is_quiet():
            time.sleep(QUIET_POLL_S)
        self.stop()

    def stop(self) -> None:
        """Stop at once."""
        self.daemon.close()
        self.daemon.stop()

    def _on_signal(self, signo: int, frame: FrameType | None) -> None:
        Thread(target=self.leave, daemon=True).start()
