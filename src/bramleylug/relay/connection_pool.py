"""Pool of idle connections to upstreams."""

from collections.abc import Callable
from typing import NamedTuple, final

from bramleylug.cluster.upstreams import UpstreamRecord
from bramleylug.web.client_connection import ClientConnection
from bramleylug.web.descriptors import (
    DescriptorBudget,
    DescriptorLease,
    DescriptorUse,
)
from bramleylug.web.exhaustion import EXHAUSTION_ERRORS, ExhaustionLog

# The round trip between hosts is a few milliseconds. After this time the host
# is down, or the first packet was lost and another upstream is faster.
CONNECT_TIMEOUT_S = 0.4
# Assumed keep-alive time of an upstream that does not announce one.
DEFAULT_KEEP_ALIVE_S = 5.0
# Idle connections are dropped this long before the upstream closes them.
KEEP_ALIVE_MARGIN_S = 1.0
MAX_IDLE = 32


class NoDescriptorFree(Exception):
    """This process has no descriptor for another connection.

    It says nothing about the upstream.
    """


class IdleConnection(NamedTuple):
    """An idle connection, usable until a time."""

    connection: ClientConnection
    until_s: float


@final
class ConnectionPool:
    """Idle connections by upstream incarnation.

    :param clock: seconds that also count while the host is suspended.
    :param descriptors: limits the connections, idle ones included.
    :ivar opened: number of connections opened so far.
    """

    def __init__(
        self, clock: Callable[[], float], descriptors: DescriptorBudget
    ) -> None:
        self.clock = clock
        self.descriptors = descriptors
        self.exhaustion_log = ExhaustionLog('connections to upstreams')
        self.idle: dict[str, list[IdleConnection]] = {}
        self.opened = 0

    async def acquire(self, record: UpstreamRecord) -> ClientConnection:
        """Return an idle connection, or open a new one.

        :raises OSError: when the upstream does not answer.
        :raises NoDescriptorFree: when this process can open no connection.
        """
        idle = self.idle.get(_key(record), [])
        now_s = self.clock()
        while idle:
            connection, until_s = idle.pop()
            if connection.reusable and now_s < until_s:
                return connection
            connection.close()
        return await self._open(record.address)

    def release(
        self,
        record: UpstreamRecord,
        connection: ClientConnection,
        keep_alive_s: float | None,
    ) -> None:
        """Return a connection whose answer was read to its end.

        :param keep_alive_s: how long the upstream keeps it; ``None`` if
            unknown.
        """
        idle = self.idle.setdefault(_key(record), [])
        limit_s = (keep_alive_s or DEFAULT_KEEP_ALIVE_S) - KEEP_ALIVE_MARGIN_S
        if not connection.reusable or limit_s <= 0 or len(idle) >= MAX_IDLE:
            connection.close()
            return
        idle.append(IdleConnection(connection, self.clock() + limit_s))

    def remove_expired(self, records: dict[str, UpstreamRecord]) -> None:
        """Close connections that expired or whose upstream is gone."""
        known = {_key(record) for record in records.values()}
        now_s = self.clock()
        for key in tuple(self.idle):
            kept = []
            for idle in self.idle[key]:
                usable = idle.connection.reusable and now_s < idle.until_s
                if usable and key in known:
                    kept.append(idle)
                else:
                    idle.connection.close()
            self.idle[key] = kept
            if not kept:
                self.idle.pop(key)

    async def _open(self, address: str) -> ClientConnection:
        lease = self._take_descriptor()
        self.opened += 1
        try:
            return await ClientConnection.open(
                address, timeout_s=CONNECT_TIMEOUT_S, lease=lease
            )
        except OSError as error:
            lease.release()
            if error.errno in EXHAUSTION_ERRORS:
                self.exhaustion_log.record(str(error))
                raise NoDescriptorFree(str(error)) from error
            raise
        except BaseException:
            lease.release()
            raise

    def _take_descriptor(self) -> DescriptorLease:
        """Return a descriptor, if need be that of an idle connection.

        :raises NoDescriptorFree: when there is none.
        """
        lease = self.descriptors.take(DescriptorUse.upstreams)
        if lease is None and self._close_oldest_idle():
            lease = self.descriptors.take(DescriptorUse.upstreams)
        if lease is None:
            cause = 'the limit of this process is reached'
            self.exhaustion_log.record(cause)
            raise NoDescriptorFree(cause)
        return lease

    def _close_oldest_idle(self) -> bool:
        """Close the idle connection that expires first, if there is one."""
        used = [idle for idle in self.idle.values() if idle]
        if used:
            oldest = min(used, key=lambda idle: idle[0].until_s)
            oldest.pop(0).connection.close()
        return bool(used)


def _key(record: UpstreamRecord) -> str:
    return f'{record.upstream_id}/{record.started_ms}/{record.address}'
