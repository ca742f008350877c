"""Staging area of a host: verified chunks of versions, within a capacity."""

import os
import shutil
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from threading import RLock
from typing import NamedTuple, final

from bramleylug.weights.chunk_sets import from_indices
from bramleylug.weights.manifest import (
    Manifest,
    ManifestError,
    VersionKey,
    chunk_hash,
)

PARTIAL_SUFFIX = '.partial'
MANIFEST_NAME = 'manifest'
# A version read by a peer within this time is evicted last.
SERVE_GRACE_S = 60.0


class StagingFullError(Exception):
    """A version does not fit into the staging area."""


class Reservation(NamedTuple):
    """Space reserved for a version.

    :ivar served_s: when a chunk of it was last read.
    """

    size_bytes: int
    served_s: float


@final
class Staging:
    """Verified chunks in a memory-backed directory, a file for each.

    The chunks of a version are collected in ``MODEL@VERSION.partial``, which
    is committed by renaming it once all are verified. Safe to use from any
    thread.

    :param capacity_bytes: bound on the bytes of all versions together.
    :ivar reservations: space reserved for each staged version.
    :ivar chunks: set of the verified chunks of each version.
    :ivar protected: versions that are in use or wanted, never evicted.
    """

    def __init__(
        self,
        folder: Path,
        capacity_bytes: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.folder = folder
        self.capacity_bytes = capacity_bytes
        self.clock = clock
        self.lock = RLock()
        self.reservations: dict[VersionKey, Reservation] = {}
        self.chunks: dict[VersionKey, int] = {}
        self.protected: frozenset[VersionKey] = frozenset()
        folder.mkdir(parents=True, exist_ok=True)

    def recover(self) -> tuple[Manifest, ...]:
        """Verify again what an earlier process staged.

        A partial version stays, for :meth:`begin` to resume. A committed one
        that does not match its manifest is deleted, and so is anything
        without a valid manifest.

        :returns: the committed versions.
        """
        complete = []
        for path in sorted(self.folder.iterdir()):
            manifest = _read_manifest(path)
            if manifest is None:
                shutil.rmtree(path, ignore_errors=True)
                continue
            self._reserve(manifest)
            if path.name.endswith(PARTIAL_SUFFIX):
                continue
            if self._is_complete(manifest, path):
                self._mark_complete(manifest)
                complete.append(manifest)
            else:
                self.evict(manifest.key)
        return tuple(complete)

    def begin(self, manifest: Manifest) -> None:
        """Reserve space for a version and verify the chunks already staged.

        Evicts other versions when that is needed.

        :raises StagingFullError: when too little space can be freed.
        """
        with self.lock:
            if manifest.key in self.chunks:
                return
            self._free_space(manifest)
            self._reserve(manifest)
        if self.recheck(manifest):
            return
        partial = self._partial(manifest.key)
        partial.mkdir(parents=True, exist_ok=True)
        (partial / MANIFEST_NAME).write_bytes(manifest.to_json())
        valid = from_indices(self._valid_chunks(manifest, partial))
        self.chunks[manifest.key] = valid

    def add(self, manifest: Manifest, index: int, chunk: bytes) -> bool:
        """Stage a chunk if its hash matches.

        :returns: whether the chunk is valid and was written.
        """
        if chunk_hash(chunk) != manifest.chunk_hashes[index]:
            return False
        path = self._partial(manifest.key) / _chunk_name(index)
        draft = path.with_suffix('.draft')
        try:
            draft.write_bytes(chunk)
            os.replace(draft, path)
        except OSError:
            return False
        with self.lock:
            held = self.chunks.get(manifest.key)
            if held is not None:
                self.chunks[manifest.key] = held | 1 << index
        return True

    def read(self, key: VersionKey, index: int) -> bytes | None:
        """Return a chunk; ``None`` when it is not held."""
        if not self.held(key) >> index & 1:
            return None
        committed, partial = self._committed_folder(key), self._partial(key)
        # A commit renames the folder, also between two of these attempts.
        for folder in (committed, partial, committed):
            try:
                chunk = (folder / _chunk_name(index)).read_bytes()
            except OSError:
                continue
            self._record_served(key)
            return chunk
        return None

    def held(self, key: VersionKey) -> int:
        """Return the set of the chunks held of a version."""
        return self.chunks.get(key, 0)

    def manifest(self, key: VersionKey) -> Manifest | None:
        """Return the manifest of a staged version, or ``None``."""
        for folder in (self._committed_folder(key), self._partial(key)):
            found = _read_manifest(folder)
            if found is not None:
                return found
        return None

    def commit(self, manifest: Manifest) -> Path | None:
        """Verify all bytes of a version and commit it by one rename.

        :returns: the committed folder, or ``None`` when the version is
            incomplete; chunks that do not match are deleted then, so that
            they are fetched again.
        """
        path = self.committed_path(manifest.key)
        if path is not None:
            return path
        partial = self._partial(manifest.key)
        if not self._is_complete(manifest, partial):
            valid = from_indices(self._valid_chunks(manifest, partial))
            self.chunks[manifest.key] = valid
            return None
        committed = self._committed_folder(manifest.key)
        os.rename(partial, committed)
        return committed

    def recheck(self, manifest: Manifest) -> bool:
        """Verify a committed version again; it may have changed since.

        :returns: whether all of it matches the manifest. If not, it is
            partial again, without the chunks that do not match.
        """
        committed = self.committed_path(manifest.key)
        if committed is None:
            return False
        if self._is_complete(manifest, committed):
            self._mark_complete(manifest)
            return True
        with self.lock:
            partial = self._partial(manifest.key)
            # The version may have been evicted meanwhile.
            if manifest.key in self.reservations and committed.is_dir():
                shutil.rmtree(partial, ignore_errors=True)
                os.rename(committed, partial)
                self.chunks[manifest.key] = from_indices(
                    self._valid_chunks(manifest, partial)
                )
        return False

    def committed_path(self, key: VersionKey) -> Path | None:
        """Return the folder of a committed version, or ``None``."""
        committed = self._committed_folder(key)
        return committed if committed.is_dir() else None

    def evict(self, key: VersionKey) -> None:
        """Delete a version and free its space."""
        with self.lock:
            self.reservations.pop(key, None)
            self.chunks.pop(key, None)
            for folder in (self._committed_folder(key), self._partial(key)):
                shutil.rmtree(folder, ignore_errors=True)

    def _reserve(self, manifest: Manifest) -> None:
        self.reservations[manifest.key] = Reservation(
            manifest.size_bytes, float('-inf')
        )

    def _mark_complete(self, manifest: Manifest) -> None:
        count = len(manifest.chunk_hashes)
        self.chunks[manifest.key] = from_indices(range(count))

    def _record_served(self, key: VersionKey) -> None:
        with self.lock:
            reservation = self.reservations.get(key)
            if reservation is not None:
                self.reservations[key] = reservation._replace(
                    served_s=self.clock()
                )

    def _free_space(self, manifest: Manifest) -> None:
        missing = manifest.size_bytes - self.capacity_bytes
        missing += sum(
            reservation.size_bytes
            for key, reservation in self.reservations.items()
            if key != manifest.key
        )
        evictable = self._eviction_order(manifest.key)
        if missing > sum(
            self.reservations[key].size_bytes for key in evictable
        ):
            name = '@'.join(manifest.key)
            raise StagingFullError(
                f'{name} needs {manifest.size_bytes} bytes: {missing} of '
                f'{self.capacity_bytes} would have to be freed, which is more '
                'than the evictable versions hold',
            )
        for key in evictable:
            if missing <= 0:
                return
            missing -= self.reservations[key].size_bytes
            self.evict(key)

    def _eviction_order(self, wanted: VersionKey) -> list[VersionKey]:
        """Return the versions that may be evicted, in order.

        Versions that peers still read come last; of the others, partial
        ones come before committed ones.
        """
        recent_s = self.clock() - SERVE_GRACE_S
        unprotected = [
            key
            for key in self.reservations
            if key not in self.protected and key != wanted
        ]
        return sorted(
            unprotected,
            key=lambda key: (
                self.reservations[key].served_s > recent_s,
                self.committed_path(key) is not None,
                self.reservations[key].served_s,
            ),
        )

    def _is_complete(self, manifest: Manifest, folder: Path) -> bool:
        try:
            read = Manifest.from_chunks(
                *manifest.key,
                _read_chunks(folder, len(manifest.chunk_hashes)),
                manifest.chunk_bytes,
            )
        except OSError:
            return False
        return read == manifest

    def _valid_chunks(self, manifest: Manifest, folder: Path) -> Iterator[int]:
        for index, digest in enumerate(manifest.chunk_hashes):
            path = folder / _chunk_name(index)
            if path.exists():
                if chunk_hash(path.read_bytes()) == digest:
                    yield index
                else:
                    path.unlink()

    def _committed_folder(self, key: VersionKey) -> Path:
        return self.folder / '@'.join(key)

    def _partial(self, key: VersionKey) -> Path:
        return self.folder / ('@'.join(key) + PARTIAL_SUFFIX)


def _chunk_name(index: int) -> str:
    return f'{index:06d}'


def _read_chunks(folder: Path, count: int) -> Iterator[bytes]:
    for index in range(count):
        yield (folder / _chunk_name(index)).read_bytes()


def _read_manifest(folder: Path) -> Manifest | None:
    try:
        return Manifest.from_json((folder / MANIFEST_NAME).read_bytes())
    except (OSError, ManifestError):
        return None
