"""Drives the life of model versions on this host."""

import time
from typing import Any, final

from bramleylug.admission.limiter import Limiter
from bramleylug.agent.gate import Gate
from bramleylug.agent.orders import EngineOrders, adapter_key
from bramleylug.agent.replicas import HostChoice, has_enough, serves
from bramleylug.agent.turns import SwapTurns
from bramleylug.agent.upstream import Upstream
from bramleylug.agent.version_actions import (
    CloseGate,
    ConfirmTurn,
    DrainUnfinished,
    EngineReport,
    Observation,
    OpenGate,
    OrderAdapter,
    OrderVersion,
    ReleaseTurn,
    TakeTurn,
    VersionAction,
    WentBack,
)
from bramleylug.agent.version_policy import VersionPolicy
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
PROGRESS_STEPS = 4
WHOLE_PERMILLE = 1000
NO_VERSION = VersionKey('', '')


@final
class VersionKeeper:
    """Brings the configured version into the engine and opens the gate.

    :param shares: of the link, which give way to live traffic.
    """

    def __init__(
        self,
        node: Node,
        gate: Gate,
        limiter: Limiter,
        upstream: Upstream,
        stock: VersionCache,
        shares: tuple[LinkRateLimiter, ...],
    ) -> None:
        self.node = node
        self.gate = gate
        self.limiter = limiter
        self.upstream = upstream
        self.stock = stock
        self.shares = shares
        self.governor = LinkGovernor()
        self.policy = VersionPolicy()
        self.turns = SwapTurns(node.store, gate.service, node.settings.name)
        self.choice = HostChoice(node.settings.name)
        self.waits_for = ''
        self.wanted: VersionKey | None = None
        self.orders = EngineOrders(upstream, stock.staging)

    @property
    def progress(self) -> float:
        """Share of the wanted version's chunks that are held."""
        wanted = self.wanted
        return 0 if wanted is None else self.stock.progress(wanted)

    def run(self) -> None:
        """Work for as long as the node runs."""
        self.stock.recover()
        while not self.node.stopping:
            self.step()
            time.sleep(POLL_S)
        self.stock.close()

    def run_turns(self) -> None:
        """Take, keep and give back turns for as long as the node runs."""
        while not self.node.stopping:
            spec = self._spec()
            if spec is not None:
                waiting = self._waiting(spec) if self.turns.wanted else []
                self.turns.tend(spec, waiting)
            time.sleep(POLL_S)
        self.turns.release()

    def note_latency(self, latency_s: float) -> None:
        """Note the time to the first byte of a live answer."""
        self.governor.observe(
            latency_s, time.monotonic(), transferring=self.stock.transferring
        )

    def step(self) -> None:
        """Look at the engine and bring it one step on."""
        self._govern()
        spec = self._spec()
        if spec is None:
            self.gate.close()
            return
        doubts = self.gate.doubts
        state = self.upstream.state()
        if spec.kind == 'plain':
            self._open_plain(state)
            return
        report = None if state is None else EngineReport.from_state(state)
        seen = self._observe(spec, report)
        now_s = time.monotonic()
        self._note_ended(now_s)
        for action in self.policy.step(seen, now_s):
            self._act(action, doubts)

    def find_peers(self, key: VersionKey) -> dict[str, PeerAddress]:
        """Return the agents that want or hold a version."""
        spec = self._spec()
        chosen = set() if spec is None else set(self._chosen(spec))
        return {
            member.name: PeerAddress(member.grpc_address, member.region)
            for member in self.node.members
            if member.name != self.node.settings.name
            and (member.name in chosen or _holds(member, key))
        }

    def _spec(self) -> ServiceSpec | None:
        services = self.node.holder.document.services
        return services.get(self.gate.service)

    def _open_plain(self, state: dict[str, Any] | None) -> None:
        if state is None:
            self.gate.close()
            return
        self.limiter.observe_boot(str(state['boot_id']))
        self.gate.open(str(state['boot_id']), '')

    def _observe(
        self, spec: ServiceSpec, report: EngineReport | None
    ) -> Observation:
        chosen = self._chosen(spec)
        is_chosen = self.node.settings.name in chosen
        adapters = frozenset(map(adapter_key, spec.adapters))
        self.wanted = None
        keys: frozenset[VersionKey] = frozenset()
        if is_chosen:
            self.wanted = VersionKey(spec.model, spec.version)
            keys = adapters | {self.wanted}
        self.stock.want(keys, self._in_use(report))
        digests = self.stock.digests()
        self.policy.verified = {
            digest: held for held, digest in digests.items()
        }
        turn = self.turns.current()
        return Observation(
            wanted=self.wanted,
            revision=self.node.holder.document.revision,
            report=report,
            running=self.limiter.running,
            turn=turn,
            adapters={
                '@'.join(adapter): digests[adapter]
                for adapter in adapters
                if adapter in digests
            },
            surplus=not is_chosen
            and has_enough(spec, chosen, self.node.members),
        )

    def _chosen(self, spec: ServiceSpec) -> list[str]:
        return self.choice.find(
            spec,
            self.node.holder.document,
            self.node.members,
            time.monotonic(),
        )

    def _in_use(self, report: EngineReport | None) -> frozenset[VersionKey]:
        digests = {self.policy.reached, self.gate.open_digest}
        if report is not None:
            digests.update((report.digest, *report.adapters.values()))
        return frozenset(
            key
            for key, digest in self.stock.digests().items()
            if digest in digests
        )

    def _act(self, action: VersionAction, doubts: int) -> None:
        match action:
            case CloseGate():
                self.gate.close()
            case OpenGate(boot_id, digest):
                self._open(boot_id, digest, doubts)
            case TakeTurn():
                self.turns.wanted = True
                self._report_waiting()
            case ConfirmTurn():
                self.turns.confirm_wanted = True
            case ReleaseTurn():
                self.turns.wanted = False
            case OrderVersion() | OrderAdapter():
                self.orders.give(action)
            case notice:
                self._report(notice)

    def _open(self, boot_id: str, digest: str, doubts: int) -> None:
        self.limiter.observe_boot(boot_id)
        if digest != self.gate.open_digest:
            self.limiter.successes = 0
        self.gate.open(boot_id, digest, doubts)

    def _report(self, notice: WentBack | DrainUnfinished) -> None:
        match notice:
            case WentBack(digest):
                emit(LogEvent.engine_went_back, digest=digest)
            case DrainUnfinished(running):
                emit(
                    LogEvent.drain_unfinished,
                    weights=self._wanted_name(),
                    running=running,
                )

    def _note_ended(self, now_s: float) -> None:
        for order, accepted in self.orders.take_ended():
            match order:
                case OrderVersion():
                    self.policy.note_order_ended(now_s, accepted=accepted)
                case OrderAdapter():
                    self.policy.note_adapter_ended(now_s, accepted=accepted)
            if accepted:
                emit(LogEvent.weights_loaded, order=order)

    def _waiting(self, spec: ServiceSpec) -> list[str]:
        """Return the agents that hold the wanted version, not serving it."""
        key = self.wanted or NO_VERSION
        digest = self.stock.digests().get(key, '')
        return [
            member.name
            for member in self.node.members
            if serves(member, spec.name)
            and _holds(member, key, WHOLE_PERMILLE)
            and not _serves_digest(member, digest)
        ]

    def _wanted_name(self) -> str:
        return '@'.join(self.wanted or ())

    def _report_waiting(self) -> None:
        reason = self.turns.reason or 'another host goes first'
        if reason != self.waits_for:
            self.waits_for = reason
            emit(
                LogEvent.swap_waits,
                weights=self._wanted_name(),
                reason=reason,
            )

    def _govern(self) -> None:
        share = self.governor.decide(time.monotonic())
        for link in self.shares:
            link.set_share(share)


def fill_versions(
    record: Member, stock: VersionCache, wanted: VersionKey | None
) -> None:
    """Fill the versions of the own membership record.

    Progress is told in quarters, so that a burst does not fill the gossip
    with changed records.
    """
    del record.versions[:]
    keys = set(stock.staging.rooms)
    if wanted is not None:
        keys.add(wanted)
    for key in sorted(keys):
        share = stock.progress(key)
        quarters = int(share * PROGRESS_STEPS)
        record.versions.add(
            model=key.model,
            version=key.version,
            progress=quarters * WHOLE_PERMILLE // PROGRESS_STEPS,
        )


def _holds(member: Member, key: VersionKey, least_permille: int = 1) -> bool:
    return any(
        (held.model, held.version) == key and held.progress >= least_permille
        for held in member.versions
    )


def _serves_digest(member: Member, digest: str) -> bool:
    return any(state.digest == digest for state in member.services)
