"""Decides whether the weights that the engine has loaded may serve.

An engine loads the staged chunks as they are when it accepts an order, and
they may become corrupt, or an order may arrive late, after they were verified.
Chunks that are read back sound after the order was accepted were sound then,
unless they were written in between, which only this process does.
"""

from collections.abc import Collection
from typing import NamedTuple, final

from bramleylug.cluster.held_weights import WeightsCheck
from bramleylug.loader.engine import LoadOrder
from bramleylug.loader.policy import EngineState
from bramleylug.weights.manifest import Manifest


class OrderCount(NamedTuple):
    """Number of orders that an incarnation of the engine has accepted."""

    started_ms: int
    accepted_orders: int


class SentOrder(NamedTuple):
    """The last order to load.

    :ivar number: the engine's count of orders once it has accepted this one.
    """

    number: int
    manifest: Manifest


class VersionLoad(NamedTuple):
    """A load of one version.

    :ivar version: version that the chunks are of. Another order may have been
        accepted in place of the one of this process, for another version.
    """

    orders: OrderCount
    version: int


@final
class WeightsAudit:
    """Tracks which of the engine's loads were found sound; performs no I/O.

    :ivar sound: the last load whose chunks were read back sound.
    :ivar corrupt: count at which layers were loaded that may be corrupt.
    :ivar inherited: count in the first report, if an earlier process has
        ordered that load.
    :ivar sent: the last order.
    :ivar may_be_pending: whether the engine may still accept, or may have
        accepted, an order whose answer is not known; at first one of an
        earlier process.
    :ivar unsettled: what this process has ordered without an answer. Until it
        is known whether the engine has loaded it, no chunk is written, so that
        a later process can tell by reading the chunks back.
    :ivar begun_after: count before the last order that has begun.
    :ivar rewritten: chunks that were written since that order was sent.
    :ivar reading: load whose chunks are being read back.
    :ivar read_sound: those of its chunks that were found sound.
    """

    def __init__(self) -> None:
        self.observed: OrderCount | None = None
        self.sound: VersionLoad | None = None
        self.corrupt: OrderCount | None = None
        self.inherited: OrderCount | None = None
        self.sent: SentOrder | None = None
        self.begun_after: OrderCount | None = None
        self.may_be_pending = True
        self.unsettled: Manifest | None = None
        self.rewritten: set[int] = set()
        self.reading: VersionLoad | None = None
        self.read_sound: set[int] = set()

    def observe(self, engine: EngineState) -> None:
        """Apply a report of the engine."""
        count = count_of(engine)
        if self.observed is None:
            self.inherited = count
        elif self.observed.started_ms != count.started_ms:
            # An order whose answer was lost may have reached this incarnation.
            self.corrupt = None
            self.sent = None
        self.observed = count

    def check(self, engine: EngineState) -> WeightsCheck:
        """Return what is known about the weights in a report.

        An engine that has accepted no order serves what it started with.
        """
        count = count_of(engine)
        found = VersionLoad(count, engine.version)
        if found == self.sound or not count.accepted_orders:
            return WeightsCheck.confirmed
        if count == self.inherited and self.corrupt is None:
            return WeightsCheck.unknown
        return WeightsCheck.unconfirmed

    def must_unload(self, engine: EngineState) -> bool:
        """Return whether the engine is to give up what it has loaded."""
        return engine.complete and count_of(engine) == self.corrupt

    def is_due(self, engine: EngineState) -> bool:
        """Return whether the staged chunks are to be read back now."""
        count = count_of(engine)
        if count == self.corrupt or not count.accepted_orders:
            return False
        is_read_back = self.sound is not None and self.sound.orders == count
        if engine.busy:
            return self._is_accepted(count) and not is_read_back
        return (
            engine.complete and self.check(engine) is not WeightsCheck.confirmed
        )

    def ordered_manifest(self, engine: EngineState) -> Manifest | None:
        """Return the manifest of this process's order if it is carried out.

        Whether it was accepted, or one of an earlier process in its place, is
        seen from the version that the engine holds in the end.
        """
        if self.sent is None or not self._is_accepted(count_of(engine)):
            return None
        return self.sent.manifest if engine.busy else None

    def record_write(self, index: int) -> None:
        """Record that a chunk is written to the staging area."""
        if self.may_be_pending:
            self.rewritten.add(index)

    def record_order(self, manifest: Manifest, order: LoadOrder) -> None:
        """Record that an order is sent."""
        self.sent = None
        if not order.unload:
            self.sent = SentOrder(order.after_orders + 1, manifest)

    def record_lost_answer(self) -> None:
        """Record that the engine may accept, or has accepted, an order."""
        self.may_be_pending = True
        if self.sent is not None:
            self.unsettled = self.sent.manifest

    def is_outdated(self, engine: EngineState) -> bool:
        """Return whether a report is older than the order that has begun.

        To stage chunks now might mend what the engine has just loaded.
        """
        return count_of(engine) == self.begun_after

    def record_begun(self, after_orders: int) -> None:
        """Record that the engine has accepted an order.

        Each order names the count before it, so that an earlier one can no
        longer be accepted.
        """
        if self.observed is not None:
            self.begun_after = self.observed._replace(
                accepted_orders=after_orders
            )
        self._forget_writes()

    def sound_chunks(self, engine: EngineState, version: int) -> set[int]:
        """Return the chunks of a load that are known to be sound, to add to.

        A chunk may fail to be read; the others need not be read again.
        """
        reading = VersionLoad(count_of(engine), version)
        if reading != self.reading:
            self.reading = reading
            self.read_sound = set()
        return self.read_sound

    def record_read_back(
        self, engine: EngineState, version: int, corrupt: Collection[int]
    ) -> frozenset[int]:
        """Record which staged chunks are corrupt after an order.

        A chunk that may have been written after the order was accepted says
        nothing about what was loaded.

        :param version: version that the chunks were compared with.
        :returns: the chunks that may have been corrupt when they were loaded.
        """
        suspect = frozenset(self.rewritten.union(corrupt))
        self._forget_writes()
        if suspect:
            self.corrupt = count_of(engine)
        else:
            self.corrupt = None
            self.sound = VersionLoad(count_of(engine), version)
        return suspect

    def _forget_writes(self) -> None:
        self.may_be_pending = False
        self.unsettled = None
        self.rewritten.clear()

    def _is_accepted(self, count: OrderCount) -> bool:
        return (
            self.sent is not None and self.sent.number == count.accepted_orders
        )


def count_of(engine: EngineState) -> OrderCount:
    return OrderCount(engine.started_ms, engine.accepted_orders)
