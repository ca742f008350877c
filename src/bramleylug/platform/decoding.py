"""Decodes values that the operator and the engines write to the store."""

from collections.abc import Iterable, Mapping
from typing import Any, final

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
from bramleylug.cluster.held_weights import HeldWeights
from bramleylug.cluster.upstreams import UpstreamRecord
from bramleylug.platform.fields import (
    MAX_COUNT,
    MAX_NUMBER,
    UnreadableValue,
    address,
    decode_json,
    header_text,
    integer,
    mapping,
    number,
    optional_address,
    rows,
    seconds,
    text,
    texts,
)
from bramleylug.scheduling.figures import EngineFigures, ScalingLimits

MAX_SLOTS = 65_536
THOUSAND = 1_000
MILLION = 1_000_000
CONFIG_KEY = 'op/config'
EVACUATION_PREFIX = 'op/evacuate/'
VERSION_PREFIX = 'op/version/'
ENGINE_PREFIX = 'servers/'
STATES = frozenset(('ready', 'draining'))


def decode_configuration(
    value: bytes, routes: 'RouteDecoder | None' = None
) -> RouteTable:
    """Return the configuration.

    :param routes: decodes its routes; it knows those of the one before.
    :raises UnreadableValue: if the value is malformed.
    """
    decoder = routes or RouteDecoder()
    return decode_json(value, lambda document: _route_table(document, decoder))


@final
class RouteDecoder:
    """Decodes the routes of one configuration after the other.

    Most changes leave nearly all of many routes as they are; a route that was
    in the configuration before is not decoded again.

    :ivar known: document and route by the name of the route.
    """

    def __init__(self) -> None:
        self.known: dict[str, tuple[Any, Route]] = {}

    def decode(self, documents: Iterable[Any]) -> tuple[Route, ...]:
        """Return the routes.

        :raises UnreadableValue: if one of them is malformed.
        """
        decoded = [(document, self._decode(document)) for document in documents]
        self.known = {route.name: (raw, route) for raw, route in decoded}
        return tuple(route for _, route in decoded)

    def _decode(self, document: Any) -> Route:
        previous, route = self.known.get(document['name'], (None, None))
        if route is not None and previous == document:
            return route
        return _route(document)


def decode_engine(key: str, value: bytes, now_s: float) -> UpstreamRecord:
    """Return an engine's record.

    :param now_s: current time, to which the remaining cold time is added.
    :raises UnreadableValue: if key or value are malformed.
    """
    engine_id = header_text(key.removeprefix(ENGINE_PREFIX), 'id')
    return decode_json(
        value, lambda document: _upstream_record(engine_id, document, now_s)
    )


def decode_version(value: bytes) -> tuple[str, int]:
    """Return a model and its target version.

    :raises UnreadableValue: if the value is malformed.
    """
    return decode_json(
        value,
        lambda document: (
            text(document['model'], 'model'),
            integer(document['version'], 'version', MAX_NUMBER),
        ),
    )


def decode_weights(document: Mapping[str, Any]) -> dict[str, HeldWeights]:
    """Return held weights by model, from an engine's record or report.

    ``layers`` is stated once for the engine, not for each model: an engine
    serves a single model.

    :raises UnreadableValue: if they are malformed.
    """
    layers = mapping(document.get('layers'), 'layers')
    first = integer(layers.get('from', 0), 'from', MAX_COUNT)
    last = integer(layers.get('to', 0), 'to', MAX_COUNT)
    return {
        _name(model): HeldWeights(
            integer(
                layers.get('version', model['version']), 'version', MAX_NUMBER
            ),
            whole=not first and last > 0,
        )
        for model in rows(document.get('models'), 'models')
    }


def _route_table(document: Any, routes: RouteDecoder) -> RouteTable:
    tenants = rows(document.get('tenants'), 'tenants')
    limits = document['limits']
    return RouteTable(
        version=integer(document['version'], 'version', MAX_NUMBER),
        routes=routes.decode(document['routes']),
        services={
            _name(service): _service(service)
            for service in document['services']
        },
        workspaces={
            key: _workspace(tenant)
            for tenant in tenants
            for key in texts(tenant['api_keys'], 'api_keys')
        },
        limits=CallerLimits(
            integer(limits['max_header_bytes'], 'max_header_bytes', MAX_COUNT),
            integer(limits['max_body_bytes'], 'max_body_bytes', MAX_NUMBER),
            seconds(limits['header_timeout_ms'], 'header_timeout_ms'),
            seconds(limits['idle_timeout_ms'], 'idle_timeout_ms'),
        ),
        needs_keys=bool(tenants),
    )


def _workspace(tenant: Any) -> Workspace:
    priority = tenant.get('priority')
    if priority is not None:
        priority = integer(priority, 'priority', MAX_COUNT)
    return Workspace(
        header_text(tenant['name'], 'name'),
        priority,
        texts(tenant.get('allowed_regions'), 'allowed_regions'),
    )


