"""Fake weights origin of agents: range requests over a rate-limited link."""

import json
import re
import time
from collections import deque
from typing import final

from circuits import BaseComponent, Timer, handler
from circuits.core.events import Event

from bramleylug.web.server import Exchange, WebServer
from bramleylug.weights.manifest import (
    CHUNK_BYTES,
    Manifest,
    synthetic_chunks,
)

TICK_S = 0.01
MAX_BURST_S = 0.1
SEND_BYTES = 32768
RANGE_PATTERN = re.compile(r'bytes=(\d+)-(\d+)')
DEFAULT_RATE = 250_000_000


class origin_tick(Event):  # noqa: N801
    """Fired every :data:`TICK_S` to send what the link rate allows."""


@final
class FakeOrigin(BaseComponent):
    """Serves ``/MODEL/VERSION/manifest`` and ``/MODEL/VERSION/weights``.

    :param rate: link rate in bytes per second.
    :ivar bytes_sent: bytes of weights sent, without manifests.
    :ivar budget: bytes that may be sent now; negative after a piece that
        exceeded it.
    :ivar outage: whether all requests but those to ``/control`` get 503.
    :ivar corrupt_chunks: indices of chunks that are served as zeros.
    :ivar queue: answers with the bytes still to be sent; they take turns, a
        piece of :data:`SEND_BYTES` each.
    """

    channel = 'web'

    def __init__(
        self, bind: str = '127.0.0.1:0', rate: float = DEFAULT_RATE
    ) -> None:
        super().__init__()
        self.web = WebServer(bind, self.serve).register(self)
        self.rate = rate
        self.bytes_sent = 0
        self.budget = 0.0
        self.last_tick_s = time.monotonic()
        self.outage = False
        self.corrupt_chunks: set[int] = set()
        self.versions: dict[tuple[str, str], tuple[Manifest, bytes]] = {}
        self.queue: deque[tuple[Exchange, bytes]] = deque()
        Timer(TICK_S, origin_tick(), 'web', persist=True).register(self)

    def add_version(
        self,
        model: str,
        version: str,
        size_bytes: int,
        chunk_bytes: int = CHUNK_BYTES,
    ) -> Manifest:
        """Generate weights of the given size and serve them."""
        chunks = list(
            synthetic_chunks(f'{model}/{version}', size_bytes, chunk_bytes),
        )
        manifest = Manifest.from_chunks(model, version, chunks, chunk_bytes)
        self.versions[model, version] = (manifest, b''.join(chunks))
        return manifest

    def serve(self, exchange: Exchange) -> None:
        if exchange.path == '/control':
            self._control(exchange)
            return
        if self.outage:
            exchange.reply(503, b'outage')
            return
        parts = exchange.path.strip('/').split('/')
        stored = (
            self.versions.get((parts[0], parts[1]))
            if (len(parts) == 3)
            else None
        )
        if stored is None:
            exchange.reply(404, b'no such weights')
        elif parts[2] == 'manifest':
            exchange.reply(200, stored[0].to_json())
        else:
            self._serve_range(exchange, *stored)

    def _control(self, exchange: Exchange) -> None:
        if exchange.method == 'POST':
            changes = json.loads(exchange.body())
            self.outage = bool(changes.get('outage', self.outage))
            self.rate = float(changes.get('rate', self.rate))
            self.corrupt_chunks = set(
                changes.get('corrupt_chunks', self.corrupt_chunks)
            )
        exchange.reply_json(200, {'bytes_sent': self.bytes_sent})

    def _serve_range(
        self, exchange: Exchange, manifest: Manifest, weights: bytes
    ) -> None:
        matched = RANGE_PATTERN.fullmatch(exchange.header('Range'))
        if matched is None:
            exchange.reply(416, b'a range is required')
            return
        first, last = int(matched[1]), int(matched[2])
        piece = weights[first : last + 1]
        if first // manifest.chunk_bytes in self.corrupt_chunks:
            piece = bytes(len(piece))
        content_range = f'bytes {first}-{last}/{len(weights)}'
        exchange.start(206, {'Content-Range': content_range}, len(piece))
        self.queue.append((exchange, piece))

    @handler('origin_tick')
    def _on_tick(self) -> None:
        now_s = time.monotonic()
        self.budget += self.rate * min(now_s - self.last_tick_s, MAX_BURST_S)
        self.last_tick_s = now_s
        if not self.queue:
            self.budget = min(self.budget, 0)
        while self.budget > 0 and self.queue:
            exchange, piece = self.queue.popleft()
            if exchange.closed:
                continue
            exchange.send(piece[:SEND_BYTES])
            sent = len(piece[:SEND_BYTES])
            self.bytes_sent += sent
            self.budget -= sent
            if piece[SEND_BYTES:]:
                self.queue.append((exchange, piece[SEND_BYTES:]))
            else:
                exchange.finish()
