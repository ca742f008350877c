"""Settings of the entry and agent daemons."""

from dataclasses import dataclass
from pathlib import Path
from typing import final

from bramleylug.settings.addresses import is_address
from bramleylug.settings.fields import setting
from bramleylug.wire.security import KeyFiles, is_loopback

MEBIBYTE = 1024 * 1024
LOG_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')
LOG_FORMATS = ('text', 'json')


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Settings that all daemons have in common."""

    name: str = setting('unique name of this instance')
    zone: str = setting('availability zone of this host')
    region: str = setting('region of this host')
    store: str = setting('address of the platform store, host:port')
    http_bind: str = setting('address to listen on for HTTP', '127.0.0.1:0')
    grpc_bind: str = setting(
        'address to listen on for gRPC of other instances', '127.0.0.1:0'
    )
    gossip_bind: str = setting(
        'UDP address to listen on for gossip', '127.0.0.1:0'
    )
    seeds: tuple[str, ...] = setting('gossip addresses of members to join', ())
    tls_certificate: str = setting(
        'PEM file of the certificate; empty for no TLS', ''
    )
    tls_key: str = setting('PEM file of the private key', '')
    tls_ca: str = setting(
        'PEM file of the authority that signs certificates', ''
    )
    gossip_keys: tuple[str, ...] = setting(
        'files of gossip keys: the first signs, all are accepted', ()
    )
    log_level: str = setting('lowest level that is logged', 'INFO')
    log_format: str = setting('text, or json for one object per line', 'text')

    @property
    def key_files(self) -> KeyFiles:
        """Files for mutual TLS with other instances."""
        return KeyFiles(self.tls_certificate, self.tls_key, self.tls_ca)

    def faults(self) -> list[str]:
        """Return one line for each error in the settings."""
        faults = self.key_files.faults()
        faults.extend(self._address_faults())
        faults.extend(self._exposure_faults())
        faults.extend(
            f'--gossip-keys: no such file or empty: {path!r}'
            for path in self.gossip_keys
            if not (Path(path).is_file() and Path(path).stat().st_size)
        )
        if self.log_level not in LOG_LEVELS:
            faults.append(f'--log-level: one of {", ".join(LOG_LEVELS)}')
        if self.log_format not in LOG_FORMATS:
            faults.append(f'--log-format: one of {", ".join(LOG_FORMATS)}')
        return faults

    def addresses(self) -> list[tuple[str, str]]:
        """Return the flags and values of the settings that are addresses."""
        return [
            ('--store', self.store),
            ('--http-bind', self.http_bind),
            ('--grpc-bind', self.grpc_bind),
            ('--gossip-bind', self.gossip_bind),
            *(('--seeds', seed) for seed in self.seeds),
        ]

    def _address_faults(self) -> list[str]:
        return [
            f'{flag}: {address!r} is not host:port'
            for flag, address in self.addresses()
            if not is_address(address)
        ]

    def _exposure_faults(self) -> list[str]:
        faults = []
        if not self.key_files.is_configured and not is_loopback(self.grpc_bind):
            faults.append(
                '--grpc-bind: must be a loopback address without TLS files'
            )
        if not self.gossip_keys and not is_loopback(self.gossip_bind):
            faults.append(
                '--gossip-bind: must be a loopback address without gossip keys'
            )
        return faults


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings(NodeSettings):
    """Settings of ``bramleylug entry``."""

    memory_bytes: int = setting(
        'memory for the requests and answers of all callers',
        64 * MEBIBYTE,
        unit='bytes',
    )
    caller_bytes: int = setting(
        'answer bytes buffered for one caller', 65536, unit='bytes'
    )
    request_bytes: int = setting('largest request body', MEBIBYTE, unit='bytes')
    header_bytes: int = setting('largest request head', 32768, unit='bytes')
    max_connections: int = setting('maximum connections of callers', 2048)
    idle_timeout: float = setting(
        'time after which an idle connection is closed', 60, unit='s'
    )
    header_timeout: float = setting(
        'time limit for receiving a request head', 10, unit='s'
    )
    stall_timeout: float = setting(
        'time after which a caller that does not read is disconnected',
        30,
        unit='s',
    )
    deadline: float = setting(
        'time limit of requests that state none', 60, unit='s'
    )
    keep_entries: float = setting(
        'time that callers may cache the list of entries', 10, unit='s'
    )
    retry_share: float = setting(
        'retries allowed for each first attempt', 0.2, unit='share'
    )


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class AgentSettings(NodeSettings):
    """Settings of ``bramleylug agent``."""

    service: str = setting('service that the upstream on this host serves')
    upstream: str = setting('address of the upstream, host:port')
    origin: str = setting('address of the origin server of weights', '')
    staging_dir: str = setting(
        'memory-backed directory for chunks; empty for none', ''
    )
    staging_bytes: int = setting(
        'space for chunks', 2048 * MEBIBYTE, unit='bytes'
    )
    download_rate: float = setting(
        'rate limit for weights received', 125_000_000, unit='bytes/s'
    )
    upload_rate: float = setting(
        'rate limit for weights sent', 125_000_000, unit='bytes/s'
    )
    workers: int = setting('threads that serve requests and chunks', 128)

    def addresses(self) -> list[tuple[str, str]]:
        """Return the flags and values of the settings that are addresses."""
        addresses = NodeSettings.addresses(self)
        addresses.append(('--upstream', self.upstream))
        if self.origin:
            addresses.append(('--origin', self.origin))
        return addresses
