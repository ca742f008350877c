"""State of each upstream: load, weights, cold start and failures."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import NamedTuple, final

from bramleylug.cluster.cold_start import ColdStart
from bramleylug.cluster.engine_work import UpstreamWork
from bramleylug.cluster.held_weights import (
    ConfirmedWeights,
    HeldWeights,
    WeightsCheck,
    WeightsConfirmations,
)
from bramleylug.cluster.notices import UpstreamNotice
from bramleylug.cluster.permits import HeldPermits
from bramleylug.cluster.rate_limit import Incarnation, RateLimit, RateLimits
from bramleylug.cluster.responsiveness import Responsiveness

# Share of an upstream's slots that is filled before requests wait at the
# relay. Requests that two relays send at the same moment may exceed the
# slots; the upstream's own queue takes those.
FILL_SHARE = 1.0
# Age at which a report of another process about an upstream expires.
REPORT_TTL_S = 1.5
CONNECT_BACKOFF_S = 0.3
MAX_CONNECT_BACKOFF_S = 2.0
# An upstream is avoided when, after at least this many results, the moving
# average of failures reaches this share.
MIN_RESULTS = 6
FAILED_SHARE = 0.4
RESULT_WEIGHT = 0.25
EJECTION_S = 2.0
MAX_DOUBLINGS = 3
# How long what an upstream said about itself is kept after its record is gone.
NOTICE_RETENTION_S = 120.0
# How long it is included in heartbeats.
NOTICE_ANNOUNCED_S = 10.0


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRecord:
    """One upstream as it registered itself in the store.

    :ivar started_ms: start of this incarnation, on its host's wall clock.
    :ivar cold_until_s: end of its cold start, on this process's clock.
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
    """State of an engine as its loader last read it.

    :ivar closing: whether the loader is about to load other weights.
    :ivar received_s: when it was received, at the earliest.
    :ivar own_running: requests of this process that ran there when the report
        was received.
    :ivar check: whether the loader has found the weights sound.
    :ivar pace: how many times longer than nominal its work takes.
    :ivar memory_used: memory that is taken, in a unit of the engine's own.
    :ivar memory_total: all of it; 0 if unknown.
    """

    started_ms: int
    running: int
    waiting: int
    weights: Mapping[str, HeldWeights]
    closing: bool
    received_s: float
    own_running: int = 0
    check: WeightsCheck = WeightsCheck.unknown
    pace: float = 1.0
    memory_used: int = 0
    memory_total: int = 0


