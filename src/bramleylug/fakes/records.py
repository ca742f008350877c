"""Stand-in of a records service, whose bookings must run once."""

import json
import uuid
from collections import Counter
from dataclasses import dataclass, replace
from typing import Any, NamedTuple, final

from circuits import BaseComponent, Event, Timer, handler

from bramleylug.fakes.control import changed_settings
from bramleylug.web.exchange import Exchange
from bramleylug.web.server import WebServer

TICK_S = 0.01
DOUBLED_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'


class records_tick(Event):  # noqa: N801
    """Time to answer what is due."""


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordsSettings:
    """How the stand-in behaves; all but ``bind`` may change at run time.

    :ivar delay_s: seconds from a booking to its answer.
    :ivar late_answers: next answers that come ``late_s`` later.
    :ivar cut_answers: next answers that break off.
    :ivar crossed_answers: next answers that are those of another request.
    :ivar doubled_answers: next answers that are sent twice.
    """

    bind: str = '127.0.0.1:0'
    delay_s: float = 0.02
    late_answers: int = 0
    late_s: float = 5.0
    cut_answers: int = 0
    crossed_answers: int = 0
    doubled_answers: int = 0


class Booking(NamedTuple):
    """One booking that is yet to be answered."""

    due_s: float
    exchange: Exchange
    answer: dict[str, Any]


@final
class FakeRecords(BaseComponent):
    """Books under ``POST /bookings`` and counts the runs of each key.

    A body with ``"crash": true`` ends every connection and starts it anew.

    :ivar runs: how often each idempotency key ran.
    :ivar tries: how often each request id ran.
    """

    channel = 'web'

    def __init__(self, settings: RecordsSettings | None = None) -> None:
        super().__init__()
        self.settings = settings or RecordsSettings()
        self.web = WebServer(self.settings.bind, self.serve).register(self)
        self.boot_id = uuid.uuid4().hex
        self.crashes = 0
        self.runs: Counter[str] = Counter()
        self.tries: Counter[str] = Counter()
        self.due: list[Booking] = []
        self.last_answer: dict[str, Any] = {}
        self.now_s = 0.0
        Timer(TICK_S, records_tick(), 'web', persist=True).register(self)

    def serve(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.path == '/control':
            self._control(exchange)
        elif exchange.path == '/v1/state':
            exchange.reply_json(200, {'boot_id': self.boot_id, 'digest': ''})
        else:
            self._book(exchange)

    def crash(self) -> None:
        """Cut every connection and start anew."""
        self.crashes += 1
        for booking in self.due:
            booking.exchange.abort()
        self.due = []
        self.boot_id = uuid.uuid4().hex

    def _book(self, exchange: Exchange) -> None:
        key = exchange.header('Idempotency-Key')
        self.runs[key] += 1
        self.tries[exchange.request_id] += 1
        body = exchange.body().decode(errors='replace')
        answer = {'booked': key, 'request': body, 'run': self.runs[key]}
        due_s = self.now_s + self.settings.delay_s
        if self._take('late_answers'):
            due_s += self.settings.late_s
        self.due.append(Booking(due_s, exchange, answer))
        if _wants_crash(body):
            self.crash()

    def _control(self, exchange: Exchange) -> None:
        if exchange.method == 'POST':
            try:
                changed, words = changed_settings(
                    self.settings, exchange.body(), also=('crash',)
                )
            except (TypeError, ValueError) as error:
                exchange.reply_json(400, {'error': str(error)})
                return
            self.settings = changed
            if words.get('crash'):
                self.crash()
        exchange.reply_json(
            200,
            {'runs': self.runs, 'tries': self.tries, 'crashes': self.crashes},
        )

    @handler('records_tick')
    def _on_tick(self) -> None:
        self.now_s += TICK_S
        due = [booking for booking in self.due if booking.due_s <= self.now_s]
        self.due = [one for one in self.due if one.due_s > self.now_s]
        for booking in due:
            self._answer(booking)

    def _answer(self, booking: Booking) -> None:
        exchange = booking.exchange
        answer = booking.answer
        if self._take('crossed_answers'):
            exchange.request_id = uuid.uuid4().hex
            answer = self.last_answer
        self.last_answer = booking.answer
        headers = {'X-Boot-Id': self.boot_id}
        body = json.dumps(answer).encode()
        if self._take('cut_answers'):
            exchange.on_drained = exchange.abort
            exchange.start(200, headers, len(body))
            exchange.send(body[: len(body) // 2])
            return
        exchange.reply(200, body, headers)
        if self._take('doubled_answers'):
            port = exchange.port
            again = b'%s%s' % (DOUBLED_HEAD % len(body), body)
            port.context.call(lambda: port.write(exchange.connection, again))

    def _take(self, fault: str) -> bool:
        """Count a fault down and tell whether it is to happen."""
        left = getattr(self.settings, fault)
        if left:
            self.settings = replace(self.settings, **{fault: left - 1})
        return bool(left)


def _wants_crash(body: str) -> bool:
    try:
        wanted = json.loads(body)
    except ValueError:
        return False
    return isinstance(wanted, dict) and bool(wanted.get('crash'))
