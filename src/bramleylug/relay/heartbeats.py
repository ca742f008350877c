"""Datagrams that relays and loaders send one another."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, final

from google.protobuf.message import DecodeError

from bramleylug.node.udp import parse_address
from bramleylug.observability.events import LogEvent, emit
from bramleylug.relay.crash_suspects import SharedSuspects
from bramleylug.relay.heartbeat_schedule import HeartbeatRates
from bramleylug.relay.upstreams import UpstreamRegistry
from bramleylug.wire.beats_pb2 import Beat

# A datagram is read no further than this.
BEAT_BYTES = 8192
# Peers hear of changed loads within a small part of a request's time. All
# beats of a host are bounded by the 17 kB a second that control may take on
# it at the target size; a beat has about 200 bytes.
HEARTBEAT_INTERVAL_S = 0.2
NEAR_BEATS_PER_S = 40.0
FAR_BEATS_PER_S = 30.0
HEARTBEAT_RATES = HeartbeatRates(
    HEARTBEAT_INTERVAL_S, NEAR_BEATS_PER_S, FAR_BEATS_PER_S
)


@final
class HeartbeatSocket(asyncio.DatagramProtocol):
    """Sends and receives beats; an error of one datagram ends nothing."""

    def __init__(self, on_heartbeat: Callable[[Beat], None]) -> None:
        self.on_heartbeat = on_heartbeat
        self.transport: Any = None

    @classmethod
    async def open(
        cls, bind: str, on_heartbeat: Callable[[Beat], None]
    ) -> 'HeartbeatSocket':
        """Bind to ``host:port``."""
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_datagram_endpoint(
            lambda: cls(on_heartbeat), local_addr=parse_address(bind)
        )
        return protocol

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take in one beat."""
        try:
            beat = Beat.FromString(data[:BEAT_BYTES])
        except DecodeError as error:
            emit(LogEvent.beat_unreadable, sender=addr, error=repr(error))
            return
        self.on_heartbeat(beat)

    def error_received(self, exc: Exception) -> None:
        """Go on: beats are repeated."""

    def send(self, beat: Beat, addresses: Iterable[str]) -> None:
        """Send a beat to each address."""
        raw = beat.SerializeToString()
        for address in addresses:
            self.transport.sendto(raw, parse_address(address))

    def close(self) -> None:
        """Stop receiving."""
        if self.transport is not None:
            self.transport.close()


def relay_heartbeat(
    name: str,
    boot: int,
    book: UpstreamRegistry,
    suspects: SharedSuspects,
    *,
    draining: bool,
) -> Beat:
    """Return what a relay tells."""
    beat = Beat(name=name, boot=boot, draining=draining)
    for upstream_id, upstream in book.by_id.items():
        if upstream.running:
            beat.counts.add(upstream_id=upstream_id, running=upstream.running)
    for fingerprint, crash_ids in suspects.recent():
        beat.crashes.add(fingerprint=fingerprint, crash_ids=crash_ids)
    return beat
