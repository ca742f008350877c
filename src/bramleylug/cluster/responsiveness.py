"""Whether anything is received from an upstream that has requests."""

from dataclasses import dataclass
from typing import NamedTuple, final


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
    """

    heard_s: float = float('-inf')
    silent_since_s: float | None = None

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
        return HeardAgain(now_s - since_s)
