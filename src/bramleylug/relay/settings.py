"""Settings of the relay and the loader."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from bramleylug.settings.fields import setting


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSettings:
    """What every process needs to know of itself and its bounds."""

    name: str = setting('unique name of this process')
    zone: str = setting('availability zone of this host')
    region: str = setting('region of this host')
    regions: Mapping[str, str] = setting('region of each availability zone')
    store: str = setting('address of the platform store, host:port')
    beat_bind: str = setting('UDP address for beats of other processes')
    metrics_bind: str = setting('address for metrics; empty for none', '')
    confirm_interval: float = setting(
        'time in which the view of the store is confirmed', 1.0, unit='s'
    )
    version_limit: float = setting(
        'time after which older weights run nothing', 8.0, unit='s'
    )
    calm_window: float = setting(
        'calm time after which all bounds hold again', 3.0, unit='s'
    )
    cold_overshoot: float = setting(
        'most requests of a cold upstream over what it bears', 1.5
    )
    cold_reserve: float = setting(
        'requests of a cold upstream allowed beside that', 5.0
    )


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class RelaySettings(ProcessSettings):
    """Settings of ``python -m bramleylug.platform relay``."""

    caller_bind: str = setting('address that callers connect to')
    ready_bind: str = setting('address of the readiness page')
    directory_bind: str = setting('address of the directory; empty for none')
    memory_bytes: int = setting(
        'bytes held for all callers', 67108864, unit='bytes'
    )
    caller_bytes: int = setting(
        'answer bytes held for one caller', 65536, unit='bytes'
    )
    max_connections: int = setting('connections of callers kept', 1024)
    stop_time: float = setting(
        'time between the request to stop and the end', 8.0, unit='s'
    )
    keep_addresses: float = setting(
        'time callers keep the addresses of entries', 2.0, unit='s'
    )
    key_limit: float = setting(
        'time after which a revoked key runs nothing', 5.0, unit='s'
    )
    keys_fail_closed: bool = setting(
        'whether keys that cannot be confirmed are refused', True
    )
    retry_share: float = setting(
        'retries allowed for each first try, over all relays', 0.2
    )
    retry_reserve: float = setting(
        'retries allowed beside the share, over all relays', 100.0
    )


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class LoaderSettings(ProcessSettings):
    """Settings of ``python -m bramleylug.platform loader``."""

    upstream: str = setting('address of the engine on this host, host:port')
    service: str = setting('service of that engine')
    chunk_bind: str = setting('address to hand chunks out on')
    link_rate: float = setting(
        'rate of the link of this host', 587_500, unit='bytes/s'
    )
    upload_share: float = setting(
        'share of the link that chunks take beside live answers', 0.75
    )
