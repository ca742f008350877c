"""Converts the platform's settings file to relay and loader settings."""

import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

from bramleylug.cluster.descriptors import loader_budget, relay_budget
from bramleylug.cluster.settings import CHANGE_LIMIT_S, ProcessSettings
from bramleylug.duties.settings import DutySettings
from bramleylug.loader.settings import LoaderSettings
from bramleylug.relay.settings import RelaySettings
from bramleylug.settings.addresses import is_address
from bramleylug.settings.fields import SettingsError

SETTINGS_VARIABLE = 'BRAMLEYLUG_CONFIG'
MILLISECONDS = 1000
MEBIBYTE = 1024 * 1024
METRICS_PORT = 9102
# Share of a process's memory for buffered requests and answers; the rest is
# needed by the interpreter and its libraries.
CALLER_MEMORY_SHARE = 0.3
# Callers resolve addresses again after this time, so that they leave a
# draining relay soon.
ADDRESS_TTL_S = 1.0
# Internal ports: the first one is for heartbeats. On the next one, a loader
# serves chunks, and a relay what it reads from the store.
HEARTBEAT_PORT_OFFSET = 0
CHUNK_PORT_OFFSET = 1
FEED_PORT_OFFSET = 1
BYTES_PER_MEGABIT = 125_000
# Loaders confirm their view of the store less often than relays do: none of
# their actions needs a confirmed view.
LOADER_CONFIRM_S = 3.0
# Share of the time for new weights in which a loader must hear of them.
LOADER_CHANGE_SHARE = 0.5
# Bounds on how soon relays obey the changes that they read from the store.
CHANGE_BOUNDS = ('drain_ms', 'config_apply_ms', 'evacuation_ms')

# What the settings name the duties of a single process.
DUTIES_CONTRACT = 'leader'
USAGE_DUTY = 'usage'
SCALING_DUTY = 'scaling'

SettingsT = TypeVar('SettingsT')


