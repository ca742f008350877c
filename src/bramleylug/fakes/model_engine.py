"""Fakes of the engines and the weights origin of relays and loaders."""

import asyncio
import hashlib
import json
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any, NamedTuple, final
from urllib.parse import parse_qs

from circuits import BaseComponent

from bramleylug.fakes.engine_trouble import (
    ENDLESS_LIMIT_S,
    LateOrder,
    Rejection,
    Trouble,
    finish_answer,
    send_without_end,
)
from bramleylug.fakes.held_weights import HeldWeights, Load
from bramleylug.fakes.staged_chunks import Spoilage, StagedChunks
from bramleylug.node.loop_thread import LoopThread
from bramleylug.platform.keyvalue import PlatformStore
from bramleylug.store.presence import Presence
from bramleylug.web.exchange import Exchange
from bramleylug.web.server import WebServer
from bramleylug.weights.manifest import chunk_hash, synthetic_chunks

NOT_EXECUTED_HEADER = {'X-Not-Executed': '1'}
LEAVING_HEADER = {'Server-Leaving': '1'}
LIMIT_HEADER = 'Server-Limit'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ModelEngineSettings:
    """Behaviour of an engine, which serves a model or a records service.

    :ivar model: model it serves; empty for a records service.
    :ivar version: version of the weights loaded at start; 0 for none.
    :ivar advertised: address that it registers; empty for its own address.
    :ivar slots: maximum number of concurrent requests.
    :ivar load_s: time that loading new weights takes.
    :ivar events: number of events in a stream.
    :ivar gap_s: time between two events of a stream, or of one booking.
    :ivar harmful_part: part of a prompt that crashes it; empty for none. The
        last part of a prompt is never the one.
    """

    engine_id: str
    service: str
    zone: str
    store: str
    bind: str = '127.0.0.1:0'
    advertised: str = ''
    slots: int = 16
    model: str = ''
    version: int = 0
    layers: int = 4
    chunks: int = 8
    chunk_bytes: int = 4096
    load_s: float = 0.05
    events: int = 6
    gap_s: float = 0.02
    harmful_part: str = ''


class Run(NamedTuple):
    """The run of a request.

    :ivar at_s: its start, Unix time.
    :ivar leaving: whether the engine said that it leaves.
    :ivar limit_per_s: limit that it named; ``None`` for none.
    """

    request_id: str
    at_s: float
    version: int
    workspace: str
    leaving: bool
    limit_per_s: float | None


class CorruptRun(NamedTuple):
    """A run that made tokens with a layer taken from a corrupt chunk.

    :ivar at_s: when it made the first of them, Unix time.
    :ivar corrupt_ms: for how long the chunk had been corrupt when the layer
        was taken.
    """

    request_id: str
    at_s: float
    layer: int
    corrupt_ms: int


