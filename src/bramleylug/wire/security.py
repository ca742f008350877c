"""TLS keys and shared secrets of the connections between processes."""

from collections.abc import Callable
from ipaddress import ip_address
from pathlib import Path
from typing import Any, NamedTuple, cast, final

import grpc

PEER_NAME = 'bramleylug'


class KeyFiles(NamedTuple):
    """PEM files for mutual TLS; all empty for unencrypted connections.

    All processes use certificates for the name ``bramleylug``, signed by one
    authority. Certificates contain no addresses, since hosts are replaced at
    any time.
    """

    certificate: str = ''
    key: str = ''
    authority: str = ''

    @property
    def is_configured(self) -> bool:
        """Whether mutual TLS is to be used."""
        return bool(self.certificate)

    def faults(self) -> list[str]:
        """Return one line for each missing file or setting."""
        if not any(self):
            return []
        flags = ('--tls-certificate', '--tls-key', '--tls-ca')
        faults = []
        for flag, path in zip(flags, self, strict=True):
            if not path:
                faults.append(
                    f'{flag} is required because other TLS files are set'
                )
            elif not Path(path).is_file():
                faults.append(f'{flag}: no such file {path!r}')
        return faults


class KeyMaterial(NamedTuple):
    """Contents of the key files, read together."""

    certificate: bytes
    key: bytes
    authority: bytes


@final
class Keyring:
    """Loads the key files, and loads them again when one has changed.

    Thread-safe: the material is replaced as a whole, since TLS could not load
    a certificate together with the key of another.

    :ivar generation: increases each time that changed files are loaded.
    :ivar stamps: modification times of the files when they were last read.
    """

    def __init__(self, files: KeyFiles) -> None:
        self.files = files
        self.generation = 0
        self.stamps: tuple[int, ...] = ()
        self.material: KeyMaterial | None = None

    def load(self) -> KeyMaterial | None:
        """Return the current material; ``None`` if TLS is not used.

        If the files cannot be read, the previous material stays in use.
        """
        if not self.files.is_configured:
            return None
        try:
            stamps = self._stamps()
        except OSError:
            return self.material
        if stamps != self.stamps:
            self._read(stamps)
        return self.material

    def server_credentials(self) -> grpc.ServerCredentials | None:
        """Return credentials that require a certificate of each client."""
        material = self.load()
        if material is None:
            return None
        return grpc.dynamic_ssl_server_credentials(
            _server_configuration(material),
            cast(Callable[[], Any], self._configuration_fetcher()),
            require_client_authentication=True,
        )

    def channel_credentials(self) -> grpc.ChannelCredentials | None:
        """Return credentials for connections to peers."""
        material = self.load()
        if material is None:
            return None
        return grpc.ssl_channel_credentials(
            root_certificates=material.authority,
            private_key=material.key,
            certificate_chain=material.certificate,
        )

    def _stamps(self) -> tuple[int, ...]:
        return tuple(Path(path).stat().st_mtime_ns for path in self.files)

    def _read(self, stamps: tuple[int, ...]) -> None:
        try:
            contents = [Path(path).read_bytes() for path in self.files]
            unchanged = stamps == self._stamps()
        except OSError:
            return
        if not unchanged:
            # The files are being replaced; a later load reads them all.
            return
        self.material = KeyMaterial(*contents)
        self.stamps = stamps
        self.generation += 1

    def _configuration_fetcher(
        self,
    ) -> Callable[[], grpc.ServerCertificateConfiguration | None]:
        """Return a function that gRPC calls at each handshake.

        It returns the new configuration after a change, else ``None``.
        """
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
    """Shared secrets, one per file, that are read again at each load.

    :param paths: the first secret signs; all are accepted.
    """

    def __init__(self, paths: tuple[str, ...]) -> None:
        self.paths = paths
        self.secrets: tuple[bytes, ...] = ()

    def load(self) -> tuple[bytes, ...] | None:
        """Return the secrets if they changed, else ``None``.

        A missing or empty file changes nothing: while a file is being
        replaced, datagrams must not go unauthenticated.
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
    """Return whether ``host:port`` is a loopback address."""
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
