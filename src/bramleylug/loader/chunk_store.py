"""Holds verified chunks of weights in memory."""

import hashlib
from collections.abc import Callable, Iterable, Sequence
from typing import final

from bramleylug.weights.chunk_sets import all_chunks, from_indices
from bramleylug.weights.manifest import Manifest, chunk_hash

# The version that the engine serves and the one that is being downloaded.
KEPT_VERSIONS = 2


@final
class ChunkStore:
    """Verified chunks of one version.

    :ivar chunks: verified bytes by index.
    """

    def __init__(self, manifest: Manifest) -> None:
        self.manifest = manifest
        self.chunks: dict[int, bytes] = {}

    @property
    def held(self) -> int:
        """Held chunks as a set of bits, one for each index."""
        return from_indices(self.chunks)

    @property
    def complete(self) -> bool:
        """Whether every chunk of the version is held."""
        return self.held == all_chunks(len(self.manifest.chunk_hashes))

    def add(self, index: int, chunk: bytes) -> bool:
        """Add a chunk if its hash matches; return whether it does."""
        if not matches_manifest(self.manifest, index, chunk):
            return False
        self.chunks[index] = chunk
        return True


@final
class ChunkStores:
    """Chunk stores of the newest versions of one model.

    :param may_load: returns whether the engine may load a version; without
        it, it may load all.
    """

    def __init__(self, may_load: Callable[[int], bool] | None = None) -> None:
        self.by_version: dict[int, ChunkStore] = {}
        self.may_load = may_load or bool

    def newest_complete(self) -> ChunkStore | None:
        """Return the newest version that is complete, if there is one."""
        return self._newest(self._complete())

    def newest_loadable(self) -> ChunkStore | None:
        """Return the newest complete version that the engine may load."""
        return self._newest(filter(self.may_load, self._complete()))

    def find(self, version: int) -> ChunkStore | None:
        """Return the chunk store of a version; version 0 means the newest."""
        if not version:
            version = max(self.by_version, default=0)
        return self.by_version.get(version)

    def open(self, version: int, manifest: Manifest) -> ChunkStore:
        """Return the chunk store of a version; create it if there is none.

        Only the newest :data:`KEPT_VERSIONS` versions stay in memory.
        """
        chunk_store = self.by_version.setdefault(version, ChunkStore(manifest))
        for old in sorted(self.by_version)[:-KEPT_VERSIONS]:
            self.by_version.pop(old)
        return chunk_store

    def _complete(self) -> list[int]:
        return [
            version
            for version, chunk_store in self.by_version.items()
            if chunk_store.complete
        ]

    def _newest(self, versions: Iterable[int]) -> ChunkStore | None:
        return self.by_version.get(max(versions, default=-1))


def matches_manifest(manifest: Manifest, index: int, chunk: bytes) -> bool:
    """Return whether the hash of a chunk is the one in the manifest."""
    return chunk_hash(chunk) == manifest.chunk_hashes[index]


def build_manifest(
    model: str, version: int, chunk_bytes: int, digests: Sequence[str]
) -> Manifest:
    """Return a manifest from the digests of its chunks.

    :raises ValueError: if they are not SHA-256 digests in hexadecimal.
    """
    digest_of_digests = hashlib.sha256(''.join(digests).encode()).hexdigest()
    manifest = Manifest(
        model,
        str(version),
        chunk_bytes * len(digests),
        chunk_bytes,
        tuple(digest.lower() for digest in digests),
        digest_of_digests,
    )
    manifest.validate()
    return manifest