def read_document(environment: Mapping[str, str]) -> dict[str, Any]:
    """Return the content of the settings file.

    :raises SettingsError: if it is missing or not valid TOML.
    """
    path = environment.get(SETTINGS_VARIABLE, '')
    if not path:
        raise SettingsError([f'{SETTINGS_VARIABLE} is not set'])
    try:
        return tomllib.loads(Path(path).read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError([f'{path}: {error}']) from error


def relay_settings(
    document: Mapping[str, Any], metrics_port: int = METRICS_PORT
) -> RelaySettings:
    """Convert the settings file of a relay.

    :param metrics_port: port for metrics; 0 for none.
    :raises SettingsError: if a field is missing or malformed; malformed
        addresses are reported together.
    """
    return _build_and_validate(document, _relay_settings, metrics_port)


def loader_settings(
    document: Mapping[str, Any], metrics_port: int = METRICS_PORT
) -> LoaderSettings:
    """Convert the settings file of a loader.

    :param metrics_port: port for metrics; 0 for none.
    :raises SettingsError: if a field is missing or malformed; malformed
        addresses are reported together.
    """
    return _build_and_validate(document, _loader_settings, metrics_port)


def _build_and_validate(
    document: Mapping[str, Any],
    build: Callable[[Mapping[str, Any], str], SettingsT],
    metrics_port: int,
) -> SettingsT:
    try:
        metrics_bind = f'{document["ip"]}:{metrics_port}'
        settings = build(document, metrics_bind if metrics_port else '')
    except KeyError as error:
        raise SettingsError([f'{error} is missing']) from error
    except (TypeError, ValueError) as error:
        raise SettingsError([str(error)]) from error
    problems = [
        f'{name}: {address!r} is not host:port'
        for name, address in _addresses(settings)
        if not is_address(address)
    ]
    if problems:
        raise SettingsError(problems)
    return settings


def _addresses(settings: Any) -> list[tuple[str, str]]:
    names = (
        'store',
        'beat_bind',
        'caller_bind',
        'ready_bind',
        'directory_bind',
        'upstream',
        'chunk_bind',
        'feed_bind',
    )
    addresses = [(name, getattr(settings, name, '')) for name in names]
    duties = getattr(settings, 'duties', None)
    if duties is not None:
        addresses.append(('duties', duties.service))
    return [(name, address) for name, address in addresses if address]


def _common_fields(
    document: Mapping[str, Any], metrics_bind: str
) -> dict[str, Any]:
    bounds = document['bounds']
    first_port = int(document['internal_ports'][0])
    return {
        'name': str(document['node_name']),
        'zone': str(document['zone']),
        'region': str(document['region']),
        'regions': dict(document['zones']),
        'store': str(document['platform']['address']),
        'beat_bind': f'{document["ip"]}:{first_port + HEARTBEAT_PORT_OFFSET}',
        'metrics_bind': metrics_bind,
        'file_descriptors': int(document['limits']['file_descriptors']),
        'version_limit': bounds['version_ms'] / MILLISECONDS,
        'calm_window': bounds['stable_window_ms'] / MILLISECONDS,
        'cold_overshoot': float(bounds['cold_overshoot']),
        'cold_reserve': float(bounds['cold_slack']),
    }


def _relay_settings(
    document: Mapping[str, Any], metrics_bind: str
) -> RelaySettings:
    bounds = document['bounds']
    limits = document['limits']
    listen = document['listen']
    # Too few are an error of the settings.
    relay_budget(int(limits['file_descriptors']))
    feed_port = int(document['internal_ports'][0]) + FEED_PORT_OFFSET
    memory_bytes = limits['memory_mb'] * MEBIBYTE * CALLER_MEMORY_SHARE
    return RelaySettings(
        **_common_fields(document, metrics_bind),
        caller_bind=str(listen['front']),
        ready_bind=str(listen['ready']),
        directory_bind=str(listen.get('directory', '')),
        feed_bind=f'{document["ip"]}:{feed_port}',
        memory_bytes=int(memory_bytes),
        stop_time=float(bounds['grace_s']),
        change_limit=_change_limit_s(bounds),
        keep_addresses=min(ADDRESS_TTL_S, float(bounds['ttl_max_s'])),
        key_limit=bounds['revoke_ms'] / MILLISECONDS,
        keys_fail_closed=bool(bounds['fail_closed']),
        retry_share=float(bounds['retry_budget_ratio']),
        retry_reserve=float(bounds['budget_slack']),
        duties=_duty_settings(document),
    )


def _duty_settings(document: Mapping[str, Any]) -> DutySettings | None:
    """Return the settings of the duties; ``None`` if there are none."""
    service = document.get('cloud')
    if service is None or DUTIES_CONTRACT not in document.get('contracts', ()):
        return None
    bounds = document['bounds']
    duties = service.get('duties', ())
    return DutySettings(
        service=str(service['address']),
        lease_s=bounds['lease_ms'] / MILLISECONDS,
        calls_per_s=float(service['duty_per_s']),
        reports_usage=USAGE_DUTY in duties,
        scales=SCALING_DUTY in duties,
        window_s=float(bounds.get('report_window_s', 0)),
        late_s=float(bounds.get('usage_late_s', 0)),
    )


def _loader_settings(
    document: Mapping[str, Any], metrics_bind: str
) -> LoaderSettings:
    first_port = int(document['internal_ports'][0])
    link_bytes = document['limits']['link_mbps'] * BYTES_PER_MEGABIT
    # Too few are an error of the settings.
    loader_budget(int(document['limits']['file_descriptors']))
    return LoaderSettings(
        **_common_fields(document, metrics_bind),
        upstream=str(document['app']),
        service=str(document['service']),
        chunk_bind=f'{document["ip"]}:{first_port + CHUNK_PORT_OFFSET}',
        link_rate=link_bytes,
        confirm_interval=LOADER_CONFIRM_S,
        change_limit=LOADER_CHANGE_SHARE
        * document['bounds']['version_ms']
        / MILLISECONDS,
    )


def _change_limit_s(bounds: Mapping[str, Any]) -> float:
    """Return the shortest bound on a change of the store."""
    named = [bounds[name] for name in CHANGE_BOUNDS if name in bounds]
    if not named:
        return CHANGE_LIMIT_S
    return float(min(named)) / MILLISECONDS


def changed_fields(
    before: ProcessSettings, after: ProcessSettings
) -> list[str]:
    names = type(before).__dataclass_fields__
    return [
        name for name in names if getattr(before, name) != getattr(after, name)
    ]
