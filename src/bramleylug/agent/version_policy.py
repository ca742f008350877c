"""Decides when the engine gets another version and when requests may run."""

from enum import Enum, unique
from typing import final

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
from bramleylug.weights.manifest import VersionKey

DRAIN_S = 30.0
RETRY_S = 5.0
FENCING_BITS = 16
FENCING_MASK = (1 << FENCING_BITS) - 1


@final
@unique
class Phase(Enum):
    """Where a swap stands."""

    steady = 'steady'
    waiting = 'waiting'
    draining = 'draining'
    loading = 'loading'


@final
class VersionPolicy:
    """Life of versions on one engine, as a pure object.

    :ivar verified: digests of the versions committed on this host.
    :ivar reached: digest the gate was last opened with.
    """

    def __init__(self) -> None:
        self.verified: dict[str, VersionKey] = {}
        self.last_open_digest = ''
        self.phase = Phase.steady
        self.closed_s = 0.0
        self.retry_s = float('-inf')
        self.order_pending = False
        self.adapter_order_pending = False
        self.adapter_retry_s = float('-inf')
        self.unexpected_digest = ''

    def record_verified(self, key: VersionKey, digest: str) -> None:
        """Note that a version is whole, verified and committed."""
        self.verified[digest] = key

    def record_evicted(self, key: VersionKey) -> None:
        """Note that a version is no longer staged."""
        self.verified = {
            digest: held
            for digest, held in self.verified.items()
            if held != key
        }

    def record_order_end(self, now_s: float, *, accepted: bool) -> None:
        """Note that an order was answered, refused or timed out."""
        self.order_pending = False
        if not accepted:
            self.retry_s = now_s + RETRY_S

    def record_adapter_order_end(self, now_s: float, *, accepted: bool) -> None:
        """Note that an adapter order was answered, refused or timed out."""
        self.adapter_order_pending = False
        if not accepted:
            self.adapter_retry_s = now_s + RETRY_S

    def step(self, seen: Observation, now_s: float) -> list[VersionAction]:
        """Return what to do now."""
        if seen.report is None or seen.surplus:
            return [CloseGate(), *self._settle()]
        if self.order_pending:
            return [CloseGate()]
        goal = self._goal(seen.wanted)
        if seen.report.digest and seen.report.digest == goal:
            return [
                *self._serve(seen.report),
                *self._order_adapters(seen, seen.report, now_s),
            ]
        if self._may_serve(seen.report):
            return self._start_swap(seen, seen.report, goal, now_s)
        return self._recover(seen, seen.report, goal, now_s)

    def _goal(self, wanted: VersionKey | None) -> str:
        """Return the digest to load: the wanted one once it is verified."""
        for digest, key in self.verified.items():
            if key == wanted:
                return digest
        return self.last_open_digest

    def _may_serve(self, report: EngineReport) -> bool:
        return report.digest in self.verified and (
            self.last_open_digest in {'', report.digest}
        )

    def _serve(self, report: EngineReport) -> list[VersionAction]:
        if report.digest not in self.verified:
            return [CloseGate(), *self._settle()]
        self.last_open_digest = report.digest
        self.unexpected_digest = ''
        return [OpenGate(report.boot_id, report.digest), *self._settle()]

    def _order_adapters(
        self, seen: Observation, report: EngineReport, now_s: float
    ) -> list[VersionAction]:
        """Load or drop one adapter; the engine serves on meanwhile."""
        if self.adapter_order_pending or now_s < self.adapter_retry_s:
            return []
        fencing = next_fencing(seen.revision, report.fencing)
        for adapter, digest in seen.adapters.items():
            if report.adapters.get(adapter) != digest:
                self.adapter_order_pending = True
                return [OrderAdapter(adapter, load=True, fencing=fencing)]
        for adapter in report.adapters:
            if adapter not in seen.adapters:
                self.adapter_order_pending = True
                return [OrderAdapter(adapter, load=False, fencing=fencing)]
        return []

    def _settle(self) -> list[VersionAction]:
        if self.phase is Phase.steady:
            return []
        self.phase = Phase.steady
        return [ReleaseLease()]

    def _start_swap(
        self,
        seen: Observation,
        report: EngineReport,
        goal: str,
        now_s: float,
    ) -> list[VersionAction]:
        reopen = OpenGate(report.boot_id, report.digest)
        if goal in {'', report.digest} or now_s < self.retry_s:
            self.last_open_digest = report.digest
            return [reopen, *self._settle()]
        has_lease = seen.lease is not None and now_s < seen.lease.until_s
        if self.phase is Phase.draining:
            return self._drain(seen, report, goal, now_s, has_lease=has_lease)
        self.last_open_digest = report.digest
        if not has_lease:
            self.phase = Phase.waiting
            return [reopen, AcquireLease()]
        self.phase = Phase.draining
        self.closed_s = now_s
        return [CloseGate(), ConfirmLease()]

    def _drain(
        self,
        seen: Observation,
        report: EngineReport,
        goal: str,
        now_s: float,
        *,
        has_lease: bool,
    ) -> list[VersionAction]:
        late = now_s - self.closed_s >= DRAIN_S
        if late or not has_lease:
            self.retry_s = now_s + RETRY_S
            actions: list[VersionAction] = [
                OpenGate(report.boot_id, report.digest),
                *self._settle(),
            ]
            if seen.running:
                actions.append(DrainUnfinished(seen.running))
            return actions
        if seen.lease is None or seen.lease.confirmed_s < self.closed_s:
            return [CloseGate(), ConfirmLease()]
        if seen.running:
            return [CloseGate()]
        self.phase = Phase.loading
        return [CloseGate(), self._order(seen, report, goal)]

    def _recover(
        self,
        seen: Observation,
        report: EngineReport,
        goal: str,
        now_s: float,
    ) -> list[VersionAction]:
        """Load a cold engine, or one that went back; it needs no turn."""
        actions: list[VersionAction] = [CloseGate(), *self._settle()]
        if self.last_open_digest and report.digest not in {
            '',
            goal,
            self.unexpected_digest,
        }:
            self.unexpected_digest = report.digest
            actions.append(UnexpectedWeights(report.digest))
        if goal not in self.verified or seen.running or now_s < self.retry_s:
            return actions
        return [*actions, self._order(seen, report, goal)]

    def _order(
        self, seen: Observation, report: EngineReport, goal: str
    ) -> OrderVersion:
        self.order_pending = True
        fencing = next_fencing(seen.revision, report.fencing)
        return OrderVersion(self.verified[goal], goal, fencing)


def next_fencing(revision: int, seen: int) -> int:
    """Return the fencing number of a new order.

    Orders of a later revision pass those of an earlier one; within one
    revision each order passes the one before.

    :param seen: highest number the engine reports.
    """
    base = revision << FENCING_BITS
    if seen >> FENCING_BITS == revision:
        return min(seen + 1, base | FENCING_MASK)
    return base
