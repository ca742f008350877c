"""Messages from the threads of a transfer to the one that owns its state."""

from dataclasses import dataclass
from typing import final

from bramleylug.weights.peers import FailureReason
from bramleylug.wire.weights_pb2 import HeldChunks


@final
@dataclass(frozen=True, slots=True)
class PieceReceived:
    """A piece of a chunk arrived."""

    index: int
    size_bytes: int


@final
@dataclass(frozen=True, slots=True)
class ChunkStaged:
    """A verified chunk is staged."""

    index: int


@final
@dataclass(frozen=True, slots=True)
class FetchFailed:
    """A fetch ended without a valid chunk."""

    index: int
    reason: FailureReason


@final
@dataclass(frozen=True, slots=True)
class HoldingsReceived:
    """A peer's holdings; ``None`` when it did not answer."""

    peer: str
    held: HeldChunks | None


@final
@dataclass(frozen=True, slots=True)
class Stop:
    """The version is no longer wanted."""


TransferMessage = (
    PieceReceived | ChunkStaged | FetchFailed | HoldingsReceived | Stop
)
