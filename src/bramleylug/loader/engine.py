"""Interface to the engine of this host, implemented by the adapter."""

from enum import Enum, unique
from typing import NamedTuple, Protocol, final

from bramleylug.cluster.upstreams import UpstreamReport
from bramleylug.loader.policy import EngineState
from bramleylug.weights.manifest import Manifest


class EngineUnavailable(Exception):
    """The engine did not answer, or answered a call with an error."""


class DecodedReport(NamedTuple):
    """An engine's report, decoded for its loader and for the relays."""

    state: EngineState
    report: UpstreamReport


@final
@unique
class OrderAnswer(Enum):
    """How the engine answered an order to load."""

    began = 'began'
    in_effect = 'in effect'
    refused = 'refused'


class LoadOrder(NamedTuple):
    """Order to load staged chunks.

    :ivar after_orders: number of orders that the engine must have accepted so
        far; otherwise it refuses this one.
    :ivar interrupt: whether running requests are cut off instead of waited
        for.
    :ivar unload: whether the engine is to give up all layers instead.
    """

    after_orders: int
    interrupt: bool
    unload: bool = False


class LocalEngine(Protocol):
    """Calls to the engine; all may raise :class:`EngineUnavailable`."""

    async def report(self, model: str, now_s: float) -> DecodedReport:
        """Return the engine's current report.

        :param model: model whose weights the state describes.
        :param now_s: time that the report is stamped with.
        """

    async def stage(self, model: str, index: int, chunk: bytes) -> None:
        """Write a chunk to the engine's staging area."""

    async def read_staged(self, model: str, index: int) -> bytes | None:
        """Return a staged chunk, not verified; ``None`` if absent."""

    async def load(self, manifest: Manifest, order: LoadOrder) -> OrderAnswer:
        """Order the engine to load the staged chunks, as they are by then."""
