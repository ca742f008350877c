"""Decodes values that the operator and the engines write to the store."""

import json
from collections.abc import Mapping
from math import isfinite
from typing import Any

from bramleylug.cluster.route_table import (
    CallerLimits,
    RetryPolicy,
    Route,
    RouteTable,
    Service,
    ServiceShare,
    WeightsLayout,
    Workspace,
)
from bramleylug.cluster.upstreams import HeldWeights, UpstreamRecord
from bramleylug.observability.events import LogEvent, emit

MILLISECONDS = 1000
CONFIG_KEY = 'op/config'
EVACUATION_PREFIX = 'op/evacuate/'
VERSION_PREFIX = 'op/version/'
ENGINE_PREFIX = 'servers/'
STATES = frozenset(('ready', 'draining'))
DECODING_ERRORS = (ValueError, TypeError, KeyError, AttributeError)


def decode_configuration(value: bytes) -> RouteTable | None:
    """Return the configuration.

    :returns: ``None``, after a log line, if the value is malformed.
    """
    try:
        return _route_table(json.loads(value))
    except DECODING_ERRORS as error:
        emit(LogEvent.value_unreadable, key=CONFIG_KEY, error=repr(error))
        return None


def decode_engine(
    key: str, value: bytes, now_s: float
) -> UpstreamRecord | None:
    """Return an engine's record.

    :param now_s: current time, to which the remaining cold time is added.
    :returns: ``None``, after a log line, if the value is malformed.
    """
    try:
        return _upstream_record(key.removeprefix(ENGINE_PREFIX), value, now_s)
    except DECODING_ERRORS as error:
        emit(LogEvent.value_unreadable, key=key, error=repr(error))
        return None


def decode_version(key: str, value: bytes) -> tuple[str, int] | None:
    """Return a model and its target version.

    :returns: ``None``, after a log line, if the value is malformed.
    """
    try:
        document = json.loads(value)
        return str(document['model']), _integer(document['version'])
    except DECODING_ERRORS as error:
        emit(LogEvent.value_unreadable, key=key, error=repr(error))
        return None


def decode_weights(document: Mapping[str, Any]) -> dict[str, HeldWeights]:
    """Return held weights by model, from an engine's record or report.

    ``layers`` is stated once for the engine, not for each model: an engine
    serves a single model.
    """
    layers = document.get('layers') or {}
    first = layers.get('from', 0)
    last = layers.get('to', 0)
    return {
        str(model['name']): HeldWeights(
            _integer(layers.get('version', model['version'])),
            whole=not first and last > 0,
        )
        for model in document.get('models') or ()
    }


def _route_table(document: Any) -> RouteTable:
    workspaces = {
        str(key): Workspace(
            str(tenant['name']),
            tenant.get('priority'),
            frozenset(tenant.get('allowed_regions') or ()),
        )
        for tenant in document.get('tenants') or ()
        for key in tenant['api_keys']
    }
    limits = document['limits']
    return RouteTable(
        version=_integer(document['version']),
        routes=tuple(_route(route) for route in document['routes']),
        services={
            str(service['name']): _service(service)
            for service in document['services']
        },
        workspaces=workspaces,
        limits=CallerLimits(
            int(limits['max_header_bytes']),
            int(limits['max_body_bytes']),
            limits['header_timeout_ms'] / MILLISECONDS,
            limits['idle_timeout_ms'] / MILLISECONDS,
        ),
        needs_keys=bool(document.get('tenants')),
    )


def _route(route: Any) -> Route:
    streamed = route['kind'] == 'streaming'
    retry_policy = RetryPolicy.never
    if route['kind'] == 'safe':
        retry_policy = RetryPolicy.always
    elif streamed and route.get('resumable'):
        retry_policy = RetryPolicy.resume
    shares = tuple(
        ServiceShare(str(part['service']), _weight(part['weight']))
        for part in route.get('traffic_split') or ()
    )
    return Route(
        name=str(route['name']),
        host=str(route['host']).lower(),
        path_prefix=str(route['path_prefix']),
        shares=shares or (ServiceShare(str(route['service']), 1.0),),
        retry_policy=retry_policy,
        streamed=streamed,
        timeout_s=route['timeout_ms'] / MILLISECONDS,
        objective_s=route['target_latency_ms'] / MILLISECONDS,
        urgency=int(route.get('priority') or 0),
        max_attempts=int(route.get('max_attempts') or 1),
        public=bool(route.get('public')),
        regions=frozenset(route.get('allowed_regions') or ()),
    )


def _service(service: Any) -> Service:
    engine = service.get('engine') or {}
    layout = None
    if engine.get('chunks') and engine.get('models'):
        # An engine serves a single model, the first one in its list.
        model = engine['models'][0]
        layout = WeightsLayout(
            model=str(model['name']),
            chunks=int(engine['chunks']),
            chunk_bytes=int(engine['chunk_bytes']),
            layers=int(engine['layers']),
            load_s=float(model.get('warm_s') or 0),
        )
    return Service(
        name=str(service['name']),
        max_connections=int(service.get('max_connections') or 0),
        cold_per_s=float(service.get('cold_per_s') or 0),
        weights=layout,
        origin=str(service.get('origin') or ''),
    )


def _upstream_record(
    engine_id: str, value: bytes, now_s: float
) -> UpstreamRecord:
    document = json.loads(value)
    if document['state'] not in STATES:
        raise ValueError(f'unknown state {document["state"]!r}')
    host, _, port = _text(document['address']).rpartition(':')
    if not host or not port.isdecimal():
        raise ValueError(f'not host:port: {document["address"]!r}')
    cold_ms = _integer(document.get('cold_remaining_ms', 0))
    cold_until_s = float('-inf')
    if cold_ms:
        cold_until_s = now_s + cold_ms / MILLISECONDS
    return UpstreamRecord(
        upstream_id=engine_id,
        started_ms=_integer(document.get('born', 0)),
        service=_text(document['service']),
        address=f'{host}:{port}',
        zone=_text(document['zone']),
        slots=_integer(document['slots']),
        draining=document['state'] == 'draining',
        cold_until_s=cold_until_s,
        weights=decode_weights(document),
    )


def _weight(value: Any) -> float:
    weight = float(value)
    if weight < 0 or not isfinite(weight):
        raise ValueError(f'{value!r} is not a weight')
    return weight


def _integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'{value!r} is not an integer')
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f'{value!r} is not a string')
    return value
