"""Actions that the planner of a transfer returns."""

from dataclasses import dataclass
from typing import final

from bramleylug.weights.in_flight import Fetch


@final
@dataclass(frozen=True, slots=True)
class ExchangeHoldings:
    """Send this host's holdings to a peer and request the peer's."""

    peer: str


@final
@dataclass(frozen=True, slots=True)
class CancelFetch:
    """Cancel a stalled fetch; its failure must still be recorded."""

    index: int


@final
@dataclass(frozen=True, slots=True)
class ReportCorruptOrigin:
    """Report to operators that the origin serves a corrupt chunk."""

    index: int


Action = Fetch | ExchangeHoldings | CancelFetch | ReportCorruptOrigin
