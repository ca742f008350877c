"""Chunks of versions staged on this host."""

import os
import shutil
from pathlib import Path
from typing import final

from bramleylug.weights.manifest import Manifest, chunk_hash

PARTIAL_SUFFIX = '.partial'


class StagingFullError(Exception):
    """There is no room for a version."""


@final
class Staging:
    """Verified chunks in a memory-backed directory.

    A version grows in ``VERSION.partial`` and is committed by one rename.

    :param room_bytes: bound on the bytes of all versions.
    """

    def __init__(self, folder: Path, room_bytes: int) -> None:
        self.folder = folder
        self.room_bytes = room_bytes
        self.sizes: dict[tuple[str, str], int] = {}
        folder.mkdir(parents=True, exist_ok=True)

    def begin(self, manifest: Manifest) -> None:
        """Make room for a version.

        :raises StagingFullError: when it does not fit.
        """
        key = (manifest.model, manifest.version)
        others = sum(size for other, size in self.sizes.items() if other != key)
        if others + manifest.size_bytes > self.room_bytes:
            raise StagingFullError(
                f'{manifest.size_bytes} bytes of {key} do not fit: '
                f'{others} of {self.room_bytes} are taken',
            )
        self.sizes[key] = manifest.size_bytes
        partial = self._partial(manifest)
        if not self.committed_path(manifest.model, manifest.version):
            partial.mkdir(parents=True, exist_ok=True)
            (partial / 'manifest').write_bytes(manifest.to_json())

    def add(self, manifest: Manifest, index: int, chunk: bytes) -> bool:
        """Keep a chunk if its hash matches.

        :returns: whether the chunk was sound.
        """
        if chunk_hash(chunk) != manifest.chunk_hashes[index]:
            return False
        path = self._partial(manifest) / f'{index:06d}'
        draft = path.with_suffix('.draft')
        draft.write_bytes(chunk)
        os.replace(draft, path)
        return True

    def read(self, model: str, version: str, index: int) -> bytes | None:
        """Return a held chunk, or ``None``."""
        for folder in self._folders(model, version):
            path = folder / f'{index:06d}'
            if path.exists():
                return path.read_bytes()
        return None

    def held(self, manifest: Manifest) -> set[int]:
        """Return the indices of the chunks held."""
        for folder in self._folders(manifest.model, manifest.version):
            if folder.is_dir():
                return {
                    int(path.name)
                    for path in folder.iterdir()
                    if path.name.isdigit()
                }
        return set()

    def commit(self, manifest: Manifest) -> Path | None:
        """Verify the whole and commit it by one rename.

        :returns: the committed folder, or ``None`` when it is not whole.
        """
        done = self.committed_path(manifest.model, manifest.version)
        if done is not None:
            return done
        partial = self._partial(manifest)
        count = len(manifest.chunk_hashes)
        try:
            read = Manifest.from_pieces(
                manifest.model,
                manifest.version,
                ((partial / f'{at:06d}').read_bytes() for at in range(count)),
                manifest.chunk_bytes,
            )
        except OSError:
            return None
        if read != manifest:
            return None
        target = self._target(manifest.model, manifest.version)
        os.rename(partial, target)
        return target

    def committed_path(self, model: str, version: str) -> Path | None:
        """Return the folder of a committed version, or ``None``."""
        target = self._target(model, version)
        return target if target.is_dir() else None

    def evict(self, model: str, version: str) -> None:
        """Drop a version."""
        self.sizes.pop((model, version), None)
        for folder in self._folders(model, version):
            shutil.rmtree(folder, ignore_errors=True)

    def _folders(self, model: str, version: str) -> tuple[Path, Path]:
        target = self._target(model, version)
        return target, target.with_name(target.name + PARTIAL_SUFFIX)

    def _target(self, model: str, version: str) -> Path:
        return self.folder / f'{model}@{version}'

    def _partial(self, manifest: Manifest) -> Path:
        return self._folders(manifest.model, manifest.version)[1]
