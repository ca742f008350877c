"""Decides when to load a version on the engine and when to admit requests."""

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

# A swap is abandoned when requests still run after this time.
DRAIN_S = 30.0
# Pause after a refused order or an abandoned swap.
RETRY_S = 5.0
# Low bits of a fencing number, which count the orders of one revision; the
# revision is in the high bits.
FENCING_BITS = 16
FENCING_MASK = (1 << FENCING_BITS) - 1


@final
@unique
class Phase(Enum):
    """Phase of a swap of the engine's version."""

    steady = 'steady'
    waiting = 'waiting'
    draining = 'draining'
    loading = 'loading'


@final
class VersionPolicy:
    """Decides on versions for one engine, without clock, input or output.

    A serving engine is swapped under a lease: the gate closes, running
    requests end, the store confirms the lease, and only then is the engine
    ordered to load. An engine that serves nothing valid is ordered to load
    at once.

    :ivar verified: versions committed on this host, by digest.
    :ivar last_open_digest: digest the gate was last opened with.
    :ivar drain_started_s: when the gate was closed for a swap.
    :ivar order_retry_s: earliest time of the next version order.
    :ivar adapter_retry_s: earliest time of the next adapter order.
    :ivar unexpected_digest: digest last reported as unexpected, so that it
        is reported once.
    """

    def __init__(self) -> None:
        self.verified: dict[str, VersionKey] = {}
        self.last_open_digest = ''
        self.phase = Phase.steady
        self.drain_started_s = 0.0
        self.order_retry_s = float('-inf')
        self.version_order_pending = False
        self.adapter_order_pending = False
        self.adapter_retry_s = float('-inf')
        self.unexpected_digest = ''

    def record_verified(self, key: VersionKey, digest: str) -> None:
        """Record that a version is committed."""
        self.verified[digest] = key

    def record_evicted(self, key: VersionKey) -> None:
        """Record that a version is no longer staged."""
        self.verified = {
            digest: held
            for digest, held in self.verified.items()
            if held != key
        }

    def record_order_end(self, now_s: float, *, accepted: bool) -> None:
        """Record that a version order was accepted, refused or timed out."""
        self.version_order_pending = False
        if not accepted:
            self.order_retry_s = now_s + RETRY_S

    def record_adapter_order_end(self, now_s: float, *, accepted: bool) -> None:
        """Record that an adapter order was accepted, refused or timed out."""
        self.adapter_order_pending = False
        if not accepted:
            self.adapter_retry_s = now_s + RETRY_S

    def step(
        self, observation: Observation, now_s: float
    ) -> list[VersionAction]:
        """Return the actions to take on an observation."""
        if observation.report is None or observation.is_surplus:
            return [CloseGate(), *self._end_swap()]
        if self.version_order_pending:
            return [CloseGate()]
        target_digest = self._target_digest(observation.wanted)
        if (
            observation.report.digest
            and observation.report.digest == target_digest
        ):
            return [
                *self._serve_target(observation.report),
                *self._order_adapters(observation, observation.report, now_s),
            ]
        if self._may_serve(observation.report):
            return self._swap(
                observation, observation.report, target_digest, now_s
            )
        return self._reload(
            observation, observation.report, target_digest, now_s
        )

    def _target_digest(self, wanted: VersionKey | None) -> str:
        """Return the wanted version's digest once that is verified.

        Until then the digest that the gate was last opened with.
        """
        for digest, key in self.verified.items():
            if key == wanted:
                return digest
        return self.last_open_digest

    def _may_serve(self, report: EngineReport) -> bool:
        """Return whether the engine may keep serving another version."""
        return report.digest in self.verified and (
            self.last_open_digest in {'', report.digest}
        )

    def _serve_target(self, report: EngineReport) -> list[VersionAction]:
        if report.digest not in self.verified:
            return [CloseGate(), *self._end_swap()]
        self.last_open_digest = report.digest
        self.unexpected_digest = ''
        return [OpenGate(report.boot_id, report.digest), *self._end_swap()]

    def _order_adapters(
        self, observation: Observation, report: EngineReport, now_s: float
    ) -> list[VersionAction]:
        """Load or drop one adapter; the engine keeps serving meanwhile."""
        if self.adapter_order_pending or now_s < self.adapter_retry_s:
            return []
        fencing = next_fencing(observation.revision, report.fencing)
        for adapter, digest in observation.adapters.items():
            if report.adapters.get(adapter) != digest:
                self.adapter_order_pending = True
                return [OrderAdapter(adapter, load=True, fencing=fencing)]
        for adapter in report.adapters:
            if adapter not in observation.adapters:
                self.adapter_order_pending = True
                return [OrderAdapter(adapter, load=False, fencing=fencing)]
        return []

    def _end_swap(self) -> list[VersionAction]:
        if self.phase is Phase.steady:
            return []
        self.phase = Phase.steady
        return [ReleaseLease()]

    def _swap(
        self,
        observation: Observation,
        report: EngineReport,
        target_digest: str,
        now_s: float,
    ) -> list[VersionAction]:
        open_gate = OpenGate(report.boot_id, report.digest)
        if target_digest in {'', report.digest} or now_s < self.order_retry_s:
            self.last_open_digest = report.digest
            return [open_gate, *self._end_swap()]
        has_lease = (
            observation.lease is not None and now_s < observation.lease.until_s
        )
        if self.phase is Phase.draining:
            return self._drain(
                observation, report, target_digest, now_s, has_lease=has_lease
            )
        self.last_open_digest = report.digest
        if not has_lease:
            self.phase = Phase.waiting
            return [open_gate, AcquireLease()]
        self.phase = Phase.draining
        self.drain_started_s = now_s
        return [CloseGate(), ConfirmLease()]

    def _drain(
        self,
        observation: Observation,
        report: EngineReport,
        target_digest: str,
        now_s: float,
        *,
        has_lease: bool,
    ) -> list[VersionAction]:
        timed_out = now_s - self.drain_started_s >= DRAIN_S
        if timed_out or not has_lease:
            self.order_retry_s = now_s + RETRY_S
            actions: list[VersionAction] = [
                OpenGate(report.boot_id, report.digest),
                *self._end_swap(),
            ]
            if observation.running:
                actions.append(DrainUnfinished(observation.running))
            return actions
        if (
            observation.lease is None
            or observation.lease.confirmed_s < self.drain_started_s
        ):
            return [CloseGate(), ConfirmLease()]
        if observation.running:
            return [CloseGate()]
        self.phase = Phase.loading
        return [CloseGate(), self._order(observation, report, target_digest)]

    def _reload(
        self,
        observation: Observation,
        report: EngineReport,
        target_digest: str,
        now_s: float,
    ) -> list[VersionAction]:
        """Load an engine that is cold or reports unexpected weights.

        It needs no lease, since it serves no requests.
        """
        actions: list[VersionAction] = [CloseGate(), *self._end_swap()]
        if self.last_open_digest and report.digest not in {
            '',
            target_digest,
            self.unexpected_digest,
        }:
            self.unexpected_digest = report.digest
            actions.append(UnexpectedWeights(report.digest))
        if (
            target_digest not in self.verified
            or observation.running
            or now_s < self.order_retry_s
        ):
            return actions
        return [*actions, self._order(observation, report, target_digest)]

    def _order(
        self, observation: Observation, report: EngineReport, target_digest: str
    ) -> OrderVersion:
        self.version_order_pending = True
        fencing = next_fencing(observation.revision, report.fencing)
        return OrderVersion(
            self.verified[target_digest], target_digest, fencing
        )


def next_fencing(revision: int, reported: int) -> int:
    """Return the fencing number of a new order.

    It is higher than that of every order of an earlier revision, and than
    that of earlier orders of the same revision.

    :param revision: revision of the configuration that the order is for.
    :param reported: highest number that the engine reports.
    """
    base = revision << FENCING_BITS
    if reported >> FENCING_BITS == revision:
        return min(reported + 1, base | FENCING_MASK)
    return base
