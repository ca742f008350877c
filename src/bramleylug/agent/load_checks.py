"""Confirms that an engine loaded sound files, by verifying them afterwards."""

from collections.abc import Callable, Mapping
from concurrent.futures import Future
from dataclasses import replace
from typing import NamedTuple, Protocol, final

from bramleylug.agent.version_actions import (
    EngineReport,
    OrderAdapter,
    OrderVersion,
)
from bramleylug.weights.manifest import VersionKey

Recheck = Callable[[VersionKey], bool]
Submit = Callable[[Recheck, VersionKey], Future[bool]]


class StagedVersions(Protocol):
    """Versions that are staged on this host."""

    def recheck(self, key: VersionKey) -> bool:
        """Verify a version again; return whether it is sound."""

    def staging_count(self, key: VersionKey) -> int:
        """Return how often this process has staged a version."""


class EngineLoad(NamedTuple):
    """A version that the engine reports.

    :ivar orders: version orders sent before it was reported.
    """

    boot_id: str
    digest: str
    orders: int


class RunningCheck(NamedTuple):
    """Verification of the files of a load, in another thread."""

    load: EngineLoad
    result: Future[bool]


class SentOrder(NamedTuple):
    """The latest order of a version.

    :ivar staging: which staging of the version it names.
    """

    fencing: int
    staging: int


@final
class LoadChecks:
    """Decides whether a load of the engine may serve requests.

    Staged files may change between their verification and the moment at which
    the engine reads them. Those that are sound after a load were sound during
    it, as long as they have not been staged anew meanwhile.

    :param staged: versions that are staged on this host.
    :param submit: runs a verification in another thread.
    :ivar confirmed: load whose files were sound afterwards.
    :ivar pending: whether a version order has not ended yet.
    :ivar spoilt_adapters: adapters whose files were not sound after their
        latest order, as ``model@version``.
    """

    def __init__(self, staged: StagedVersions, submit: Submit) -> None:
        self.staged = staged
        self.submit = submit
        self.confirmed: EngineLoad | None = None
        self.check: RunningCheck | None = None
        self.sent: dict[str, SentOrder] = {}
        self.orders = 0
        self.pending = False
        self.spoilt_adapters: set[str] = set()

    def record_order(self, order: OrderVersion) -> None:
        """Record that a version order is sent."""
        self.sent[order.digest] = SentOrder(
            order.fencing, self.staged.staging_count(order.key)
        )
        self.orders += 1
        self.pending = True

    def record_order_end(self) -> None:
        """Record that a version order was accepted, refused or timed out."""
        self.pending = False

    def record_adapter_order_end(
        self, order: OrderAdapter, *, accepted: bool, spoilt: bool
    ) -> None:
        """Record the result of an order to load or to drop an adapter."""
        if spoilt:
            self.spoilt_adapters.add(order.adapter)
        elif accepted:
            self.spoilt_adapters.discard(order.adapter)

    def observe(
        self, report: EngineReport, verified: Mapping[str, VersionKey]
    ) -> EngineReport:
        """Begin the check of a load that is not confirmed yet.

        :param verified: verified versions by digest.
        :returns: the report; without weights when these were loaded from
            other files than those that are staged now, and without the
            digests of spoilt adapters, so that these are loaded again.
        """
        self._collect()
        key = verified.get(report.digest)
        if key is None:
            return report
        if not self._is_from_staged_files(report, key):
            return replace(report, digest='', adapters={})
        load = self._load(report.boot_id, report.digest)
        idle = self.check is None and not self.pending
        if idle and load != self.confirmed:
            result = self.submit(self.staged.recheck, key)
            self.check = RunningCheck(load, result)
        return replace(report, adapters=self._sound_adapters(report))

    def is_confirmed(self, boot_id: str, digest: str) -> bool:
        """Return whether the files of a load were sound afterwards."""
        return self._load(boot_id, digest) == self.confirmed

    def _load(self, boot_id: str, digest: str) -> EngineLoad:
        return EngineLoad(boot_id, digest, self.orders)

    def _is_from_staged_files(
        self, report: EngineReport, key: VersionKey
    ) -> bool:
        staging = self.staged.staging_count(key)
        order = self.sent.get(report.digest)
        if order is None:
            # An earlier process of this agent may have ordered it.
            return staging == 0
        return order.staging == staging and report.fencing >= order.fencing

    def _sound_adapters(self, report: EngineReport) -> dict[str, str]:
        return {
            adapter: '' if adapter in self.spoilt_adapters else digest
            for adapter, digest in report.adapters.items()
        }

    def _collect(self) -> None:
        check = self.check
        if check is None or not check.result.done():
            return
        self.check = None
        if check.result.exception() is None and check.result.result():
            self.confirmed = check.load
