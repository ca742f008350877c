"""Staging area of a fake engine, whose chunks may turn corrupt."""

import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple, final

MILLISECONDS = 1000
# A layer may be taken with a chunk that turned corrupt this recently.
TOLERATED_CORRUPT_MS = 3000


class Spoilage(NamedTuple):
    """When chunks turn corrupt.

    :ivar chunks: indices of the chunks; if empty, the chunk read last.
    :ivar read_backs: number of chunks, written and then read back since this
        was planned, after which they turn corrupt; 0 for at once.
    """

    chunks: tuple[int, ...]
    read_backs: int

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> 'Spoilage':
        return cls(
            tuple(document.get('chunks', ())),
            int(document.get('read_backs', 0)),
        )


class Flaw(NamedTuple):
    """What was wrong with a chunk of a layer when the layer was taken.

    :ivar corrupt_ms: for how long the chunk had been corrupt; ``None`` for a
        chunk that was missing or of other weights.
    """

    chunk: int
    corrupt_ms: int | None

    @property
    def tolerated(self) -> bool:
        return (
            self.corrupt_ms is not None
            and self.corrupt_ms <= TOLERATED_CORRUPT_MS
        )

    def __str__(self) -> str:
        if self.corrupt_ms is None:
            return f'chunk {self.chunk} was missing or of other weights'
        return f'chunk {self.chunk} had been corrupt for {self.corrupt_ms} ms'


class HeldLayer(NamedTuple):
    """A layer that an engine holds.

    :ivar flaw: worst flaw of its chunks; ``None`` if all were sound.
    """

    version: int
    flaw: Flaw | None = None


@final
class StagedChunks:
    """Chunks that a loader writes and reads back, and an engine takes.

    :ivar by_index: chunks as they are now.
    :ivar written: chunks written since the spoilage was planned.
    :ivar read_back: those of them that were read since.
    :ivar spoilt: number of times that a chunk turned corrupt.
    """

    def __init__(
        self,
        chunks: Iterable[bytes] = (),
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.by_index = dict(enumerate(chunks))
        self.clock = clock
        self.sound: dict[int, bytes] = {}
        self.corrupt_since_s: dict[int, float] = {}
        self.planned: Spoilage | None = None
        self.written: set[int] = set()
        self.read_back: set[int] = set()
        self.spoilt = 0

    def write(self, index: int, chunk: bytes) -> None:
        self.by_index[index] = chunk
        self.sound.pop(index, None)
        self.corrupt_since_s.pop(index, None)
        self.written.add(index)
        self.read_back.discard(index)

    def read(self, index: int) -> bytes | None:
        """Return a chunk, which may turn corrupt right after."""
        chunk = self.by_index.get(index)
        if index in self.written and index not in self.read_back:
            self.read_back.add(index)
            planned = self.planned
            if planned is not None and len(self.read_back) >= max(
                planned.read_backs, 1
            ):
                self.planned = None
                self.corrupt(planned.chunks or (index,))
        return chunk

    def plan(self, spoilage: Spoilage) -> None:
        """Have chunks turn corrupt, now or after they were read back."""
        self.written.clear()
        self.read_back.clear()
        if spoilage.read_backs:
            self.planned = spoilage
        else:
            self.corrupt(spoilage.chunks)

    def corrupt(self, indices: Iterable[int]) -> None:
        for index in indices:
            chunk = self.by_index.get(index)
            if chunk and index not in self.sound:
                self.sound[index] = chunk
                self.by_index[index] = bytes((chunk[0] ^ 1, *chunk[1:]))
                self.corrupt_since_s[index] = self.clock()
                self.spoilt += 1

    def take_layer(
        self,
        layer: int,
        layer_count: int,
        version: int,
        expected: Sequence[bytes],
    ) -> HeldLayer:
        """Return a layer as it is taken from the chunks now.

        :param layer_count: number of layers of the model.
        :param expected: sound chunks of the version.
        """
        first = layer * len(expected) // layer_count
        end = -(-(layer + 1) * len(expected) // layer_count)
        flaws = [
            flaw
            for index in range(first, end)
            if (flaw := self._flaw(index, expected[index])) is not None
        ]
        return HeldLayer(version, max(flaws, key=_severity, default=None))

    def _flaw(self, index: int, expected: bytes) -> Flaw | None:
        written = self.sound.get(index, self.by_index.get(index))
        if written != expected:
            return Flaw(index, None)
        since_s = self.corrupt_since_s.get(index)
        if since_s is None:
            return None
        return Flaw(index, round((self.clock() - since_s) * MILLISECONDS))


def _severity(flaw: Flaw) -> float:
    return float('inf') if flaw.corrupt_ms is None else flaw.corrupt_ms
