"""Simulation of relays and of engines that some prompts crash.

The relays are real, on virtual time; engines, callers, links between relays
and the store are simulated.
"""

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from typing import Any, NamedTuple

from bramleylug.cluster.bar_archive import BarArchive
from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.heartbeat_schedule import HeartbeatSchedule
from bramleylug.cluster.heartbeats import (
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_RATES,
    HeartbeatSocket,
    relay_heartbeat,
)
from bramleylug.cluster.peers import PeerRecord, Role
from bramleylug.cluster.route_table import Workspace
from bramleylug.cluster.suspect_messages import decode_bar
from bramleylug.cluster.upstreams import (
    HeldWeights,
    UpstreamRecord,
    UpstreamReport,
)
from bramleylug.outcomes import Reason
from bramleylug.platform.dialect import PlatformDialect
from bramleylug.relay.relay import Relay
from bramleylug.store.changes import Lease
from bramleylug.store.mirror import Mirror
from bramleylug.web.client_connection import (
    AnswerHead,
    ClientRequest,
    ConnectionBroken,
)
from bramleylug.wire.beats_pb2 import Beat, PermitMessage
from testing.relay.builders import (
    MODEL,
    build_peer,
    build_settings,
    build_table,
    build_upstream_record,
)
from testing.relay.scripted_engines import RecordingExchange
from testing.virtual_time import VirtualLoop

STABLE_WINDOW_S = 3.0
INPUT_CHECK_S = 0.005
COUNTED_CRASHES = 5
# Fewer requests than this say nothing about the share that is served.
MIN_COUNTED = 20
REGIONS = {'zone-a': 'north', 'zone-b': 'south', 'zone-c': 'west'}
ZONES = tuple(REGIONS)
END_S = float('inf')
SYSTEM_PART = '5c1e07a2'
HARMFUL_PART = '91bd3f06'
SUBJECTS = tuple(f'a0b1{number:04x}' for number in range(20))
# The first three have two thirds of the traffic.
WORKSPACES = tuple(f'workspace-{number}' for number in range(10))
TRAFFIC_BY_WORKSPACE = (
    *(WORKSPACES[0],) * 6,
    *(WORKSPACES[1],) * 5,
    *(WORKSPACES[2],) * 3,
    *WORKSPACES[3:],
)
SLOTS = 16
EVENTS = 5
PREFILL_S = (0.1, 0.3)
STREAM_S = (0.6, 1.3)
CRASH_AFTER_S = (0.05, 0.25)
ENGINE_DOWN_S = (3.0, 5.0)
COLD_S = 4.0
RELAY_DOWN_S = (0.5, 1.0)
LINK_S = (0.002, 0.005)
LOST_DATAGRAMS = 0.05
CUT_INSIDE_EVENT = 0.3
STORE_LAG_S = (0.05, 0.5)
STORE_REMOVAL_S = (0.5, 1.0)
CLOSING_NOTICE_S = 0.4
LOADING_S = 0.3
MAINTENANCE_S = 1.0
# Uptime differs from host to host.
CLOCK_OFFSET_S = 1000.0
MILLISECONDS = 1000


@dataclass(frozen=True, kw_only=True)
class Source:
    """Requests of one kind; their last part is always their own.

    :ivar subjects: one of them is the part before the last.
    :ivar made_up_parts: further parts that no other request has.
    :ivar crashes_engines: whether they crash engines whatever their parts.
    """

    name: str
    per_s: float
    workspaces: tuple[str, ...] = TRAFFIC_BY_WORKSPACE
    subjects: tuple[str, ...] = SUBJECTS
    made_up_parts: int = 0
    crashes_engines: bool = False
    from_s: float = 0
    until_s: float = END_S


@dataclass
class Call:
    """A request of a caller and what became of it.

    :ivar parts: ids of the parts of its prompt, without the last.
    :ivar begun_s: when an engine first began to run it.
    :ivar code: code of the relay's error answer; empty if it sent none.
    """

    request_id: str
    source: str
    workspace: str
    parts: tuple[str, ...]
    arrived_s: float
    crashes_engines: bool
    begun_s: float | None = None
    code: str = ''

    @property
    def refused(self) -> bool:
        """Whether it was refused as one that crashes engines."""
        return self.code == Reason.crash_suspect


