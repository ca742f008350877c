"""A serving fleet for benches: stand-ins, agents and entries."""

import json
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Self, final

from bramleylug.bench.load import HttpCall, call_http
from bramleylug.bench.processes import Child, Processes, wait_until
from bramleylug.configuration.document import Change, ServiceSpec, spec_to_json
from bramleylug.configuration.publisher import Accepted, publish
from bramleylug.store.grpc_store import GrpcStore
from bramleylug.wire.channels import open_channel

SERVICE = 'seat-fitting'
MODEL = 'seat-fitting-model'
VERSION = '1'
WEIGHTS_BYTES = 1048576
READY_TIMEOUT_S = 30.0
OK_STATUS = 200
GENERATE = f'/v1/services/{SERVICE}/v1/generate'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class FleetPlan:
    """Configuration of a serving fleet.

    :ivar zones: each has an engine with its agent, and an entry unless
        ``entry_zones`` names other zones.
    :ivar concurrency: concurrent requests that a warm engine can run.
    :ivar cold_concurrency: the same for a cold engine.
    :ivar warm_after: answers after which an engine is warm.
    :ivar extra_weights: further ``MODEL@VERSION=BYTES`` at the origin.
    :ivar engine_settings: further settings of the engine stand-ins.
    """

    zones: tuple[str, ...]
    concurrency: int
    cold_concurrency: int = 2
    warm_after: int = 20
    tokens_per_s: float = 50
    agent_flags: tuple[str, ...] = ()
    entry_flags: tuple[str, ...] = ()
    entry_zones: tuple[str, ...] = ()
    extra_weights: tuple[str, ...] = ()
    engine_settings: dict[str, Any] = field(default_factory=dict)


@final
class ServingFleet:
    """Runs the processes of a plan within a ``with`` block.

    :ivar engines: addresses of the engines by zone.
    :ivar agents: processes of the agents by zone.
    :ivar entries: processes of the entries by zone.
    """

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.processes = Processes()
        self.engines: dict[str, str] = {}
        self.agents: dict[str, Child] = {}
        self.entries: dict[str, Child] = {}

    def __enter__(self) -> Self:
        """Start all processes and wait until every agent is ready."""
        try:
            self._start()
        except BaseException:
            self.processes.close()
            raise
        return self

    def __exit__(self, *_error: object) -> None:
        self.processes.close()

    def entry_address(self, zone: str) -> str:
        """Return the HTTP address of the entry in a zone."""
        return self.entries[zone].addresses['http']

    def publish(self, change: Change) -> None:
        """Publish a change.

        :raises RuntimeError: when it is not accepted.
        """
        store = GrpcStore(open_channel(self.processes.store))
        outcome = publish(
            store,
            change,
            change_id=uuid.uuid4().hex,
            who='bench',
            when_s=time.time(),
        )
        if not isinstance(outcome, Accepted):
            raise RuntimeError(f'change was not accepted: {outcome}')

    def engine_state(self, zone: str) -> dict[str, Any]:
        """Return the state reported by the engine in a zone."""
        call = HttpCall('/v1/state', method='GET')
        return dict(json.loads(call_http(self.engines[zone], call).body))

    def warm_up(self) -> None:
        """Send requests until every engine is warm."""
        call = build_generate_call(1)
        for zone in self.entries:
            address = self.entry_address(zone)
            wait_until(_responds_ok(address, call), READY_TIMEOUT_S)
        for zone in self.plan.zones:
            while self.engine_state(zone)['answered'] < self.plan.warm_after:
                call_http(
                    self.entry_address(self._nearest_entry_zone(zone)), call
                )

    def build_spec(self) -> dict[str, Any]:
        """Return the published specification of the service."""
        plan = self.plan
        return spec_to_json(
            ServiceSpec(
                name=SERVICE,
                kind='model',
                zones=plan.zones,
                model=MODEL,
                version=VERSION,
                replicas=len(plan.zones),
                concurrency=plan.concurrency,
                cold_concurrency=plan.cold_concurrency,
                ramp_successes=plan.warm_after,
            )
        )

    def _nearest_entry_zone(self, zone: str) -> str:
        return zone if zone in self.entries else next(iter(self.entries))

    def _start(self) -> None:
        plan = self.plan
        self.processes.start_platform(
            f'{MODEL}@{VERSION}={WEIGHTS_BYTES}', *plan.extra_weights
        )
        settings = {
            'bears_cold': plan.cold_concurrency,
            'bears_warm': plan.concurrency,
            'warm_after': plan.warm_after,
            'tokens_per_s': plan.tokens_per_s,
            **plan.engine_settings,
        }
        flags = [f'--set={name}={value}' for name, value in settings.items()]
        for zone in plan.zones:
            self.engines[zone] = self.processes.start_fake(
                f'engine-{zone}', 'engine', *flags
            )
            self.agents[zone] = self.processes.start_agent(
                f'agent-{zone}',
                zone,
                SERVICE,
                self.engines[zone],
                *plan.agent_flags,
            )
        for zone in plan.entry_zones or plan.zones:
            self.entries[zone] = self.processes.start_entry(
                f'entry-{zone}', zone, *plan.entry_flags
            )
        self.publish(Change(services={SERVICE: self.build_spec()}, zones={}))
        for agent in self.agents.values():
            wait_until(
                _responds_ok(
                    agent.addresses['http'], HttpCall('/readyz', '', 'GET')
                ),
                READY_TIMEOUT_S,
            )


def build_generate_call(tokens: int) -> HttpCall:
    """Return a request to an entry for some tokens."""
    return HttpCall(GENERATE, json.dumps({'prompt': 'p', 'tokens': tokens}))


def build_direct_call(tokens: int) -> HttpCall:
    """Return the same request for sending directly to an engine."""
    return HttpCall('/v1/generate', build_generate_call(tokens).body)


def _responds_ok(address: str, call: HttpCall) -> Callable[[], bool]:
    return lambda: call_http(address, call).status == OK_STATUS
