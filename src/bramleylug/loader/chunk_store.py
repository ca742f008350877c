"""Verified chunks in the memory of this process."""

import hashlib
from collections.abc import Sequence
from typing import final

from bramleylug.weights.chunk_sets import all_chunks, from_indices
from bramleylug.weights.manifest import Manifest, chunk_hash

# The version that serves and the one that is on its way.
KEPT_VERSIONS = 2


@final
class ChunkStore:
    """Chunks of one version; only verified ones are taken in.

    :ivar chunks: verified bytes by index.
    """

    def __init__(self, manifest: Manifest) -> None:
        self.manifest = manifest
        self.chunks: dict[int, bytes] = {}

    @property
    def held(self) -> int:
        """Set of the chunks that are held."""
        return from_indices(self.chunks)

    @property
    def complete(self) -> bool:
        """Whether every chunk is held."""
        return self.held == all_chunks(len(self.manifest.chunk_hashes))

    def take(self, index: int, chunk: bytes) -> bool:
        """Take a chunk in if its bytes are right."""
        if not fits(self.manifest, index, chunk):
            return False
        self.chunks[index] = chunk
        return True


@final
class ChunkStores:
    """The newest versions of one model."""

    def __init__(self) -> None:
        self.by_version: dict[int, ChunkStore] = {}

    def newest_complete(self) -> ChunkStore | None:
        """Return the newest version of which every chunk is held."""
        whole_ones = [
            version
            for version, chunk_store in self.by_version.items()
            if chunk_store.complete
        ]
        return self.by_version[max(whole_ones)] if whole_ones else None

    def open(self, version: int, manifest: Manifest) -> ChunkStore:
        """Return the stock of a version; older ones may be dropped."""
        chunk_store = self.by_version.setdefault(version, ChunkStore(manifest))
        for old in sorted(self.by_version)[:-KEPT_VERSIONS]:
            self.by_version.pop(old)
        return chunk_store


def fits(manifest: Manifest, index: int, chunk: bytes) -> bool:
    """Tell whether bytes are those of a chunk."""
    return chunk_hash(chunk) == manifest.chunk_hashes[index]


def build_manifest(
    model: str, version: int, chunk_bytes: int, digests: Sequence[str]
) -> Manifest:
    """Return a manifest from the digests of its chunks.

    :raises ValueError: when they do not look like SHA-256 in hex.
    """
    whole_digest = hashlib.sha256(''.join(digests).encode()).hexdigest()
    manifest = Manifest(
        model,
        str(version),
        chunk_bytes * len(digests),
        chunk_bytes,
        tuple(digest.lower() for digest in digests),
        whole_digest,
    )
    manifest.validate()
    return manifest
