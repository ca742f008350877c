"""The revision in force in this process, which only ever rises."""

from collections.abc import Callable
from threading import Lock
from typing import final

from bramleylug.configuration.document import Document


@final
class ConfigurationHolder:
    """Keeps the accepted document; safe to use from any thread.

    :ivar document: the document in force; immutable, replaced as a whole.
    :ivar since_s: when it came in force, in seconds of the clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.lock = Lock()
        self.document = Document()
        self.since_s = 0.0
        self.on_change: list[Callable[[Document], None]] = []

    @property
    def trustworthy(self) -> bool:
        """Whether any accepted revision has been seen."""
        return self.document.revision > 0

    def offer(self, document: Document) -> bool:
        """Apply a document when its revision is higher.

        :returns: whether it came in force.
        """
        with self.lock:
            if document.revision <= self.document.revision:
                return False
            self.document = document
            self.since_s = self.clock()
        for listener in self.on_change:
            listener(document)
        return True
