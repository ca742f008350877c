"""Fake model engine behind an agent; it crashes when overloaded."""

import json
import uuid
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, NamedTuple, final

from circuits import BaseComponent, Event, Timer, handler

from bramleylug.fakes.control import apply_control
from bramleylug.web.limits import WebLimits
from bramleylug.web.server import Exchange, WebServer
from bramleylug.weights.manifest import Manifest, VersionKey

TICK_S = 0.02
MEBIBYTE = 1024 * 1024
PENDING_LIMIT_BYTES = 65536
LIMITS = WebLimits(send_buffer_bytes=PENDING_LIMIT_BYTES)


class engine_tick(Event):  # noqa: N801
    """Fired every :data:`TICK_S` to generate tokens."""


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSettings:
    """Behaviour of the engine; all but ``bind`` may change at run time.

    :ivar bears_cold: concurrent requests it can run right after a start;
        one more makes it crash.
    :ivar bears_warm: concurrent requests it can run once it is warm.
    :ivar warm_after: answers after which it is warm.
    :ivar memory_bytes: it crashes when the bodies of running requests exceed
        this size.
    :ivar honours_fencing: whether it rejects orders with an old fencing
        number.
    :ivar report_lag_s: interval at which the reported load is updated; the
        report is out of date until then.
    :ivar stalled: whether it generates no tokens.
    :ivar cut_answers: number of next answers that are cut short.
    """

    bind: str = '127.0.0.1:0'
    bears_cold: int = 2
    bears_warm: int = 16
    warm_after: int = 20
    tokens_per_s: float = 200
    memory_bytes: int = 64 * MEBIBYTE
    honours_fencing: bool = True
    report_lag_s: float = 1.0
    stalled: bool = False
    cut_answers: int = 0


@final
@dataclass(slots=True)
class Stream:
    """A running request.

    :ivar held_bytes: size of the request body.
    :ivar credit: tokens due, including the fraction carried over.
    :ivar sent: tokens sent, including those before a resumption.
    """

    exchange: Exchange
    tokens_left: int
    digest: str
    held_bytes: int
    credit: float = 0
    sent: int = field(default=0)


class LoadReport(NamedTuple):
    """The load that the engine reports until the next update."""

    at_s: float
    running: int


