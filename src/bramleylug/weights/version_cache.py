"""The versions on this host: found, fetched, verified, committed."""

import time
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
UNVERIFIED_SHARE = 0.999

PeerFinder = Callable[[VersionKey], Mapping[str, PeerAddress]]
ContextBuilder = Callable[[], TransferContext]


@final
class VersionDownload:
    """Brings one version to this host in a thread of its own.

    :ivar refusal: why there is no room, empty when there is.
    """

    def __init__(self, key: VersionKey) -> None:
        self.key = key
        self.cancelled = Event()
        self.transfer: Transfer | None = None
        self.capacity_error = ''

    @property
    def progress(self) -> float:
        """Share of the chunks that are held."""
        return 0 if self.transfer is None else self.transfer.progress

    def cancel(self) -> None:
        """Stop; what is staged stays until room is needed."""
        self.cancelled.set()
        if self.transfer is not None:
            self.transfer.stop()
        emit(LogEvent.transfer_dropped, weights='@'.join(self.key))


@final
class VersionCache:
    """Brings the wanted versions to this host, each in its own thread.

    When what is wanted changes in mid-flight, the old transfer stops at
    once and its chunks stay staged, so that going back resumes it.

    :param build_links: returns what a new transfer moves chunks with.
    :ivar verified: manifests of the versions that are whole and committed.
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
        self.lock = Lock()

    @property
    def transferring(self) -> bool:
        """Whether any version is on its way."""
        return bool(self.downloads)

    def recover(self) -> None:
        """Verify and take over what an earlier process left."""
        for manifest in self.staging.recover():
            if self.source.accept_saved(manifest):
                self.verified[manifest.key] = manifest
            else:
                self.staging.evict(manifest.key)

    def set_wanted(
        self, wanted: frozenset[VersionKey], in_use: frozenset[VersionKey]
    ) -> None:
        """Set what is to be held.

        :param in_use: versions of the engine, which are never evicted.
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
        """Stop every transfer."""
        self.set_wanted(frozenset(), frozenset())

    def progress(self, key: VersionKey) -> float:
        """Return the share of a version that is held; 1 once it is verified."""
        if key in self.verified:
            return 1
        download = self.downloads.get(key)
        share = 0 if download is None else download.progress
        return min(share, UNVERIFIED_SHARE)

    def capacity_error(self, key: VersionKey) -> str:
        """Return why there is no room for a version; empty when there is."""
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
        self.verified[manifest.key] = manifest
        emit(LogEvent.version_staged, weights='@'.join(manifest.key))
        return True

    def _forget_evicted(self) -> None:
        self.verified = {
            key: manifest
            for key, manifest in self.verified.items()
            if key in self.staging.reservations
        }