@final
@dataclass(slots=True)
class Upstream:
    """State of one upstream at this process.

    :ivar running: requests of this process that run there.
    :ivar unstarted: those of them whose answer has not started.
    :ivar reported_running: by relay, the running requests it reported and
        when the report was received.
    :ivar avoid_until_s: no request is sent there before.
    :ivar failed_share: exponential moving average of the share of failed
        requests.
    :ivar confirmed_weights: those that its loader has found sound.
    :ivar weights_written_s: when the weights in its record were read first.
    :ivar limit: what is known of the limit that it names.
    :ivar permits: those of this process while it names one.
    :ivar responsiveness: whether anything is received from this incarnation.
    :ivar work: what this process has at this incarnation, and its speed.
    :ivar removed: whether its record has been removed.
    """

    record: UpstreamRecord
    running: int = 0
    unstarted: int = 0
    reported_running: dict[str, tuple[int, float]] = field(default_factory=dict)
    report: UpstreamReport | None = None
    avoid_until_s: float = float('-inf')
    consecutive_failures: int = 0
    failed_share: float = 0
    result_count: int = 0
    cold: ColdStart | None = None
    notice: UpstreamNotice = field(default_factory=UpstreamNotice)
    confirmed_weights: ConfirmedWeights = field(
        default_factory=ConfirmedWeights
    )
    weights_written_s: float = float('-inf')
    limit: RateLimit = field(default_factory=RateLimit)
    permits: HeldPermits = field(default_factory=HeldPermits)
    responsiveness: Responsiveness = field(default_factory=Responsiveness)
    work: UpstreamWork = field(default_factory=UpstreamWork)
    removed: bool = False

    @property
    def limited(self) -> bool:
        """Whether a request to it needs a permit."""
        return self.limit.per_s is not None

    @property
    def leaving(self) -> bool:
        """Whether it leaves, by its record or by one of its answers."""
        return self.record.draining or self.notice.leaving

    def restart(self, record: UpstreamRecord, notice: UpstreamNotice) -> None:
        """Start over with a new incarnation.

        Requests of this process that still run keep their places: they end
        on this object.
        """
        self.record = record
        self.notice = notice
        self.reported_running = {}
        self.report = None
        self.avoid_until_s = float('-inf')
        self.consecutive_failures = 0
        self.failed_share = 0
        self.result_count = 0
        self.cold = None
        self.permits = HeldPermits()
        self.responsiveness = Responsiveness()
        self.work = UpstreamWork()

    def load(self, now_s: float) -> float:
        """Return the number of running requests, as far as known.

        The count of this process is exact. Counts of other relays are those
        of their last heartbeat, unless that has expired. Not all of them send
        here in a large fleet: the engine's own count tells of the others.
        """
        reported = self._reported_running(now_s)
        own = self.own_running(now_s)
        report = self.report
        if report is None or now_s - report.received_s >= REPORT_TTL_S:
            return own + reported
        others = report.running + report.waiting - report.own_running
        return own + max(reported, others)

    def own_running(self, now_s: float) -> int:
        """Return how many requests of this process it has.

        A silent upstream has not noticed yet that some have ended.
        """
        if not self.responsiveness.silent:
            return self.running
        return self.running + self.responsiveness.abandoned_running(now_s)

    def is_silent(self, now_s: float) -> bool:
        """Return whether it gets no new request because it is silent."""
        return self.responsiveness.is_avoided(self.running, now_s)

    def may_send(self, now_s: float) -> bool:
        """Return whether the rates that it takes allow a request now."""
        if self.is_cold(now_s) and self.cold is not None:
            if not self.cold.can_consume(now_s):
                return False
        return not self.lacks_permit(now_s)

    def lacks_permit(self, now_s: float) -> bool:
        """Return whether it takes requests only of relays with a permit."""
        return self.limited and not self.permits.count(now_s)

    def consume(self, now_s: float) -> None:
        """Count a request that is sent now against these rates."""
        if self.is_cold(now_s) and self.cold is not None:
            self.cold.consume(now_s)
        if self.limited:
            self.permits.use(now_s)

    def sendable(self, now_s: float) -> int:
        """Return how many requests it may get now without queueing."""
        free = max(0, int(self.free_slots(now_s)))
        if self.limited:
            return min(free, self.permits.count(now_s))
        return free

    def free_slots(self, now_s: float) -> float:
        """Return how many more requests it can run without queueing."""
        return self.record.slots * FILL_SHARE - self.load(now_s)

    def weights_of(self, model: str, now_s: float) -> HeldWeights | None:
        """Return its weights of a model, from the most recent source.

        A report holds until it expires and its record has been written since:
        an engine writes there some time after its weights have changed.
        Weights that its loader has not confirmed count as incomplete, and so
        do those of a record while its loader reports another incarnation.
        """
        if self._is_replaced():
            held = self.record.weights.get(model)
            return None if held is None else held._replace(whole=False)
        held = self._reported_weights(now_s).get(model)
        if held is None:
            return None
        return self.confirmed_weights.restrict(model, held)

    def is_closing(self, now_s: float) -> bool:
        """Return whether its loader is about to load other weights."""
        report = self.report
        return (
            report is not None
            and report.closing
            and now_s - report.received_s < REPORT_TTL_S
        )

    def is_cold(self, now_s: float) -> bool:
        """Return whether it just started and takes only a limited rate."""
        return now_s < self.record.cold_until_s

    def record_report(self, report: UpstreamReport) -> None:
        """Record its loader's report."""
        own_running = self.own_running(report.received_s)
        self.report = report._replace(own_running=own_running)

    def record_started(self, token: int = 0) -> None:
        """Record that the answer to a request has started, or never will."""
        self.unstarted -= 1
        self.work.record_started(token)

    def record_unreachable(self, now_s: float) -> None:
        """Avoid it with exponential backoff after a failed connection."""
        factor = 1 << min(self.consecutive_failures, MAX_DOUBLINGS)
        backoff_s = min(MAX_CONNECT_BACKOFF_S, CONNECT_BACKOFF_S * factor)
        self.consecutive_failures += 1
        self.avoid_until_s = max(self.avoid_until_s, now_s + backoff_s)

    def record_result(self, now_s: float, *, failed: bool) -> bool:
        """Record the result of a request that reached it.

        :returns: whether it is ejected for a while because too many of its
            requests fail.
        """
        if not failed:
            self.consecutive_failures = 0
        self.result_count += 1
        self.failed_share += RESULT_WEIGHT * (failed - self.failed_share)
        if self.result_count < MIN_RESULTS or self.failed_share < FAILED_SHARE:
            return False
        self.result_count = 0
        self.failed_share = 0
        self.avoid_until_s = max(self.avoid_until_s, now_s + EJECTION_S)
        return True

    def _reported_running(self, now_s: float) -> int:
        """Return how many requests other relays have there, as they report.

        Each choice of an upstream asks for this of all upstreams; a loop takes
        half the time of a generator.
        """
        reported = 0
        for running, received_s in self.reported_running.values():
            if now_s - received_s < REPORT_TTL_S:
                reported += running
        return reported

    def _is_replaced(self) -> bool:
        """Return whether its loader was last heard of another incarnation.

        Registering that one drops the report.
        """
        report = self.report
        return (
            report is not None and report.started_ms != self.record.started_ms
        )

    def _reported_weights(self, now_s: float) -> Mapping[str, HeldWeights]:
        """Return the weights of the incarnation that its loader reports."""
        report = self.report
        if report is None:
            return self.record.weights
        is_recent = now_s - report.received_s < REPORT_TTL_S
        if is_recent or self.weights_written_s < report.received_s:
            return report.weights
        return self.record.weights


