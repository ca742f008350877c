"""Stand-in of the origin of weights: HTTP with ranges and a limited link."""

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
BACKLOG_S = 0.1
PIECE_BYTES = 32768
RANGE_PATTERN = re.compile(r'bytes=(\d+)-(\d+)')
DEFAULT_RATE = 250_000_000


class origin_tick(Event):  # noqa: N801
    """Time to send what the link allows."""


@final
class FakeOrigin(BaseComponent):
    """Serves ``/MODEL/VERSION/manifest`` and ``/MODEL/VERSION/weights``.

    :param rate: bytes a second over the origin's link.
    :ivar bytes_sent: bytes of weights sent.
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
        self.ticked_s = time.monotonic()
        self.outage = False
        self.corrupt_chunks: set[int] = set()
        self.versions: dict[tuple[str, str], tuple[Manifest, bytes]] = {}
        self.waiting: deque[tuple[Exchange, bytes]] = deque()
        Timer(TICK_S, origin_tick(), 'web', persist=True).register(self)

    def add_version(
        self,
        model: str,
        version: str,
        size_bytes: int,
        chunk_bytes: int = CHUNK_BYTES,
    ) -> Manifest:
        """Make and keep weights of the given size."""
        pieces = list(
            synthetic_chunks(f'{model}/{version}', size_bytes, chunk_bytes),
        )
        manifest = Manifest.from_chunks(model, version, pieces, chunk_bytes)
        self.versions[model, version] = (manifest, b''.join(pieces))
        return manifest

    def serve(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.path == '/control':
            self._control(exchange)
            return
        if self.outage:
            exchange.reply(503, b'outage')
            return
        parts = exchange.path.strip('/').split('/')
        found = (
            self.versions.get((parts[0], parts[1]))
            if (len(parts) == 3)
            else None
        )
        if found is None:
            exchange.reply(404, b'no such weights')
        elif parts[2] == 'manifest':
            exchange.reply(200, found[0].to_json())
        else:
            self._serve_range(exchange, *found)

    def _control(self, exchange: Exchange) -> None:
        if exchange.method == 'POST':
            wanted = json.loads(exchange.body())
            self.outage = bool(wanted.get('outage', self.outage))
            self.rate = float(wanted.get('rate', self.rate))
            self.corrupt_chunks = set(
                wanted.get('corrupt_chunks', self.corrupt_chunks)
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
        span = f'bytes {first}-{last}/{len(weights)}'
        exchange.start(206, {'Content-Range': span}, len(piece))
        self.waiting.append((exchange, piece))

    @handler('origin_tick')
    def _on_tick(self) -> None:
        now_s = time.monotonic()
        self.budget += self.rate * min(now_s - self.ticked_s, BACKLOG_S)
        self.ticked_s = now_s
        if not self.waiting:
            self.budget = min(self.budget, 0)
        while self.budget > 0 and self.waiting:
            exchange, piece = self.waiting.popleft()
            if exchange.closed:
                continue
            exchange.send(piece[:PIECE_BYTES])
            sent = len(piece[:PIECE_BYTES])
            self.bytes_sent += sent
            self.budget -= sent
            if piece[PIECE_BYTES:]:
                self.waiting.append((exchange, piece[PIECE_BYTES:]))
            else:
                exchange.finish()
