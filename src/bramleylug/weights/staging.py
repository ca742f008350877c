"""Chunks of versions staged on this host."""

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
SERVE_GRACE_S = 60.0


class StagingFullError(Exception):
    """There is no room for a version."""


class Room(NamedTuple):
    """A version's claim on the room.

    :ivar served_s: when a peer last read it.
    """

    size_bytes: int
    served_s: float


@final
class Staging:
    """Verified chunks in a memory-backed directory.

    A version grows in ``VERSION.partial`` and is committed by one rename.
    Safe to use from any thread.

    :param room_bytes: bound on the bytes of all versions.
    :ivar kept: versions that are in use or wanted, never evicted.
    :ivar chunks: set of the verified chunks of each version.
    """

    def __init__(
        self,
        folder: Path,
        room_bytes: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.folder = folder
        self.room_bytes = room_bytes
        self.clock = clock
        self.lock = RLock()
        self.rooms: dict[VersionKey, Room] = {}
        self.chunks: dict[VersionKey, int] = {}
        self.kept: frozenset[VersionKey] = frozenset()
        folder.mkdir(parents=True, exist_ok=True)

    def recover(self) -> tuple[Manifest, ...]:
        """Verify again what an earlier process left.

        :returns: the versions that are whole; others are dropped or, when
            partial, resumed from their sound chunks.
        """
        whole = []
        for path in sorted(self.folder.iterdir()):
            manifest = _read_manifest(path)
            if manifest is None:
                shutil.rmtree(path, ignore_errors=True)
                continue
            self._claim(manifest)
            if path.name.endswith(PARTIAL_SUFFIX):
                continue
            if self._is_whole(manifest, path):
                self._fill(manifest)
                whole.append(manifest)
            else:
                self.evict(manifest.key)
        return tuple(whole)

    def begin(self, manifest: Manifest) -> None:
        """Make room for a version and verify the chunks already staged.

        :raises StagingFullError: when it does not fit.
        """
        with self.lock:
            if manifest.key in self.chunks:
                return
            self._make_room(manifest)
            self._claim(manifest)
        if self.committed_path(manifest.key) is not None:
            self._fill(manifest)
            return
        partial = self._partial(manifest.key)
        partial.mkdir(parents=True, exist_ok=True)
        (partial / MANIFEST_NAME).write_bytes(manifest.to_json())
        sound = from_indices(self._sound_chunks(manifest, partial))
        self.chunks[manifest.key] = sound

    def add(self, manifest: Manifest, index: int, chunk: bytes) -> bool:
        """Keep a chunk if its hash matches.

        :returns: whether the chunk was sound.
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
        """Return a held chunk, or ``None``."""
        if not self.held(key) >> index & 1:
            return None
        target, partial = self._target(key), self._partial(key)
        for folder in (target, partial, target):
            try:
                chunk = (folder / _chunk_name(index)).read_bytes()
            except OSError:
                continue
            self._note_served(key)
            return chunk
        return None

    def held(self, key: VersionKey) -> int:
        """Return the set of the chunks held of a version."""
        return self.chunks.get(key, 0)

    def manifest(self, key: VersionKey) -> Manifest | None:
        """Return the manifest of a staged version."""
        for folder in (self._target(key), self._partial(key)):
            found = _read_manifest(folder)
            if found is not None:
                return found
        return None

    def commit(self, manifest: Manifest) -> Path | None:
        """Verify the whole and commit it by one rename.

        :returns: the committed folder, or ``None`` when it is not whole; a
            chunk that differs is dropped then, to be fetched again.
        """
        done = self.committed_path(manifest.key)
        if done is not None:
            return done
        partial = self._partial(manifest.key)
        if not self._is_whole(manifest, partial):
            sound = from_indices(self._sound_chunks(manifest, partial))
            self.chunks[manifest.key] = sound
            return None
        target = self._target(manifest.key)
        os.rename(partial, target)
        return target

    def committed_path(self, key: VersionKey) -> Path | None:
        """Return the folder of a committed version, or ``None``."""
        target = self._target(key)
        return target if target.is_dir() else None

    def evict(self, key: VersionKey) -> None:
        """Drop a version."""
        with self.lock:
            self.rooms.pop(key, None)
            self.chunks.pop(key, None)
            for folder in (self._target(key), self._partial(key)):
                shutil.rmtree(folder, ignore_errors=True)

    def _claim(self, manifest: Manifest) -> None:
        self.rooms[manifest.key] = Room(manifest.size_bytes, float('-inf'))

    def _fill(self, manifest: Manifest) -> None:
        count = len(manifest.chunk_hashes)
        self.chunks[manifest.key] = from_indices(range(count))

    def _note_served(self, key: VersionKey) -> None:
        with self.lock:
            room = self.rooms.get(key)
            if room is not None:
                self.rooms[key] = room._replace(served_s=self.clock())

    def _make_room(self, manifest: Manifest) -> None:
        missing = manifest.size_bytes - self.room_bytes
        missing += sum(
            room.size_bytes
            for key, room in self.rooms.items()
            if key != manifest.key
        )
        victims = self._victims(manifest.key)
        if missing > sum(self.rooms[key].size_bytes for key in victims):
            name = '@'.join(manifest.key)
            raise StagingFullError(
                f'{name} needs {manifest.size_bytes} bytes, {missing} more '
                f'than can be freed of {self.room_bytes}',
            )
        for key in victims:
            if missing <= 0:
                return
            missing -= self.rooms[key].size_bytes
            self.evict(key)

    def _victims(self, wanted: VersionKey) -> list[VersionKey]:
        """Return what may be evicted, versions still being served last."""
        recent_s = self.clock() - SERVE_GRACE_S
        free = [
            key for key in self.rooms if key not in self.kept and key != wanted
        ]
        return sorted(
            free,
            key=lambda key: (
                self.rooms[key].served_s > recent_s,
                self.committed_path(key) is not None,
                self.rooms[key].served_s,
            ),
        )

    def _is_whole(self, manifest: Manifest, folder: Path) -> bool:
        try:
            read = Manifest.from_chunks(
                *manifest.key,
                _read_chunks(folder, len(manifest.chunk_hashes)),
                manifest.chunk_bytes,
            )
        except OSError:
            return False
        return read == manifest

    def _sound_chunks(self, manifest: Manifest, folder: Path) -> Iterator[int]:
        for index, digest in enumerate(manifest.chunk_hashes):
            path = folder / _chunk_name(index)
            if path.exists():
                if chunk_hash(path.read_bytes()) == digest:
                    yield index
                else:
                    path.unlink()

    def _target(self, key: VersionKey) -> Path:
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
