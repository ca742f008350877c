"""Executes the version policy on the cache, engine, gate and swap leases."""

import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from typing import Any, final

from bramleylug.admission.limiter import Limiter
from bramleylug.agent.engine_orders import EngineOrders, adapter_key
from bramleylug.agent.load_checks import LoadChecks
from bramleylug.agent.replicas import (
    ReplicaHosts,
    enough_ready,
    is_service_member,
)
from bramleylug.agent.swap_leases import SwapLeases
from bramleylug.agent.upstream import Upstream
from bramleylug.agent.version_actions import (
    AcquireLease,
    CloseGate,
    ConfirmLease,
    DrainUnfinished,
    EngineReport,
    Observation,
    OpenGate,
    OrderAdapter,
    OrderVersion,
    ReleaseLease,
    UnexpectedWeights,
    VersionAction,
)
from bramleylug.agent.version_policy import VersionPolicy
from bramleylug.agent.weights_gate import WeightsGate
from bramleylug.configuration.document import ServiceSpec
from bramleylug.node.node import Node
from bramleylug.observability.events import LogEvent, emit
from bramleylug.weights.governor import LinkGovernor
from bramleylug.weights.manifest import VersionKey
from bramleylug.weights.rate_limiter import LinkRateLimiter
from bramleylug.weights.swarm import PeerAddress
from bramleylug.weights.version_cache import VersionCache
from bramleylug.wire.membership_pb2 import Member

POLL_S = 0.1
# Number of steps in which the progress of a transfer is published.
PROGRESS_STEPS = 4
COMPLETE_PERMILLE = 1000
NO_VERSION = VersionKey('', '')


