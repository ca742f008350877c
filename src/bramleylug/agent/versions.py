"""Drives the life of model versions on this host."""

import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, final

from bramleylug.admission.limiter import Limiter
from bramleylug.agent.gate import Gate
from bramleylug.agent.replicas import choose_hosts, count_ready, serves
from bramleylug.agent.turns import SwapTurns, is_next
from bramleylug.agent.upstream import Upstream
from bramleylug.agent.version_policy import (
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
    VersionPolicy,
    WentBack,
)
from bramleylug.configuration.document import ServiceSpec
from bramleylug.node.node import Node
from bramleylug.observability.events import LogEvent, emit
from bramleylug.weights.governor import LinkGovernor
from bramleylug.weights.manifest import VersionKey
from bramleylug.weights.rates import LinkShare
from bramleylug.weights.stock import VersionStock
from bramleylug.weights.swarm import PeerAddress
from bramleylug.wire.membership_pb2 import Member
from bramleylug.wire.requests_pb2 import Head

POLL_S = 0.1
PROGRESS_STEPS = 4
WHOLE_PERMILLE = 1000
BOOT_HEADER = 'x-boot-id'

Order = Callable[[], dict[str, Any] | None]


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
        stock: VersionStock,
        shares: tuple[LinkShare, ...],
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
        self.turn_wanted = False
        self.confirm_wanted = False
        self.waits_for = ''
        self.wanted: VersionKey | None = None
        self.orders = ThreadPoolExecutor(2)
        self.ended: list[tuple[VersionAction, bool]] = []

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
                self._tend_turn(spec)
            time.sleep(POLL_S)
        self.turns.release()

    def watch_answer(self, head: Head, latency_s: float) -> None:
        """Close the gate when an answer contradicts it; note its latency."""
        boot_id = ''
        for header in head.headers:
            if header.name.lower() == BOOT_HEADER:
                boot_id = header.value
        self.gate.observe_answer(head.weights_digest, boot_id)
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

    def fill_versions(self, record: Member) -> None:
        """Fill the versions of the own membership record.

        Progress is told in quarters, so that a burst does not fill the
        gossip with changed records.
        """
        del record.versions[:]
        held = {*self.stock.staging.rooms}
        wanted = {self.wanted} if self.wanted is not None else set()
        for key in sorted(held | wanted):
            share = self.stock.progress(key)
            quarter = int(share * PROGRESS_STEPS)
            if share < 1:
                quarter = min(quarter, PROGRESS_STEPS - 1)
            record.versions.add(
                model=key.model,
                version=key.version,
                progress=quarter * WHOLE_PERMILLE // PROGRESS_STEPS,
            )

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
        key = VersionKey(spec.model, spec.version)
        self.wanted = key if is_chosen else None
        adapters = frozenset(map(_adapter_key, spec.adapters))
        keys = frozenset((key, *adapters)) if is_chosen else frozenset()
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
            turn_until_s=None if turn is None else turn.until_s,
            turn_confirmed_s=float('-inf')
            if turn is None
            else turn.confirmed_s,
            adapters={
                '@'.join(adapter): digests[adapter]
                for adapter in adapters
                if adapter in digests
            },
            surplus=not is_chosen and self._enough(spec, chosen, report),
        )

    def _chosen(self, spec: ServiceSpec) -> list[str]:
        return choose_hosts(
            spec,
            self.node.holder.document,
            self.node.members,
            self.node.settings.name,
        )

    def _enough(
        self, spec: ServiceSpec, chosen: list[str], report: EngineReport | None
    ) -> bool:
        """Tell whether the chosen hosts serve without this one."""
        digest = '' if report is None else report.digest
        ready = count_ready(self.node.members, chosen, spec.name, digest)
        return len(chosen) >= spec.replicas and ready >= len(chosen)

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
                self.limiter.observe_boot(f'{boot_id}/{digest}')
                self.gate.open(boot_id, digest, doubts)
            case TakeTurn():
                self.turn_wanted = True
                self._report_waiting()
            case ConfirmTurn():
                self.confirm_wanted = True
            case ReleaseTurn():
                self.turn_wanted = False
            case OrderVersion() | OrderAdapter():
                self._order(action)
            case WentBack(digest):
                emit(LogEvent.engine_went_back, digest=digest)
            case DrainUnfinished(running):
                emit(
                    LogEvent.drain_unfinished,
                    weights=self._wanted_name(),
                    running=running,
                )

    def _order(self, action: OrderVersion | OrderAdapter) -> None:
        order: dict[str, Any] = {'fencing': action.fencing}
        match action:
            case OrderVersion(key=key):
                order['path'] = str(self.stock.staging.committed_path(key))
            case OrderAdapter(adapter=adapter, load=True):
                path = self.stock.staging.committed_path(_adapter_key(adapter))
                order.update(adapter=adapter, path=str(path))
            case OrderAdapter(adapter=adapter):
                order.update(adapter=adapter, drop=True)
        future = self.orders.submit(self.upstream.order, order)
        future.add_done_callback(lambda done: self._end_order(action, done))

    def _end_order(
        self,
        action: VersionAction,
        done: Future[dict[str, Any] | None],
    ) -> None:
        accepted = done.exception() is None and done.result() is not None
        self.ended.append((action, accepted))

    def _note_ended(self, now_s: float) -> None:
        while self.ended:
            action, accepted = self.ended.pop(0)
            if isinstance(action, OrderVersion):
                self.policy.note_order_ended(now_s, accepted=accepted)
                if accepted:
                    emit(LogEvent.weights_loaded, digest=action.digest)
            else:
                self.policy.note_adapter_order_ended(now_s, accepted=accepted)

    def _tend_turn(self, spec: ServiceSpec) -> None:
        if not self.turn_wanted:
            self.turns.release()
            return
        waiting = [
            member.name
            for member in self.node.members
            if serves(member, spec.name)
            and not _serves_digest(member, self._wanted_digest())
        ]
        name = self.node.settings.name
        if is_next(name, waiting, spec.max_unavailable, spec.version):
            self.turns.take(spec.max_unavailable)
        confirm, self.confirm_wanted = self.confirm_wanted, False
        self.turns.keep(confirm=confirm)

    def _wanted_digest(self) -> str:
        wanted = self.wanted
        if wanted is None:
            return ''
        return self.stock.digests().get(wanted, '')

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
        queued = getattr(self.limiter, 'queued', 0)
        share = self.governor.decide(int(queued), time.monotonic())
        for link in self.shares:
            link.set_share(share)


def _adapter_key(adapter: str) -> VersionKey:
    model, _, version = adapter.partition('@')
    return VersionKey(model, version)


def _holds(member: Member, key: VersionKey) -> bool:
    return any(
        (held.model, held.version) == key and held.progress
        for held in member.versions
    )


def _serves_digest(member: Member, digest: str) -> bool:
    return any(state.digest == digest for state in member.services)
