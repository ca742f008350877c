"""What is known of each upstream and of what it bears."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple, final

# Share of an upstream's slots that is filled before requests wait here. Its
# own queue takes what two entries send at the same moment.
FILL_SHARE = 1.0
# What another process tells of an upstream counts for this long.
NEWS_S = 1.5
CONNECT_PAUSE_S = 0.3
CONNECT_PAUSE_MOST_S = 2.0
# Results that decide whether an upstream fails requests, and their share.
JUDGED_RESULTS = 6
FAILED_SHARE = 0.4
RESULT_WEIGHT = 0.25
EJECT_S = 2.0
DOUBLINGS = 3


class HeldWeights(NamedTuple):
    """Weights that an upstream says it serves from.

    :ivar whole: whether it holds every layer.
    """

    version: int
    whole: bool


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRecord:
    """One upstream as it registered itself.

    :ivar started_ms: start of this incarnation, wall clock of its host.
    :ivar cold_until_s: until when it is cold, on this process's clock.
    :ivar weights: held weights by model; empty where it serves no model.
    """

    upstream_id: str
    started_ms: int
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    cold_until_s: float = float('-inf')
    weights: Mapping[str, HeldWeights] = field(default_factory=dict)


class UpstreamReport(NamedTuple):
    """What the agent beside an upstream last read from it.

    :ivar closing: whether the agent is about to load other weights.
    """

    started_ms: int
    running: int
    waiting: int
    weights: Mapping[str, HeldWeights]
    closing: bool
    received_s: float


@final
@dataclass(slots=True)
class ColdStart:
    """Requests that a cold upstream may still get from this process.

    :ivar per_s: this process's share of what it bears a second.
    :ivar burst: requests that may be sent at one moment.
    """

    per_s: float
    burst: float
    tokens: float = 0
    filled_s: float = float('-inf')

    def take(self, now_s: float) -> bool:
        """Take one request if it may be sent now."""
        passed_s = now_s - self.filled_s
        self.filled_s = now_s
        self.tokens = min(self.burst, self.tokens + passed_s * self.per_s)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def may_take(self, now_s: float) -> bool:
        """Tell whether one request may be sent now."""
        grown = self.tokens + (now_s - self.filled_s) * self.per_s
        return min(self.burst, grown) >= 1


@final
@dataclass(slots=True)
class Upstream:
    """State of one upstream at this process.

    :ivar running: requests this process has there.
    :ivar starting: those of them whose answer has not begun.
    :ivar others: requests of each other entry, with when it told so.
    :ivar avoid_until_s: nothing is sent there before.
    :ivar failed_share: moving share of results that were failures.
    """

    record: UpstreamRecord
    running: int = 0
    starting: int = 0
    others: dict[str, tuple[int, float]] = field(default_factory=dict)
    report: UpstreamReport | None = None
    avoid_until_s: float = float('-inf')
    failures_in_row: int = 0
    failed_share: float = 0
    judged: int = 0
    cold: ColdStart | None = None

    def load(self, now_s: float) -> float:
        """Return the requests it has, as far as is known.

        Own requests are exact. Those of the other entries are what each
        last told, as long as that is fresh.
        """
        told = sum(
            count
            for count, received_s in self.others.values()
            if now_s - received_s < NEWS_S
        )
        return self.running + told

    def free(self, now_s: float) -> float:
        """Return the requests it takes before they wait there."""
        return self.record.slots * FILL_SHARE - self.load(now_s)

    def weights_of(self, model: str, now_s: float) -> HeldWeights | None:
        """Return what it holds of a model, by the freshest news."""
        report = self.report
        if report is not None and now_s - report.received_s < NEWS_S:
            if report.started_ms == self.record.started_ms:
                return report.weights.get(model)
        return self.record.weights.get(model)

    def is_closing(self, now_s: float) -> bool:
        """Tell whether its agent is about to load other weights."""
        report = self.report
        return (
            report is not None
            and report.closing
            and now_s - report.received_s < NEWS_S
        )

    def is_cold(self, now_s: float) -> bool:
        """Tell whether it bears only a few requests a second yet."""
        return now_s < self.record.cold_until_s

    def note_begun(self) -> None:
        """Note that the answer to one request has begun, or never will."""
        self.starting -= 1

    def note_unreachable(self, now_s: float) -> None:
        """Avoid it, longer each time in a row."""
        factor = 1 << min(self.failures_in_row, DOUBLINGS)
        pause_s = min(CONNECT_PAUSE_MOST_S, CONNECT_PAUSE_S * factor)
        self.failures_in_row += 1
        self.avoid_until_s = max(self.avoid_until_s, now_s + pause_s)

    def note_result(self, now_s: float, *, failed: bool) -> bool:
        """Note how a request that reached it ended.

        :returns: whether it is avoided from now on because it fails too
            many of its requests.
        """
        if not failed:
            self.failures_in_row = 0
        self.judged += 1
        self.failed_share += RESULT_WEIGHT * (failed - self.failed_share)
        if self.judged < JUDGED_RESULTS or self.failed_share < FAILED_SHARE:
            return False
        self.judged = 0
        self.failed_share = 0
        self.avoid_until_s = max(self.avoid_until_s, now_s + EJECT_S)
        return True


@final
class UpstreamRegistry:
    """All upstreams that are known, by id."""

    def __init__(self) -> None:
        self.by_id: dict[str, Upstream] = {}

    def register(self, record: UpstreamRecord) -> Upstream:
        """Take in a record; a new incarnation starts with a clean slate."""
        known = self.by_id.get(record.upstream_id)
        if known is not None and _is_same(known.record, record):
            known.record = record
            return known
        upstream = Upstream(record)
        if known is not None:
            upstream.running = known.running
            upstream.starting = known.starting
        self.by_id[record.upstream_id] = upstream
        return upstream

    def remove(self, upstream_id: str) -> Upstream | None:
        """Forget an upstream that is gone."""
        return self.by_id.pop(upstream_id, None)

    def of_service(self, service: str) -> Iterable[Upstream]:
        """Return the upstreams of one service that do not leave."""
        return (
            upstream
            for upstream in self.by_id.values()
            if upstream.record.service == service
            and not upstream.record.draining
        )

    def record_counts(
        self, entry: str, counts: Mapping[str, int], now_s: float
    ) -> None:
        """Take in how many requests another entry has at each upstream."""
        for upstream_id, upstream in self.by_id.items():
            count = counts.get(upstream_id, 0)
            if count or entry in upstream.others:
                upstream.others[entry] = (count, now_s)

    def record_report(self, address: str, report: UpstreamReport) -> None:
        """Take in what a loader read from the upstream at an address."""
        for upstream in self.by_id.values():
            if upstream.record.address == address:
                upstream.report = report


def _is_same(known: UpstreamRecord, record: UpstreamRecord) -> bool:
    return (
        known.started_ms == record.started_ms
        and known.address == record.address
        and known.service == record.service
    )
