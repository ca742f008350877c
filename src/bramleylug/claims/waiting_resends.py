"""Resends that wait for the result of another attempt."""

from collections.abc import Callable
from typing import NamedTuple, final

from bramleylug.claims.actions import ClaimRequest

MAX_WAIT_S = 2.0


class WaitingResend(NamedTuple):
    """A resend that waits for a result.

    :ivar until_s: monotonic time at which it is answered without one.
    """

    claim_request: ClaimRequest
    until_s: float


@final
class WaitingResends:
    """Waiting resends of one shard, in order of arrival."""

    def __init__(self) -> None:
        self.waiting: list[WaitingResend] = []

    def __bool__(self) -> bool:
        return bool(self.waiting)

    def add(self, claim_request: ClaimRequest, now_s: float) -> None:
        """Add a resend; it waits for at most ``MAX_WAIT_S``."""
        until_s = min(claim_request.wait_until_s, now_s + MAX_WAIT_S)
        self.waiting.append(WaitingResend(claim_request, until_s))

    def pop_for_key(self, key: bytes) -> list[ClaimRequest]:
        """Remove and return the resends that wait for a key."""
        return self._take(lambda one: one.claim_request.key == key)

    def pop_expired(self, now_s: float) -> list[ClaimRequest]:
        """Remove and return the resends that have waited long enough."""
        return self._take(lambda one: one.until_s <= now_s)

    def pop_all(self) -> list[WaitingResend]:
        """Remove and return all resends."""
        taken = self.waiting
        self.waiting = []
        return taken

    def _take(
        self, chosen: Callable[[WaitingResend], bool]
    ) -> list[ClaimRequest]:
        taken = [one.claim_request for one in self.waiting if chosen(one)]
        self.waiting = [one for one in self.waiting if not chosen(one)]
        return taken
