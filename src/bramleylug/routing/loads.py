"""Load of the upstreams as estimated by one entry."""

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
    """Load that an agent reported with a reply.

    :ivar other_requests: requests at the agent from other entries.
    :ivar limit: its concurrency limit; 0 when it did not report one.
    :ivar received_s: monotonic time of the report.
    """

    other_requests: int
    limit: int
    received_s: float


class Avoidance(NamedTuple):
    """Time until which an unreachable agent is avoided.

    :ivar failures: consecutive failures to reach it.
    """

    until_s: float
    failures: int


@final
class LoadTracker:
    """Estimates loads from own running requests and earlier reports.

    :ivar in_flight: running requests of this entry by agent.
    :ivar avoidances: unreachable agents.
    :ivar refusing_until_s: time until which an agent is expected to refuse
        a workspace, by agent and workspace.
    """

    def __init__(self) -> None:
        self.in_flight: Counter[str] = Counter()
        self.reports: dict[str, LoadReport] = {}
        self.avoidances: dict[str, Avoidance] = {}
        self.refusing_until_s: dict[tuple[str, str], float] = {}

    def record_start(self, name: str) -> None:
        self.in_flight[name] += 1

    def record_end(self, name: str) -> None:
        self.in_flight[name] -= 1
        if self.in_flight[name] <= 0:
            del self.in_flight[name]

    def record_report(
        self, name: str, requests: int, limit: int, now_s: float
    ) -> None:
        """Record the load that an agent reported with a reply.

        :param requests: requests running and queued at the agent.
        """
        other_requests = max(0, requests - self.in_flight[name])
        self.reports[name] = LoadReport(other_requests, limit, now_s)

    def estimate(self, name: str, now_s: float) -> float:
        """Return the estimated number of requests at an agent.

        Own running requests always count in full. Requests of other entries
        are known from the last report only and count for less with its age;
        without a report they count as none.
        """
        own = self.in_flight.get(name, 0)
        report = self.reports.get(name)
        if report is None:
            return own
        halvings = (now_s - report.received_s) / REPORT_HALF_LIFE_S
        return own + report.other_requests * math.exp2(-halvings)

    def limit(self, name: str, advertised_limit: int, now_s: float) -> int:
        """Return the concurrency limit of an agent, at least 1.

        :param advertised_limit: limit in its membership record, which may be
            older than the last report.
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
        """Avoid an agent for a workspace for the requested time.

        Other workspaces are not affected: an agent with a full queue still
        admits requests of workspaces that hold fewer requests there.
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
        """Avoid an unreachable agent, for longer with each further failure."""
        previous = self.avoidances.get(name)
        failures = 1 if previous is None else previous.failures + 1
        wait_s = min(
            MAX_AVOIDANCE_S, UNREACHABLE_AVOIDANCE_S * 2 ** (failures - 1)
        )
        self.avoidances[name] = Avoidance(now_s + wait_s, failures)

    def record_success(self, name: str, workspace: str = '') -> None:
        """Stop avoiding an agent that answered."""
        self.avoidances.pop(name, None)
        self.refusing_until_s.pop((name, workspace), None)

    def avoidance_s(
        self, name: str, now_s: float, workspace: str = ''
    ) -> float:
        """Return the remaining time for which an agent is avoided."""
        until_s = self.refusing_until_s.get((name, workspace), now_s)
        avoidance = self.avoidances.get(name)
        if avoidance is not None:
            until_s = max(until_s, avoidance.until_s)
        return max(0, until_s - now_s)

    def remove_departed(self, names: frozenset[str], now_s: float) -> None:
        """Drop the state of agents that left the membership long ago."""
        for name, report in tuple(self.reports.items()):
            if (
                name not in names
                and now_s - report.received_s > REPORT_RETENTION_S
            ):
                self.reports.pop(name)
        self.avoidances = {
            agent: avoidance
            for agent, avoidance in self.avoidances.items()
            if agent in names or now_s <= avoidance.until_s
        }
        self.refusing_until_s = {
            refusal: until_s
            for refusal, until_s in self.refusing_until_s.items()
            if refusal[0] in names or now_s <= until_s
        }


@final
class ZoneRamp:
    """Share of its limit that a zone may use after it is back in service."""

    def __init__(self) -> None:
        self.zones_out: frozenset[str] = frozenset()
        self.returned_s: dict[str, float] = {}

    def update(self, zones_out: frozenset[str], now_s: float) -> None:
        """Start the ramp of zones that are no longer out of service."""
        for zone in self.zones_out - zones_out:
            self.returned_s[zone] = now_s
        for zone in zones_out:
            self.returned_s.pop(zone, None)
        self.zones_out = zones_out

    def share(self, zone: str, now_s: float) -> float:
        """Return the share, from :data:`MIN_RAMP_SHARE` to 1."""
        returned_s = self.returned_s.get(zone)
        if returned_s is None:
            return 1.0
        elapsed = (now_s - returned_s) / RAMP_DURATION_S
        if elapsed >= 1:
            self.returned_s.pop(zone)
            return 1.0
        return max(MIN_RAMP_SHARE, elapsed)
