"""Fake records service behind an agent; bookings must run exactly once."""

import json
import uuid
from collections import Counter
from dataclasses import dataclass, replace
from typing import Any, NamedTuple, final

from circuits import BaseComponent, Event, Timer, handler

from bramleylug.fakes.control import apply_control
from bramleylug.web.exchange import Exchange
from bramleylug.web.server import WebServer

TICK_S = 0.01
DUPLICATE_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'


class records_tick(Event):  # noqa: N801
    """Fired every :data:`TICK_S` to send the answers that are due."""


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordsSettings:
    """Behaviour of the service; all but ``bind`` may change at run time.

    The faults are counters: each affected answer decrements one.

    :ivar delay_s: time from a booking to its answer.
    :ivar late_answers: next answers that are sent ``late_s`` later.
    :ivar cut_answers: next answers that are cut off after half the body.
    :ivar crossed_answers: next answers that carry another request's id and
        body.
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
    """A booking that is not answered yet."""

    due_s: float
    exchange: Exchange
    answer: dict[str, Any]


@final
class FakeRecords(BaseComponent):
    """Books under ``POST /bookings`` and counts the runs of each key.

    A body with ``"crash": true`` makes it crash after the run.

    :ivar runs: number of runs of each idempotency key.
    :ivar attempts: number of runs of each request id.
    :ivar pending: bookings that are not answered yet.
    :ivar last_answer: content of the previous answer, for a crossed one.
    """

    channel = 'web'

    def __init__(self, settings: RecordsSettings | None = None) -> None:
        super().__init__()
        self.settings = settings or RecordsSettings()
        self.web = WebServer(self.settings.bind, self.serve).register(self)
        self.boot_id = uuid.uuid4().hex
        self.crashes = 0
        self.runs: Counter[str] = Counter()
        self.attempts: Counter[str] = Counter()
        self.pending: list[Booking] = []
        self.last_answer: dict[str, Any] = {}
        self.now_s = 0.0
        Timer(TICK_S, records_tick(), 'web', persist=True).register(self)

    def serve(self, exchange: Exchange) -> None:
        if exchange.path == '/control':
            self._control(exchange)
        elif exchange.path == '/v1/state':
            exchange.reply_json(200, {'boot_id': self.boot_id, 'digest': ''})
        else:
            self._book(exchange)

    def crash(self) -> None:
        """Abort every unanswered request and restart under a new boot id."""
        self.crashes += 1
        for booking in self.pending:
            booking.exchange.abort()
        self.pending = []
        self.boot_id = uuid.uuid4().hex

    def _book(self, exchange: Exchange) -> None:
        key = exchange.header('Idempotency-Key')
        self.runs[key] += 1
        self.attempts[exchange.request_id] += 1
        body = exchange.body().decode(errors='replace')
        answer = {'booked': key, 'request': body, 'run': self.runs[key]}
        due_s = self.now_s + self.settings.delay_s
        if self._consume_fault('late_answers'):
            due_s += self.settings.late_s
        self.pending.append(Booking(due_s, exchange, answer))
        if _requests_crash(body):
            self.crash()

    def _control(self, exchange: Exchange) -> None:
        if exchange.method == 'POST':
            try:
                changed, commands = apply_control(
                    self.settings, exchange.body(), commands=('crash',)
                )
            except (TypeError, ValueError) as error:
                exchange.reply_json(400, {'error': str(error)})
                return
            self.settings = changed
            if commands.get('crash'):
                self.crash()
        exchange.reply_json(
            200,
            {
                'runs': self.runs,
                'tries': self.attempts,
                'crashes': self.crashes,
            },
        )

    @handler('records_tick')
    def _on_tick(self) -> None:
        self.now_s += TICK_S
        due = [
            booking for booking in self.pending if booking.due_s <= self.now_s
        ]
        self.pending = [
            booking for booking in self.pending if booking.due_s > self.now_s
        ]
        for booking in due:
            self._answer(booking)

    def _answer(self, booking: Booking) -> None:
        exchange = booking.exchange
        answer = booking.answer
        if self._consume_fault('crossed_answers'):
            exchange.request_id = uuid.uuid4().hex
            answer = self.last_answer
        self.last_answer = booking.answer
        headers = {'X-Boot-Id': self.boot_id}
        body = json.dumps(answer).encode()
        if self._consume_fault('cut_answers'):
            exchange.on_drained = exchange.abort
            exchange.start(200, headers, len(body))
            exchange.send(body[: len(body) // 2])
            return
        exchange.reply(200, body, headers)
        if self._consume_fault('doubled_answers'):
            port = exchange.port
            duplicate = b'%s%s' % (DUPLICATE_HEAD % len(body), body)
            port.context.call(
                lambda: port.write(exchange.connection, duplicate)
            )

    def _consume_fault(self, fault: str) -> bool:
        """Decrement a fault's counter; return whether the fault occurs now."""
        remaining = getattr(self.settings, fault)
        if remaining:
            self.settings = replace(self.settings, **{fault: remaining - 1})
        return bool(remaining)


def _requests_crash(body: str) -> bool:
    try:
        document = json.loads(body)
    except ValueError:
        return False
    return isinstance(document, dict) and bool(document.get('crash'))
