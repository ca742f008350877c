"""Resends that wait for the result of another try."""

from collections.abc import Callable
from typing import NamedTuple, final

from bramleylug.claims.actions import ClaimRequest

FOLLOW_S = 2.0


class Follower(NamedTuple):
    """One waiting resend.

    :ivar until_s: steady seconds when it is told what is known.
    """

    ask: ClaimRequest
    until_s: float


@final
class Followers:
    """Waiting resends of one shard, in order of arrival."""

    def __init__(self) -> None:
        self.waiting: list[Follower] = []

    def __bool__(self) -> bool:
        """Tell whether any resend waits."""
        return bool(self.waiting)

    def add(self, ask: ClaimRequest, now_s: float) -> None:
        """Let a resend wait for a bounded time."""
        until_s = min(ask.give_up_s, now_s + FOLLOW_S)
        self.waiting.append(Follower(ask, until_s))

    def take_key(self, key: bytes) -> list[ClaimRequest]:
        """Return and drop those that wait for a key."""
        return self._take(lambda one: one.ask.key == key)

    def take_late(self, now_s: float) -> list[ClaimRequest]:
        """Return and drop those whose time is over."""
        return self._take(lambda one: one.until_s <= now_s)

    def take_all(self) -> list[Follower]:
        """Return and drop all."""
        taken = self.waiting
        self.waiting = []
        return taken

    def _take(self, chosen: Callable[[Follower], bool]) -> list[ClaimRequest]:
        taken = [one.ask for one in self.waiting if chosen(one)]
        self.waiting = [one for one in self.waiting if not chosen(one)]
        return taken
