"""Threads that keep calling until they are told to stop."""

from collections.abc import Callable, Iterable
from threading import Event, Thread


class CallerThreads:
    """Runs each work in a thread of its own.

    :param works: each returns soon after ``stopping`` is set.
    """

    def __init__(self, works: Iterable[Callable[[], None]]) -> None:
        self.stopping = Event()
        self.threads = [Thread(target=work, daemon=True) for work in works]

    def start(self) -> None:
        """Start all callers."""
        for thread in self.threads:
            thread.start()

    def join(self) -> None:
        """Let running calls end."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()
