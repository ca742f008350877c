"""A process's view of the cluster: configuration, upstreams and peers."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from random import Random
from typing import NamedTuple, final

from bramleylug.cluster.cold_shares import ColdShares
from bramleylug.cluster.constraints import Constraints
from bramleylug.cluster.crash_suspects import SharedSuspects
from bramleylug.cluster.demand_messages import (
    loads_from_messages,
    returns_from_messages,
)
from bramleylug.cluster.issuer_directory import IssuerDirectory
from bramleylug.cluster.peers import (
    HeartbeatStatus,
    PeerRecord,
    PeerRegistry,
    Role,
)
from bramleylug.cluster.permit_exchange import PermitExchange
from bramleylug.cluster.permit_messages import (
    limit_from_message,
    permit_from_message,
)
from bramleylug.cluster.rate_limit import Incarnation, RateLimitReport
from bramleylug.cluster.report_messages import report_from_message
from bramleylug.cluster.route_table import RouteTable
from bramleylug.cluster.settings import ProcessSettings
from bramleylug.cluster.store_contact import StoreContact
from bramleylug.cluster.suspect_messages import suspect_from_message
from bramleylug.cluster.upstreams import (
    Upstream,
    UpstreamRecord,
    UpstreamRegistry,
    UpstreamReport,
)
from bramleylug.cluster.use_messages import uses_from_messages
from bramleylug.cluster.versions import VersionRegistry
from bramleylug.cluster.work_exchange import WorkExchange
from bramleylug.node.process_pauses import ProcessPauses
from bramleylug.observability.events import LogEvent, emit
from bramleylug.store.mirror import Mirror
from bramleylug.wire.beats_pb2 import Beat, Notice

MILLISECONDS = 1000
# Relays stop sending to outdated weights this long before the limit, so that
# requests queued at an engine can still start in time.
VERSION_MARGIN_S = 0.6
# The same for a target version that is found when a process starts: the
# queues of the engines then hold requests of other relays.
INITIAL_VERSION_MARGIN_S = 1.2
# A store that answers returns a change after at most two watch intervals.
MIN_STORE_LAG_S = 2.5
# Another relay's newer configuration arrives here within this time, unless
# the store lost it or this relay is cut off.
MAX_BEHIND_S = 1.5


class AnnouncedConfiguration(NamedTuple):
    """Newest configuration that a relay has announced.

    :ivar since_s: when it was announced first.
    """

    version: int
    since_s: float


@final
class ClusterView:
    """State from the store and from the heartbeats of other processes.

    :param own: returns the record of this process.
    :param clock: seconds that also count while the host is suspended.
    :ivar table: configuration in force; ``None`` before the first.
    :ivar work: what relays that send to the same engines tell each other.
    :ivar zones_out: zones that get no new requests.
    :ivar started_s: when this process started.
    :ivar is_initial_load: whether the data of the first read of the store are
        being applied, which may have been written at any time in the past.
    :ivar on_change: called after changes of the store have been applied.
    :ivar on_peer_started: called with the name of a peer that is heard for
        the first time since it started.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        own: Callable[[], PeerRecord],
        mirror: Mirror,
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.mirror = mirror
        self.is_initial_load = True
        self.started_s = clock()
        self.table: RouteTable | None = None
        self.announced = AnnouncedConfiguration(0, float('inf'))
        self.zones_out: set[str] = set()
        self.upstreams = UpstreamRegistry()
        self.versions = VersionRegistry(
            max(0.0, settings.version_limit - VERSION_MARGIN_S)
        )
        self.suspects = SharedSuspects(clock, self.started_s)
        self.peers = PeerRegistry(
            own,
            self.store_age_s,
            Random(settings.name),  # noqa: S311
            settings.confirm_interval,
        )
        self._contact = StoreContact(self.peers.max_store_age_s)
        self._cold_shares = ColdShares(
            settings, self.peers, lambda: self.table, clock
        )
        self.permits = PermitExchange(
            self.upstreams,
            IssuerDirectory(self.peers, clock),
            settings.regions,
            Random(settings.name),  # noqa: S311
            clock,
        )
        self.work = WorkExchange(self.upstreams, clock)
        self.on_change: Callable[[], None] = _ignore
        self.on_peer_started: Callable[[str], None] = _ignore_name

    @property
    def pauses(self) -> ProcessPauses:
        """Return when this process stood still."""
        return self.mirror.pauses

    def clean_up(self) -> None:
        """Update what changes rarely, and forget what is no longer used."""
        self.update_preferred()
        self.upstreams.remove_expired_notices(self.clock())
        self.suspects.remove_expired()
        self.permits.clean_up()
        self._cold_shares.remove_expired(self.clock(), self.upstreams.by_id)

    def store_age_s(self) -> float:
        """Return the age of this process's copy of the store."""
        return self.mirror.age_s(self.clock())

    def is_behind(self) -> bool:
        """Return whether a newer configuration is in force elsewhere.

        The store may have come back from an older copy: what it says is then
        confirmed and yet not the newest that was accepted.
        """
        current = 0 if self.table is None else self.table.version
        announced = self.announced
        return (
            announced.version > current
            and self.clock() - announced.since_s > MAX_BEHIND_S
        )

    def constraints(self) -> Constraints:
        table = self.table
        return Constraints(
            self.zones_out,
            self.versions.min_versions(self.clock()),
            self.versions.newest_by_model(),
            self.settings.regions,
            self.work.preferred,
            {} if table is None else table.engine_models,
        )

    def update_preferred(self) -> None:
        """Recompute the preferred upstreams from the relays that are alive."""
        own = self.peers.own()
        alive = self.peers.alive(Role.relay, self.clock())
        relays = sorted(
            (peer.region, peer.name)
            for peer in (own, *alive)
            if not peer.draining
        )
        by_service: dict[str, list[tuple[str, str]]] = {}
        for upstream in self.upstreams.by_id.values():
            record = upstream.record
            region = self.settings.regions.get(record.zone, '')
            by_service.setdefault(record.service, []).append(
                (region, record.upstream_id)
            )
        self.work.share(
            own.name,
            [name for _, name in relays],
            {
                service: [name for _, name in sorted(keys)]
                for service, keys in by_service.items()
            },
            {} if self.table is None else self.table.engine_models,
        )

    def apply_route_table(self, table: RouteTable) -> None:
        """Put a configuration in force unless it is older than the current."""
        current = 0 if self.table is None else self.table.version
        if table.version < current:
            emit(LogEvent.table_refused, version=table.version, held=current)
            return
        self.table = table
        emit(
            LogEvent.table_in_force,
            version=table.version,
            held=current,
            routes=len(table.routes),
        )

    def register_upstream(self, record: UpstreamRecord) -> None:
        known = self.upstreams.by_id.get(record.upstream_id)
        previous = None if known is None else known.record
        was_warm = False
        if previous is not None and previous.started_ms == record.started_ms:
            was_warm = self.clock() >= previous.cold_until_s
            # An answer may have said more of its cold start than this record,
            # which was written earlier.
            cold_until_s = max(previous.cold_until_s, record.cold_until_s)
            record = replace(record, cold_until_s=cold_until_s)
        upstream = self.upstreams.register(record)
        self._cold_shares.update(upstream, was_warm=was_warm)
        if previous is None or previous.weights != record.weights:
            upstream.weights_written_s = self.clock()
        if previous != record:
            emit(
                LogEvent.upstream_updated,
                upstream=record.upstream_id,
                address=record.address,
                zone=record.zone,
                draining=record.draining,
                weights=_describe(record.weights),
            )

    def remove_upstream(self, upstream_id: str) -> None:
        if self.upstreams.remove(upstream_id) is not None:
            emit(
                LogEvent.upstream_removed,
                upstream=upstream_id,
                revision=self.mirror.revision,
            )

    def record_cold(self, upstream: Upstream, cold_for_s: float) -> None:
        """Record how much longer an upstream is cold, by its own answer.

        The known end of its cold start is only moved to a later time.
        """
        until_s = self.clock() + cold_for_s
        if until_s <= upstream.record.cold_until_s:
            return
        self.register_upstream(replace(upstream.record, cold_until_s=until_s))

    def record_leaving(self, upstream_id: str, started_ms: int) -> None:
        """Record that an upstream said that it leaves."""
        if self.upstreams.record_leaving(upstream_id, started_ms, self.clock()):
            emit(LogEvent.upstream_leaving, upstream=upstream_id)

    def record_pause(
        self, upstream_id: str, started_ms: int, pause_s: float
    ) -> None:
        """Record for how long an upstream wants nothing from this relay."""
        self.upstreams.record_pause(
            upstream_id, started_ms, self.clock(), pause_s
        )
        emit(
            LogEvent.upstream_paused,
            upstream=upstream_id,
            for_s=round(pause_s, 2),
        )

    def record_limit(self, incarnation: Incarnation, per_s: float) -> None:
        """Record the rate limit that an answer of an upstream names."""
        now_s = self.clock()
        limit = self.upstreams.limits.of(incarnation)
        if limit.record_named(per_s, now_s, now_s):
            emit(
                LogEvent.limit_named,
                upstream=incarnation.upstream_id,
                per_s=per_s,
                source='answer',
                age_ms=0,
            )
            self.permits.on_limit_changed()

    def record_unlimited(self, incarnation: Incarnation, sent_s: float) -> None:
        """Record that an answer of an upstream names no limit.

        :param sent_s: when the request of the answer was sent.
        """
        limit = self.upstreams.limits.of(incarnation)
        if limit.record_unlimited(sent_s, self.clock()):
            emit(
                LogEvent.limit_ended,
                upstream=incarnation.upstream_id,
                source='answer',
            )
            self.permits.on_limit_changed()
            self.on_change()

    def merge_limit(
        self, incarnation: Incarnation, report: RateLimitReport, source: str
    ) -> None:
        """Apply what another relay knows of a limit."""
        limit = self.upstreams.limits.of(incarnation)
        if not limit.merge(report, self.clock()):
            return
        if report.per_s is None:
            emit(
                LogEvent.limit_ended,
                upstream=incarnation.upstream_id,
                source=source,
            )
            self.on_change()
            return
        emit(
            LogEvent.limit_named,
            upstream=incarnation.upstream_id,
            per_s=report.per_s,
            source=source,
            age_ms=round(report.age_s * MILLISECONDS),
        )

    def record_target_version(self, model: str, version: int) -> None:
        """Record a target version of weights that the operator has set.

        The time limit for older versions counts from when it was set. A
        version found when this process starts may have been set at any time;
        its limit is the calm window after the start, however late the store
        was read, because all limits must hold from then on.
        """
        now_s = self.clock()
        # A change may arrive late, as transfers of weights use the same link.
        # The earliest time at which it can have been written counts. The lag
        # of a store that answers bounds it only after an outage for all, and
        # while this process runs.
        written_s = self.mirror.changes_written_after_s
        lag_s = max(MIN_STORE_LAG_S, self.settings.change_limit)
        bounds = {
            'the read before': written_s,
            'the lag of a store that answers': self._contact.since_s(now_s)
            - lag_s
            - self.pauses.paused_s(written_s, now_s),
        }
        basis = max(bounds, key=bounds.__getitem__)
        set_s = bounds[basis]
        due_s = None
        if self.is_initial_load or written_s == float('-inf'):
            basis = 'the start of this process'
            set_s = float('-inf')
            due_s = (
                self.started_s
                + self.settings.calm_window
                - INITIAL_VERSION_MARGIN_S
            )
        target = self.versions.add_target(model, version, set_s, due_s=due_s)
        if target is not None:
            emit(
                LogEvent.target_version_changed,
                model=model,
                version=version,
                age_s=target.describe_age(now_s),
                basis=basis,
                left_s=round(target.due_s - now_s, 2),
            )

    def set_zone_out(self, zone: str, *, out: bool) -> None:
        """Record whether a zone is taken out of service."""
        if out == (zone in self.zones_out):
            return
        emit(
            LogEvent.zone_changed,
            zone=zone,
            out=out,
            revision=self.mirror.revision,
        )
        if out:
            self.zones_out.add(zone)
        else:
            self.zones_out.discard(zone)

    def receive_heartbeat(self, heartbeat: Beat) -> bool:
        """Apply the heartbeat of another process.

        :returns: ``False`` if it was ignored because a later incarnation of
            its sender has been heard.
        """
        now_s = self.clock()
        for message in heartbeat.limits:
            self.merge_limit(*limit_from_message(message), heartbeat.name)
        if heartbeat.permits or heartbeat.work:
            self._receive_messages(heartbeat)
            return True
        if heartbeat.configuration > self.announced.version:
            self.announced = AnnouncedConfiguration(
                int(heartbeat.configuration), now_s
            )
        previous = self.peers.last_heartbeats.get(heartbeat.name)
        if previous is not None and heartbeat.boot < previous.boot:
            return False
        self.peers.record_heartbeat(
            heartbeat.name,
            HeartbeatStatus(heartbeat.boot, now_s, heartbeat.draining),
        )
        if previous is None or heartbeat.boot > previous.boot:
            self.on_peer_started(heartbeat.name)
        if heartbeat.HasField('store_heard_age_ms'):
            self._contact.record_heard(
                self.pauses.earliest_arrival_s(now_s)
                - heartbeat.store_heard_age_ms / MILLISECONDS
            )
        counts = {item.upstream_id: item.running for item in heartbeat.counts}
        self.upstreams.record_counts(heartbeat.name, counts, now_s)
        self.peers.record_demand(
            heartbeat.name, loads_from_messages(heartbeat.levels), now_s
        )
        self.peers.returns.record_told(
            returns_from_messages(heartbeat.returns), now_s
        )
        if heartbeat.name in self.peers.known_relays:
            uses = uses_from_messages(heartbeat.uses)
            self.peers.uses.record(heartbeat.name, uses, now_s)
        if heartbeat.HasField('reading'):
            arrived_s = self.pauses.earliest_arrival_s(now_s)
            report = report_from_message(heartbeat.reading, arrived_s)
            _log_checks(
                self.upstreams.record_report(heartbeat.reading.address, report),
                report,
            )
        for notice in heartbeat.notices:
            self._receive_notice(notice, now_s)
        for crash in heartbeat.crashes:
            self.suspects.merge(suspect_from_message(crash))
        return True

    def _receive_messages(self, heartbeat: Beat) -> None:
        """Apply messages that another relay has sent to few relays."""
        for work in heartbeat.work:
            self.work.receive(heartbeat.name, work)
        for message in heartbeat.permits:
            incarnation, report = limit_from_message(message.limit)
            self.merge_limit(incarnation, report, heartbeat.name)
            self.permits.receive(
                heartbeat.name,
                incarnation,
                permit_from_message(message),
                self.pauses.earliest_arrival_s(self.clock()),
            )

    def _receive_notice(self, notice: Notice, now_s: float) -> None:
        """Apply what an upstream said to another relay."""
        if notice.leaving:
            self.record_leaving(notice.upstream_id, int(notice.started_ms))
        if notice.paused_ms:
            self.upstreams.record_peer_pause(
                notice.upstream_id,
                int(notice.started_ms),
                now_s,
                notice.paused_ms / MILLISECONDS,
            )


def _log_checks(changed: Iterable[Upstream], report: UpstreamReport) -> None:
    """Log of which upstreams a report has changed the confirmed weights."""
    for upstream in changed:
        emit(
            LogEvent.weights_check_changed,
            upstream=upstream.record.upstream_id,
            check=report.check.value,
            weights=_describe(report.weights),
        )


def _describe(weights: Mapping[str, object]) -> str:
    return ','.join(f'{model}={held}' for model, held in weights.items())


def _ignore_name(name: str) -> None:
    """Do nothing."""


def _ignore() -> None:
    """Do nothing."""
