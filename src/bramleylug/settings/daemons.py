"""Settings of the entry and the agent."""

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
    """What every daemon needs to know of itself and its peers."""

    name: str = setting('unique name of this instance')
    zone: str = setting('availability zone of this host')
    region: str = setting('region of this host')
    store: str = setting('address of the platform store, host:port')
    http_bind: str = setting('address to serve HTTP on', '127.0.0.1:0')
    grpc_bind: str = setting('address for other instances', '127.0.0.1:0')
    gossip_bind: str = setting('UDP address for membership', '127.0.0.1:0')
    seeds: tuple[str, ...] = setting('gossip addresses to join by', ())
    tls_certificate: str = setting('PEM file; empty for no TLS', '')
    tls_key: str = setting('PEM file of the private key', '')
    tls_ca: str = setting('PEM file of the authority of peers', '')
    gossip_keys: tuple[str, ...] = setting(
        'files of datagram keys, the first signs, all are accepted', ()
    )
    log_level: str = setting('least level of log lines', 'INFO')
    log_format: str = setting('text, or json for one object a line', 'text')

    @property
    def key_files(self) -> KeyFiles:
        """Files of mutual TLS with other instances."""
        return KeyFiles(self.tls_certificate, self.tls_key, self.tls_ca)

    def faults(self) -> list[str]:
        """Return what is wrong with the settings, one line a fault."""
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

    def addresses(self) -> dict[str, str]:
        """Return every address setting by its flag."""
        addresses = {
            '--store': self.store,
            '--http-bind': self.http_bind,
            '--grpc-bind': self.grpc_bind,
            '--gossip-bind': self.gossip_bind,
        }
        addresses.update({'--seeds': seed for seed in self.seeds})
        return addresses

    def _address_faults(self) -> list[str]:
        return [
            f'{flag}: {address!r} is not host:port'
            for flag, address in self.addresses().items()
            if not is_address(address)
        ]

    def _exposure_faults(self) -> list[str]:
        faults = []
        if not self.key_files.is_configured and not is_loopback(self.grpc_bind):
            faults.append('--grpc-bind: without TLS files only loopback')
        if not self.gossip_keys and not is_loopback(self.gossip_bind):
            faults.append('--gossip-bind: without gossip keys only loopback')
        return faults


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings(NodeSettings):
    """Settings of ``bramleylug entry``."""

    memory_bytes: int = setting(
        'bytes held for all callers', 64 * MEBIBYTE, unit='bytes'
    )
    caller_bytes: int = setting(
        'answer bytes held for one caller', 65536, unit='bytes'
    )
    request_bytes: int = setting('largest request body', MEBIBYTE, unit='bytes')
    header_bytes: int = setting('largest request head', 32768, unit='bytes')
    max_connections: int = setting('connections of callers kept', 2048)
    idle_timeout: float = setting(
        'idle time before a connection is closed', 60, unit='s'
    )
    header_timeout: float = setting(
        'time to finish a request head', 10, unit='s'
    )
    stall_timeout: float = setting(
        'time without reading before a caller is cut', 30, unit='s'
    )
    deadline: float = setting(
        'time for a request that names none', 60, unit='s'
    )
    keep_entries: float = setting(
        'time callers keep the answer on entries', 10, unit='s'
    )
    retry_share: float = setting(
        'retries allowed for each first try', 0.2, unit='share'
    )


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class AgentSettings(NodeSettings):
    """Settings of ``bramleylug agent``."""

    service: str = setting('service of the upstream on this host')
    upstream: str = setting('address of the upstream, host:port')
    origin: str = setting('address of the origin of weights', '')
    staging_dir: str = setting(
        'memory-backed directory for chunks; empty for none', ''
    )
    staging_bytes: int = setting(
        'room for chunks', 2048 * MEBIBYTE, unit='bytes'
    )
    download_rate: float = setting(
        'link share for weights received', 125_000_000, unit='bytes/s'
    )
    upload_rate: float = setting(
        'link share for weights sent', 125_000_000, unit='bytes/s'
    )
    workers: int = setting('threads for requests and chunks', 128)

    def addresses(self) -> dict[str, str]:
        """Return every address setting by its flag."""
        addresses = NodeSettings.addresses(self)
        addresses['--upstream'] = self.upstream
        if self.origin:
            addresses['--origin'] = self.origin
        return addresses
