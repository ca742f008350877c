"""A second attempt beside one whose upstream is silent."""

from collections.abc import Awaitable, Callable
from typing import final

from bramleylug.cluster.upstreams import Upstream
from bramleylug.outcomes import Outcome
from bramleylug.relay.attempt import Attempt


@final
class SecondAttempt:
    """Takes over from a silent upstream when its own answer begins.

    Until then the first attempt goes on, and may be answered first. It has a
    slot of its upstream from the start.

    :param send: sends the request; returns how the attempt ended, or ``None``
        when an answer has begun that can be forwarded.
    :param on_end: called once if it does not take over, with its outcome;
        ``None`` if it was discarded.
    """

    def __init__(
        self,
        attempt: Attempt,
        upstream: Upstream,
        send: Callable[[], Awaitable[Outcome | None]],
        on_end: Callable[[Outcome | None], None],
    ) -> None:
        self.attempt = attempt
        self.upstream = upstream
        self.send = send
        self.on_end = on_end
        self.ended = False

    async def prepare(self) -> bool:
        """Return whether its answer has begun and can be forwarded."""
        outcome = await self.send()
        if outcome is not None:
            self._end(outcome)
        return outcome is None

    def discard(self) -> None:
        """Close its connection unless it has ended."""
        if not self.ended:
            self.attempt.close()
            self._end(None)

    def _end(self, outcome: Outcome | None) -> None:
        self.ended = True
        self.on_end(outcome)
