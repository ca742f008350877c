"""Interface of the service that takes usage reports and orders."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol, final


@final
class Mandate(NamedTuple):
    """Says on whose behalf a call is made.

    :ivar token: number that is greater for each later holder.
    :ivar until_s: after this time nothing is sent, by the clock that counts
        suspension: connecting may take long, or the host be suspended.
    """

    holder: str
    token: int
    until_s: float = float('inf')


@final
class UsageReport(NamedTuple):
    """Usage of one window.

    :ivar window: number of the window; window k begins k times its duration
        after the start of 1970.
    :ivar counts: requests by workspace that began to be answered in it.
    """

    window: int
    counts: Mapping[str, int]


@final
class ScaleOrder(NamedTuple):
    """Number of upstreams that a service is to have in a zone."""

    service: str
    zone: str
    wanted: int


class CallFailed(Exception):
    """The service did not accept a call, or its answer was lost.

    :ivar answered: whether it answered at all.
    """

    def __init__(self, message: str, *, answered: bool) -> None:
        super().__init__(message)
        self.answered = answered


class DutyService(Protocol):
    """The service; a call may be repeated as it is."""

    async def report_usage(self, mandate: Mandate, report: UsageReport) -> None:
        """Send a report.

        :raises CallFailed: when it may not have been accepted.
        """

    async def order(self, mandate: Mandate, order: ScaleOrder) -> None:
        """Send an order.

        :raises CallFailed: when it may not have been accepted.
        """
