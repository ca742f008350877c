"""Tests of the staging area."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from bramleylug.weights.staging import Staging, StagingFullError
from testing.builders import build_chunks, build_manifest

SIZE_BYTES = 64


class TestStaging(unittest.TestCase):
    """Chunks are verified, versions committed complete, space is bounded."""

    def setUp(self) -> None:
        """Create a staging area for two versions of four chunks."""
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.now_s = 1000.0
        self.staging = self.open()

    def open(self) -> Staging:
        """Return the staging area as a restarted process opens it."""
        return Staging(self.folder, 2 * SIZE_BYTES, lambda: self.now_s)

    def stage(self, version: str, *, missing: int = -1) -> None:
        """Stage a version and commit it; ``missing`` leaves a chunk out."""
        manifest = build_manifest(version=version)
        self.staging.begin(manifest)
        for index, chunk in enumerate(build_chunks(version=version)):
            if index != missing:
                self.staging.add(manifest, index, chunk)
        self.staging.commit(manifest)

    def test_corrupt_chunk_is_not_kept(self) -> None:
        """Its hash differs from the manifest's."""
        manifest = build_manifest()
        self.staging.begin(manifest)

        self.assertFalse(self.staging.add(manifest, 0, b'other'))
        self.assertIsNone(self.staging.read(manifest.key, 0))

    def test_partial_version_is_not_committed(self) -> None:
        """One chunk is missing."""
        self.stage('1', missing=2)

        self.assertIsNone(self.staging.committed_path(build_manifest().key))

    def test_received_chunk_is_served_before_the_rest(self) -> None:
        """Peers read it from the partial version."""
        self.stage('1', missing=2)

        self.assertEqual(
            self.staging.read(build_manifest().key, 3), build_chunks()[3]
        )

    def test_restart_resumes_with_valid_chunks_only(self) -> None:
        """A chunk that changed in the meantime is deleted."""
        self.stage('1', missing=2)
        partial = self.folder / 'seat-model@1.partial'
        (partial / '000001').write_bytes(b'changed')
        staging = self.open()
        staging.recover()
        staging.begin(build_manifest())

        self.assertEqual(staging.held(build_manifest().key), 0b1001)

    def test_restart_verifies_committed_versions_again(self) -> None:
        """A valid version is kept, a changed one is deleted."""
        self.stage('1')
        self.stage('2')
        (self.folder / 'seat-model@2' / '000000').write_bytes(b'changed')
        staging = self.open()

        recovered = staging.recover()

        self.assertEqual([manifest.version for manifest in recovered], ['1'])
        self.assertIsNone(
            staging.committed_path(build_manifest(version='2').key)
        )

    def test_folder_of_a_committed_version_is_verified_when_begun(self) -> None:
        """Guards against what an eviction that failed has left of it."""
        self.stage('1')
        staging = self.open()
        (self.folder / 'seat-model@1' / '000002').unlink()
        staging.begin(build_manifest())

        self.assertEqual(staging.held(build_manifest().key), 0b1011)
        self.assertIsNone(staging.commit(build_manifest()))

    def test_recently_read_version_is_evicted_last(self) -> None:
        """Peers may still be fetching the second version."""
        self.stage('1')
        self.stage('2')
        self.staging.read(build_manifest(version='2').key, 0)
        self.staging.begin(build_manifest(version='3'))

        self.assertEqual(
            {key.version for key in self.staging.reservations}, {'2', '3'}
        )

    def test_version_that_does_not_fit_is_refused(self) -> None:
        """Both versions are in use; nothing is evicted."""
        self.stage('1')
        self.stage('2')
        self.staging.protected = frozenset(self.staging.reservations)

        with self.assertRaisesRegex(StagingFullError, 'seat-model@3 needs 64'):
            self.staging.begin(build_manifest(version='3'))
        self.assertEqual(len(self.staging.reservations), 2)
