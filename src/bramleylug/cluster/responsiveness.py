"""Whether anything is received from an upstream that has requests."""

from dataclasses import dataclass
from typing import NamedTuple, final

# After the last request of this process has left a silent upstream, another
# one is sent there: nothing else could show that it has gone on.
PROBE_DELAY_S = 2.0


class HeardAgain(NamedTuple):
    """The end of an upstream's silence.

    :ivar silent_s: how long nothing had been received from it.
    """

    silent_s: float


@final
@dataclass(slots=True)
class Responsiveness:
    """When one incarnation of an upstream was last heard.

    An upstream is silent when a request has waited there longer than it
    should and nothing at all was received from it in that time, on any
    connection of this process.

    :ivar heard_s: when anything was last received.
    :ivar silent_since_s: when its silence began; ``None`` unless it is silent.
    :ivar abandoned: requests that were ended since; it showed no sign that it
        noticed.
    :ivar probe_s: when another request may be sent if none of this process is
        there, and the slots of those that left may be free.
    """

    heard_s: float = float('-inf')
    silent_since_s: float | None = None
    abandoned: int = 0
    probe_s: float = float('-inf')

    @property
    def silent(self) -> bool:
        """Whether nothing is received from it although requests wait."""
        return self.silent_since_s is not None

    def quiet_s(self, waits_since_s: float, now_s: float) -> float:
        """Return how long a request has waited with nothing received."""
        return now_s - max(self.heard_s, waits_since_s)

    def record_silence(self, waits_since_s: float) -> bool:
        """Record that a request has waited too long with nothing received.

        :returns: whether that is new.
        """
        if self.silent:
            return False
        self.silent_since_s = max(self.heard_s, waits_since_s)
        return True

    def record_heard(self, now_s: float) -> HeardAgain | None:
        """Record received bytes; return the silence that they end."""
        self.heard_s = now_s
        since_s = self.silent_since_s
        if since_s is None:
            return None
        self.silent_since_s = None
        self.abandoned = 0
        return HeardAgain(now_s - since_s)

    def record_ended(self, now_s: float) -> None:
        """Record that a request that was sent there has ended."""
        if self.silent:
            self.abandoned = self.abandoned_running(now_s) + 1
            self.probe_s = now_s + PROBE_DELAY_S

    def abandoned_running(self, now_s: float) -> int:
        """Return how many ended requests it may still take for running."""
        return self.abandoned if self.silent and now_s < self.probe_s else 0

    def is_avoided(self, running: int, now_s: float) -> bool:
        """Return whether it gets no new request.

        :param running: requests of this process that it has.
        """
        return self.silent and (running > 0 or now_s < self.probe_s)
