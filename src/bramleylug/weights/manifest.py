"""Manifest of a model version: sizes and SHA-256 hashes of its chunks."""

import hashlib
import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import repeat
from typing import NamedTuple, final

CHUNK_BYTES = 1024 * 1024
# Model and version form the name of a folder, ``model@version``.
NAME_PATTERN = re.compile(r'(?!\.)[^/@\0]+')
HASH_PATTERN = re.compile('[0-9a-f]{64}')


class VersionKey(NamedTuple):
    """Identifies one version of a model or adapter."""

    model: str
    version: str


class ManifestError(ValueError):
    """A manifest is malformed or contradicts itself."""


@final
@dataclass(frozen=True, slots=True)
class Manifest:
    """Sizes and hashes of one version; the fields are the keys of its JSON.

    :ivar chunk_bytes: size of each chunk; the last one may be shorter.
    :ivar chunk_hashes: SHA-256 of each chunk, in hex.
    :ivar digest: SHA-256 of all the bytes of the version, in hex.
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
        chunks: Iterable[bytes],
        chunk_bytes: int = CHUNK_BYTES,
    ) -> 'Manifest':
        """Compute the manifest of a version from its chunks in order."""
        digest = hashlib.sha256()
        hashes = []
        size_bytes = 0
        for chunk in chunks:
            digest.update(chunk)
            hashes.append(chunk_hash(chunk))
            size_bytes += len(chunk)
        return cls(
            model,
            version,
            size_bytes,
            chunk_bytes,
            tuple(hashes),
            digest.hexdigest(),
        )

    @classmethod
    def from_json(cls, text: bytes) -> 'Manifest':
        """Parse and validate a manifest.

        :raises ManifestError: when a field is missing or malformed.
        """
        try:
            fields = json.loads(text)
            fields['chunk_hashes'] = tuple(fields['chunk_hashes'])
            manifest = cls(**fields)
            manifest.validate()
        except Exception as error:
            # Deep nesting, for one, ends the parser with a RecursionError.
            raise ManifestError(f'invalid manifest: {error}') from error
        return manifest

    @property
    def key(self) -> VersionKey:
        return VersionKey(self.model, self.version)

    def validate(self) -> None:
        """Check that sizes, names and hashes are valid and consistent.

        :raises ValueError: when they are not.
        """
        count = -(-self.size_bytes // self.chunk_bytes)
        if self.size_bytes <= 0 or count != len(self.chunk_hashes):
            raise ValueError('size does not match the number of hashes')
        if not all(map(NAME_PATTERN.fullmatch, self.key)):
            raise ValueError(f'{self.key} is not a valid folder name')
        if not all(map(HASH_PATTERN.fullmatch, self.chunk_hashes)):
            raise ValueError('a chunk hash is not SHA-256 in hex')

    def to_json(self) -> bytes:
        return json.dumps(
            {name: getattr(self, name) for name in self.__slots__}
        ).encode()

    def manifest_hash(self) -> str:
        """Return the SHA-256 of the manifest's JSON, in hex."""
        return hashlib.sha256(self.to_json()).hexdigest()

    def chunk_range(self, index: int) -> tuple[int, int]:
        """Return the offset and the length of a chunk in bytes."""
        offset = index * self.chunk_bytes
        return offset, min(self.chunk_bytes, self.size_bytes - offset)


def chunk_hash(chunk: bytes) -> str:
    """Return the SHA-256 of a chunk in hex."""
    return hashlib.sha256(chunk).hexdigest()


def synthetic_chunks(
    seed: str, size_bytes: int, chunk_bytes: int = CHUNK_BYTES
) -> Iterator[bytes]:
    """Yield reproducible pseudo-random chunks, for tests and fakes."""
    block = hashlib.shake_256(seed.encode()).digest(chunk_bytes)
    for index, _ in enumerate(repeat(None, -(-size_bytes // chunk_bytes))):
        length = min(chunk_bytes, size_bytes - index * chunk_bytes)
        yield (index.to_bytes(8, 'big') + block)[:length]