class Delivery(NamedTuple):
    """A request that reached an engine.

    :ivar relay_up_s: for how long its relay had been running.
    """

    call: Call
    at_s: float
    relay: str
    relay_up_s: float
    engine: str

    @property
    def relay_started_s(self) -> float:
        return round(self.at_s - self.relay_up_s, 6)


class LimitPeriod(NamedTuple):
    """A time in which an engine names a limit, or none.

    :ivar per_s: requests a second; ``None`` if it names none.
    """

    engine: str
    from_s: float
    until_s: float
    per_s: float | None


class Crash(NamedTuple):
    """The end of an engine.

    :ivar part: the part that crashed it; empty if it was another cause.
    """

    engine: str
    at_s: float
    part: str


class CallerExchange(RecordingExchange):
    """The exchange of one call, with the headers of the platform."""

    method = 'POST'
    query = ''

    def __init__(self, call: Call) -> None:
        super().__init__()
        self.call = call
        self.path = '/ask/1'
        parts = (*call.parts, f'e{call.request_id}')
        self.headers = {
            'Host': 'advisor.example',
            'X-Request-Id': call.request_id,
            'X-Model': MODEL,
            'X-Token-Usage': '800,80',
            'X-Prompt-Prefix': ','.join(f'{part}:250' for part in parts),
            'X-Request-Deadline': '6000',
            'Authorization': f'Bearer key-{call.workspace}',
        }

    def header(self, name: str) -> str:
        return self.headers.get(name, '')

    def body(self) -> bytes:
        """Return a body that no other request has."""
        return self.call.request_id.encode()

    def reply_json(self, status: int, document: Any, headers: Any) -> None:
        super().reply_json(status, document, headers)
        self.call.code = document['code']


class EngineConnection:
    """A relay's connection to an engine, for one request."""

    answered_count = 0

    def __init__(self, engine: 'Engine', node: 'RelayNode') -> None:
        self.engine = engine
        self.node = node
        self.received: asyncio.Queue[Any] = asyncio.Queue()
        self.call: Call | None = None
        self.resume_after = 0
        self.head_sent = False
        self.ended = False

    def send(self, request: ClientRequest) -> None:
        """Hand a request to the engine.

        :raises ConnectionBroken: if the engine has ended.
        """
        if not self.engine.alive:
            raise ConnectionBroken('connection closed by peer')
        headers = dict(request.headers)
        self.resume_after = int(headers.get('Last-Event-Id', 0))
        self.call = self.engine.simulation.calls[headers['X-Request-Id']]
        self.engine.accept(self)

    async def read_head(self) -> AnswerHead:
        return await self._receive()

    async def read_piece(self) -> bytes:
        return await self._receive()

    @property
    def has_input(self) -> bool:
        """Whether bytes were received that have not been read."""
        return self.received.qsize() > int(self.ended)

    async def wait_for_input(self) -> None:
        """Wait for input or the end of the connection; read nothing."""
        while not (self.has_input or self.ended):
            await asyncio.sleep(INPUT_CHECK_S)

    def close(self) -> None:
        self.engine.drop(self)

    async def _receive(self) -> Any:
        piece = await self.received.get()
        if isinstance(piece, Exception):
            raise piece
        return piece


class EnginePool:
    """Opens a connection to an engine for every request."""

    def __init__(self, node: 'RelayNode') -> None:
        self.node = node

    async def acquire(self, record: UpstreamRecord) -> EngineConnection:
        """Return a connection after a round trip.

        :raises ConnectionRefusedError: if the engine has ended.
        """
        simulation = self.node.simulation
        await asyncio.sleep(simulation.between(LINK_S))
        engine = simulation.engines.get(record.upstream_id)
        if engine is None:
            raise ConnectionRefusedError(record.address)
        return EngineConnection(engine, self.node)

    def release(self, *arguments: Any) -> None:
        """Ignore a connection whose answer was read to its end."""