@final
class FakeEngine(BaseComponent):
    """Model engine that crashes when it runs more requests than it can.

    ``POST /v1/generate`` streams tokens, ``GET /v1/state`` reports a load that
    lags, ``POST /v1/orders`` loads a staged version, ``/control`` changes
    settings or makes it crash. Every answer names the digest of the weights
    it ran on.

    :ivar fencing: highest fencing number of the orders received.
    :ivar stale_orders: orders with a lower fencing number than that.
    :ivar cancelled: requests whose connection the client closed.
    :ivar max_running: highest number of concurrent requests.
    :ivar now_s: seconds since the start, counted in ticks.
    """

    channel = 'web'

    def __init__(self, settings: EngineSettings) -> None:
        super().__init__()
        self.settings = settings
        self.web = WebServer(settings.bind, self.serve, limits=LIMITS).register(
            self
        )
        self.crashes = 0
        self.fencing = 0
        self.started_runs = 0
        self.stale_orders = 0
        self.cancelled = 0
        self.max_running = 0
        self.now_s = 0.0
        self.restart()
        Timer(TICK_S, engine_tick(), 'web', persist=True).register(self)

    @property
    def capacity(self) -> int:
        """Concurrent requests it can run; grows with answers since start."""
        settings = self.settings
        share = min(1, self.answered / settings.warm_after)
        span = settings.bears_warm - settings.bears_cold
        return settings.bears_cold + int(span * share)

    def restart(self) -> None:
        """Start cold and without weights, under a new boot id."""
        self.boot_id = uuid.uuid4().hex
        self.digest = ''
        self.adapters: dict[str, str] = {}
        self.loaded = VersionKey('', '')
        self.answered = 0
        self.streams: list[Stream] = []
        self.report = LoadReport(0, 0)

    def serve(self, exchange: Exchange) -> None:
        routes = {
            '/v1/generate': self._generate,
            '/v1/state': self._send_state,
            '/v1/orders': self._apply_order,
            '/control': self._control,
        }
        route = routes.get(exchange.path)
        if route is None:
            exchange.reply_json(404, {'error': 'no such path'})
            return
        try:
            route(exchange)
        except (ValueError, KeyError) as error:
            exchange.reply_json(400, {'error': str(error)})

    def crash(self) -> None:
        """Abort every running request and restart."""
        self.crashes += 1
        for stream in self.streams:
            stream.exchange.abort()
        self.restart()

    def _generate(self, exchange: Exchange) -> None:
        request = json.loads(exchange.body())
        if not self.digest:
            exchange.reply_json(503, {'error': 'no weights'})
            return
        self.started_runs += 1
        stream = _build_stream(exchange, request, self.digest)
        self.streams.append(stream)
        self.max_running = max(self.max_running, len(self.streams))
        if self._is_overloaded() or request.get('crash'):
            self.crash()
            return
        exchange.on_closed = lambda: self._cancel(stream)
        exchange.start(
            200,
            {
                'Content-Type': 'application/x-ndjson',
                'X-Weights-Digest': self.digest,
                'X-Boot-Id': self.boot_id,
                'X-Request-Id': exchange.header('X-Request-Id'),
            },
        )

    def _cancel(self, stream: Stream) -> None:
        if stream in self.streams:
            self.cancelled += 1
            self.streams.remove(stream)

    def _is_overloaded(self) -> bool:
        held_bytes = sum(stream.held_bytes for stream in self.streams)
        exceeds_capacity = len(self.streams) > self.capacity
        return exceeds_capacity or held_bytes > self.settings.memory_bytes

    def _send_state(self, exchange: Exchange) -> None:
        exchange.reply_json(200, self.state())

    def state(self) -> dict[str, Any]:
        """Return the JSON object of ``GET /v1/state``."""
        return {
            'boot_id': self.boot_id,
            'model': self.loaded.model,
            'version': self.loaded.version,
            'digest': self.digest,
            'running': self.report.running,
            'answered': self.answered,
            'fencing': self.fencing,
            'adapters': self.adapters,
            'started_runs': self.started_runs,
        }

    def _apply_order(self, exchange: Exchange) -> None:
        order = json.loads(exchange.body())
        fencing = int(order['fencing'])
        if fencing < self.fencing:
            self.stale_orders += 1
            if self.settings.honours_fencing:
                exchange.reply_json(409, {'error': 'old fencing number'})
                return
        self.fencing = max(self.fencing, fencing)
        if 'adapter' in order:
            self._apply_adapter_order(order)
            exchange.reply_json(200, self.state())
            return
        manifest = _read_staged_version(Path(order['path']))
        self.adapters = {}
        self.loaded = manifest.key
        self.digest = manifest.digest
        self.answered = 0
        exchange.reply_json(200, self.state())

    def _apply_adapter_order(self, order: dict[str, Any]) -> None:
        if order.get('drop'):
            self.adapters.pop(order['adapter'], None)
            return
        manifest = _read_staged_version(Path(order['path']))
        self.adapters[order['adapter']] = manifest.digest

    def _control(self, exchange: Exchange) -> None:
        changed, commands = apply_control(
            self.settings, exchange.body(), commands=('fall_over',)
        )
        self.settings = changed
        if commands.get('fall_over'):
            self.crash()
        counts = {
            'crashes': self.crashes,
            'cancelled': self.cancelled,
            'most_running': self.max_running,
            'started_runs': self.started_runs,
        }
        exchange.reply_json(200, {**self.state(), **counts})

    @handler('engine_tick')
    def _on_tick(self) -> None:
        self.now_s += TICK_S
        if self.now_s - self.report.at_s >= self.settings.report_lag_s:
            self.report = LoadReport(self.now_s, len(self.streams))
        if self.settings.stalled:
            return
        for stream in tuple(self.streams):
            self._advance(stream)

    def _advance(self, stream: Stream) -> None:
        if stream.exchange.pending_bytes > PENDING_LIMIT_BYTES:
            # The client reads too slowly; generation pauses.
            return
        stream.credit += self.settings.tokens_per_s * TICK_S
        count = min(int(stream.credit), stream.tokens_left)
        stream.credit -= count
        stream.tokens_left -= count
        lines = [
            json.dumps({'token': stream.sent + index, 'digest': stream.digest})
            for index in range(count)
        ]
        stream.sent += count
        if lines:
            piece = '\n'.join(lines) + '\n'
            stream.exchange.send(piece.encode())
        if stream.sent and self.settings.cut_answers:
            self.settings = replace(
                self.settings, cut_answers=self.settings.cut_answers - 1
            )
            self.streams.remove(stream)
            stream.exchange.abort()
        elif not stream.tokens_left:
            self.streams.remove(stream)
            self.answered += 1
            stream.exchange.on_closed = lambda: None
            stream.exchange.finish()


def _build_stream(
    exchange: Exchange, request: dict[str, Any], digest: str
) -> Stream:
    """Return a stream that starts after the ``offset`` of the request."""
    offset = int(request.get('offset', 0))
    tokens = int(request.get('tokens', 16))
    held_bytes = len(exchange.body())
    return Stream(exchange, tokens - offset, digest, held_bytes, sent=offset)


def _read_staged_version(path: Path) -> Manifest:
    """Read a staged version and verify its chunks.

    :raises FileNotFoundError: when a chunk is missing.
    :raises ValueError: when a chunk differs from the manifest.
    """
    manifest = Manifest.from_json((path / 'manifest').read_bytes())
    read = Manifest.from_chunks(
        manifest.model,
        manifest.version,
        (
            (path / f'{index:06d}').read_bytes()
            for index in range(len(manifest.chunk_hashes))
        ),
        manifest.chunk_bytes,
    )
    if read != manifest:
        raise ValueError('staged version differs from its manifest')
    return manifest
