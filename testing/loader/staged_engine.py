"""Model of an engine, its staging area, its loader and a relay."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from random import Random
from typing import NamedTuple

from bramleylug.cluster.constraints import Constraints
from bramleylug.cluster.held_weights import HeldWeights
from bramleylug.cluster.report_messages import (
    report_from_message,
    report_to_message,
)
from bramleylug.cluster.upstreams import (
    UpstreamRecord,
    UpstreamRegistry,
    UpstreamReport,
)
from bramleylug.loader.chunk_store import (
    ChunkStore,
    ChunkStores,
    build_manifest,
)
from bramleylug.loader.downloader import TargetVersion
from bramleylug.loader.engine import (
    DecodedReport,
    EngineUnavailable,
    OrderAnswer,
)
from bramleylug.loader.engine_updater import EngineUpdater
from bramleylug.loader.policy import EngineState
from bramleylug.scheduling.placing import unusable_weights_reason
from bramleylug.weights.manifest import chunk_hash
from testing.loader.swarm import CHUNK_BYTES, chunks_of
from testing.relay.builders import (
    MODEL,
    build_constraints,
    build_observation,
    build_upstream_record,
)

ADDRESS = '127.0.0.1:1'
LAYERS = 4
LOAD_S = 0.4
CALL_TIMEOUT_S = 1.0
HEARTBEAT_S = 0.2


class TakenLayer(NamedTuple):
    """A layer as the engine holds it."""

    version: int
    sound: bool


def build_chunk_store(version: int = 1) -> ChunkStore:
    """Return a complete version."""
    chunks = chunks_of(version)
    manifest = build_manifest(
        MODEL, version, CHUNK_BYTES, [chunk_hash(chunk) for chunk in chunks]
    )
    chunk_store = ChunkStore(manifest)
    for index, chunk in enumerate(chunks):
        chunk_store.add(index, chunk)
    return chunk_store


@dataclass(slots=True)
class Delays:
    """How long calls take until the engine acts, and until it has answered.

    :ivar order_s: until an order is accepted or refused.
    :ivar calls_s: until any other call is answered.
    """

    order_s: float = 0.001
    calls_s: float = 0.001


class StagedEngine:
    """An engine that loads what is staged when it accepts an order.

    A call that takes longer than its time limit has its effect all the same,
    unless the engine has restarted.

    :ivar on_staged_read: called after each read of a staged chunk.
    :ivar is_read_lost: returns whether the next such read gets no answer.
    :ivar late_writes: by chunk how late its next write is carried out.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.started_ms = 1000
        self.orders = 0
        self.busy = False
        self.layers: list[TakenLayer] = []
        self.staged: dict[int, bytes] = {}
        self.delays = Delays()
        self.tasks: set[asyncio.Task[object]] = set()
        self.on_staged_read: Callable[[int], None] = _ignore
        self.is_read_lost: Callable[[], bool] = _never
        self.late_writes: dict[int, float] = {}

    @property
    def version(self) -> int:
        return self.layers[0].version if self.layers else 0

    @property
    def held(self) -> HeldWeights:
        return HeldWeights(self.version, whole=bool(self.layers))

    @property
    def sound(self) -> bool:
        """Whether no layer was corrupt when it was taken."""
        return all(layer.sound for layer in self.layers)

    def restart(self) -> None:
        """Begin a new incarnation, which holds nothing."""
        self.started_ms += 1
        self.orders = 0
        self.busy = False
        self.layers = []

    def spoil(self, index: int) -> None:
        """Have a staged chunk become corrupt."""
        if index in self.staged:
            self.staged |= {index: b'spoilt'}

    def lose_write(self, index: int, late_s: float) -> None:
        """Carry the next write of a chunk out late, without an answer."""
        self.late_writes[index] = late_s

    def lose_reads(self, random: Random, share: float) -> None:
        """Give no answer to a share of the reads of staged chunks."""

        def is_lost() -> bool:
            return random.random() < share

        self.is_read_lost = is_lost

    async def report(self, model: str, now_s: float) -> DecodedReport:
        return await self._call(self.delays.calls_s, lambda: self._read(now_s))

    async def stage(self, model: str, index: int, chunk: bytes) -> None:
        await self._call(
            self.late_writes.pop(index, self.delays.calls_s),
            lambda: self.staged.update({index: chunk}),
        )

    async def read_staged(self, model: str, index: int) -> bytes | None:
        chunk = await self._call(
            2 * CALL_TIMEOUT_S if self.is_read_lost() else self.delays.calls_s,
            partial(self.staged.get, index),
        )
        self.on_staged_read(index)
        return chunk

    async def load(self, manifest, order) -> OrderAnswer:
        return await self._call(
            self.delays.order_s, lambda: self._accept(manifest, order)
        )

    async def _call(self, delay_s, act):
        incarnation = self.started_ms

        async def run():
            await asyncio.sleep(delay_s)
            if self.started_ms != incarnation:
                raise EngineUnavailable('connection reset')
            return act()

        task = asyncio.create_task(run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        # The error of a call that nobody waits for any more is of no interest.
        task.add_done_callback(_retrieve_error)
        done, _ = await asyncio.wait((task,), timeout=CALL_TIMEOUT_S)
        if not done:
            raise EngineUnavailable('no answer')
        return task.result()

    def _read(self, now_s: float) -> DecodedReport:
        held = self.held
        state = EngineState(
            self.started_ms,
            held.version if held.whole else 0,
            held.whole,
            self.busy,
            self.orders,
        )
        report = UpstreamReport(
            self.started_ms, 0, 0, {MODEL: held}, False, now_s
        )
        return DecodedReport(state, report)

    def _accept(self, manifest, order) -> OrderAnswer:
        if self.busy or order.after_orders != self.orders:
            return OrderAnswer.refused
        version = int(manifest.version)
        if order.unload:
            version = 0
        if self.version == version:
            return OrderAnswer.in_effect
        self.orders += 1
        self.busy = not order.unload
        self.layers = []
        if not order.unload:
            self._load_soon(
                [
                    TakenLayer(version, self._is_sound(version, index))
                    for index in range(LAYERS)
                ]
            )
        return OrderAnswer.began

    def _load_soon(self, layers: list[TakenLayer]) -> None:
        incarnation = self.started_ms

        async def finish() -> None:
            await asyncio.sleep(LOAD_S)
            if self.started_ms == incarnation:
                self.layers = layers
                self.busy = False

        task = asyncio.create_task(finish())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _is_sound(self, version: int, layer: int) -> bool:
        chunks = chunks_of(version)
        first = layer * len(chunks) // LAYERS
        end = -(-(layer + 1) * len(chunks) // LAYERS)
        return all(
            self.staged.get(index) == chunks[index]
            for index in range(first, end)
        )


class HostModel:
    """A host with an engine and its loader, and a relay that hears of it.

    The relay reads each change of the engine's record in the store at once,
    which is the worst case: its loader is heard later.

    :ivar loses: returns whether the next datagram to the relay is lost.
    :ivar offers: times at which the relay might have sent a request.
    :ivar violations: times at which the engine would have run it on layers
        that were corrupt when they were taken, or were not complete.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.engine = StagedEngine(clock)
        self.chunk_stores = ChunkStores()
        self.registry = UpstreamRegistry()
        self.updater = EngineUpdater(
            self.engine, self.chunk_stores, self, clock
        )
        self.loses: Callable[[], bool] = _never
        self.offers: list[float] = []
        self.violations: list[float] = []
        self.loader = asyncio.create_task(self.updater.run())
        self.tasks = [
            asyncio.create_task(self._send_heartbeats()),
            asyncio.create_task(self._watch()),
        ]

    def name(self, version: int) -> None:
        """Have the loader hold a version completely."""
        chunk_store = build_chunk_store(version)
        self.chunk_stores.open(version, chunk_store.manifest).chunks.update(
            chunk_store.chunks
        )

    def restart_loader(self) -> None:
        """Kill the loader; its successor holds the same chunks."""
        self.loader.cancel()
        self.updater = EngineUpdater(
            self.engine, self.chunk_stores, self, self.clock
        )
        self.loader = asyncio.create_task(self.updater.run())

    def stop(self) -> None:
        for task in (self.loader, *self.tasks, *self.engine.tasks):
            task.cancel()

    def is_offered(self) -> bool:
        """Return whether the relay might have the engine run a request now.

        A request states the version that it expects, and an engine with
        another one refuses it.
        """
        constraints: Constraints = build_constraints()
        now_s = self.clock()
        return any(
            upstream.weights_of(MODEL, now_s) == self.engine.held
            and not unusable_weights_reason(upstream, MODEL, constraints, now_s)
            for upstream in self.registry.by_id.values()
        )

    def model(self) -> str:
        return MODEL

    def target_version(self) -> TargetVersion:
        return TargetVersion(
            MODEL, max(self.chunk_stores.by_version, default=1)
        )

    def observe(self, ready_version, engine):
        return build_observation(
            ready_version=ready_version,
            engine=engine,
            outdated_since_s=self.clock() - 20.0,
        )

    def send_heartbeat(self) -> None:
        report = self.updater.report
        if report is None or self.loses():
            return
        closing = self.updater.policy.closing
        message = report_to_message(ADDRESS, report._replace(closing=closing))
        self.registry.record_report(
            ADDRESS, report_from_message(message, self.clock())
        )

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.send_heartbeat()

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            self._register()
            if self.is_offered() and not self.engine.busy:
                self.offers.append(self.clock())
                if not self.engine.sound:
                    self.violations.append(self.clock())

    def _register(self) -> None:
        record: UpstreamRecord = build_upstream_record(address=ADDRESS)
        self.registry.register(
            replace(
                record,
                started_ms=self.engine.started_ms,
                weights={MODEL: self.engine.held},
            )
        )


def _ignore(index: int) -> None:
    """Do nothing."""


def _retrieve_error(task: asyncio.Task[object]) -> None:
    if not task.cancelled():
        task.exception()


def _never() -> bool:
    return False