class Engine:
    """Runs as many requests as it has slots; others wait."""

    def __init__(
        self, simulation: 'CrashSimulation', engine_id: str, zone: str
    ) -> None:
        self.simulation = simulation
        self.engine_id = engine_id
        self.zone = zone
        self.started_s = simulation.now_s()
        self.alive = True
        self.running: list[EngineConnection] = []
        self.waiting: deque[EngineConnection] = deque()
        self.limit_per_s: float | None = None

    def name_limit(self, per_s: float | None) -> None:
        """Name a limit in all answers from now on, or none."""
        now_s = self.simulation.now_s()
        limits = self.simulation.limits
        for place, one in enumerate(limits):
            if one.engine == self.engine_id and one.until_s > now_s:
                limits[place] = one._replace(until_s=now_s)
        limits.append(LimitPeriod(self.engine_id, now_s, END_S, per_s))
        self.limit_per_s = per_s

    def record(self, node: 'RelayNode') -> UpstreamRecord:
        """Return its record as a relay reads it."""
        cold_until_s = float('-inf')
        if self.started_s:
            cold_until_s = self.started_s + COLD_S + node.offset_s
        return build_upstream_record(
            self.engine_id,
            address=self.engine_id,
            started_ms=round(self.started_s * MILLISECONDS),
            zone=self.zone,
            slots=SLOTS,
            cold_until_s=cold_until_s,
        )

    def accept(self, connection: EngineConnection) -> None:
        """Run a request now or when a slot is free."""
        if len(self.running) < SLOTS:
            self._begin(connection)
        else:
            self.waiting.append(connection)
        simulation = self.simulation
        node = connection.node
        simulation.deliveries.append(
            Delivery(
                connection.call,
                simulation.now_s(),
                node.name,
                simulation.now_s() - node.started_s,
                self.engine_id,
            )
        )

    def drop(self, connection: EngineConnection) -> None:
        """Stop working on a request."""
        if connection in self.running:
            self.running.remove(connection)
        elif connection in self.waiting:
            self.waiting.remove(connection)
        while self.alive and self.waiting and len(self.running) < SLOTS:
            self._begin(self.waiting.popleft())

    def crash(self, part: str = '') -> None:
        """End, cut all requests, and start again as another engine."""
        if not self.alive:
            return
        simulation = self.simulation
        self.alive = False
        simulation.crashes.append(
            Crash(self.engine_id, simulation.now_s(), part)
        )
        simulation.engines.pop(self.engine_id)
        self.cut_all()
        simulation.after(
            simulation.between(ENGINE_DOWN_S),
            partial(simulation.start_engine, self.zone),
        )
        for name in simulation.nodes:
            simulation.after(
                simulation.between(STORE_REMOVAL_S),
                partial(simulation.remove_engine, name, self.engine_id),
            )

    def load_weights(self) -> None:
        """Announce a planned interruption, then cut all requests."""
        self._report(closing=True)
        self.simulation.after(CLOSING_NOTICE_S, self.cut_all)
        self.simulation.after(
            CLOSING_NOTICE_S + LOADING_S, partial(self._report, closing=False)
        )

    def cut_all(self) -> None:
        """Cut the answers to all requests, some inside an event."""
        for connection in (*self.running, *self.waiting):
            is_inside = self.simulation.random.random() < CUT_INSIDE_EVENT
            if is_inside and connection.head_sent:
                connection.received.put_nowait(b'id: ')
            connection.received.put_nowait(ConnectionBroken('reset by peer'))
            connection.ended = True
        self.running.clear()
        self.waiting.clear()

    def _begin(self, connection: EngineConnection) -> None:
        simulation = self.simulation
        call = connection.call
        self.running.append(connection)
        if call.begun_s is None:
            call.begun_s = simulation.now_s()
        harmful = simulation.harmful.intersection(call.parts)
        if harmful or call.crashes_engines:
            simulation.after(
                simulation.between(CRASH_AFTER_S),
                partial(self.crash, ''.join(harmful)),
            )
        prefill_s = simulation.between(PREFILL_S)
        interval_s = simulation.between(STREAM_S) / EVENTS
        simulation.after(
            prefill_s,
            partial(
                self._write, connection, connection.resume_after, interval_s
            ),
        )

    def _write(
        self, connection: EngineConnection, written: int, interval_s: float
    ) -> None:
        """Write the head or the next event, and go on after the interval."""
        if connection not in self.running:
            return
        if not connection.head_sent:
            connection.received.put_nowait(self._head(connection))
            connection.head_sent = True
        if written >= EVENTS:
            connection.received.put_nowait(b'')
            self.drop(connection)
            return
        event = written + 1
        connection.received.put_nowait(b'id: %d\ndata: t\n\n' % event)
        self.simulation.after(
            interval_s, partial(self._write, connection, event, interval_s)
        )

    def _head(self, connection: EngineConnection) -> AnswerHead:
        headers = {
            'x-request-id': connection.call.request_id,
            'x-response-signature': 's',
            'connection': 'close',
        }
        if self.limit_per_s is not None:
            headers['server-limit'] = f'{self.limit_per_s:g}'
            node, now_s = connection.node, self.simulation.now_s()
            told = self.engine_id, node.name, round(node.started_s, 6)
            self.simulation.told_s.setdefault(told, now_s)
        return AnswerHead(200, headers, tuple(headers.items()))

    def _report(self, *, closing: bool) -> None:
        """Tell the relays whether it is about to load weights."""
        if not self.alive:
            return
        for node in self.simulation.nodes_up():
            report = UpstreamReport(
                node.view.upstreams.by_id[self.engine_id].record.started_ms
                if self.engine_id in node.view.upstreams.by_id
                else 0,
                len(self.running),
                len(self.waiting),
                {MODEL: HeldWeights(1, whole=True)},
                closing,
                node.clock(),
            )
            node.view.upstreams.record_report(self.engine_id, report)


