"""State of one peer in a transfer: its holdings, failures and pauses."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import NamedTuple, final

from bramleylug.weights.limits import DEFAULT_LIMITS, TransferLimits

EXCHANGE_INTERVAL_S = 0.1
BUSY_PAUSE_S = 0.2
BUSY_PAUSE_LIMIT_S = 1.0
CORRUPT_PAUSE_S = 60.0
MAX_DOUBLINGS = 8


@final
@unique
class FailureReason(Enum):
    """Why a fetch failed."""

    busy = 'busy'
    not_held = 'not_held'
    unreachable = 'unreachable'
    stalled = 'stalled'
    corrupt = 'corrupt'


class Holdings(NamedTuple):
    """What a peer reports of its transfer of one version.

    :ivar chunks: set of the chunks it holds.
    :ivar home_bytes: bytes it has fetched as a home; they grow while it
        makes progress.
    :ivar origin_chunks: set of the chunks that it is reading from the origin.
    :ivar origin_heard_s: when bytes of the origin last arrived there.
    """

    chunks: int
    home_bytes: int = 0
    free_upload_slots: int = 1
    origin_chunks: int = 0
    origin_heard_s: float = float('-inf')


@final
@dataclass(slots=True)
class Peer:
    """What this host knows of one peer.

    :ivar home_progress_s: when its fetches as a home last made progress.
    :ivar added_s: since when it is a peer.
    :ivar origin_chunks: set of the chunks that it is reading from the origin.
    :ivar in_flight: fetches from it that have not ended.
    :ivar exchanged_s: when an exchange of holdings with it last began.
    :ivar exchanges_without_gain: exchanges in a row that brought no new
        chunks.
    :ivar sent_home_bytes: bytes fetched as a home that this host last
        reported to it.
    :ivar refusals: fetches it refused in a row for lack of upload slots.
    :ivar failures: fetches and exchanges in a row that it did not answer.
    :ivar avoid_until_s: earliest time of the next request to it.
    """

    name: str
    region: str
    home_progress_s: float
    added_s: float = float('-inf')
    chunks: int = 0
    origin_chunks: int = 0
    home_bytes: int = 0
    free_upload_slots: int = 1
    in_flight: int = 0
    holdings_known: bool = False
    exchanged_s: float = float('-inf')
    exchanges_without_gain: int = 0
    sent_home_bytes: int = 0
    refusals: int = 0
    failures: int = 0
    avoid_until_s: float = float('-inf')
    limits: TransferLimits = DEFAULT_LIMITS

    def update(self, holdings: Holdings, now_s: float) -> bool:
        """Record its holdings.

        :returns: whether it holds chunks that it was not known to hold.
        """
        gained = bool(holdings.chunks & ~self.chunks)
        if holdings.home_bytes != self.home_bytes:
            self.home_bytes = holdings.home_bytes
            self.home_progress_s = now_s
        self.exchanges_without_gain = (
            0 if gained else self.exchanges_without_gain + 1
        )
        self.chunks = holdings.chunks
        self.origin_chunks = holdings.origin_chunks
        self.free_upload_slots = holdings.free_upload_slots
        self.holdings_known = True
        self.failures = 0
        return gained

    def record_failure(
        self, reason: FailureReason, index: int, now_s: float
    ) -> None:
        """Record that a fetch from it failed, and avoid it for a while."""
        match reason:
            case FailureReason.busy:
                pause_s = _backoff(
                    BUSY_PAUSE_S, self.refusals, BUSY_PAUSE_LIMIT_S
                )
                self.refusals += 1
                self.free_upload_slots = 0
            case FailureReason.not_held:
                self.chunks &= ~(1 << index)
                pause_s = 0.0
            case FailureReason.corrupt:
                self.chunks &= ~(1 << index)
                pause_s = CORRUPT_PAUSE_S
            case FailureReason.unreachable | FailureReason.stalled:
                pause_s = _backoff(
                    self.limits.peer_backoff_s,
                    self.failures,
                    self.limits.peer_backoff_max_s,
                )
                self.failures += 1
        self.avoid_until_s = max(self.avoid_until_s, now_s + pause_s)

    def serves_soon(self, now_s: float) -> bool:
        """Return whether it serves chunks now, or is only too busy to."""
        pause_s = self.avoid_until_s - now_s
        is_busy = self.refusals > 0 and not self.failures
        return pause_s <= 0 or (is_busy and pause_s <= BUSY_PAUSE_LIMIT_S)

    def record_success(self) -> None:
        self.refusals = 0
        self.failures = 0

    def may_exchange(
        self, now_s: float, *, starved: bool, home_bytes: int
    ) -> bool:
        """Return whether holdings may be exchanged with it now.

        :param starved: whether this host could run more fetches than it
            does.
        :param home_bytes: bytes this host has fetched as a home; progress
            is reported to the peer without delay, so that it does not take
            over.
        """
        interval_s = self.limits.exchange_interval_max_s
        if home_bytes > self.sent_home_bytes:
            interval_s = EXCHANGE_INTERVAL_S
        elif starved or not self.holdings_known:
            interval_s = _backoff(
                EXCHANGE_INTERVAL_S,
                self.exchanges_without_gain,
                self.limits.exchange_interval_max_s,
            )
        return (
            self.avoid_until_s <= now_s
            and now_s - self.exchanged_s >= interval_s
        )


def _backoff(base_s: float, times: int, limit_s: float) -> float:
    factor = 1 << min(times, MAX_DOUBLINGS)
    return min(limit_s, base_s * factor)
