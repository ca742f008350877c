"""Manifest of one model version: its chunks and their hashes."""

import hashlib
import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import repeat
from typing import NamedTuple, final

CHUNK_BYTES = 1024 * 1024
NAME_PATTERN = re.compile(r'(?!\.)[^/@\0]+')
HASH_PATTERN = re.compile('[0-9a-f]{64}')


class VersionKey(NamedTuple):
    """Names one version of a model or adapter."""

    model: str
    version: str


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
    def from_chunks(
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
            manifest = cls(**fields)
            manifest.validate()
        except (ValueError, TypeError, KeyError) as error:
            raise ManifestError(f'manifest cannot be read: {error}') from error
        return manifest

    @property
    def key(self) -> VersionKey:
        """Model and version."""
        return VersionKey(self.model, self.version)

    def validate(self) -> None:
        """Check that sizes, names and hashes fit one another.

        :raises ValueError: when they do not.
        """
        count = -(-self.size_bytes // self.chunk_bytes)
        if self.size_bytes <= 0 or count != len(self.chunk_hashes):
            raise ValueError('sizes and hashes do not fit')
        if not all(map(NAME_PATTERN.fullmatch, self.key)):
            raise ValueError(f'{self.key} cannot name a folder')
        if not all(map(HASH_PATTERN.fullmatch, self.chunk_hashes)):
            raise ValueError('a chunk hash is not SHA-256 in hex')

    def to_json(self) -> bytes:
        """Return the manifest as JSON."""
        return json.dumps(
            {name: getattr(self, name) for name in self.__slots__}
        ).encode()

    def seal(self) -> str:
        """Return the SHA-256 of the manifest itself, in hex."""
        return hashlib.sha256(self.to_json()).hexdigest()

    def chunk_range(self, index: int) -> tuple[int, int]:
        """Return first byte and length of a chunk."""
        first = index * self.chunk_bytes
        return first, min(self.chunk_bytes, self.size_bytes - first)


def chunk_hash(chunk: bytes) -> str:
    """Return the SHA-256 of a chunk in hex."""
    return hashlib.sha256(chunk).hexdigest()


def synthetic_chunks(
    seed: str, size_bytes: int, chunk_bytes: int = CHUNK_BYTES
) -> Iterator[bytes]:
    """Yield chunks of repeatable pseudo-random bytes for stand-ins."""
    block = hashlib.shake_256(seed.encode()).digest(chunk_bytes)
    for index, _ in enumerate(repeat(None, -(-size_bytes // chunk_bytes))):
        length = min(chunk_bytes, size_bytes - index * chunk_bytes)
        yield (index.to_bytes(8, 'big') + block)[:length]
