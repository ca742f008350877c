"""Fleet of daemons and stand-ins in three zones for the faults bench."""

import time
import uuid
from collections import Counter
from typing import Literal, final

from bramleylug.bench.processes import Processes, wait_until
from bramleylug.cli.faults import set_http_faults
from bramleylug.configuration.document import Change, ServiceSpec, spec_to_json
from bramleylug.configuration.publisher import publish
from bramleylug.store.grpc_store import GrpcStore
from bramleylug.wire.channels import open_channel

ZONES = ('zone-a', 'zone-b', 'zone-c')
MODEL = 'seat-fitting-model'
MODEL_BYTES = 8 * 1024 * 1024
# Slow bookings, so that some are running at every kill and pause.
UPSTREAM_FLAGS = {'engine': (), 'records': ('--set=delay_s=0.2',)}
READY_TIMEOUT_S = 40.0


@final
class FaultFleet:
    """An entry, an engine and a records service in each zone.

    :ivar upstreams: addresses of the upstreams by ``KIND-ZONE``; the kind
        is ``engine`` or ``records``.
    """

    def __init__(self, processes: Processes) -> None:
        self.processes = processes
        self.upstreams: dict[str, str] = {}
        self.store: GrpcStore | None = None

    def start(self) -> None:
        """Start all processes and wait until every engine has weights."""
        fleet = self.processes
        fleet.start_platform(
            f'{MODEL}@1={MODEL_BYTES}', f'{MODEL}@2={MODEL_BYTES}'
        )
        self.store = GrpcStore(open_channel(fleet.store))
        for zone in ZONES:
            fleet.start_entry(f'entry-{zone}', zone)
            for kind, flags in UPSTREAM_FLAGS.items():
                name = f'{kind}-{zone}'
                self.upstreams[name] = fleet.start_fake(name, kind, *flags)
                self.start_agent(kind, zone)
        self.publish(build_services('1'), {})
        wait_until(self._has_weights, READY_TIMEOUT_S)

    def entries(self) -> list[str]:
        """Return the addresses of the running entries."""
        return [
            child.addresses['http']
            for name, child in self.processes.children.items()
            if name.startswith('entry-') and child.process.poll() is None
        ]

    def publish(
        self,
        changed: dict[str, ServiceSpec],
        zones: dict[str, Literal['in', 'out']],
    ) -> object:
        """Publish a change and return the publisher's outcome."""
        change = Change(
            services={
                name: spec_to_json(spec) for name, spec in changed.items()
            },
            zones=zones,
        )
        if self.store is None:
            raise RuntimeError('fleet is not started')
        return publish(
            self.store,
            change,
            change_id=uuid.uuid4().hex,
            who='bench',
            when_s=time.time(),
        )

    def runs_by_key(self) -> Counter[str]:
        """Return how often each booking key ran, over all records services."""
        total: Counter[str] = Counter()
        for zone in ZONES:
            address = self.upstreams[f'records-{zone}']
            total.update(set_http_faults(address, {})['runs'])
        return total

    def start_agent(self, kind: str, zone: str) -> None:
        """Start the agent of an upstream, also again after it was killed."""
        service = 'seat-fitting' if kind == 'engine' else 'bookings'
        upstream = self.upstreams[f'{kind}-{zone}']
        self.processes.start_agent(
            f'agent-{kind}-{zone}', zone, service, upstream
        )

    def count_crashes(self) -> int:
        """Return how often engines crashed, over all zones."""
        return sum(
            int(
                set_http_faults(self.upstreams[f'engine-{zone}'], {})['crashes']
            )
            for zone in ZONES
        )

    def count_runs(self, zone: str) -> int:
        """Return how many runs the upstreams of a zone have started."""
        engine = set_http_faults(self.upstreams[f'engine-{zone}'], {})
        records = set_http_faults(self.upstreams[f'records-{zone}'], {})
        booked: int = sum(records['runs'].values())
        return booked + int(engine['started_runs'])

    def _has_weights(self) -> bool:
        digests = [
            set_http_faults(self.upstreams[f'engine-{zone}'], {})['digest']
            for zone in ZONES
        ]
        return all(digests)


def build_services(version: str) -> dict[str, ServiceSpec]:
    """Return the model service and the booking service."""
    model = ServiceSpec(
        name='seat-fitting',
        kind='model',
        zones=ZONES,
        model=MODEL,
        version=version,
        replicas=len(ZONES),
    )
    bookings = ServiceSpec(
        name='bookings',
        kind='plain',
        zones=ZONES,
        replicas=len(ZONES),
        idempotent=False,
        fencing=False,
    )
    return {model.name: model, bookings.name: bookings}
