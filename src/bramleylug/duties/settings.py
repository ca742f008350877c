"""Settings of the duties."""

from typing import NamedTuple, final

# Page about the duties, at the metrics address of a relay.
DUTIES_PATH = '/duties'


@final
class DutySettings(NamedTuple):
    """Where and when the duties of the deployment are done.

    :ivar service: address that reports and orders are sent to, ``host:port``.
    :ivar lease_s: a relay that held the duties does not hold them again within
        this time if another one has held them since.
    :ivar calls_per_s: calls that the service takes, from all relays together.
    :ivar reports_usage: whether usage is reported.
    :ivar scales: whether numbers of upstreams are ordered.
    :ivar window_s: duration of the windows of usage reports.
    :ivar late_s: time from the end of a window until its report is due.
    """

    service: str
    lease_s: float
    calls_per_s: float
    reports_usage: bool
    scales: bool
    window_s: float
    late_s: float