class LossyLink:
    """Delivers datagrams between relays late, or not at all."""

    def __init__(self, simulation: 'CrashSimulation', sender: str) -> None:
        self.simulation = simulation
        self.sender = sender

    def sendto(self, raw: bytes, address: tuple[str, int]) -> None:
        simulation = self.simulation
        if simulation.is_cut(self.sender, address[0]):
            return
        if simulation.random.random() >= LOST_DATAGRAMS:
            simulation.after(
                simulation.between(LINK_S),
                partial(simulation.deliver_datagram, address[0], raw),
            )


class SimulatedStore:
    """Keeps the bars that relays write and passes them on with a lag."""

    def __init__(self, simulation: 'CrashSimulation') -> None:
        self.simulation = simulation
        self.bars: dict[str, bytes] = {}

    async def grant_lease(self, ttl_s: float) -> Lease:
        return Lease(1, ttl_s)

    async def put(self, key: str, value: bytes, lease_id: int) -> None:
        self.bars[key] = value
        simulation = self.simulation
        for name in simulation.nodes:
            simulation.after(
                simulation.between(STORE_LAG_S),
                partial(simulation.deliver_bar, name, value),
            )


class RelayNode:
    """One run of a relay process, from its start to its end.

    :ivar offset_s: what its clock shows at the start of the simulation.
    """

    def __init__(
        self, simulation: 'CrashSimulation', record: PeerRecord, offset_s: float
    ) -> None:
        self.simulation = simulation
        self.record = record
        self.name = record.name
        self.offset_s = offset_s
        self.started_s = simulation.now_s()
        self.mirror = Mirror(STABLE_WINDOW_S)
        settings = build_settings(
            name=record.name,
            zone=record.zone,
            region=record.region,
            regions=REGIONS,
        )
        self.view = ClusterView(
            settings, lambda: self.record, self.mirror, self.clock
        )
        self.relay = Relay(settings, self.view, PlatformDialect(), self.clock)
        self.relay.pool = EnginePool(self)
        self.archive = BarArchive(
            simulation.store,
            self.view.suspects,
            bytes.hex,
            simulation.now_s,
            simulation.random,
        )
        self.socket = HeartbeatSocket(self.view.receive_heartbeat)
        self.socket.port = LossyLink(simulation, record.name)
        self.schedule = HeartbeatSchedule(record.region, HEARTBEAT_RATES)
        self.tasks: dict[asyncio.Task[None], None] = {}

    def clock(self) -> float:
        return self.simulation.now_s() + self.offset_s

    def start(self) -> None:
        """Read the store and start the background tasks."""
        view = self.view
        view.apply_route_table(self.simulation.table)
        for record in self.simulation.peers.values():
            if record.name != self.name:
                self.read_peer(record)
        for engine in self.simulation.engines.values():
            view.register_upstream(engine.record(self))
        for raw in self.simulation.store.bars.values():
            self.read_bar(raw)
        view.suspects.on_change = self.send_to_all
        view.permits.on_limit_changed = self.send_to_all
        view.on_peer_started = self.tell_limits
        view.permits.send = self.send_permits
        self.spawn(self._send_heartbeats())
        self.spawn(self._maintain())
        self.spawn(self.relay.dispatch_queue.run())
        self.spawn(view.permits.run())

    def spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks[task] = None
        task.add_done_callback(self.tasks.pop)

    def end(self) -> None:
        """End without notice, together with all running requests."""
        for task in tuple(self.tasks):
            task.cancel()

    def read_bar(self, raw: bytes) -> None:
        report = decode_bar(raw, self.simulation.now_s())
        self.view.suspects.merge(report)
        self.view.suspects.mark_stored(report.fingerprint, report.strikes)

    def read_peer(self, record: PeerRecord) -> None:
        """Read from the store that a relay is registered."""
        self.view.peers.add(record, self.clock())

    def tell_limits(self, name: str) -> None:
        """Tell a relay that has started which limits hold."""
        peer = self.view.peers.known.get(name)
        if peer is not None and self.view.permits.buckets:
            self.socket.send(self._heartbeat(), [peer.beats])

    def send_permits(self, relay: str, messages: list[PermitMessage]) -> None:
        """Send messages about permits to a relay."""
        peer = self.view.peers.known.get(relay)
        if peer is not None:
            heartbeat = Beat(name=self.name, permits=messages)
            self.socket.send(heartbeat, [peer.beats])

    def send_to_all(self) -> None:
        """Send a heartbeat to all relays outside of the schedule."""
        alive = self.view.peers.alive(Role.relay, self.clock())
        self.socket.send(self._heartbeat(), [peer.beats for peer in alive])

    def _heartbeat(self) -> Any:
        heartbeat = relay_heartbeat(
            self.name,
            self.record.boot,
            self.view.upstreams,
            self.view.suspects,
            self.clock(),
            draining=self.view.permits.issuers.draining,
            issued=self.view.permits.buckets,
        )
        heartbeat.configuration = self.view.table.version
        return heartbeat

    async def _send_heartbeats(self) -> None:
        await asyncio.sleep(self.simulation.random.random() / 5)
        while True:
            now_s = self.clock()
            alive = self.view.peers.alive(Role.relay, now_s)
            due = self.schedule.due(alive, now_s)
            if due:
                self.socket.send(
                    self._heartbeat(), [peer.beats for peer in due]
                )
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _maintain(self) -> None:
        while True:
            self.mirror.confirm(self.clock(), self.clock())
            self.view.update_preferred()
            self.view.upstreams.remove_expired_notices(self.clock())
            self.view.suspects.remove_expired()
            self.view.permits.clean_up()
            if self.archive.has_pending():
                self.spawn(self.archive.write())
            await asyncio.sleep(MAINTENANCE_S)


