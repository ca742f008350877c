"""How a fake engine misbehaves, as real ones do."""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from socket import SO_LINGER, SOL_SOCKET
from struct import pack
from typing import Any, NamedTuple, final

from bramleylug.web.exchange import Exchange
from bramleylug.web.framing import HeaderPairs
from bramleylug.web.sockets import RESET_ON_CLOSE

NO_LINGER = pack('ii', 0, 0)
# Answers to requests of this version are not sent in chunks.
VERSION_WITHOUT_CHUNKS = (1, 0)
# An answer without end is sent in pieces of this size at this interval.
ENDLESS_PIECE = b'x' * 4096
ENDLESS_INTERVAL_S = 0.01
# A connection that is still open after an answer without end lasted this long
# is a violation: the route's time limit has passed.
ENDLESS_LIMIT_S = 8.0


class Rejection(NamedTuple):
    """A request that was turned away with a time to come back.

    :ivar at_s: its arrival, Unix time.
    :ivar retry_after_s: time for which the sender must send nothing.
    """

    request_id: str
    at_s: float
    retry_after_s: float


class LateOrder(NamedTuple):
    """How the next order to load weights is accepted late.

    :ivar wait_s: time from its arrival until the engine looks at it.
    :ivar lost: whether its answer is lost.
    """

    wait_s: float
    lost: bool


@final
@dataclass(slots=True)
class Trouble:
    """How an engine misbehaves.

    :ivar leaving: whether its answers say that it leaves.
    :ivar limit_per_s: limit that its answers name; ``None`` for none.
    :ivar busy_until_s: until when it turns requests away, Unix time.
    :ivar endless: number of the next answers that never end.
    :ivar silent_until_s: until when it writes nothing, Unix time.
    :ivar unframed_until_s: until when its answers have neither a length nor
        chunks, Unix time.
    :ivar cut_streams: number of the next streams that end inside an event.
    :ivar rejections: requests turned away with a time to come back.
    :ivar harmful_part: part of a prompt that crashes it; empty for none.
    :ivar harmful_runs: number of requests with that part that began to run.
    :ivar staging_delay_s: by how much answers to reads and writes of staged
        chunks are late.
    :ivar late_orders: the next orders, those after them are accepted at once.
    :ivar received_orders: number of orders that arrived.
    :ivar on_harmful: called with the id of each of them.
    :ivar on_crash: called on the loop of the server when the engine crashes,
        after its connections were reset.
    """

    leaving: bool = False
    limit_per_s: float | None = None
    busy_until_s: float = 0
    endless: int = 0
    silent_until_s: float = 0
    unframed_until_s: float = 0
    cut_streams: int = 0
    rejections: list[Rejection] = field(default_factory=list)
    harmful_part: str = ''
    harmful_runs: int = 0
    staging_delay_s: float = 0
    late_orders: list[LateOrder] = field(default_factory=list)
    received_orders: int = 0
    on_harmful: Callable[[str], None] = lambda _: None
    on_crash: Callable[[], None] = lambda: None

    def update(self, document: dict[str, Any]) -> None:
        """Apply what a test asks for."""
        now_s = time.time()
        self.leaving = bool(document.get('leaving', self.leaving))
        self.limit_per_s = document.get('limit_per_s', self.limit_per_s)
        self.busy_until_s = now_s + float(document.get('busy_s', 0))
        self.endless = int(document.get('endless', 0))
        self.cut_streams = int(document.get('cut_streams', self.cut_streams))
        silent_s = document.get('silent_s', self.silent_until_s - now_s)
        self.silent_until_s = now_s + float(silent_s)
        unframed_s = document.get('unframed_s', self.unframed_until_s - now_s)
        self.unframed_until_s = now_s + float(unframed_s)
        self.staging_delay_s = float(
            document.get('staging_delay_s', self.staging_delay_s)
        )
        self.late_orders.extend(
            LateOrder(float(order['wait_s']), bool(order.get('lost')))
            for order in document.get('late_orders', ())
        )

    def take_late_order(self) -> LateOrder | None:
        """Count an order; return how it is late, ``None`` if it is not."""
        self.received_orders += 1
        return self.late_orders.pop(0) if self.late_orders else None

    def take_cut(self) -> bool:
        """Return whether a stream that starts now ends inside an event."""
        if not self.cut_streams:
            return False
        self.cut_streams -= 1
        return True

    def is_harmful(self, exchange: Exchange) -> bool:
        """Return whether a part of the prompt before the last crashes it."""
        parts = exchange.header('X-Prompt-Prefix').split(',')[:-1]
        names = {part.strip().partition(':')[0] for part in parts}
        return bool(self.harmful_part) and self.harmful_part in names

    async def wait_out_silence(self) -> None:
        """Return once the engine writes again."""
        left_s = self.silent_until_s - time.time()
        while left_s > 0:
            await asyncio.sleep(left_s)
            left_s = self.silent_until_s - time.time()

    def start_answer(
        self,
        exchange: Exchange,
        headers: HeaderPairs,
        content_length: int | None = None,
    ) -> None:
        """Start an answer with status 200.

        One without length or chunks ends with its connection. Until it is
        finished, the kernel resets that connection if the process is killed:
        a regular end would make the answer look complete.
        """
        if time.time() < self.unframed_until_s:
            exchange.head = exchange.head._replace(
                version=VERSION_WITHOUT_CHUNKS
            )
            content_length = None
            _set_linger(exchange, RESET_ON_CLOSE)
        exchange.start(200, headers, content_length)


def finish_answer(exchange: Exchange) -> None:
    """End an answer that :meth:`Trouble.start_answer` started."""
    _set_linger(exchange, NO_LINGER)
    exchange.finish()


async def send_without_end(exchange: Exchange, headers: HeaderPairs) -> bool:
    """Send bytes that are no answer until the caller closes.

    :returns: whether the caller closed within :data:`ENDLESS_LIMIT_S`.
    """
    exchange.start(200, headers)
    started_s = time.monotonic()
    while not exchange.closed:
        if time.monotonic() - started_s > ENDLESS_LIMIT_S:
            exchange.abort()
            return False
        if not exchange.pending_bytes:
            exchange.send(ENDLESS_PIECE)
        await asyncio.sleep(ENDLESS_INTERVAL_S)
    return True


def _set_linger(exchange: Exchange, linger: bytes) -> None:
    with suppress(OSError):
        exchange.connection.sock.setsockopt(SOL_SOCKET, SO_LINGER, linger)