def _route(route: Any) -> Route:
    streamed = route['kind'] == 'streaming'
    retry_policy = RetryPolicy.never
    if route['kind'] == 'safe':
        retry_policy = RetryPolicy.always
    elif streamed and route.get('resumable'):
        retry_policy = RetryPolicy.resume
    shares = tuple(
        ServiceShare(
            text(part['service'], 'service'), number(part['weight'], 'weight')
        )
        for part in rows(route.get('traffic_split'), 'traffic_split')
    )
    return Route(
        name=_name(route),
        host=text(route['host'], 'host').lower(),
        path_prefix=text(route['path_prefix'], 'path_prefix'),
        shares=shares
        or (ServiceShare(text(route['service'], 'service'), 1.0),),
        retry_policy=retry_policy,
        streamed=streamed,
        timeout_s=seconds(route['timeout_ms'], 'timeout_ms'),
        objective_s=seconds(route['target_latency_ms'], 'target_latency_ms'),
        urgency=integer(route.get('priority') or 0, 'priority', MAX_COUNT),
        max_attempts=integer(
            route.get('max_attempts') or 1, 'max_attempts', MAX_COUNT
        ),
        public=bool(route.get('public')),
        regions=texts(route.get('allowed_regions'), 'allowed_regions'),
        pause_objective_s=seconds(route.get('gap_aim_ms') or 0, 'gap_aim_ms'),
    )


def _service(service: Any) -> Service:
    engine = mapping(service.get('engine'), 'engine')
    layout = None
    if engine.get('chunks') and engine.get('models'):
        layout = _weights_layout(engine)
    return Service(
        name=_name(service),
        max_connections=integer(
            service.get('max_connections') or 0, 'max_connections', MAX_COUNT
        ),
        cold_per_s=number(service.get('cold_per_s') or 0, 'cold_per_s'),
        weights=layout,
        origin=optional_address(service.get('origin'), 'origin'),
        engine=_engine_figures(engine) if engine.get('step_ms') else None,
        scaling=_scaling_limits(service.get('scaling')),
    )


def _scaling_limits(scaling: Any) -> ScalingLimits | None:
    if not scaling:
        return None
    limits = mapping(scaling, 'scaling')
    minimum = integer(limits['minimum'], 'minimum', MAX_COUNT)
    return ScalingLimits(
        minimum,
        integer(limits['maximum'], 'maximum', MAX_COUNT, minimum),
        number(limits['boot_s'], 'boot_s'),
    )


def _engine_figures(engine: Mapping[str, Any]) -> EngineFigures:
    """Return the speed of a service's engines; absent figures are 0."""
    usual = mapping(engine.get('usual'), 'usual')
    # Stated in ms for 1,000 tokens, and for 1,000,000 pairs.
    context_s = seconds(engine.get('context_per_k') or 0, 'context_per_k')
    pairs_s = seconds(engine.get('pairs_per_m') or 0, 'pairs_per_m')
    return EngineFigures(
        step_s=seconds(engine['step_ms'], 'step_ms'),
        sequence_s=seconds(engine.get('per_seq_ms') or 0, 'per_seq_ms'),
        context_token_s=context_s / THOUSAND,
        read_per_s=number(engine.get('read_per_s') or 0, 'read_per_s'),
        pair_s=pairs_s / MILLION,
        step_tokens=integer(engine.get('chunk') or 0, 'chunk', MAX_COUNT),
        steps=integer(engine.get('stride') or 1, 'stride', MAX_COUNT),
        usual_prompt=number(usual.get('prompt') or 0, 'prompt'),
        usual_answer=number(usual.get('answer') or 0, 'answer'),
        memory_tokens=integer(
            engine.get('kv_capacity_tokens') or 0,
            'kv_capacity_tokens',
            MAX_NUMBER,
        ),
    )


def _weights_layout(engine: Mapping[str, Any]) -> WeightsLayout:
    # An engine serves a single model, the first one in its list.
    model = engine['models'][0]
    return WeightsLayout(
        model=_name(model),
        chunks=integer(engine['chunks'], 'chunks', MAX_COUNT),
        chunk_bytes=integer(engine['chunk_bytes'], 'chunk_bytes', MAX_COUNT),
        layers=integer(engine['layers'], 'layers', MAX_COUNT),
        load_s=number(model.get('warm_s') or 0, 'warm_s'),
    )


def _upstream_record(
    engine_id: str, document: Any, now_s: float
) -> UpstreamRecord:
    if document['state'] not in STATES:
        raise UnreadableValue('state is not a known one')
    cold_s = seconds(document.get('cold_remaining_ms', 0), 'cold_remaining_ms')
    return UpstreamRecord(
        upstream_id=engine_id,
        started_ms=integer(document.get('born', 0), 'born', MAX_NUMBER),
        service=text(document['service'], 'service'),
        address=address(document['address'], 'address'),
        zone=text(document['zone'], 'zone'),
        slots=integer(document['slots'], 'slots', MAX_SLOTS),
        draining=document['state'] == 'draining',
        cold_until_s=now_s + cold_s if cold_s else float('-inf'),
        weights=decode_weights(document),
    )


def _name(named: Any) -> str:
    return text(named['name'], 'name')