@dataclass
class CrashSimulation:
    """Relays, engines and callers; what engines and callers have seen.

    :ivar harmful: parts that crash every engine which runs them.
    :ivar calls: by request id, in order of arrival.
    :ivar deliveries: all requests that reached an engine.
    :ivar nodes: by name of the relay; ``None`` while it is down.
    :ivar limits: what engines name, in the order of time.
    :ivar told_s: when a relay, by name and start, first had an answer of an
        engine with a limit.
    :ivar halves: groups of relays that do not hear each other.
    """

    seed: int
    relay_count: int = 6
    engine_count: int = 8
    harmful: set[str] = field(default_factory=lambda: {HARMFUL_PART})
    calls: dict[str, Call] = field(default_factory=dict)
    deliveries: list[Delivery] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)
    engines: dict[str, Engine] = field(default_factory=dict)
    nodes: dict[str, RelayNode | None] = field(default_factory=dict)
    peers: dict[str, PeerRecord] = field(default_factory=dict)
    sources: list[Source] = field(default_factory=list)
    limits: list[LimitPeriod] = field(default_factory=list)
    told_s: dict[tuple[str, str, float], float] = field(default_factory=dict)
    halves: list[set[str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the relays' records; nothing runs yet."""
        self.random = Random(self.seed)
        self.store = SimulatedStore(self)
        self.numbers = count(1)
        self.loop = VirtualLoop()
        self.table = build_table(
            workspaces={f'key-{name}': Workspace(name) for name in WORKSPACES}
        )
        for number in range(self.relay_count):
            name = f'relay-{self.seed}-{number}'
            zone = ZONES[number % len(ZONES)]
            self.peers[name] = build_peer(name, zone=zone, region=REGIONS[zone])

    def now_s(self) -> float:
        return self.loop.time()

    def between(self, bounds: tuple[float, float]) -> float:
        return self.random.uniform(*bounds)

    def after(self, delay_s: float, action: Callable[[], object]) -> None:
        """Schedule an action."""
        self.loop.call_later(delay_s, action)

    def play(self, length_s: float) -> None:
        """Run everything for a time, on a loop of its own."""
        with asyncio.Runner(loop_factory=lambda: self.loop) as runner:
            runner.run(self._run(length_s))

    def crash_engines_every(self, interval_s: float) -> None:
        """Crash single engines at random times, without any harmful part."""

        def crash_next() -> None:
            self.crash_some(1)
            self.after(self.random.expovariate(1 / interval_s), crash_next)

        self.after(self.random.expovariate(1 / interval_s), crash_next)

    def crash_some(self, number: int) -> None:
        """Crash engines at the same instant."""
        engines = list(self.engines.values())
        for engine in self.random.sample(engines, min(number, len(engines))):
            engine.crash()

    def crash_zone(self, zone: str) -> None:
        """Crash all engines of a zone at the same instant."""
        for engine in tuple(self.engines.values()):
            if engine.zone == zone:
                engine.crash()

    def load_weights(self) -> None:
        """Let an engine interrupt its requests as planned."""
        engines = list(self.engines.values())
        for engine in self.random.sample(engines, min(1, len(engines))):
            engine.load_weights()

    def restart_relays(self, number: int) -> None:
        """Restart relays; what they held in memory is lost."""
        for name in self.random.sample(list(self.nodes), number):
            node = self.nodes[name]
            if node is not None:
                node.end()
                self.nodes[name] = None
                self.after(
                    self.between(RELAY_DOWN_S), partial(self._start_relay, name)
                )

    def cut_between(self, half: set[str]) -> None:
        """Let some relays and all others hear nothing of each other."""
        self.halves = [half, set(self.peers) - half]

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Return whether datagrams do not arrive."""
        return any(
            (sender in half) != (receiver in half) for half in self.halves
        )

    def mend(self) -> None:
        """Let no part crash engines any more."""
        self.harmful.clear()

    def nodes_up(self) -> list[RelayNode]:
        """Return the relays that are running."""
        return [node for node in self.nodes.values() if node is not None]

    def start_engine(self, zone: str) -> None:
        """Start an engine and register it with the relays."""
        engine = Engine(self, f'engine-{next(self.numbers):04}', zone)
        self.engines[engine.engine_id] = engine
        for name in self.nodes:
            self.after(
                self.between(STORE_LAG_S),
                partial(self._register_engine, name, engine),
            )

    def remove_engine(self, name: str, engine_id: str) -> None:
        """Let a relay read that an engine is gone."""
        node = self.nodes[name]
        if node is not None:
            node.view.remove_upstream(engine_id)

    def deliver_bar(self, name: str, raw: bytes) -> None:
        node = self.nodes[name]
        if node is not None:
            node.read_bar(raw)

    def deliver_datagram(self, name: str, raw: bytes) -> None:
        node = self.nodes[name]
        if node is not None:
            node.socket.receive(raw, None)

    async def _run(self, length_s: float) -> None:
        for number in range(self.engine_count):
            self.start_engine(ZONES[number % len(ZONES)])
        for name in self.peers:
            self._start_relay(name)
        for source in self.sources:
            self.after(source.from_s, partial(self._arrive, source))
        await asyncio.sleep(length_s)
        for node in self.nodes_up():
            node.end()

    def _register_engine(self, name: str, engine: Engine) -> None:
        node = self.nodes[name]
        if node is not None and engine.alive:
            node.view.register_upstream(engine.record(node))

    def _start_relay(self, name: str) -> None:
        record = self.peers[name]
        if name in self.nodes:
            record = build_peer(
                name,
                zone=record.zone,
                region=record.region,
                boot=record.boot + 1,
            )
            self.peers[name] = record
        position = list(self.peers).index(name)
        node = RelayNode(self, record, CLOCK_OFFSET_S * (position + 1))
        self.nodes[name] = node
        node.start()

    def _arrive(self, source: Source) -> None:
        if self.now_s() >= source.until_s:
            return
        pause_s = self.random.expovariate(source.per_s)
        self.after(pause_s, partial(self._arrive, source))
        nodes = self.nodes_up()
        if not nodes:
            return
        made_up = tuple(
            f'd{next(self.numbers):07x}' for _ in range(source.made_up_parts)
        )
        subject = self.random.choice(source.subjects)
        call = Call(
            f'{next(self.numbers):08x}',
            source.name,
            self.random.choice(source.workspaces),
            (SYSTEM_PART, *made_up, subject),
            self.now_s(),
            source.crashes_engines,
        )
        self.calls[call.request_id] = call
        node = self.random.choice(nodes)
        node.spawn(_serve(node, call))


def calls_between(
    simulation: CrashSimulation,
    source: str,
    from_s: float,
    until_s: float = END_S,
) -> list[Call]:
    """Return the calls of a source that arrived in a time."""
    return [
        call
        for call in simulation.calls.values()
        if call.source == source and from_s <= call.arrived_s < until_s
    ]


def settled_s(simulation: CrashSimulation, part: str = HARMFUL_PART) -> float:
    """Return the time of the fifth crash by a part, or of the last.

    It is 0 if the part has crashed no engine.
    """
    times = [one.at_s for one in simulation.crashes if one.part == part]
    return max(times[:COUNTED_CRASHES], default=0.0)


def late_deliveries(
    simulation: CrashSimulation, part: str = HARMFUL_PART
) -> list[Delivery]:
    """Return the harmful requests that reached engines too late.

    Relays that have just been started are not counted.
    """
    times = [one.at_s for one in simulation.crashes if one.part == part]
    if len(times) < COUNTED_CRASHES:
        return []
    from_s = times[COUNTED_CRASHES - 1] + STABLE_WINDOW_S
    return [
        delivery
        for delivery in simulation.deliveries
        if part in delivery.call.parts
        and delivery.at_s > from_s
        and delivery.relay_up_s >= STABLE_WINDOW_S
    ]


def begun_share(calls: list[Call]) -> float:
    """Return the share of calls that an engine began to run."""
    return sum(call.begun_s is not None for call in calls) / len(calls)


def refused_share(calls: list[Call]) -> float:
    """Return the share of calls refused as ones that crash engines."""
    return sum(call.refused for call in calls) / len(calls)


def longest_refusal_s(calls: Iterable[Call]) -> float:
    """Return for how long calls that share something were all refused.

    What they share is a workspace or a part of the prompt.
    """
    refused_from_s: dict[str, float] = {}
    longest_s: Counter[str] = Counter()
    for call in calls:
        for key in (call.workspace, *call.parts):
            if call.refused:
                from_s = refused_from_s.setdefault(key, call.arrived_s)
                longest_s[key] = max(longest_s[key], call.arrived_s - from_s)
            elif call.begun_s is not None:
                refused_from_s.pop(key, None)
    return max(longest_s.values(), default=0.0)


async def _serve(node: RelayNode, call: Call) -> None:
    with suppress(asyncio.CancelledError):
        await node.relay.serve(CallerExchange(call))