@final
class VersionManager:
    """Loads the configured version on the engine and opens the gate.

    :param rate_limiters: limit the rates of weight transfers; they are
        lowered while live requests are slow.
    :ivar wanted: configured version, ``None`` when this host holds no
        replica.
    :ivar logged_wait_reason: reason of the wait for a lease that was last
        logged.
    """

    def __init__(
        self,
        node: Node,
        gate: WeightsGate,
        limiter: Limiter,
        upstream: Upstream,
        version_cache: VersionCache,
        rate_limiters: tuple[LinkRateLimiter, ...],
    ) -> None:
        self.node = node
        self.gate = gate
        self.limiter = limiter
        self.upstream = upstream
        self.version_cache = version_cache
        self.rate_limiters = rate_limiters
        self.governor = LinkGovernor()
        self.policy = VersionPolicy()
        self.swap_leases = SwapLeases(
            node.store, gate.service, node.settings.name
        )
        self.replica_hosts = ReplicaHosts(node.settings.name)
        self.logged_wait_reason = ''
        self.wanted: VersionKey | None = None
        self.orders = EngineOrders(upstream, version_cache)
        self.load_checks = LoadChecks(
            version_cache, ThreadPoolExecutor(1, 'load-checks').submit
        )

    @property
    def progress(self) -> float:
        """Share of the wanted version's chunks that are held, from 0 to 1."""
        wanted = self.wanted
        return 0 if wanted is None else self.version_cache.progress(wanted)

    def run(self) -> None:
        """Run steps until the node stops."""
        self.version_cache.recover()
        while not self.node.stopping:
            self.step()
            time.sleep(POLL_S)
        self.version_cache.close()

    def run_swap_leases(self) -> None:
        """Acquire, renew and release swap leases until the node stops.

        Runs in a thread of its own, so that calls of the store do not delay
        the steps.
        """
        while not self.node.stopping:
            spec = self._spec()
            if spec is not None:
                waiting = (
                    self._waiting_hosts(spec)
                    if self.swap_leases.lease_wanted
                    else []
                )
                self.swap_leases.maintain(spec, waiting)
            time.sleep(POLL_S)
        self.swap_leases.release()

    def record_latency(self, latency_s: float) -> None:
        """Record the time to the first byte of a live answer."""
        self.governor.observe(
            latency_s,
            time.monotonic(),
            transferring=self.version_cache.transferring,
        )

    def step(self) -> None:
        """Request the engine's report and execute the policy's actions."""
        self._adapt_rate_limits()
        spec = self._spec()
        if spec is None:
            self.gate.close()
            return
        # A report that was requested before an order ended may be outdated.
        self._record_ended_orders(time.monotonic())
        # Read before the report is requested: an answer that contradicts it
        # meanwhile must keep the gate closed.
        contradictions = self.gate.contradictions
        state = self.upstream.state()
        if spec.kind == 'plain':
            self._open_plain_gate(state)
            return
        report = None if state is None else EngineReport.from_state(state)
        observation = self._observe(spec, report)
        if report is not None:
            checked = self.load_checks.observe(report, self.policy.verified)
            observation = replace(observation, report=checked)
        for action in self.policy.step(observation, time.monotonic()):
            self._execute(action, contradictions)

    def find_peers(self, key: VersionKey) -> dict[str, PeerAddress]:
        """Return the agents that want or hold a version."""
        spec = self._spec()
        replica_names = (
            set() if spec is None else set(self._replica_names(spec))
        )
        return {
            member.name: PeerAddress(member.grpc_address, member.region)
            for member in self.node.members
            if member.name != self.node.settings.name
            and (member.name in replica_names or _has_staged(member, key))
        }

    def _spec(self) -> ServiceSpec | None:
        services = self.node.holder.document.services
        return services.get(self.gate.service)

    def _open_plain_gate(self, state: dict[str, Any] | None) -> None:
        if state is None:
            self.gate.close()
            return
        self.limiter.observe_boot(str(state['boot_id']))
        self.gate.open(str(state['boot_id']), '')

    def _observe(
        self, spec: ServiceSpec, report: EngineReport | None
    ) -> Observation:
        replica_names = self._replica_names(spec)
        holds_replica = self.node.settings.name in replica_names
        adapters = frozenset(map(adapter_key, spec.adapters))
        self.wanted = None
        wanted_keys: frozenset[VersionKey] = frozenset()
        if holds_replica:
            self.wanted = VersionKey(spec.model, spec.version)
            wanted_keys = adapters | {self.wanted}
        self.version_cache.set_wanted(wanted_keys, self._in_use(report))
        digests = self.version_cache.digests()
        self.policy.verified = {
            digest: held for held, digest in digests.items()
        }
        lease = self.swap_leases.current()
        return Observation(
            wanted=self.wanted,
            revision=self.node.holder.document.revision,
            report=report,
            running=self.limiter.running,
            lease=lease,
            adapters={
                '@'.join(adapter): digests[adapter]
                for adapter in adapters
                if adapter in digests
            },
            is_surplus=not holds_replica
            and enough_ready(spec, replica_names, self.node.members),
        )

    def _replica_names(self, spec: ServiceSpec) -> list[str]:
        return self.replica_hosts.choose(
            spec,
            self.node.holder.document,
            self.node.members,
            time.monotonic(),
        )

    def _in_use(self, report: EngineReport | None) -> frozenset[VersionKey]:
        digests = {self.policy.last_open_digest, self.gate.open_digest}
        if report is not None:
            digests.update((report.digest, *report.adapters.values()))
        return frozenset(
            key
            for key, digest in self.version_cache.digests().items()
            if digest in digests
        )

    def _execute(self, action: VersionAction, contradictions: int) -> None:
        match action:
            case CloseGate():
                self.gate.close()
            case OpenGate(boot_id, digest):
                self._open_gate(boot_id, digest, contradictions)
            case AcquireLease():
                self.swap_leases.lease_wanted = True
                self._log_waiting()
            case ConfirmLease():
                self.swap_leases.confirmation_wanted = True
            case ReleaseLease():
                self.swap_leases.lease_wanted = False
            case OrderVersion() | OrderAdapter():
                self._send_order(action)
            case event:
                self._log(event)

    def _send_order(self, order: OrderVersion | OrderAdapter) -> None:
        if isinstance(order, OrderVersion):
            self.load_checks.record_order(order)
        self.orders.send(order)

    def _open_gate(
        self, boot_id: str, digest: str, contradictions: int
    ) -> None:
        if not self.load_checks.is_confirmed(boot_id, digest):
            self.gate.close()
            return
        self.limiter.observe_boot(boot_id)
        if digest != self.gate.open_digest:
            # Concurrency ramps up again on the new weights.
            self.limiter.successes = 0
        self.gate.open(boot_id, digest, contradictions)

    def _log(self, event: UnexpectedWeights | DrainUnfinished) -> None:
        match event:
            case UnexpectedWeights(digest):
                emit(LogEvent.engine_digest_changed, digest=digest)
            case DrainUnfinished(running):
                emit(
                    LogEvent.drain_unfinished,
                    weights=self._wanted_label(),
                    running=running,
                )

    def _record_ended_orders(self, now_s: float) -> None:
        for order, accepted, spoilt in self.orders.collect_ended():
            match order:
                case OrderVersion():
                    self.load_checks.record_order_end()
                    self.policy.record_order_end(now_s, accepted=accepted)
                case OrderAdapter():
                    self.load_checks.record_adapter_order_end(
                        order, accepted=accepted, spoilt=spoilt
                    )
                    self.policy.record_adapter_order_end(
                        now_s, accepted=accepted
                    )
            if accepted:
                emit(LogEvent.order_accepted, order=order)

    def _waiting_hosts(self, spec: ServiceSpec) -> list[str]:
        """Return the agents that hold but do not serve the wanted version."""
        key = self.wanted or NO_VERSION
        digest = self.version_cache.digests().get(key, '')
        return [
            member.name
            for member in self.node.members
            if is_service_member(member, spec.name)
            and _has_staged(member, key, COMPLETE_PERMILLE)
            and not _serves_digest(member, digest)
        ]

    def _wanted_label(self) -> str:
        return '@'.join(self.wanted or ())

    def _log_waiting(self) -> None:
        reason = self.swap_leases.reason or 'other hosts have precedence'
        if reason != self.logged_wait_reason:
            self.logged_wait_reason = reason
            emit(
                LogEvent.swap_delayed,
                weights=self._wanted_label(),
                reason=reason,
            )

    def _adapt_rate_limits(self) -> None:
        share = self.governor.decide(time.monotonic())
        for rate_limiter in self.rate_limiters:
            rate_limiter.set_share(share)


def fill_versions(
    record: Member, version_cache: VersionCache, wanted: VersionKey | None
) -> None:
    """Fill in the versions of this host's membership record.

    Progress is published in quarters, so that a transfer to many hosts does
    not flood the gossip with changed records.
    """
    del record.versions[:]
    keys = set(version_cache.staging.reservations)
    if wanted is not None:
        keys.add(wanted)
    for key in sorted(keys):
        share = version_cache.progress(key)
        quarters = int(share * PROGRESS_STEPS)
        record.versions.add(
            model=key.model,
            version=key.version,
            progress=quarters * COMPLETE_PERMILLE // PROGRESS_STEPS,
        )


def _has_staged(member: Member, key: VersionKey, min_permille: int = 1) -> bool:
    return any(
        (held.model, held.version) == key and held.progress >= min_permille
        for held in member.versions
    )


def _serves_digest(member: Member, digest: str) -> bool:
    return any(state.digest == digest for state in member.services)