@final
class FakeModelEngine(BaseComponent):
    """Serves streams or bookings, and loads weights that a loader staged.

    :ivar staged: chunks in its staging area.
    :ivar weights: the weights that it holds.
    :ivar runs: number of runs of each request id.
    :ivar run_log: every run, in the order of their starts.
    :ivar trouble: how it misbehaves.
    :ivar violations: descriptions of invalid requests, of weights that were
        loaded from missing chunks or those of other weights, and of runs with
        layers that were taken from chunks corrupt for too long.
    :ivar corrupt_runs: runs with layers that were taken from corrupt chunks,
        for however long these had been corrupt.
    """

    channel = 'web'

    def __init__(self, settings: ModelEngineSettings) -> None:
        super().__init__()
        self.settings = settings
        self.web = WebServer(settings.bind, self.serve).register(self)
        self.started_ms = time.time_ns() // 1_000_000
        self.staged = StagedChunks(
            version_chunks(settings, settings.version)
            if settings.version
            else ()
        )
        self.weights = HeldWeights(
            settings.version,
            settings.layers,
            self.staged,
            lambda version: version_chunks(settings, version),
        )
        self.active = 0
        self.runs: Counter[str] = Counter()
        self.run_log: list[Run] = []
        self.violations: list[str] = []
        self.corrupt_runs: list[CorruptRun] = []
        self.draining = False
        self.trouble = Trouble(harmful_part=settings.harmful_part)
        self.loop = LoopThread('engine')
        self.presence = Presence(
            PlatformStore(settings.store),
            f'servers/{settings.engine_id}',
            self._registration,
        )

    @property
    def version(self) -> int:
        """Version of the weights it holds; 0 for none."""
        return self.weights.version

    def open(self) -> None:
        """Register in the store and keep the registration."""
        self.loop.start()
        self.loop.supervise('presence', self.presence.run)

    def close(self) -> None:
        self.loop.stop()

    def serve(self, exchange: Exchange) -> None:
        self.loop.call(lambda: self._serve(exchange))

    def _serve(self, exchange: Exchange) -> None:
        path = exchange.path
        query = parse_qs(exchange.query)
        number = int(query.get('number', ['0'])[0])
        match path.strip('/').split('/'):
            case ['-', 'report']:
                exchange.reply_json(200, self._report())
            case ['-', 'stage-put', _]:
                self.staged.write(number, exchange.body())
                self._answer_staging(exchange, b'')
            case ['-', 'stage-get', _]:
                self._answer_staging(exchange, self.staged.read(number))
            case ['-', 'order']:
                self._receive_order(exchange, json.loads(exchange.body()))
            case ['-', page]:
                self._serve_test(page, exchange)
            case ['health']:
                exchange.reply(200, b'', self._instance_header())
            case _:
                self._accept_request(exchange)

    def _serve_test(self, page: str, exchange: Exchange) -> None:
        """Serve what only tests ask for."""
        if page == 'trouble':
            document = json.loads(exchange.body())
            self.trouble.update(document)
            spoilage = document.get('spoilage')
            if spoilage is not None:
                self.staged.plan(Spoilage.from_document(spoilage))
        exchange.reply_json(
            200,
            {
                'runs': self.run_log,
                'rejections': self.trouble.rejections,
                'faults': self.violations,
                'corrupt_runs': self.corrupt_runs,
                'spoilt': self.staged.spoilt,
                'read_backs': len(self.staged.read_back),
                'received_orders': self.trouble.received_orders,
                'accepted_orders': self.weights.orders,
            },
        )

    def _accept_request(self, exchange: Exchange) -> None:
        now_s = time.time()
        if now_s < self.trouble.busy_until_s:
            self._reject(exchange, now_s)
            return
        refusal = self._refusal_reason(exchange)
        if refusal:
            status = 421 if refusal == 'misdirected' else 503
            exchange.reply(
                status, b'', {**NOT_EXECUTED_HEADER, **self._instance_header()}
            )
            return
        self._check_headers(exchange)
        self.runs[exchange.request_id] += 1
        self.run_log.append(
            Run(
                exchange.request_id,
                time.time(),
                self.version,
                exchange.header('X-Tenant'),
                self.trouble.leaving,
                self.trouble.limit_per_s,
            )
        )
        self.active += 1
        self.loop.spawn(lambda: self._run_request(exchange))

    def _reject(self, exchange: Exchange, now_s: float) -> None:
        retry_after_s = self.trouble.busy_until_s - now_s
        self.trouble.rejections.append(
            Rejection(exchange.request_id, now_s, retry_after_s)
        )
        headers = {'Retry-After': f'{retry_after_s:.2f}'}
        exchange.reply(
            503,
            b'',
            {**NOT_EXECUTED_HEADER, **self._instance_header(), **headers},
        )

    def _refusal_reason(self, exchange: Exchange) -> str:
        expected = exchange.header('X-Expect-Instance')
        version = exchange.header('X-Expect-Version')
        if expected and expected != self.settings.engine_id:
            return 'misdirected'
        if self.settings.model:
            if version and int(version) != self.version:
                return 'misdirected'
            if self.weights.busy or not self.weights.complete:
                return 'loading'
        return 'full' if self.active >= self.settings.slots else ''

    def _check_headers(self, exchange: Exchange) -> None:
        if exchange.header('Authorization'):
            self.violations.append(
                f'{exchange.request_id} carries a client key'
            )
        if not exchange.header('X-Request-Deadline'):
            self.violations.append(f'{exchange.request_id} has no deadline')

    async def _run_request(self, exchange: Exchange) -> None:
        try:
            if self.trouble.is_harmful(exchange):
                await self._crash(exchange)
            elif self.trouble.endless:
                await self._send_without_end(exchange)
            elif self.settings.model:
                await self._stream(exchange)
            else:
                await self._book(exchange)
        finally:
            self.active -= 1

    async def _crash(self, exchange: Exchange) -> None:
        """End shortly after beginning to write, every other time unseen."""
        trouble = self.trouble
        trouble.harmful_runs += 1
        trouble.on_harmful(exchange.request_id)
        if trouble.harmful_runs % 2:
            trouble.start_answer(exchange, self._signature_header(b''))
        await asyncio.sleep(self.settings.gap_s)
        self.web.call(self._reset_all)

    def _reset_all(self) -> None:
        port = self.web.connections
        for connection in tuple(port.connections.values()):
            port.reset(connection)
        self.trouble.on_crash()

    async def _send_without_end(self, exchange: Exchange) -> None:
        self.trouble.endless -= 1
        if not await send_without_end(exchange, self._signature_header(b'')):
            self.violations.append(
                f'{exchange.request_id}: an answer without end was read '
                f'for {ENDLESS_LIMIT_S} s'
            )

    async def _book(self, exchange: Exchange) -> None:
        await asyncio.sleep(self.settings.gap_s)
        await self.trouble.wait_out_silence()
        body = json.dumps({'id': exchange.request_id}).encode()
        self.trouble.start_answer(
            exchange, self._signature_header(body), len(body)
        )
        exchange.send(body)
        finish_answer(exchange)

    async def _stream(self, exchange: Exchange) -> None:
        first = int(exchange.header('Last-Event-Id', '0') or 0) + 1
        version = self.version
        headers = {
            **self._signature_header(str(version).encode()),
            'Content-Type': 'text/event-stream',
            'X-Weight-Versions': str(version),
        }
        cut_at = 0
        if self.trouble.take_cut():
            cut_at = max(first, self.settings.events // 2)
        await self.trouble.wait_out_silence()
        self.trouble.start_answer(exchange, headers)
        checked: set[int] = set()
        for number in range(first, self.settings.events + 1):
            await asyncio.sleep(self.settings.gap_s)
            await self.trouble.wait_out_silence()
            if self.version != version or not self.weights.complete:
                exchange.abort()
                return
            if exchange.closed:
                return
            self._check_layers(exchange.request_id, checked)
            event = b'id: %d\ndata: %s v%d\n\n' % (
                number,
                exchange.request_id.encode(),
                version,
            )
            if number == cut_at:
                exchange.send(event[:-1])
                break
            exchange.send(event)
        finish_answer(exchange)

    def _check_layers(self, request_id: str, checked: set[int]) -> None:
        """Record the flaws of the layers that make a token.

        :param checked: layers whose flaws were recorded for this run.
        """
        for layer, held in self.weights.layers.items():
            flaw = held.flaw
            if flaw is None or layer in checked:
                continue
            checked.add(layer)
            if flaw.corrupt_ms is not None:
                self.corrupt_runs.append(
                    CorruptRun(request_id, time.time(), layer, flaw.corrupt_ms)
                )
            if not flaw.tolerated:
                self.violations.append(
                    f'{request_id} ran with layer {layer} of version '
                    f'{held.version}, which was taken when {flaw}'
                )

    def _answer_staging(self, exchange: Exchange, chunk: bytes | None) -> None:
        """Answer a read or write of a staged chunk, which may be late."""
        delay_s = self.trouble.staging_delay_s
        status = 404 if chunk is None else 200
        if not delay_s:
            exchange.reply(status, chunk or b'')
            return

        async def answer_late() -> None:
            await asyncio.sleep(delay_s)
            exchange.reply(status, chunk or b'')

        self.loop.spawn(answer_late)

    def _receive_order(self, exchange: Exchange, order: dict[str, Any]) -> None:
        late = self.trouble.take_late_order()
        if late is None:
            exchange.reply(self._accept_order(order), b'')
        else:
            self.loop.spawn(lambda: self._receive_late(exchange, order, late))

    async def _receive_late(
        self, exchange: Exchange, order: dict[str, Any], late: LateOrder
    ) -> None:
        await asyncio.sleep(late.wait_s)
        status = self._accept_order(order)
        if late.lost:
            exchange.abort()
        else:
            exchange.reply(status, b'')

    def _accept_order(self, order: dict[str, Any]) -> int:
        """Return the status of an order, which is carried out if it is 202."""
        match self.weights.accept(order):
            case Load() as load:
                self.loop.spawn(lambda: self._load_weights(load))
                return 202
            case status:
                return status

    async def _load_weights(self, load: Load) -> None:
        weights = self.weights
        while weights.complete and self.active:
            await asyncio.sleep(self.settings.gap_s)
        weights.loading = not load.alongside
        await asyncio.sleep(self.settings.load_s * load.new_share)
        fault = weights.finish(load)
        if fault:
            self.violations.append(fault)
        self.presence.announce()

    def _report(self) -> dict[str, Any]:
        return {
            **self._model_fields(),
            'busy': self.weights.busy,
            'sequence': self.weights.orders,
            'queue_depth': 0,
            'active_requests': self.active,
            'born': self.started_ms,
        }

    def _model_fields(self) -> dict[str, Any]:
        settings = self.settings
        if not settings.model:
            return {}
        return {
            'models': [{'name': settings.model, 'version': self.version}],
            'layers': self.weights.report(),
        }

    def _registration(self) -> bytes:
        settings = self.settings
        document = {
            'service': settings.service,
            'address': settings.advertised or self.web.address,
            'zone': settings.zone,
            'version': 'v1',
            'slots': settings.slots,
            'state': 'draining' if self.draining else 'ready',
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': self.started_ms,
            **self._model_fields(),
        }
        return json.dumps(document).encode()

    def _instance_header(self) -> dict[str, str]:
        return {'X-Instance-Id': self.settings.engine_id}

    def _signature_header(self, body: bytes) -> dict[str, str]:
        digest = hashlib.sha256(body).hexdigest()
        leaving = LEAVING_HEADER if self.trouble.leaving else {}
        limit_per_s = self.trouble.limit_per_s
        limit = {} if limit_per_s is None else {LIMIT_HEADER: f'{limit_per_s}'}
        return {
            'X-Response-Signature': f'{self.settings.engine_id}.{digest}',
            **leaving,
            **limit,
        }


@final
class FakeWeightsOrigin(BaseComponent):
    """Serves the manifest and chunks of any version.

    :param layout: model, chunk count and chunk size of the weights.
    :ivar newest: version of a request that names none.
    :ivar sent_chunks: number of chunks sent.
    """

    channel = 'web'

    def __init__(
        self, layout: ModelEngineSettings, bind: str = '127.0.0.1:0'
    ) -> None:
        super().__init__()
        self.layout = layout
        self.web = WebServer(bind, self.serve).register(self)
        self.newest = 1
        self.sent_chunks = 0

    def serve(self, exchange: Exchange) -> None:
        query = parse_qs(exchange.query)
        version = int(query.get('version', [str(self.newest)])[0])
        chunks = version_chunks(self.layout, version)
        if exchange.path.startswith('/-/manifest/'):
            exchange.reply_json(
                200,
                {
                    'model': self.layout.model,
                    'version': version,
                    'chunk_bytes': self.layout.chunk_bytes,
                    'layers': self.layout.layers,
                    'digests': [chunk_hash(chunk) for chunk in chunks],
                },
            )
            return
        self.sent_chunks += 1
        exchange.reply(200, chunks[int(query['number'][0])])


def version_chunks(layout: ModelEngineSettings, version: int) -> list[bytes]:
    """Return the chunks of a version, which depend on ``layout`` alone."""
    return list(
        synthetic_chunks(
            f'{layout.model}/{version}',
            layout.chunks * layout.chunk_bytes,
            layout.chunk_bytes,
        )
    )
