"""Heartbeat datagrams between relays and loaders."""

from collections.abc import Callable, Container, Iterable
from contextlib import suppress
from functools import lru_cache
from math import isfinite
from typing import Any, final

from google.protobuf.message import DecodeError

from bramleylug.cluster.crash_suspects import SharedSuspects
from bramleylug.cluster.heartbeat_schedule import HeartbeatRates
from bramleylug.cluster.suspect_messages import suspect_to_message
from bramleylug.cluster.permit_messages import limit_to_message
from bramleylug.cluster.rate_limit import Incarnation
from bramleylug.cluster.upstreams import UpstreamRegistry
from bramleylug.node.datagrams import DatagramPort, batch_s
from bramleylug.node.udp import parse_address
from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import BAD_INPUT, count
from bramleylug.wire.beats_pb2 import Beat

MILLISECONDS = 1000
# Bytes of a datagram that are parsed.
MAX_HEARTBEAT_BYTES = 8192
# Largest incarnation that is believed: a process must be able to continue
# with the next one, which messages hold in 64 bits.
BOOT_BITS = 63
MAX_BOOT = (1 << BOOT_BITS) - 1
# Addresses of peers that are kept parsed.
MAX_TARGETS = 4096
# Changes of load reach peers within a small part of the duration of a request.
# A heartbeat has about 200 bytes; the rates keep all heartbeats of a host
# below the 17 kB/s that control traffic may use at the target cluster size.
HEARTBEAT_INTERVAL_S = 0.2
SAME_REGION_HEARTBEATS_PER_S = 30.0
REMOTE_REGION_HEARTBEATS_PER_S = 30.0
TURNS_PER_S = 10.0
HEARTBEAT_RATES = HeartbeatRates(
    HEARTBEAT_INTERVAL_S,
    SAME_REGION_HEARTBEATS_PER_S,
    REMOTE_REGION_HEARTBEATS_PER_S,
    TURNS_PER_S,
)


@final
class HeartbeatSocket:
    """UDP socket for heartbeats; errors of one datagram are not fatal.

    :ivar port: set once it is open.
    """

    def __init__(self, on_heartbeat: Callable[[Beat], None]) -> None:
        self.on_heartbeat = on_heartbeat
        self.port: Any = None

    @classmethod
    def open(
        cls,
        bind: str,
        on_heartbeat: Callable[[Beat], None],
        collect_s: Callable[[], float] = batch_s,
    ) -> 'HeartbeatSocket':
        """Bind to ``host:port``, on the running loop.

        :param collect_s: as of :class:`DatagramPort`.
        :raises OSError: if the port cannot be bound.
        """
        address = parse_address(bind)
        if address is None:
            raise OSError(f'{bind!r} is no address')
        opened = cls(on_heartbeat)
        opened.port = DatagramPort.open(address, opened.receive, collect_s)
        return opened

    def receive(self, raw: bytes, sender: Any) -> bool:
        """Apply a datagram; return whether its kind is waited for."""
        try:
            heartbeat = decode_heartbeat(raw)
        except (DecodeError, ValueError) as error:
            count(BAD_INPUT, kind='heartbeat')
            emit(
                LogEvent.heartbeat_unreadable, sender=sender, error=repr(error)
            )
            return False
        self.on_heartbeat(heartbeat)
        return bool(heartbeat.permits)

    def send(self, heartbeat: Beat, addresses: Iterable[str]) -> None:
        """Send a heartbeat; addresses that no datagram can reach are skipped.

        The next heartbeat replaces one that cannot be sent now.
        """
        raw = heartbeat.SerializeToString()
        for address in addresses:
            target = _find_target(address)
            if target is not None:
                with suppress(OSError):
                    self.port.sendto(raw, target)

    def close(self) -> None:
        """Stop receiving."""
        if self.port is not None:
            self.port.close()


@lru_cache(maxsize=MAX_TARGETS)
def _find_target(address: str) -> tuple[str, int] | None:
    """Return where to send a datagram; ``None`` if none can be sent there."""
    target = parse_address(address)
    return target if target is not None and _is_host(target[0]) else None


def _is_host(name: str) -> bool:
    """Return whether a name can be looked up, or is an address itself."""
    with suppress(UnicodeError):
        return bool(name.encode('idna'))
    return False


def decode_heartbeat(data: bytes) -> Beat:
    """Return the heartbeat in a datagram.

    :raises DecodeError: when it is none.
    :raises ValueError: when it has numbers that no process of this cluster
        sends.
    """
    heartbeat = Beat.FromString(data[:MAX_HEARTBEAT_BYTES])
    if max(heartbeat.boot, heartbeat.known_boot) >= MAX_BOOT:
        raise ValueError(f'no incarnation is {MAX_BOOT} or later')
    named = (*heartbeat.limits, *(one.limit for one in heartbeat.permits))
    if not all(isfinite(limit.per_s) and limit.per_s >= 0 for limit in named):
        raise ValueError('a limit is not a rate')
    if not all(isfinite(part) and part >= 0 for part in _parts(heartbeat)):
        raise ValueError('a pace or a load is not a number')
    return heartbeat


def _parts(heartbeat: Beat) -> Iterable[float]:
    """Return the factors and rates that others compute with."""
    yield heartbeat.reading.pace
    for load in heartbeat.levels:
        yield from (load.asked_per_s, load.refused_per_s)
    for use in heartbeat.uses:
        yield from (use.slots, use.wanted_slots)
    usage = heartbeat.usage
    yield from (usage.clock_s, usage.agreed_s, usage.sent_s)
    receipt = heartbeat.receipt
    yield from (receipt.sent_s, receipt.agreed_s, receipt.covered_s)


def relay_heartbeat(
    name: str,
    boot: int,
    registry: UpstreamRegistry,
    suspects: SharedSuspects,
    now_s: float,
    *,
    draining: bool,
    issued: Container[Incarnation] = (),
) -> Beat:
    """Return a heartbeat with a relay's request counts and crash reports.

    It also carries what upstreams said about themselves.

    :param issued: incarnations whose permits this relay issues.
    """
    heartbeat = Beat(name=name, boot=boot, draining=draining)
    for upstream_id, upstream in registry.by_id.items():
        running = upstream.own_running(now_s)
        if running:
            heartbeat.counts.add(upstream_id=upstream_id, running=running)
    for upstream_id, started_ms, notice in registry.recent_notices(now_s):
        paused_s = max(0.0, notice.paused_until_s - now_s)
        if notice.leaving or paused_s:
            heartbeat.notices.add(
                upstream_id=upstream_id,
                started_ms=started_ms,
                leaving=notice.leaving,
                paused_ms=round(paused_s * MILLISECONDS),
            )
    heartbeat.limits.extend(
        limit_to_message(incarnation, report)
        for incarnation, report in registry.limits.told(issued, now_s)
    )
    heartbeat.crashes.extend(map(suspect_to_message, suspects.reports()))
    return heartbeat
