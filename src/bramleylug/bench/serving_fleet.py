"""A serving fleet for benches: stand-ins, agents and entries as processes."""

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
READY_LIMIT_S = 30.0
HTTP_OK = 200
GENERATE = f'/v1/services/{SERVICE}/v1/generate'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class FleetPlan:
    """What a bench starts.

    :ivar zones: one engine, its agent and one entry each.
    :ivar bears: requests a warm engine bears.
    :ivar more_weights: further ``MODEL@VERSION=BYTES`` at the origin.
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
    """Runs a plan within a ``with`` block.

    :ivar engines: address of each engine, by zone.
    :ivar agents: process of each agent, by zone.
    :ivar entries: process of each entry, by zone.
    """

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.processes = Processes()
        self.engines: dict[str, str] = {}
        self.agents: dict[str, Child] = {}
        self.entries: dict[str, Child] = {}

    def __enter__(self) -> Self:
        """Start everything and wait until it serves."""
        try:
            self._start()
        except BaseException:
            self.processes.close()
            raise
        return self

    def __exit__(self, *_error: object) -> None:
        """End every process."""
        self.processes.close()

    def entry_address(self, zone: str) -> str:
        """Return the callers' address of the entry in a zone."""
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
            raise RuntimeError(f'not accepted: {outcome}')

    def state(self, zone: str) -> dict[str, Any]:
        """Return what the engine in a zone reports."""
        call = HttpCall('/v1/state', method='GET')
        return dict(json.loads(call_http(self.engines[zone], call).body))

    def warm_up(self) -> None:
        """Send requests until every engine is warm."""
        call = generate(1)
        for zone in self.entries:
            address = self.entry_address(zone)
            wait_until(_answers(address, call), READY_LIMIT_S)
        for zone in self.plan.zones:
            while self.state(zone)['answered'] < self.plan.warm_after:
                call_http(self.entry_address(self._near(zone)), call)

    def spec(self) -> dict[str, Any]:
        """Return the service as it is published."""
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

    def _near(self, zone: str) -> str:
        return zone if zone in self.entries else next(iter(self.entries))

    def _start(self) -> None:
        plan = self.plan
        self.processes.start_platform(
            f'{MODEL}@{VERSION}={WEIGHTS_BYTES}', *plan.extra_weights
        )
        words = {
            'bears_cold': plan.cold_concurrency,
            'bears_warm': plan.concurrency,
            'warm_after': plan.warm_after,
            'tokens_per_s': plan.tokens_per_s,
            **plan.engine_settings,
        }
        flags = [f'--set={name}={value}' for name, value in words.items()]
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
        self.publish(Change(services={SERVICE: self.spec()}, zones={}))
        for agent in self.agents.values():
            wait_until(
                _answers(
                    agent.addresses['http'], HttpCall('/readyz', '', 'GET')
                ),
                READY_LIMIT_S,
            )


def generate(tokens: int) -> HttpCall:
    """Return a request for some tokens through an entry."""
    return HttpCall(GENERATE, json.dumps({'prompt': 'p', 'tokens': tokens}))


def generate_directly(tokens: int) -> HttpCall:
    """Return the same request to an engine itself."""
    return HttpCall('/v1/generate', generate(tokens).body)


def _answers(address: str, call: HttpCall) -> Callable[[], bool]:
    return lambda: call_http(address, call).status == HTTP_OK
