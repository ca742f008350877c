"""The engine beside a loader, as an adapter speaks to it."""

from typing import NamedTuple, Protocol

from bramleylug.loader.policy import EngineState
from bramleylug.relay.upstreams import UpstreamReport
from bramleylug.weights.manifest import Manifest


class EngineUnavailable(Exception):
    """The engine did not answer, or refused a call."""


class DecodedReport(NamedTuple):
    """What an engine says of itself, for its loader and for the relays."""

    state: EngineState
    report: UpstreamReport


class LocalEngine(Protocol):
    """Calls to the engine of this host; each raises EngineUnavailable."""

    async def report(self, model: str, now_s: float) -> DecodedReport:
        """Return what it says of itself."""

    async def stage(self, model: str, index: int, chunk: bytes) -> None:
        """Lay a chunk beside the engine."""

    async def staged(self, model: str, index: int) -> bytes | None:
        """Return a chunk as it lies there, or ``None``."""

    async def load(
        self, manifest: Manifest, after_orders: int, *, interrupt: bool
    ) -> bool:
        """Order the engine to take what is staged.

        :param after_orders: orders that it must have accepted so far.
        :param interrupt: whether what runs is cut off instead of waited for.
        :returns: whether it accepted.
        """
