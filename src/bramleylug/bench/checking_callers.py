"""Callers that check every answer against the promises made to them."""

import json
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from threading import Lock
from typing import NamedTuple, final

from bramleylug.bench.load import (
    CALL_TIMEOUT_S,
    Answer,
    HttpCall,
    call_http,
)
from bramleylug.demo.callers import CallerThreads

PAUSE_S = 0.02
TOKENS = 12
RESENDS = 4
RESEND_PAUSE_S = 0.3
PATIENCE_S = 1.0
TEXT_LIMIT = 120
OK_STATUS = 200


class Sent(NamedTuple):
    """One try of a booking and what its caller was told."""

    at_s: float
    status: int
    run: str


@final
@dataclass(slots=True)
class Booking:
    """One key, and every try to book it."""

    key: str
    tries: list[Sent] = field(default_factory=list)
    own_answer: bool = True

    @property
    def answered(self) -> bool:
        """Whether a caller got a booking's answer."""
        return any(sent.status == OK_STATUS for sent in self.tries)

    @property
    def only_not_run(self) -> bool:
        """Whether each try was said not to have run."""
        return all(sent.run == 'not_run' for sent in self.tries)


@final
class CheckingCallers(CallerThreads):
    """Callers of a model service and of a booking service.

    :param entries: returns the addresses to use, best first.
    :ivar results: how often each result came from the model service.
    :ivar broken: descriptions of broken promises.
    """

    def __init__(
        self, entries: Callable[[], list[str]], *, callers: int
    ) -> None:
        self.entries = entries
        super().__init__(
            partial(work, number)
            for number in range(callers)
            for work in (self._keep_generating, self._keep_booking)
        )
        self.lock = Lock()
        self.results: Counter[str] = Counter()
        self.failures: Counter[str] = Counter()
        self.broken: list[str] = []
        self.bookings: list[Booking] = []

    def _keep_generating(self, number: int) -> None:
        call = HttpCall(
            '/v1/services/seat-fitting/v1/generate',
            json.dumps({'prompt': f'caller {number}', 'tokens': TOKENS}),
            headers={'X-Workspace': f'w{number}'},
        )
        turn = number
        while not self.stopping.is_set():
            turn += 1
            answer = self._send(turn, call)
            self._judge_tokens(answer)
            time.sleep(max(PAUSE_S, answer.retry_after_s))

    def _keep_booking(self, number: int) -> None:
        turn = 0
        while not self.stopping.is_set():
            turn += 1
            booking = Booking(f'caller-{number}-{turn}')
            for resend in range(RESENDS):
                self._book(booking, turn + resend)
                if booking.answered:
                    break
                time.sleep(RESEND_PAUSE_S)
            with self.lock:
                self.bookings.append(booking)
            time.sleep(PAUSE_S)

    def _book(self, booking: Booking, turn: int) -> None:
        call = HttpCall(
            '/v1/services/bookings/bookings',
            json.dumps({'seat': booking.key}),
            headers={'Idempotency-Key': booking.key},
        )
        answer = self._send(turn, call, PATIENCE_S)
        booking.tries.append(
            Sent(time.monotonic(), answer.status, run_state(answer))
        )
        if answer.status == OK_STATUS and not _is_own(answer.body, booking):
            booking.own_answer = False

    def _send(
        self, turn: int, call: HttpCall, timeout_s: float = CALL_TIMEOUT_S
    ) -> Answer:
        addresses = self.entries()
        address = addresses[turn % len(addresses)]
        return call_http(address, call, timeout_s)

    def _judge_tokens(self, answer: Answer) -> None:
        with self.lock:
            self.results[answer.result] += 1
            if answer.result == 'failed':
                text = answer.body[:TEXT_LIMIT].decode(errors='replace')
                self.failures[f'{answer.status} {text}'] += 1
            if answer.result != 'answered':
                return
            fault = token_error(answer.body)
            if fault:
                self.broken.append(fault)


def token_error(body: bytes) -> str:
    """Return what is wrong with an answer of tokens; empty when nothing."""
    try:
        lines = [json.loads(line) for line in body.splitlines()]
    except ValueError:
        return 'short answer passed as whole'
    if [line.get('token') for line in lines] != list(range(TOKENS)):
        return 'tokens missing or crossed'
    digests = {line['digest'] for line in lines}
    return '' if len(digests) == 1 else 'mixed weights'


def run_state(answer: Answer) -> str:
    """Return what the caller was told about the run."""
    if answer.status == OK_STATUS:
        return 'ran'
    try:
        return str(json.loads(answer.body).get('run', 'unknown'))
    except (ValueError, AttributeError):
        return 'unknown'


def _is_own(body: bytes, booking: Booking) -> bool:
    try:
        answer = json.loads(body)
        request = json.loads(answer['request'])
    except (ValueError, KeyError, TypeError):
        return False
    return bool(
        answer['booked'] == booking.key and request['seat'] == booking.key
    )
