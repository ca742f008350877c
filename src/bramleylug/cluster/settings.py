"""Settings that relays and loaders share."""

from collections.abc import Mapping
from dataclasses import dataclass

from bramleylug.settings.fields import setting

CHANGE_LIMIT_S = 2.0


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
    file_descriptors: int = setting(
        'file descriptors that this process may open', 4096
    )
    confirm_interval: float = setting(
        'interval at which the copy of the store is confirmed', 1.0, unit='s'
    )
    change_limit: float = setting(
        'time after which nothing goes against a change in the store, also '
        'while the relay through which it is read is silent',
        CHANGE_LIMIT_S,
        unit='s',
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
