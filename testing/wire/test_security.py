"""Tests of mutual TLS and shared secrets between processes."""

import os
import tempfile
import unittest
from pathlib import Path

import grpc
import trustme

from bramleylug.fakes.store import FakeStore
from bramleylug.wire.channels import (
    ChannelCache,
    bind_server,
    build_server,
    open_channel,
)
from bramleylug.wire.platform_pb2 import GetRequest
from bramleylug.wire.platform_pb2_grpc import (
    PlatformStoreStub,
    add_PlatformStoreServicer_to_server,
)
from bramleylug.wire.security import KeyFiles, Keyring, SecretFiles

CALL_TIMEOUT_S = 5


def write_keys(folder: Path, authority: trustme.CA) -> KeyFiles:
    """Issue a certificate of this authority and return its files."""
    issued = authority.issue_cert('bramleylug')
    files = KeyFiles(
        str(folder / 'certificate.pem'),
        str(folder / 'key.pem'),
        str(folder / 'authority.pem'),
    )
    Path(files.certificate).write_bytes(issued.cert_chain_pems[0].bytes())
    Path(files.key).write_bytes(issued.private_key_pem.bytes())
    Path(files.authority).write_bytes(authority.cert_pem.bytes())
    return files


class TestSecretFiles(unittest.TestCase):
    """Changed secrets are read while the process runs."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.paths = [Path(folder.name) / name for name in ('new', 'old')]
        for path in self.paths:
            path.write_text(path.name)
        self.files = SecretFiles(tuple(map(str, self.paths)))
        self.files.load()

    def test_changed_file_is_read_again(self) -> None:
        """The secrets keep the order of the settings."""
        self.paths[0].write_text('newer')

        self.assertEqual(self.files.load(), (b'newer', b'old'))

    def test_unchanged_files_return_none(self) -> None:
        """``None`` tells the caller to keep the secrets that it has."""
        self.assertIsNone(self.files.load())

    def test_emptied_or_missing_file_changes_nothing(self) -> None:
        """Datagrams must not go unauthenticated meanwhile."""
        self.paths[0].write_text('')
        emptied = self.files.load()
        self.paths[0].unlink()

        self.assertIsNone(emptied)
        self.assertIsNone(self.files.load())


class TestMutualTls(unittest.TestCase):
    """Only processes with certificates of one authority connect."""

    def setUp(self) -> None:
        """Start a fake store that requires mutual TLS."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.authority = trustme.CA()
        self.files = write_keys(self.folder, self.authority)
        server = build_server(2)
        add_PlatformStoreServicer_to_server(FakeStore(), server)
        self.address = bind_server(server, '127.0.0.1:0', Keyring(self.files))
        server.start()
        self.addCleanup(lambda: server.stop(0))

    def read_version(self, channel: grpc.Channel) -> int:
        """Return the version of an absent key."""
        with channel:
            reply = PlatformStoreStub(channel).Get(
                GetRequest(key='absent'), timeout=CALL_TIMEOUT_S
            )
        return reply.version

    def test_peer_of_the_same_authority_is_served(self) -> None:
        """Both sides have a certificate of the authority."""
        channel = open_channel(self.address, Keyring(self.files))

        self.assertEqual(self.read_version(channel), 0)

    def test_peer_without_certificate_is_refused(self) -> None:
        """An unencrypted connection gets no answer."""
        with self.assertRaises(grpc.RpcError):
            self.read_version(open_channel(self.address))

    def test_peer_of_another_authority_is_refused(self) -> None:
        """A valid certificate of another authority is not accepted."""
        folder = self.folder / 'other'
        folder.mkdir()
        foreign = write_keys(folder, trustme.CA())

        with self.assertRaises(grpc.RpcError):
            self.read_version(open_channel(self.address, Keyring(foreign)))

    def test_changed_files_are_used_without_restart(self) -> None:
        """After a rotation, both sides use the new authority."""
        old = Keyring(self.files)
        old.load()
        previous_material = old.material
        write_keys(self.folder, trustme.CA())
        for path in self.files:
            os.utime(path, ns=(1, 1))

        channel = open_channel(self.address, Keyring(self.files))

        self.assertEqual(self.read_version(channel), 0)
        self.assertNotEqual(old.load(), previous_material)

    def test_cached_channel_is_replaced_after_a_change(self) -> None:
        """A cache stops using the previous certificate."""
        cache = ChannelCache(Keyring(self.files))
        previous = cache.get(self.address)
        self.assertIs(cache.get(self.address), previous)
        write_keys(self.folder, self.authority)
        for path in self.files:
            os.utime(path, ns=(2, 2))

        self.assertIsNot(cache.get(self.address), previous)
