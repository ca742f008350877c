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
ROOM_RETRY_S = 5.0
UNVERIFIED_SHARE = 0.999

PeerFinder = Callable[[VersionKey], Mapping[str, PeerAddress]]
LinksBuilder = Callable[[], TransferContext]


@final
class Job:
    """Brings one version to this host in a thread of its own.

    :ivar refusal: why there is no room, empty when there is.
    """

    def __init__(self, key: VersionKey) -> None:
        self.key = key
        self.dropped = Event()
        self.transfer: Transfer | None = None
        self.refusal = ''

    @property
    def progress(self) -> float:
        """Share of the chunks that are held."""
        return 0 if self.transfer is None else self.transfer.progress

    def drop(self) -> None:
        """Stop; what is staged stays until room is needed."""
        self.dropped.set()
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
        build_links: LinksBuilder,
        find_peers: PeerFinder,
    ) -> None:
        self.staging = staging
        self.source = source
        self.build_links = build_links
        self.find_peers = find_peers
        self.verified: dict[VersionKey, Manifest] = {}
        self.jobs: dict[VersionKey, Job] = {}
        self.lock = Lock()

    @property
    def transferring(self) -> bool:
        """Whether any version is on its way."""
        return bool(self.jobs)

    def recover(self) -> None:
        """Verify and take over what an earlier process left."""
        for manifest in self.staging.recover():
            if self.source.trust(manifest):
                self.verified[manifest.key] = manifest
            else:
                self.staging.evict(manifest.key)

    def want(
        self, wanted: frozenset[VersionKey], in_use: frozenset[VersionKey]
    ) -> None:
        """Set what is to be held.

        :param in_use: versions of the engine, which are never evicted.
        """
        self.staging.kept = wanted | in_use
        with self.lock:
            dropped = [self.jobs.pop(key) for key in self.jobs.keys() - wanted]
            started = [
                Job(key)
                for key in wanted
                if key not in self.verified and key not in self.jobs
            ]
            self.jobs.update({job.key: job for job in started})
        for job in dropped:
            job.drop()
        for job in started:
            Thread(target=self._run, args=(job,), daemon=True).start()

    def close(self) -> None:
        """Stop every transfer."""
        self.want(frozenset(), frozenset())

    def progress(self, key: VersionKey) -> float:
        """Return the share of a version that is held; 1 once it is verified."""
        if key in self.verified:
            return 1
        job = self.jobs.get(key)
        share = 0 if job is None else job.progress
        return min(share, UNVERIFIED_SHARE)

    def refusal(self, key: VersionKey) -> str:
        """Return why there is no room for a version; empty when there is."""
        job = self.jobs.get(key)
        return '' if job is None else job.refusal

    def digests(self) -> dict[VersionKey, str]:
        """Return the digest of each verified version that is staged."""
        return {
            key: manifest.digest
            for key, manifest in tuple(self.verified.items())
            if key in self.staging.rooms
        }

    def _run(self, job: Job) -> None:
        try:
            self._bring(job)
        except OSError as error:
            emit(LogEvent.staging_full, error=error)
            job.dropped.wait(ROOM_RETRY_S)
        finally:
            with self.lock:
                if self.jobs.get(job.key) is job:
                    self.jobs.pop(job.key)

    def _bring(self, job: Job) -> None:
        manifest = self._find_manifest(job)
        if manifest is None or not self._make_room(job, manifest):
            return
        while not job.dropped.is_set():
            transfer = Transfer(
                self.build_links(), manifest, partial(self.find_peers, job.key)
            )
            job.transfer = transfer
            if job.dropped.is_set():
                return
            if transfer.run() and self._commit(manifest):
                return

    def _find_manifest(self, job: Job) -> Manifest | None:
        while not job.dropped.is_set():
            manifest = self.source.find(
                job.key, self.find_peers(job.key), time.monotonic()
            )
            if manifest is not None:
                return manifest
            job.dropped.wait(MANIFEST_RETRY_S)
        return None

    def _make_room(self, job: Job, manifest: Manifest) -> bool:
        while not job.dropped.is_set():
            try:
                self.staging.begin(manifest)
            except StagingFullError as error:
                if not job.refusal:
                    emit(LogEvent.staging_full, error=error)
                job.refusal = str(error)
                job.dropped.wait(ROOM_RETRY_S)
            else:
                job.refusal = ''
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
            if key in self.staging.rooms
        }
