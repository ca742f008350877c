"""Which share of a cold upstream's rate this relay has now.

Every relay decides by itself, by rank among the relays that it knows. The
shares add up although views differ: a relay that joins takes none until all
others must know it, and they make room for it as soon as they do; one that is
out of touch gives its share up before the others take it over.
"""

from collections.abc import Callable, Mapping
from functools import partial
from typing import final

from bramleylug.cluster.cold_start import (
    NO_SHARE,
    UNLIMITED,
    ColdLimit,
    ColdShare,
    ColdStart,
    select_holders,
)
from bramleylug.cluster.peers import PeerRegistry
from bramleylug.cluster.route_table import RouteTable
from bramleylug.cluster.settings import ProcessSettings
from bramleylug.cluster.touch import part_in_touch
from bramleylug.cluster.upstreams import Upstream, UpstreamRecord

# The other relays know one within this time of its registration.
SETTLING_S = 1.5
# How long the bucket of an upstream that is gone is kept: it may come back.
RETENTION_S = 30.0


@final
class ColdShares:
    """Buckets of this relay for cold upstreams, by upstream id.

    :param table: returns the configuration in force.
    :ivar holders: relays that share the rate of an upstream, for the limit
        that it has, as long as the known relays are the same.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        peers: PeerRegistry,
        table: Callable[[], RouteTable | None],
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.peers = peers
        self.table = table
        self.clock = clock
        self.buckets: dict[str, ColdStart] = {}
        self.holders: dict[tuple[str, str, ColdLimit], list[str]] = {}
        self.holders_version = -1

    def update(self, upstream: Upstream, *, was_warm: bool) -> None:
        """Give an upstream its bucket after its record was read.

        An upstream that is registered again keeps the one that it had.

        :param was_warm: whether the same incarnation was not known to be cold.
        """
        now_s = self.clock()
        if not upstream.is_cold(now_s):
            return
        record = upstream.record
        find_share = partial(self.share, record)
        bucket = self.buckets.get(record.upstream_id)
        if bucket is None:
            bucket = ColdStart.from_share(find_share, now_s)
            self.buckets[record.upstream_id] = bucket
        bucket.find_share = find_share
        if was_warm:
            # Requests that were sent before that was known run there too.
            bucket.empty(now_s)
        upstream.cold = bucket

    def share(self, record: UpstreamRecord, now_s: float) -> ColdShare:
        """Return the share that this relay has of an upstream's rate."""
        table = self.table()
        service = None if table is None else table.services.get(record.service)
        if service is None:
            return NO_SHARE
        if not service.cold_per_s:
            return UNLIMITED
        spare = service.cold_per_s * (self.settings.cold_overshoot - 1)
        limit = ColdLimit(
            service.cold_per_s, spare + self.settings.cold_reserve
        )
        holders = self._holders(record, limit)
        own_name = self.peers.own().name
        if own_name not in holders or not self.peers.is_settled(
            now_s, SETTLING_S
        ):
            return NO_SHARE
        part = part_in_touch(self.peers, now_s)
        if not part:
            return NO_SHARE
        return ColdShare.from_limit(limit, len(holders), part)

    def remove_expired(self, now_s: float, known: Mapping[str, object]) -> None:
        """Forget the buckets of upstreams that have been gone for a while."""
        for upstream_id, bucket in tuple(self.buckets.items()):
            is_old = now_s - bucket.filled_s > RETENTION_S
            if is_old and upstream_id not in known:
                self.buckets.pop(upstream_id)

    def _holders(self, record: UpstreamRecord, limit: ColdLimit) -> list[str]:
        if self.holders_version != self.peers.relays_version:
            self.holders_version = self.peers.relays_version
            self.holders.clear()
        key = record.upstream_id, record.zone, limit
        if key not in self.holders:
            region = self.settings.regions.get(record.zone, '')
            near, far = self.peers.relay_names(region)
            self.holders[key] = select_holders(
                record.upstream_id, near, far, limit
            )
        return self.holders[key]
