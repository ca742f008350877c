"""Settings of the relay and the loader."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from bramleylug.settings.fields import setting


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSettings:
    """Settings of every process: its identity, addresses and limits."""

    name: str = setting('unique name of this process')
    zone: str = setting('availability zone of this host')
    region: str = setting('region of this host')
    regions: Mapping[str, str] = setting('region of each availability zone')
    store: str = setting('address of the platform store, host:port')
    beat_bind: str = setting('UDP address for heartbeats of other processes')
    metrics_bind: str = setting('address for metrics; empty for none', '')
    confirm_interval: float = setting(
        'interval at which the copy of the store is confirmed', 1.0, unit='s'
    )
    version_limit: float = setting(
        'time after which older weights serve no request', 8.0, unit='s'
    )
    calm_window: float = setting(
        'time without faults after which all limits hold again', 3.0, unit='s'
    )
    cold_overshoot: float = setting(
        'maximum requests to a cold upstream, as a multiple of its rate', 1.5
    )
    cold_reserve: float = setting(
        'requests to a cold upstream allowed in addition to that', 5.0
    )


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class RelaySettings(ProcessSettings):
    """Settings of ``python -m bramleylug.platform relay``."""

    caller_bind: str = setting('address that callers connect to')
    ready_bind: str = setting('address of the readiness page')
    directory_bind: str = setting('address of the directory; empty for none')
    feed_bind: str = setting(
        'address at which other processes of the zone read the store through '
        'this relay; empty if they cannot',
        '',
    )
    memory_bytes: int = setting(
        'memory for the requests and answers of all callers',
        67108864,
        unit='bytes',
    )
    caller_bytes: int = setting(
        'answer bytes buffered for one caller', 65536, unit='bytes'
    )
    max_connections: int = setting('maximum connections of callers', 1024)
    stop_time: float = setting(
        'time from the start of a planned stop to the end', 8.0, unit='s'
    )
    keep_addresses: float = setting(
        'time callers keep the addresses of relays', 2.0, unit='s'
    )
    key_limit: float = setting(
        'time after which a revoked key is not accepted', 5.0, unit='s'
    )
    keys_fail_closed: bool = setting(
        'whether API keys that cannot be confirmed are refused', True
    )
    retry_share: float = setting(
        'retries allowed for each first attempt, over all relays', 0.2
    )
    retry_reserve: float = setting(
        'retries allowed in addition to that share', 100.0
    )


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class LoaderSettings(ProcessSettings):
    """Settings of ``python -m bramleylug.platform loader``."""

    upstream: str = setting('address of the engine on this host, host:port')
    service: str = setting('service of that engine')
    chunk_bind: str = setting('address at which chunks are served')
    link_rate: float = setting(
        'network link rate of this host', 587_500, unit='bytes/s'
    )
    upload_share: float = setting(
        'share of the link for chunks while answers are being sent', 0.75
    )
