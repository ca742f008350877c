"""What a transfer's planner decides."""

from dataclasses import dataclass
from typing import final

from bramleylug.weights.in_flight import Fetch


@final
@dataclass(frozen=True, slots=True)
class ExchangeHoldings:
    """Ask a peer what it holds."""

    peer: str


@final
@dataclass(frozen=True, slots=True)
class CancelFetch:
    """Cancel a fetch that makes no progress; its failure is still fed in."""

    index: int


@final
@dataclass(frozen=True, slots=True)
class ReportCorruptOrigin:
    """Tell operators that the origin serves a corrupt chunk."""

    index: int


Action = Fetch | ExchangeHoldings | CancelFetch | ReportCorruptOrigin
