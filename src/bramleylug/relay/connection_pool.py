"""Connections to upstreams that are kept for the next request."""

from collections.abc import Callable
from typing import NamedTuple, final

from bramleylug.relay.upstreams import UpstreamRecord
from bramleylug.web.client import ClientConnection

# Hosts are a few milliseconds apart: who has not answered by then is dark,
# or the first packet was lost and another upstream is quicker.
CONNECT_TIMEOUT_S = 0.4
# Time an upstream keeps an idle connection where it does not say.
KEEP_DEFAULT_S = 5.0
# A connection is given up this long before its upstream closes it.
KEEP_MARGIN_S = 1.0
MOST_IDLE = 32


class Idle(NamedTuple):
    """A kept connection and until when it may be used."""

    connection: ClientConnection
    until_s: float


@final
class UpstreamPool:
    """Kept connections by upstream incarnation.

    :param clock: seconds that also count while the host is suspended.
    :ivar opened: connections opened so far.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.idle: dict[str, list[Idle]] = {}
        self.opened = 0

    async def take(self, record: UpstreamRecord) -> ClientConnection:
        """Return a kept connection, or a new one.

        :raises OSError: when the upstream does not answer.
        """
        kept = self.idle.get(_key(record), [])
        now_s = self.clock()
        while kept:
            connection, until_s = kept.pop()
            if connection.reusable and now_s < until_s:
                return connection
            connection.close()
        self.opened += 1
        return await ClientConnection.open(
            record.address, timeout_s=CONNECT_TIMEOUT_S
        )

    def give_back(
        self,
        record: UpstreamRecord,
        connection: ClientConnection,
        keep_alive_s: float | None,
    ) -> None:
        """Keep a connection whose answer was read to its end."""
        kept = self.idle.setdefault(_key(record), [])
        limit_s = (keep_alive_s or KEEP_DEFAULT_S) - KEEP_MARGIN_S
        if not connection.reusable or limit_s <= 0 or len(kept) >= MOST_IDLE:
            connection.close()
            return
        kept.append(Idle(connection, self.clock() + limit_s))

    def tidy(self, records: dict[str, UpstreamRecord]) -> None:
        """Close what has been idle for long or leads to what is gone."""
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


def _key(record: UpstreamRecord) -> str:
    return f'{record.upstream_id}/{record.started_ms}/{record.address}'