@final
class UpstreamRegistry:
    """All known upstreams, by id.

    :ivar by_address: upstreams by their address; ``None`` until it is needed
        after a change.
    :ivar counted: by relay, the upstreams that it reported requests at.
    :ivar notices: what upstreams said about themselves, by id and start time.
    :ivar confirmations: which of their weights their loaders found sound.
    :ivar last_reports: what loaders reported last, by address: a loader may be
        heard before the record of its engine is read.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Upstream] = {}
        self.by_address: dict[str, list[Upstream]] | None = None
        self.counted: dict[str, frozenset[str]] = {}
        self.limits = RateLimits()
        self.confirmations = WeightsConfirmations()
        self.last_reports: dict[str, UpstreamReport] = {}
        self.notices: dict[tuple[str, int], UpstreamNotice] = {}

    def register(self, record: UpstreamRecord) -> Upstream:
        """Add or update an upstream.

        A new incarnation keeps only the counts of requests that this process
        has there; reports and failures of the previous one are dropped.
        """
        self.by_address = None
        known = self.by_id.get(record.upstream_id)
        if known is not None and _is_same(known.record, record):
            # An incarnation that leaves does not change its mind; an older
            # copy of the store may say otherwise.
            draining = known.record.draining or record.draining
            known.record = replace(record, draining=draining)
            return known
        notice = self.notices.get(
            (record.upstream_id, record.started_ms), UpstreamNotice()
        )
        incarnation = incarnation_of(record)
        limit = self.limits.of(incarnation)
        confirmed = self.confirmations.of(incarnation)
        heard = self.last_reports.get(record.address)
        if heard is not None and heard.started_ms == record.started_ms:
            confirmed.update(heard.check, heard.weights)
        if known is not None:
            known.restart(record, notice)
            known.limit = limit
            known.confirmed_weights = confirmed
            return known
        upstream = Upstream(
            record, notice=notice, limit=limit, confirmed_weights=confirmed
        )
        self.by_id[record.upstream_id] = upstream
        return upstream

    def record_leaving(
        self, upstream_id: str, started_ms: int, now_s: float
    ) -> bool:
        """Record that an incarnation said that it leaves.

        :returns: whether that was not known before.
        """
        notice = self._notice(upstream_id, started_ms, now_s)
        is_new = not notice.leaving
        if is_new:
            notice.leaving = True
            notice.updated_s = now_s
        return is_new

    def record_pause(
        self, upstream_id: str, started_ms: int, now_s: float, for_s: float
    ) -> None:
        """Record how long an incarnation wants nothing from this relay."""
        notice = self._notice(upstream_id, started_ms, now_s)
        notice.paused_until_s = max(notice.paused_until_s, now_s + for_s)
        notice.updated_s = now_s

    def record_peer_pause(
        self, upstream_id: str, started_ms: int, now_s: float, for_s: float
    ) -> None:
        """Record how long it wants nothing from another relay."""
        notice = self._notice(upstream_id, started_ms, now_s)
        notice.peers_paused_until_s = max(
            notice.peers_paused_until_s, now_s + for_s
        )

    def recent_notices(
        self, now_s: float
    ) -> Iterable[tuple[str, int, UpstreamNotice]]:
        """Return id, start time and notice of what is told to other relays."""
        return [
            (upstream_id, started_ms, notice)
            for (upstream_id, started_ms), notice in self.notices.items()
            if now_s - notice.updated_s < NOTICE_ANNOUNCED_S
        ]

    def remove_expired_notices(self, now_s: float) -> None:
        """Forget what upstreams said that have been gone for a while."""
        for key, notice in tuple(self.notices.items()):
            upstream = self.by_id.get(key[0])
            is_used = upstream is not None and upstream.notice is notice
            if not is_used and now_s - notice.updated_s > NOTICE_RETENTION_S:
                self.notices.pop(key)
        registered = {
            incarnation_of(upstream.record) for upstream in self.by_id.values()
        }
        for address, report in tuple(self.last_reports.items()):
            if now_s - report.received_s > NOTICE_RETENTION_S:
                self.last_reports.pop(address)
        self.limits.remove_expired(now_s, registered)
        self.confirmations.remove_expired(now_s, registered)

    def remove(self, upstream_id: str) -> Upstream | None:
        """Remove an upstream; return ``None`` if it was unknown."""
        self.by_address = None
        upstream = self.by_id.pop(upstream_id, None)
        if upstream is not None:
            upstream.removed = True
        return upstream

    def of_service(self, service: str) -> Iterable[Upstream]:
        """Return the upstreams of a service that are not draining."""
        return (
            upstream
            for upstream in self.by_id.values()
            if upstream.record.service == service and not upstream.leaving
        )

    def record_counts(
        self, relay: str, counts: Mapping[str, int], now_s: float
    ) -> None:
        """Record how many requests another relay runs at each upstream.

        An upstream that is missing from the counts has none.
        """
        gone = self.counted.get(relay, frozenset()) - counts.keys()
        self.counted[relay] = frozenset(counts)
        for upstream_id in gone:
            upstream = self.by_id.get(upstream_id)
            if upstream is not None:
                upstream.reported_running.pop(relay, None)
        for upstream_id, running in counts.items():
            upstream = self.by_id.get(upstream_id)
            if upstream is not None:
                upstream.reported_running[relay] = (running, now_s)

    def record_count(
        self, relay: str, upstream: Upstream, running: int, now_s: float
    ) -> None:
        """Record how many requests another relay runs at one upstream."""
        self.counted[relay] = self.counted.get(relay, frozenset()) | {
            upstream.record.upstream_id
        }
        upstream.reported_running[relay] = (running, now_s)

    def record_report(
        self, address: str, report: UpstreamReport
    ) -> Iterable[Upstream]:
        """Record a loader's report on the upstream at an address.

        The incarnation that it is of may not be registered yet.

        :returns: upstreams of which other weights are confirmed than before.
        """
        self.last_reports[address] = report
        changed: list[Upstream] = []
        for upstream in self._at_address(address):
            upstream.record_report(report)
            confirmed = self.confirmations.of(
                Incarnation(upstream.record.upstream_id, report.started_ms)
            )
            confirmed.used_s = max(confirmed.used_s, report.received_s)
            if confirmed.update(report.check, report.weights):
                changed.append(upstream)
        return changed

    def _at_address(self, address: str) -> Iterable[Upstream]:
        if self.by_address is None:
            self.by_address = {}
            for upstream in self.by_id.values():
                self.by_address.setdefault(upstream.record.address, []).append(
                    upstream
                )
        return self.by_address.get(address, ())

    def _notice(
        self, upstream_id: str, started_ms: int, now_s: float
    ) -> UpstreamNotice:
        key = upstream_id, started_ms
        notice = self.notices.get(key)
        if notice is None:
            upstream = self.by_id.get(upstream_id)
            is_current = (
                upstream is not None
                and upstream.record.started_ms == started_ms
            )
            notice = (
                upstream.notice
                if upstream is not None and is_current
                else UpstreamNotice()
            )
            notice.updated_s = now_s
            self.notices[key] = notice
        return notice


def incarnation_of(record: UpstreamRecord) -> Incarnation:
    return Incarnation(record.upstream_id, record.started_ms)


def _is_same(known: UpstreamRecord, record: UpstreamRecord) -> bool:
    return (
        known.started_ms == record.started_ms
        and known.address == record.address
        and known.service == record.service
    )
