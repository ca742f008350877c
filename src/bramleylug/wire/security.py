"""Keys of the connections between the project's own processes."""

from collections.abc import Callable
from ipaddress import ip_address
from pathlib import Path
from typing import Any, NamedTuple, cast, final

import grpc

PEER_NAME = 'bramleylug'


class KeyFiles(NamedTuple):
    """PEM files of mutual TLS; all empty for connections in the clear.

    Every process shows a certificate for the name ``bramleylug`` that the
    one authority has signed; addresses are not part of it, since hosts are
    replaced at any time.
    """

    certificate: str = ''
    key: str = ''
    authority: str = ''

    @property
    def is_configured(self) -> bool:
        """Whether mutual TLS is asked for."""
        return bool(self.certificate)

    def faults(self) -> list[str]:
        """Return what is wrong with the files, one line a fault."""
        if not any(self):
            return []
        flags = ('--tls-certificate', '--tls-key', '--tls-ca')
        faults = []
        for flag, path in zip(flags, self, strict=True):
            if not path:
                faults.append(f'{flag} is missing beside the other TLS files')
            elif not Path(path).is_file():
                faults.append(f'{flag}: no such file {path!r}')
        return faults


class KeyMaterial(NamedTuple):
    """Contents of the key files at one time."""

    certificate: bytes
    key: bytes
    authority: bytes


@final
class Keyring:
    """Reads the key files anew whenever one of them has changed.

    Safe to use from any thread: a reader sees whole files or the former
    material, never a mixture that TLS would refuse to load together.

    :ivar generation: rises with each change that was taken in.
    """

    def __init__(self, files: KeyFiles) -> None:
        self.files = files
        self.generation = 0
        self.stamps: tuple[int, ...] = ()
        self.material: KeyMaterial | None = None

    def load(self) -> KeyMaterial | None:
        """Return the current material, or ``None`` without key files."""
        if not self.files.is_configured:
            return None
        try:
            stamps = tuple(Path(path).stat().st_mtime_ns for path in self.files)
        except OSError:
            return self.material
        if stamps != self.stamps:
            self._read(stamps)
        return self.material

    def server_credentials(self) -> grpc.ServerCredentials | None:
        """Return credentials that demand a certificate of every client."""
        material = self.load()
        if material is None:
            return None
        return grpc.dynamic_ssl_server_credentials(
            _server_configuration(material),
            cast(Callable[[], Any], self._configuration_fetcher()),
            require_client_authentication=True,
        )

    def channel_credentials(self) -> grpc.ChannelCredentials | None:
        """Return credentials for connecting to a peer."""
        material = self.load()
        if material is None:
            return None
        return grpc.ssl_channel_credentials(
            root_certificates=material.authority,
            private_key=material.key,
            certificate_chain=material.certificate,
        )

    def _read(self, stamps: tuple[int, ...]) -> None:
        try:
            contents = [Path(path).read_bytes() for path in self.files]
        except OSError:
            return
        self.material = KeyMaterial(*contents)
        self.stamps = stamps
        self.generation += 1

    def _configuration_fetcher(
        self,
    ) -> Callable[[], grpc.ServerCertificateConfiguration | None]:
        served = self.generation

        def fetch() -> grpc.ServerCertificateConfiguration | None:
            nonlocal served  # noqa: WPS420
            material = self.load()
            if material is None or served == self.generation:
                return None
            served = self.generation
            return _server_configuration(material)

        return fetch


@final
class SecretFiles:
    """Shared secrets, one a file, read anew when a file has changed.

    :param paths: the first signs, every one is accepted.
    """

    def __init__(self, paths: tuple[str, ...]) -> None:
        self.paths = paths
        self.secrets: tuple[bytes, ...] = ()

    def load(self) -> tuple[bytes, ...] | None:
        """Return the secrets when they changed, else ``None``.

        A file that is missing or empty for a moment changes nothing, so
        that a replacement under way never leaves datagrams unauthenticated.
        """
        try:
            found = tuple(
                Path(path).read_bytes().strip() for path in self.paths
            )
        except OSError:
            return None
        if found == self.secrets or not all(found):
            return None
        self.secrets = found
        return found


def is_loopback(address: str) -> bool:
    """Tell whether ``host:port`` is reachable from this host only."""
    host = address.rpartition(':')[0]
    try:
        return ip_address(host).is_loopback
    except ValueError:
        return host == 'localhost'


def _server_configuration(
    material: KeyMaterial,
) -> grpc.ServerCertificateConfiguration:
    return grpc.ssl_server_certificate_configuration(
        [(material.key, material.certificate)],
        root_certificates=material.authority,
    )
