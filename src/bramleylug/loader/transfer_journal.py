"""Log lines of one transfer: how far it is, and whether the origin answers."""

from collections.abc import Iterable
from typing import final

from bramleylug.observability.events import LogEvent, emit
from bramleylug.weights.chunk_sets import all_chunks
from bramleylug.weights.planner import Planner
from bramleylug.weights.sources import held_by_any

INTERVAL_S = 2.0
# The origin counts as away when that lasts: single reads fail beside others.
NOTICED_S = 0.5
# Chunks that a line names at most.
MAX_NAMED = 16
MILLISECONDS = 1000


@final
class TransferJournal:
    """Logs the state of a transfer at an interval, and changes of the origin.

    :param weights: name of the version in log lines.
    :ivar due_s: when the next line on its progress is due.
    :ivar away_since_s: since when the origin does not answer, as logged;
        ``None`` while it does.
    """

    def __init__(self, weights: str, now_s: float) -> None:
        self.weights = weights
        self.due_s = now_s + INTERVAL_S
        self.away_since_s: float | None = None

    def record(self, planner: Planner, now_s: float) -> None:
        """Log what has changed or is due; called with each plan."""
        self._record_origin(planner, now_s)
        if now_s < self.due_s:
            return
        self.due_s = now_s + INTERVAL_S
        others = 0
        for peer in planner.peers.values():
            others |= peer.origin_chunks
        held = planner.held
        emit(
            LogEvent.transfer_progress,
            weights=self.weights,
            held=held.bit_count(),
            count=planner.count,
            known=(held_by_any(planner.peers.values()) | held).bit_count(),
            reading=_named(planner.fetches.origin_chunks),
            others=_named(others),
            missing=_named(all_chunks(planner.count) & ~held),
        )

    def _record_origin(self, planner: Planner, now_s: float) -> None:
        origin = planner.origin
        missing = planner.count - planner.held.bit_count()
        away_since_s = origin.away_since_s
        if self.away_since_s is not None and away_since_s is None:
            is_own = origin.own_heard_s >= origin.heard_s
            emit(
                LogEvent.origin_back,
                weights=self.weights,
                missing=missing,
                away_ms=round((now_s - self.away_since_s) * MILLISECONDS),
                noticed_by='this loader' if is_own else 'another one',
            )
            self.away_since_s = None
        elif self.away_since_s is None and away_since_s is not None:
            if now_s - away_since_s < NOTICED_S:
                return
            emit(LogEvent.origin_away, weights=self.weights, missing=missing)
            self.away_since_s = away_since_s


def _named(chunks: int) -> list[int]:
    """Return the first indices of a set of chunks."""
    return list(_first(chunks))[:MAX_NAMED]


def _first(chunks: int) -> Iterable[int]:
    while chunks:
        lowest = chunks & -chunks
        yield lowest.bit_length() - 1
        chunks ^= lowest
