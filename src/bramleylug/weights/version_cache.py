"""Versions on this host: downloads the wanted ones, verifies and keeps them."""

import time
from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial
from threading import Event, Lock, Thread
from typing import final

from bramleylug.observability.events import LogEvent, emit
from bramleylug.weights.manifest import Manifest, VersionKey
from bramleylug.weights.manifest_source import ManifestSource
from bramleylug.weights.staging import Staging, StagingFullError
from bramleylug.weights.swarm import PeerAddress, Transfer, TransferContext

MANIFEST_RETRY_S = 0.5
SPACE_RETRY_S = 5.0
# Upper limit of the progress of a version that is not verified yet.
UNVERIFIED_SHARE = 0.999

PeerFinder = Callable[[VersionKey], Mapping[str, PeerAddress]]
ContextBuilder = Callable[[], TransferContext]


@final
class VersionDownload:
    """Download of one version, in a thread of its own.

    :ivar cancelled: set when the version is no longer wanted.
    :ivar transfer: the running transfer, ``None`` before it starts.
    :ivar capacity_error: why the version does not fit; empty when it does.
    """

    def __init__(self, key: VersionKey) -> None:
        self.key = key
        self.cancelled = Event()
        self.transfer: Transfer | None = None
        self.capacity_error = ''

    @property
    def progress(self) -> float:
        """Share of the chunks that are held, from 0 to 1."""
        return 0 if self.transfer is None else self.transfer.progress

    def cancel(self) -> None:
        """Stop; staged chunks stay until their space is needed."""
        self.cancelled.set()
        if self.transfer is not None:
            self.transfer.stop()
        emit(LogEvent.transfer_dropped, weights='@'.join(self.key))


@final
class VersionCache:
    """Downloads the wanted versions, each in its own thread.

    When the wanted version changes during a transfer, the transfer stops at
    once and its chunks stay staged, so that a rollback resumes it.

    :param source: finds the manifest of a version.
    :param build_context: returns the clients for a new transfer.
    :param find_peers: returns the agents that want or hold a version.
    :ivar verified: manifests of the committed versions.
    :ivar downloads: running downloads by version.
    :ivar stagings: number of downloads of each version that were committed.
    """

    def __init__(
        self,
        staging: Staging,
        source: ManifestSource,
        build_context: ContextBuilder,
        find_peers: PeerFinder,
    ) -> None:
        self.staging = staging
        self.source = source
        self.build_context = build_context
        self.find_peers = find_peers
        self.verified: dict[VersionKey, Manifest] = {}
        self.downloads: dict[VersionKey, VersionDownload] = {}
        self.stagings: Counter[VersionKey] = Counter()
        self.lock = Lock()

    @property
    def transferring(self) -> bool:
        """Whether any version is being downloaded."""
        return bool(self.downloads)

    def recover(self) -> None:
        """Verify and keep the versions that an earlier process staged."""
        for manifest in self.staging.recover():
            if self.source.accept_saved(manifest):
                self.verified[manifest.key] = manifest
            else:
                self.staging.evict(manifest.key)

    def set_wanted(
        self, wanted: frozenset[VersionKey], in_use: frozenset[VersionKey]
    ) -> None:
        """Set the versions to be held; cancel downloads of others.

        :param in_use: versions loaded by the engine, which are never
            evicted.
        """
        self.staging.protected = wanted | in_use
        with self.lock:
            cancelled = [
                self.downloads.pop(key)
                for key in self.downloads.keys() - wanted
            ]
            started = [
                VersionDownload(key)
                for key in wanted
                if key not in self.verified and key not in self.downloads
            ]
            self.downloads.update(
                {download.key: download for download in started}
            )
        for download in cancelled:
            download.cancel()
        for download in started:
            Thread(target=self._run, args=(download,), daemon=True).start()

    def close(self) -> None:
        """Cancel every download."""
        self.set_wanted(frozenset(), frozenset())

    def recheck(self, key: VersionKey) -> bool:
        """Verify a committed version again.

        One that does not match its manifest is downloaded anew, as far as
        its chunks do not, once :meth:`set_wanted` names it.

        :returns: whether it matches.
        """
        manifest = self.verified.get(key)
        if manifest is None:
            return False
        if self.staging.recheck(manifest):
            return True
        with self.lock:
            self.verified.pop(key, None)
        emit(
            LogEvent.chunk_corrupt,
            weights='@'.join(key),
            index=', '.join(map(str, self._missing_chunks(manifest))),
            source='the staging area',
        )
        return False

    def staging_count(self, key: VersionKey) -> int:
        """Return how often a version was staged since the start.

        0 for one that an earlier process staged.
        """
        return self.stagings[key]

    def progress(self, key: VersionKey) -> float:
        """Return the share of a version that is held; 1 once it is verified."""
        if key in self.verified:
            return 1
        download = self.downloads.get(key)
        share = 0 if download is None else download.progress
        return min(share, UNVERIFIED_SHARE)

    def capacity_error(self, key: VersionKey) -> str:
        """Return why a version does not fit; empty when it does."""
        download = self.downloads.get(key)
        return '' if download is None else download.capacity_error

    def digests(self) -> dict[VersionKey, str]:
        """Return the digest of each verified version that is staged."""
        return {
            key: manifest.digest
            for key, manifest in tuple(self.verified.items())
            if key in self.staging.reservations
        }

    def _run(self, download: VersionDownload) -> None:
        try:
            self._download(download)
        except OSError as error:
            emit(LogEvent.staging_full, error=error)
            download.cancelled.wait(SPACE_RETRY_S)
        finally:
            with self.lock:
                if self.downloads.get(download.key) is download:
                    self.downloads.pop(download.key)

    def _download(self, download: VersionDownload) -> None:
        manifest = self._find_manifest(download)
        if manifest is None or not self._reserve_space(download, manifest):
            return
        while not download.cancelled.is_set():
            transfer = Transfer(
                self.build_context(),
                manifest,
                partial(self.find_peers, download.key),
            )
            download.transfer = transfer
            if download.cancelled.is_set():
                return
            if transfer.run() and self._commit(manifest):
                return

    def _find_manifest(self, download: VersionDownload) -> Manifest | None:
        while not download.cancelled.is_set():
            manifest = self.source.find(
                download.key, self.find_peers(download.key), time.monotonic()
            )
            if manifest is not None:
                return manifest
            download.cancelled.wait(MANIFEST_RETRY_S)
        return None

    def _reserve_space(
        self, download: VersionDownload, manifest: Manifest
    ) -> bool:
        while not download.cancelled.is_set():
            try:
                self.staging.begin(manifest)
            except StagingFullError as error:
                if not download.capacity_error:
                    emit(LogEvent.staging_full, error=error)
                download.capacity_error = str(error)
                download.cancelled.wait(SPACE_RETRY_S)
            else:
                download.capacity_error = ''
                self._forget_evicted()
                return True
        return False

    def _commit(self, manifest: Manifest) -> bool:
        if self.staging.commit(manifest) is None:
            return False
        with self.lock:
            self.stagings[manifest.key] += 1
            self.verified[manifest.key] = manifest
        emit(LogEvent.version_staged, weights='@'.join(manifest.key))
        return True

    def _missing_chunks(self, manifest: Manifest) -> list[int]:
        held = self.staging.held(manifest.key)
        indices = range(len(manifest.chunk_hashes))
        return [index for index in indices if not held >> index & 1]

    def _forget_evicted(self) -> None:
        with self.lock:
            self.verified = {
                key: manifest
                for key, manifest in self.verified.items()
                if key in self.staging.reservations
            }
