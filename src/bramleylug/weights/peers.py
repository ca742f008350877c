"""What a host knows of one peer during a transfer."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import NamedTuple, final

from bramleylug.weights.limits import DEFAULT_LIMITS, TransferLimits

ASK_INTERVAL_S = 0.1
BUSY_PAUSE_S = 0.2
BUSY_PAUSE_LIMIT_S = 1.0
BLAME_S = 60.0
DOUBLINGS_LIMIT = 8


@final
@unique
class FailureReason(Enum):
    """Why a chunk did not arrive."""

    busy = 'busy'
    not_held = 'not_held'
    unreachable = 'unreachable'
    stalled = 'stalled'
    corrupt = 'corrupt'


class Holdings(NamedTuple):
    """What a peer tells about its transfer of one version.

    :ivar chunks: set of the chunks it holds.
    :ivar home_bytes: bytes it has brought into its region as a home.
    """

    chunks: int
    home_bytes: int = 0
    free_upload_slots: int = 1


@final
@dataclass(slots=True)
class Peer:
    """View of one peer.

    :ivar duty_s: when its duty as a home last made progress.
    :ivar avoid_until_s: nothing is asked of it before.
    """

    name: str
    region: str
    duty_s: float
    chunks: int = 0
    home_bytes: int = 0
    free_upload_slots: int = 1
    in_flight: int = 0
    heard: bool = False
    asked_s: float = float('-inf')
    asks_without_news: int = 0
    sent_home_bytes: int = 0
    refusals: int = 0
    failures: int = 0
    avoid_until_s: float = float('-inf')
    limits: TransferLimits = DEFAULT_LIMITS

    def update(self, holdings: Holdings, now_s: float) -> bool:
        """Take in what it tells.

        :returns: whether it holds more than was known.
        """
        news = bool(holdings.chunks & ~self.chunks)
        if holdings.home_bytes != self.home_bytes:
            self.home_bytes = holdings.home_bytes
            self.duty_s = now_s
        self.asks_without_news = 0 if news else self.asks_without_news + 1
        self.chunks = holdings.chunks
        self.free_upload_slots = holdings.free_upload_slots
        self.heard = True
        self.failures = 0
        return news

    def record_failure(
        self, fault: FailureReason, index: int, now_s: float
    ) -> None:
        """Note that a fetch from it failed."""
        match fault:
            case FailureReason.busy:
                pause_s = _doubled(
                    BUSY_PAUSE_S, self.refusals, BUSY_PAUSE_LIMIT_S
                )
                self.refusals += 1
                self.free_upload_slots = 0
            case FailureReason.not_held:
                self.chunks &= ~(1 << index)
                pause_s = 0.0
            case FailureReason.corrupt:
                self.chunks &= ~(1 << index)
                pause_s = BLAME_S
            case FailureReason.unreachable | FailureReason.stalled:
                pause_s = _doubled(
                    self.limits.peer_backoff_s,
                    self.failures,
                    self.limits.peer_backoff_max_s,
                )
                self.failures += 1
        self.avoid_until_s = max(self.avoid_until_s, now_s + pause_s)

    def record_success(self) -> None:
        """Note that a fetch from it succeeded."""
        self.refusals = 0
        self.failures = 0

    def may_be_asked(
        self, now_s: float, *, starved: bool, home_bytes: int
    ) -> bool:
        """Tell whether holdings may be exchanged with it.

        :param starved: this host has places for more fetches.
        :param home_bytes: what this host has brought in as a home; when it
            has grown, the peer is told without delay.
        """
        interval_s = self.limits.exchange_interval_max_s
        if home_bytes > self.sent_home_bytes:
            interval_s = ASK_INTERVAL_S
        elif starved or not self.heard:
            interval_s = _doubled(
                ASK_INTERVAL_S,
                self.asks_without_news,
                self.limits.exchange_interval_max_s,
            )
        return (
            self.avoid_until_s <= now_s and now_s - self.asked_s >= interval_s
        )


def _doubled(base_s: float, times: int, limit_s: float) -> float:
    factor = 1 << min(times, DOUBLINGS_LIMIT)
    return min(limit_s, base_s * factor)
