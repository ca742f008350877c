"""Threads that send requests in the background until they are stopped."""

from collections.abc import Callable, Iterable
from threading import Event, Thread


class CallerThreads:
    """Runs each target in a thread of its own, to be ended with ``join``.

    :param targets: functions that return soon after ``stopping`` is set.
    """

    def __init__(self, targets: Iterable[Callable[[], None]]) -> None:
        self.stopping = Event()
        self.threads = [
            Thread(target=target, daemon=True) for target in targets
        ]

    def start(self) -> None:
        for thread in self.threads:
            thread.start()

    def join(self) -> None:
        """Set ``stopping`` and wait until all threads have ended."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()
