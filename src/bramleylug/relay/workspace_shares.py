"""Shares of workspaces at this relay: counts, told uses and decisions."""

from collections.abc import Callable
from random import Random
from typing import final

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.touch import part_in_touch
from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import SHARE_REFUSALS, count
from bramleylug.relay.request_context import RequestContext
from bramleylug.relay.usable_upstreams import usable_slots
from bramleylug.scheduling.shares import (
    FairShares,
    UseMeter,
    Uses,
    largest,
    slot_time_s,
)

# How long a service counts as short after a request found no free slot here:
# for what other relays are told, and for a request that finds one. Others wait
# for it elsewhere, and those who send most would find most of them.
SHORT_TTL_S = 2.0
TAKEN_AGAIN_S = 0.5
# The shares of a service are computed at most this often.
SHARES_TTL_S = 0.2
# One line a workspace and service in this time.
LOG_INTERVAL_S = 5.0
# Every heartbeat tells uses in a fleet of fewer relays; in one of twice as many
# every other, and so on.
RELAYS_TOLD_ALWAYS = 120
# Weight of the latest duration in the mean, and the mean before the first.
DURATION_WEIGHT = 0.05
INITIAL_DURATION_S = 1.0


@final
class WorkspaceShares:
    """Refuses requests of workspaces far above their share.

    Only at services for which several workspaces compete, and while requests
    find no free slot there.

    :ivar meter: slots of this relay's requests.
    :ivar short_until_s: by service, until when it counts as short.
    :ivar durations_s: mean duration of requests by service.
    :ivar known: shares by service, and when they were computed.
    """

    def __init__(
        self, view: ClusterView, random: Random, clock: Callable[[], float]
    ) -> None:
        self.view = view
        self.random = random
        self.clock = clock
        self.meter = UseMeter()
        self.short_until_s: dict[str, float] = {}
        self.durations_s: dict[str, float] = {}
        self.known: dict[str, tuple[float, FairShares]] = {}
        self.logged_s: dict[tuple[str, str], float] = {}

    def record_arrival(self, context: RequestContext) -> None:
        """Record that a request wants a slot."""
        if self._is_shared(context):
            self.meter.record_wanted(*self._work(context), self.clock())

    def record_sent(self, context: RequestContext) -> None:
        """Record that a request is sent to an upstream."""
        if self._is_shared(context):
            self.meter.record_taken(*self._work(context), self.clock())

    def record_duration(self, service: str, took_s: float) -> None:
        """Record how long a request ran that ended with its whole answer."""
        mean_s = self.durations_s.get(service, took_s)
        mean_s += DURATION_WEIGHT * (took_s - mean_s)
        self.durations_s[service] = mean_s

    def refuses(self, context: RequestContext, *, is_short: bool) -> bool:
        """Return whether to refuse a request, as its service is short.

        :param is_short: whether it finds no free slot.
        """
        if not self._is_shared(context):
            return False
        service = context.accepted.service
        now_s = self.clock()
        if is_short:
            self.short_until_s[service] = now_s + SHORT_TTL_S
        short_s = self.short_until_s.get(service, 0) - SHORT_TTL_S
        if now_s - short_s > TAKEN_AGAIN_S:
            return False
        shares = self._shares(service, now_s)
        part = shares.refused_part(
            context.workspace_name,
            is_current=bool(part_in_touch(self.view.peers, now_s)),
        )
        if not part or self.random.random() >= part:
            return False
        count(SHARE_REFUSALS, service=service)
        self._log(service, context.workspace_name, shares, now_s)
        return True

    def weight(self, service: str, workspace: str) -> float:
        """Return how much more often a workspace's requests are chosen."""
        return self._shares(service, self.clock()).weight(workspace)

    def told(self) -> Uses:
        """Return the uses that other relays are told: of short services.

        In a large fleet not with every heartbeat, as there are more of them.
        """
        now_s = self.clock()
        if self.random.randrange(
            1 + self.view.peers.relay_count() // RELAYS_TOLD_ALWAYS
        ):
            return {}
        return largest(
            {
                key: use
                for key, use in self.meter.uses(now_s).items()
                if now_s < self.short_until_s.get(key[0], 0)
            }
        )

    def clean_up(self) -> None:
        """Forget what is too old to decide by."""
        now_s = self.clock()
        if part_in_touch(self.view.peers, now_s):
            self.view.peers.uses.remove_expired(now_s)
        for key, logged_s in tuple(self.logged_s.items()):
            if now_s - logged_s >= LOG_INTERVAL_S:
                self.logged_s.pop(key)

    def _is_shared(self, context: RequestContext) -> bool:
        table = self.view.table
        return (
            table is not None
            and bool(context.workspace_name)
            and context.accepted.service in table.shared_services
        )

    def _work(self, context: RequestContext) -> tuple[str, str, float]:
        """Return service and workspace of a request, and its slot time."""
        name = context.accepted.service
        table = self.view.table
        slot_s = slot_time_s(
            context.request.size,
            None if table is None else table.engine_models.get(name),
            self.durations_s.get(name, INITIAL_DURATION_S),
        )
        return name, context.workspace_name, slot_s

    def _shares(self, service: str, now_s: float) -> FairShares:
        computed_s, shares = self.known.get(service, (float('-inf'), None))
        if shares is None or now_s - computed_s >= SHARES_TTL_S:
            own = self.meter.uses(now_s)
            shares = FairShares.from_uses(
                self.view.peers.uses.of_service(service, own),
                usable_slots(self.view, service, now_s),
            )
            self.known[service] = now_s, shares
        return shares

    def _log(
        self, service: str, workspace: str, shares: FairShares, now_s: float
    ) -> None:
        key = service, workspace
        if key in self.logged_s:
            return
        self.logged_s[key] = now_s
        use = shares.uses[workspace]
        emit(
            LogEvent.workspace_over_share,
            service=service,
            workspace=workspace,
            slots=round(use.slots, 1),
            wanted=round(use.wanted_slots, 1),
            level=round(shares.level, 1),
            workspaces=len(shares.uses),
        )
