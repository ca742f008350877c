"""Since when the store has been answering, as far as other processes know."""

from typing import final


@final
class StoreContact:
    """Tells an outage of the store from a process that reads it late.

    While the store answers some process, what another one reads late may have
    been written long ago. Only a time in which none heard of the store shows
    that nothing can have been read earlier.

    :param max_silence_s: longest time between two answers of the store, over
        all processes, without an outage.
    :ivar heard_s: when another process heard of the store last.
    :ivar answering_since_s: end of the last outage; minus infinity before the
        first.
    """

    def __init__(self, max_silence_s: float) -> None:
        self.max_silence_s = max_silence_s
        self.heard_s = float('-inf')
        self.answering_since_s = float('-inf')

    def record_heard(self, at_s: float) -> None:
        """Record that another process heard of the store."""
        if at_s <= self.heard_s:
            return
        self.answering_since_s = self.since_s(at_s)
        self.heard_s = at_s

    def since_s(self, now_s: float) -> float:
        """Return since when the store answers, given an answer of it now."""
        if now_s - self.heard_s > self.max_silence_s:
            return now_s
        return self.answering_since_s
