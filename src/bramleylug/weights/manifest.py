"""Manifest of one model version: its chunks and their hashes."""

import hashlib
import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import repeat
from typing import final

CHUNK_BYTES = 1024 * 1024


class ManifestError(ValueError):
    """A manifest that cannot be read."""


@final
@dataclass(frozen=True, slots=True)
class Manifest:
    """Chunks of one version.

    :ivar chunk_hashes: SHA-256 of each chunk, in hex.
    :ivar digest: SHA-256 of the whole, in hex.
    """

    model: str
    version: str
    size_bytes: int
    chunk_bytes: int
    chunk_hashes: tuple[str, ...]
    digest: str

    @classmethod
    def from_pieces(
        cls,
        model: str,
        version: str,
        pieces: Iterable[bytes],
        chunk_bytes: int = CHUNK_BYTES,
    ) -> 'Manifest':
        """Build a manifest from pieces of one chunk each."""
        whole = hashlib.sha256()
        hashes = []
        size_bytes = 0
        for piece in pieces:
            whole.update(piece)
            hashes.append(chunk_hash(piece))
            size_bytes += len(piece)
        return cls(
            model,
            version,
            size_bytes,
            chunk_bytes,
            tuple(hashes),
            whole.hexdigest(),
        )

    @classmethod
    def from_json(cls, text: bytes) -> 'Manifest':
        """Read a manifest.

        :raises ManifestError: when a field is missing or malformed.
        """
        try:
            fields = json.loads(text)
            fields['chunk_hashes'] = tuple(fields['chunk_hashes'])
            return cls(**fields)
        except (ValueError, TypeError, KeyError) as error:
            raise ManifestError(f'manifest cannot be read: {error}') from error

    def to_json(self) -> bytes:
        """Return the manifest as JSON."""
        return json.dumps(
            {name: getattr(self, name) for name in self.__slots__}
        ).encode()

    def chunk_range(self, index: int) -> tuple[int, int]:
        """Return first byte and length of a chunk."""
        first = index * self.chunk_bytes
        return first, min(self.chunk_bytes, self.size_bytes - first)


def chunk_hash(chunk: bytes) -> str:
    """Return the SHA-256 of a chunk in hex."""
    return hashlib.sha256(chunk).hexdigest()


def synthetic_pieces(seed: str, size_bytes: int) -> Iterator[bytes]:
    """Yield chunks of repeatable pseudo-random bytes for stand-ins."""
    block = hashlib.shake_256(seed.encode()).digest(CHUNK_BYTES)
    for index, _ in enumerate(repeat(None, -(-size_bytes // CHUNK_BYTES))):
        length = min(CHUNK_BYTES, size_bytes - index * CHUNK_BYTES)
        yield (index.to_bytes(8, 'big') + block)[:length]
