"""Fake of the service that takes usage reports and orders."""

import json
import time
from collections import deque
from collections.abc import Callable, Mapping
from typing import NamedTuple, final

from circuits import BaseComponent

from bramleylug.web.exchange import Exchange
from bramleylug.web.server import WebServer

USAGE = ('usage',)


class DutyCall(NamedTuple):
    """A call that the service accepted.

    :ivar host: where it came from.
    :ivar subject: what it is about; all usage reports are about one.
    """

    at_s: float
    host: str
    holder: str
    token: int
    subject: tuple[str, ...]


@final
class DutyRecord:
    """Accepted calls, and what is wrong with them.

    :param lease_s: time in which two hosts may not act in turns.
    :param calls_per_s: calls accepted each second.
    :ivar reports: counts by window.
    :ivar reported_s: when the report of each window was accepted first.
    :ivar orders: number of upstreams by service and zone.
    :ivar breaches: calls that no single holder would make.
    """

    def __init__(self, lease_s: float, calls_per_s: float) -> None:
        self.lease_s = lease_s
        self.calls_per_s = calls_per_s
        self.calls: list[DutyCall] = []
        self.recent: deque[float] = deque()
        self.reports: dict[int, dict[str, int]] = {}
        self.reported_s: dict[int, float] = {}
        self.orders: dict[tuple[str, ...], int] = {}
        self.breaches: list[str] = []

    def take(self, call: DutyCall, document: Mapping[str, object]) -> bool:
        """Record a call; return whether it is within the rate."""
        while self.recent and call.at_s - self.recent[0] >= 1:
            self.recent.popleft()
        if len(self.recent) >= self.calls_per_s:
            return False
        self.recent.append(call.at_s)
        self._check_holder(call)
        self.calls.append(call)
        if call.subject == USAGE:
            self._take_report(call, document)
        else:
            self.orders[call.subject] = int(str(document['desired_count']))
        return True

    def _take_report(
        self, call: DutyCall, document: Mapping[str, object]
    ) -> None:
        window = int(str(document['window']))
        counts = dict(document['counts'])  # type: ignore[call-overload]
        if self.reports.setdefault(window, counts) != counts:
            self.breaches.append(f'two reports of window {window}')
        self.reported_s.setdefault(window, call.at_s)

    def _check_holder(self, call: DutyCall) -> None:
        same = [one for one in self.calls if one.subject == call.subject]
        for earlier in same:
            if earlier.token > call.token:
                self.breaches.append(f'{call} after {earlier}')
            if earlier.token == call.token and earlier.host != call.host:
                self.breaches.append(f'{call} has the token of {earlier}')
        since_s = call.at_s - self.lease_s
        hosts = [one.host for one in same if one.at_s > since_s]
        if call.host in hosts and hosts[-1] != call.host:
            self.breaches.append(f'{call} takes turns')


@final
class FakeDutyService(BaseComponent):
    """Serves ``/usage`` and ``/scale``, and at ``/breaches`` what was wrong.

    :param clock: seconds.
    :ivar outage: whether calls get 503.
    """

    channel = 'web'

    def __init__(
        self,
        record: DutyRecord,
        bind: str = '127.0.0.1:0',
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.web = WebServer(bind, self.serve).register(self)
        self.record = record
        self.clock = clock
        self.outage = False

    def serve(self, exchange: Exchange) -> None:
        if exchange.path == '/breaches':
            exchange.reply_json(200, self.record.breaches)
            return
        if self.outage:
            exchange.reply(503, b'')
            return
        document = json.loads(exchange.body())
        subject = (
            USAGE
            if exchange.path == '/usage'
            else (document['service'], document['zone'])
        )
        holder = exchange.header('X-Duty-Holder')
        call = DutyCall(
            self.clock(),
            holder,
            holder,
            int(exchange.header('X-Fencing-Token')),
            subject,
        )
        exchange.reply(200 if self.record.take(call, document) else 429, b'')
