"""Stand-in of a records service, whose bookings must run once."""

import json
from collections import Counter
from typing import Any, final

from circuits import BaseComponent, Event, Timer, handler

from bramleylug.web.server import Exchange, WebServer

TICK_S = 0.01


class records_tick(Event):  # noqa: N801
    """Time to answer what is due."""


@final
class FakeRecords(BaseComponent):
    """Books under ``POST /bookings`` and counts the runs of each key.

    :ivar runs: how often each idempotency key ran.
    :param delay_s: seconds from a booking to its answer.
    """

    channel = 'web'

    def __init__(
        self, bind: str = '127.0.0.1:0', delay_s: float = 0.02
    ) -> None:
        super().__init__()
        self.web = WebServer(bind, self.serve).register(self)
        self.runs: Counter[str] = Counter()
        self.delay_s = delay_s
        self.cut_answers = 0
        self.due: list[tuple[float, Exchange, dict[str, Any]]] = []
        self.now_s = 0.0
        Timer(TICK_S, records_tick(), 'web', persist=True).register(self)

    def serve(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.path == '/control':
            self._control(exchange)
        elif exchange.path == '/v1/state':
            exchange.reply_json(200, {'boot_id': 'records', 'digest': ''})
        else:
            self._book(exchange)

    def _book(self, exchange: Exchange) -> None:
        key = exchange.header('Idempotency-Key')
        self.runs[key] += 1
        answer = {
            'booked': key,
            'request': exchange.body().decode(errors='replace'),
            'run': self.runs[key],
        }
        self.due.append((self.now_s + self.delay_s, exchange, answer))

    def _control(self, exchange: Exchange) -> None:
        if exchange.method == 'POST':
            wanted = json.loads(exchange.body())
            self.delay_s = float(wanted.get('delay_s', self.delay_s))
            self.cut_answers = int(wanted.get('cut_answers', self.cut_answers))
        exchange.reply_json(200, {'runs': self.runs})

    @handler('records_tick')
    def _on_tick(self) -> None:
        self.now_s += TICK_S
        due = [entry for entry in self.due if entry[0] <= self.now_s]
        self.due = [entry for entry in self.due if entry[0] > self.now_s]
        for _, exchange, answer in due:
            self._answer(exchange, answer)

    def _answer(self, exchange: Exchange, answer: dict[str, Any]) -> None:
        if self.cut_answers:
            self.cut_answers -= 1
            exchange.start(200, {}, len(json.dumps(answer)))
            exchange.send(json.dumps(answer).encode()[:5])
            exchange.abort()
            return
        exchange.reply_json(200, answer)
