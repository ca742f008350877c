"""What an entry knows of the upstreams' load, and how old it is."""

import math
from collections import Counter
from typing import NamedTuple, final

REPORT_HALF_LIFE_S = 1.0
MIN_AVOIDANCE_S = 0.05
MAX_AVOIDANCE_S = 5.0
UNREACHABLE_AVOIDANCE_S = 0.5
RAMP_DURATION_S = 5.0
MIN_RAMP_SHARE = 0.1
REPORT_RETENTION_S = 300.0
MAX_REFUSALS = 4096


class LoadReport(NamedTuple):
    """Load that an agent told of.

    :ivar others: requests there that this entry did not send.
    :ivar limit: requests it takes at once; 0 when it did not say.
    """

    other_requests: int
    limit: int
    received_s: float


class Avoidance(NamedTuple):
    """Until when an agent is not to be asked, and how often in a row."""

    until_s: float
    failures: int


@final
class LoadTracker:
    """Loads of all upstreams, estimated from own counts and old news.

    :ivar in_flight: requests this entry has running, by agent.
    :ivar avoided: agents that did not answer.
    :ivar full: until when an agent refuses a workspace.
    """

    def __init__(self) -> None:
        self.in_flight: Counter[str] = Counter()
        self.reports: dict[str, LoadReport] = {}
        self.avoidances: dict[str, Avoidance] = {}
        self.refusing_until_s: dict[tuple[str, str], float] = {}

    def record_start(self, name: str) -> None:
        """Note that a request was sent to an agent."""
        self.in_flight[name] += 1

    def record_end(self, name: str) -> None:
        """Note that a request to an agent has ended."""
        self.in_flight[name] -= 1
        if self.in_flight[name] <= 0:
            del self.in_flight[name]

    def record_report(
        self, name: str, requests: int, limit: int, now_s: float
    ) -> None:
        """Take in the load that rode on a reply.

        :param waiting: requests running and queued at the agent.
        """
        other_requests = max(0, requests - self.in_flight[name])
        self.reports[name] = LoadReport(other_requests, limit, now_s)

    def estimate(self, name: str, now_s: float) -> float:
        """Return the requests an agent has now, as far as is known.

        Own requests are the floor; what others had there counts for less
        the older the news is. Without news nothing is guessed for others.
        """
        own = self.in_flight.get(name, 0)
        report = self.reports.get(name)
        if report is None:
            return own
        halvings = (now_s - report.received_s) / REPORT_HALF_LIFE_S
        return own + report.other_requests * math.exp2(-halvings)

    def limit(self, name: str, advertised_limit: int, now_s: float) -> int:
        """Return the requests an agent takes at once.

        :param told: limit in the membership record, which may be older.
        """
        report = self.reports.get(name)
        if report is None or not report.limit:
            return max(1, advertised_limit)
        if advertised_limit and now_s - report.received_s > REPORT_HALF_LIFE_S:
            return advertised_limit
        return report.limit

    def record_refusal(
        self,
        name: str,
        retry_after_s: float,
        now_s: float,
        workspace: str = '',
    ) -> None:
        """Avoid an agent for as long as it asked for.

        It holds for the refused workspace alone: a full agent still takes
        requests of workspaces that hold less there.
        """
        wait_s = min(MAX_AVOIDANCE_S, max(MIN_AVOIDANCE_S, retry_after_s))
        if len(self.refusing_until_s) >= MAX_REFUSALS:
            self.refusing_until_s = {
                key: until_s
                for key, until_s in self.refusing_until_s.items()
                if until_s > now_s
            }
        self.refusing_until_s[name, workspace] = now_s + wait_s

    def record_unreachable(self, name: str, now_s: float) -> None:
        """Avoid an agent that did not answer, longer each time in a row."""
        previous = self.avoidances.get(name)
        failures = 1 if previous is None else previous.failures + 1
        wait_s = min(
            MAX_AVOIDANCE_S, UNREACHABLE_AVOIDANCE_S * 2 ** (failures - 1)
        )
        self.avoidances[name] = Avoidance(now_s + wait_s, failures)

    def record_success(self, name: str, workspace: str = '') -> None:
        """Note that an agent serves."""
        self.avoidances.pop(name, None)
        self.refusing_until_s.pop((name, workspace), None)

    def avoidance_s(
        self, name: str, now_s: float, workspace: str = ''
    ) -> float:
        """Return the seconds for which an agent is still to be avoided."""
        until_s = self.refusing_until_s.get((name, workspace), now_s)
        avoidance = self.avoidances.get(name)
        if avoidance is not None:
            until_s = max(until_s, avoidance.until_s)
        return max(0, until_s - now_s)

    def remove_departed(self, names: frozenset[str], now_s: float) -> None:
        """Drop what is known of agents that are gone for long."""
        for name, report in tuple(self.reports.items()):
            if (
                name not in names
                and now_s - report.received_s > REPORT_RETENTION_S
            ):
                self.reports.pop(name)
                self.avoidances.pop(name, None)


@final
class ZoneRamp:
    """Share of its limit that a zone gets after it was taken back in."""

    def __init__(self) -> None:
        self.zones_out: frozenset[str] = frozenset()
        self.returned_s: dict[str, float] = {}

    def update(self, zones_out: frozenset[str], now_s: float) -> None:
        """Note which zones are out."""
        for zone in self.zones_out - zones_out:
            self.returned_s[zone] = now_s
        for zone in zones_out:
            self.returned_s.pop(zone, None)
        self.zones_out = zones_out

    def share(self, zone: str, now_s: float) -> float:
        """Return the share, from :data:`RAMP_LEAST` to 1."""
        returned_s = self.returned_s.get(zone)
        if returned_s is None:
            return 1.0
        elapsed = (now_s - returned_s) / RAMP_DURATION_S
        if elapsed >= 1:
            self.returned_s.pop(zone)
            return 1.0
        return max(MIN_RAMP_SHARE, elapsed)
