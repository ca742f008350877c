"""How soon an accepted change is in force, and what it asks of the store.

Real nodes, each with its sockets and threads, run in this process over
loopback against the store stand-in.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from statistics import median
from threading import Thread
from typing import Any, NamedTuple, final

from bramleylug.bench.configuration_costs import build_document
from bramleylug.bench.meters import ProcessorMeter
from bramleylug.bench.results import BenchResult, Bound
from bramleylug.configuration.document import Change, Document
from bramleylug.configuration.holder import ConfigurationHolder
from bramleylug.configuration.publisher import Accepted, publish
from bramleylug.fakes.store import FakeStoreServer
from bramleylug.node.node import Node
from bramleylug.node.synchronization import answer_pull, build_pull
from bramleylug.platform.grpc_store import GrpcStore
from bramleylug.settings.daemons import NodeSettings
from bramleylug.wire.channels import open_channel

SIZES = (10, 20, 40, 80)
ZONES = 3
CHANGES = 8
SERVICES = 100
JOIN_LIMIT_S = 30.0
FORCE_LIMIT_S = 3.0
FLAT_RATIO = 1.5
IDLE_S = 2.0
PAUSE_S = 0.3
POLL_S = 0.002
LETTER = 'letter: changes in force everywhere within 3 s'
ISSUE_FLAT = 'issue 4: store calls per change flat as members grow'


class SizeResult(NamedTuple):
    """Figures at one number of members; times in seconds."""

    members: int
    in_force_s: tuple[float, ...]
    calls_per_change: float
    idle_calls_per_s: float
    idle_cores: float


@final
class NodeFleet:
    """Nodes that found one another.

    :ivar nodes: each on a thread of its own.
    """

    def __init__(self, members: int) -> None:
        self.server = FakeStoreServer()
        self.server.start()
        self.channel = open_channel(self.server.address)
        self.store = GrpcStore(self.channel)
        self.nodes: list[Node] = []
        for number in range(members):
            self._add(number)

    def stop(self) -> None:
        """Stop all nodes and the store."""
        for node in self.nodes:
            node.close()
            node.stop()
        self.channel.close()
        self.server.stop()

    def calls(self) -> int:
        """Return the calls the store has answered."""
        return sum(self.server.store.counts.calls.values())

    def publish(self, number: int) -> float:
        """Publish a change; return the time until the last has it in force.

        :raises RuntimeError: when it is not accepted.
        """
        times: list[float] = []
        for node in self.nodes:
            del node.holder.on_change[1:]
            node.holder.on_change.append(_note_time(times))
        outcome = publish(
            self.store,
            Change(services={}, zones={f'zone-{number}': 'out'}),
            change_id=f'change-{number}',
            who='bench',
            when_s=time.time(),
        )
        accepted_s = time.monotonic()
        if not isinstance(outcome, Accepted):
            raise RuntimeError(f'not accepted: {outcome}')
        wait_until(lambda: len(times) >= len(self.nodes), JOIN_LIMIT_S)
        return max(0.0, max(times) - accepted_s)

    def _add(self, number: int) -> None:
        first = self.nodes[0].membership.own if self.nodes else None
        settings = NodeSettings(
            name=f'node-{number}',
            zone=f'zone-{number % ZONES}',
            region='region-1',
            store=self.server.address,
            seeds=(first.gossip_address,) if first else (),
        )
        node = Node(settings, 'agent', workers=2)
        node.open('127.0.0.1:0')
        Thread(target=node.run, daemon=True).start()
        self.nodes.append(node)


def run(seed: int) -> BenchResult:
    """Measure at growing numbers of members."""
    sizes = [measure_size(members) for members in SIZES]
    figures: dict[str, Any] = {}
    for found in sizes:
        figures.update(_name_figures(found))
    pulled = measure_pull()
    figures.update(pulled)
    smallest, largest = sizes[0], sizes[-1]
    ratio = largest.calls_per_change / smallest.calls_per_change
    growth = median(largest.in_force_s) - median(smallest.in_force_s)
    slopes = {
        'config_store_calls_per_change': largest.calls_per_change,
        'config_delta_bytes_per_change': pulled['delta_bytes'],
        'config_in_force_s_per_member': growth
        / (largest.members - smallest.members),
        'node_idle_cores': largest.idle_cores,
    }
    return BenchResult(
        bench='config',
        seed=seed,
        figures=figures,
        bounds=(
            *(
                Bound(
                    f'in_force_max_s_{size.members}',
                    max(size.in_force_s),
                    '<=',
                    FORCE_LIMIT_S,
                    LETTER,
                )
                for size in sizes
            ),
            Bound(
                'calls_per_change_largest_over_smallest',
                ratio,
                '<=',
                FLAT_RATIO,
                ISSUE_FLAT,
            ),
        ),
        baseline={'delta_bytes': pulled['whole_bytes']},
        series={
            'in force after, s, by members': [
                (size.members, max(size.in_force_s)) for size in sizes
            ],
        },
        slopes=slopes,
    )


def _name_figures(found: SizeResult) -> dict[str, float]:
    members = found.members
    return {
        f'in_force_median_s_{members}': median(found.in_force_s),
        f'in_force_max_s_{members}': max(found.in_force_s),
        f'calls_per_change_{members}': found.calls_per_change,
        f'idle_calls_per_s_{members}': found.idle_calls_per_s,
        f'idle_cores_per_member_{members}': found.idle_cores,
    }


def measure_size(members: int) -> SizeResult:
    """Measure a number of members."""
    with ExitStack() as stack:
        fleet = stack.enter_context(running_fleet(members))
        before = fleet.calls()
        meter = ProcessorMeter()
        with meter:
            time.sleep(IDLE_S)
        idle_calls = fleet.calls() - before
        before = fleet.calls()
        times = []
        for number in range(CHANGES):
            times.append(fleet.publish(number))
            time.sleep(PAUSE_S)
        calls = fleet.calls() - before
    return SizeResult(
        members,
        tuple(times),
        calls / CHANGES,
        idle_calls / IDLE_S,
        meter.cores / members,
    )


@contextmanager
def running_fleet(members: int) -> Iterator[NodeFleet]:
    """Run nodes until the block ends, from when all know one another."""
    fleet = NodeFleet(members)
    try:
        wait_until(lambda: _is_joined(fleet), JOIN_LIMIT_S)
        yield fleet
    finally:
        fleet.stop()


def measure_pull() -> dict[str, float]:
    """Compare a change with the whole document, in bytes and seconds."""
    document = build_document(SERVICES)
    changed = document.with_change(
        Change(services={}, zones={'zone-0': 'out'}),
        change_id='last',
        who='bench',
        when_s=1,
    )
    holder = ConfigurationHolder(time.time)
    holder.offer(changed)
    figures: dict[str, float] = {}
    for name, whole in (('delta', False), ('whole', True)):
        request = build_pull(document, whole=whole)
        meter = ProcessorMeter()
        with meter:
            text = answer_pull(holder, request).SerializeToString()
        figures[f'{name}_bytes'] = len(text)
        figures[f'{name}_answer_s'] = meter.used_s
    return figures


def wait_until(check: Callable[[], bool], limit_s: float) -> None:
    """Wait for a condition.

    :raises TimeoutError: when it does not hold in time.
    """
    deadline_s = time.monotonic() + limit_s
    while not check():
        if time.monotonic() > deadline_s:
            raise TimeoutError(f'not reached within {limit_s} s')
        time.sleep(POLL_S)


def _is_joined(fleet: NodeFleet) -> bool:
    members = len(fleet.nodes)
    return all(len(node.members) == members for node in fleet.nodes)


def _note_time(times: list[float]) -> Callable[[Document], None]:
    def note(document: Document) -> None:
        times.append(time.monotonic())

    return note
