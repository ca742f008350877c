"""Everything a process believes of its surroundings, in one place."""

from collections.abc import Callable, Mapping
from dataclasses import replace
from random import Random
from typing import final

from bramleylug.observability.events import LogEvent, emit
from bramleylug.relay.crash_suspects import SharedSuspects
from bramleylug.relay.peers import (
    HeartbeatStatus,
    PeerRecord,
    PeerRegistry,
    Role,
)
from bramleylug.relay.report_messages import report_from_message
from bramleylug.relay.route_table import RouteTable
from bramleylug.relay.settings import ProcessSettings
from bramleylug.relay.subsetting import preferred_subset
from bramleylug.relay.upstream_selection import Constraints
from bramleylug.relay.upstreams import (
    ColdStart,
    Upstream,
    UpstreamRecord,
    UpstreamRegistry,
)
from bramleylug.relay.versions import VersionRegistry
from bramleylug.store.mirror import Mirror
from bramleylug.wire.beats_pb2 import Beat

# Part of the time until older weights are refused that is left for requests
# which wait at an engine.
VERSION_MARGIN_S = 0.6
# The same for a version that a process finds at its start: engines then have
# queues that others filled.
FIRST_MARGIN_S = 1.2
# No news of a store that answers are older than two waits for changes.
MOST_NEWS_LAG_S = 2.5
# Part of the allowed overshoot of a cold upstream that the relays share out;
# the rest covers requests that were held up on their way.
COLD_BURST_SHARE = 0.5


@final
class ClusterView:
    """What is known, by whom it was told.

    :param own: returns the record of this process.
    :param clock: seconds that also count while the host is suspended.
    :ivar table: configuration in force; ``None`` before the first.
    :ivar preferred: upstreams that this relay sends to first.
    :ivar zones_out: zones that get no new work.
    :ivar is_initial_load: whether all that is told stood in the store
        before this process began.
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
        self.table: RouteTable | None = None
        self.zones_out: set[str] = set()
        self.upstreams = UpstreamRegistry()
        self.versions = VersionRegistry(
            max(0.0, settings.version_limit - VERSION_MARGIN_S)
        )
        self.suspects = SharedSuspects(clock)
        self.peers = PeerRegistry(
            own,
            self.store_age_s,
            Random(settings.name),  # noqa: S311
            settings.confirm_interval,
        )
        self.preferred: frozenset[str] = frozenset()
        self.on_change: Callable[[], None] = _ignore

    def store_age_s(self) -> float:
        """Return how old the knowledge of the store is."""
        return self.mirror.age_s(self.clock())

    def constraints(self) -> Constraints:
        """Return what holds for all requests now."""
        return Constraints(
            self.zones_out,
            self.versions.min_versions(self.clock()),
            self.versions.newest_by_model(),
            self.settings.regions,
            self.preferred,
        )

    def update_preferred(self) -> None:
        """Find anew which upstreams this relay favours."""
        own = self.peers.own()
        living = self.peers.alive(Role.relay, self.clock())
        relays = sorted(
            (peer.region, peer.name)
            for peer in (own, *living)
            if not peer.draining
        )
        regions = self.settings.regions
        by_service: dict[str, list[tuple[str, str]]] = {}
        for upstream in self.upstreams.by_id.values():
            record = upstream.record
            place = regions.get(record.zone, ''), record.upstream_id
            by_service.setdefault(record.service, []).append(place)
        self.preferred = frozenset().union(
            *(
                preferred_subset(
                    own.name,
                    [name for _, name in relays],
                    [name for _, name in sorted(places)],
                )
                for places in by_service.values()
            )
        )

    def apply_route_table(self, table: RouteTable) -> None:
        """Put a configuration in force; an older one is never."""
        held = 0 if self.table is None else self.table.version
        if table.version < held:
            emit(LogEvent.table_refused, version=table.version, held=held)
            return
        self.table = table
        emit(
            LogEvent.table_in_force,
            version=table.version,
            held=held,
            routes=len(table.routes),
        )

    def register_upstream(self, record: UpstreamRecord) -> None:
        """Take in the record of an upstream."""
        known = self.upstreams.by_id.get(record.upstream_id)
        upstream = self.upstreams.register(record)
        self._limit_cold(upstream)
        if known is None or known.record != record:
            emit(
                LogEvent.upstream_known,
                upstream=record.upstream_id,
                address=record.address,
                draining=record.draining,
                weights=_describe(record.weights),
            )

    def remove_upstream(self, upstream_id: str) -> None:
        """Forget an upstream that left or was lost."""
        if self.upstreams.remove(upstream_id) is not None:
            emit(
                LogEvent.upstream_gone,
                upstream=upstream_id,
                revision=self.mirror.revision,
            )

    def note_cold(self, upstream: Upstream, cold_for_s: float) -> None:
        """Note that an upstream says it is cold."""
        until_s = self.clock() + cold_for_s
        if until_s <= upstream.record.cold_until_s:
            return
        self.register_upstream(replace(upstream.record, cold_until_s=until_s))

    def record_target_version(self, model: str, version: int) -> None:
        """Note that the operator named a version of weights.

        One that stood in the store before this process began may have been
        named at any time; it is due once all bounds hold for this process.
        """
        now_s = self.clock()
        # News may be on their way for long, beside the weights themselves.
        named_s = max(
            self.mirror.changes_written_after_s, now_s - MOST_NEWS_LAG_S
        )
        limit_s = None
        if self.is_initial_load:
            named_s = now_s
            limit_s = self.settings.calm_window - FIRST_MARGIN_S
        if version > self.versions.newest(model):
            emit(LogEvent.version_named, model=model, version=version)
        self.versions.add_target(model, version, named_s, limit_s)

    def set_zone_out(self, zone: str, *, out: bool) -> None:
        """Note that a zone was taken out or back in."""
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

    def receive_heartbeat(self, beat: Beat) -> None:
        """Take in what another process tells."""
        now_s = self.clock()
        before = self.peers.last_heartbeats.get(beat.name)
        if before is not None and beat.boot < before.boot:
            return
        self.peers.record_heartbeat(
            beat.name, HeartbeatStatus(beat.boot, now_s, beat.draining)
        )
        counts = {one.upstream_id: one.running for one in beat.counts}
        self.upstreams.record_counts(beat.name, counts, now_s)
        if beat.HasField('reading'):
            self.upstreams.record_report(
                beat.reading.address, report_from_message(beat.reading, now_s)
            )
        for crash in beat.crashes:
            for crash_id in crash.crash_ids:
                self.suspects.report(crash.fingerprint, crash_id)

    def _limit_cold(self, upstream: Upstream) -> None:
        """Share what a cold upstream bears out among the relays."""
        if not upstream.is_cold(self.clock()) or self.table is None:
            return
        service = self.table.services.get(upstream.record.service)
        if service is None or not service.cold_per_s:
            return
        if upstream.cold is None:
            relays = self.peers.relay_count()
            spare = service.cold_per_s * (self.settings.cold_overshoot - 1)
            spare += self.settings.cold_reserve
            upstream.cold = ColdStart(
                service.cold_per_s / relays,
                max(1.0, COLD_BURST_SHARE * spare / relays),
                tokens=1.0,
                filled_s=self.clock(),
            )


def _describe(weights: Mapping[str, object]) -> str:
    return ','.join(f'{model}={held}' for model, held in weights.items())


def _ignore() -> None:
    """Do nothing."""
