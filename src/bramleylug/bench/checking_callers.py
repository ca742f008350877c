"""Callers that check every answer against the guarantees to callers."""

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

CALL_PAUSE_S = 0.02
TOKENS = 12
MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.3
BOOKING_TIMEOUT_S = 1.0
FAILURE_TEXT_BYTES = 120
OK_STATUS = 200


class BookingAttempt(NamedTuple):
    """One attempt of a booking and the answer to it.

    :ivar run: ``ran``, ``not_run`` or ``unknown``, as answered.
    """

    at_s: float
    status: int
    run: str


@final
@dataclass(slots=True)
class Booking:
    """All attempts to book under one idempotency key.

    :ivar only_own_answers: whether each answer with status 200 was the key's
        own booking.
    """

    key: str
    attempts: list[BookingAttempt] = field(default_factory=list)
    only_own_answers: bool = True

    @property
    def answered(self) -> bool:
        """Whether any attempt was answered with the booking."""
        return any(attempt.status == OK_STATUS for attempt in self.attempts)

    @property
    def all_not_run(self) -> bool:
        """Whether every answer said that the request was not run."""
        return all(attempt.run == 'not_run' for attempt in self.attempts)


@final
class CheckingCallers(CallerThreads):
    """Callers of a model service and of a booking service.

    :param entries: returns the addresses to use, in order of preference.
    :ivar results: answers of the model service by result.
    :ivar failures: failed calls of the model service by status and first
        bytes of the body.
    :ivar violations: errors in complete answers of the model service;
        each violates a guarantee.
    """

    def __init__(
        self, entries: Callable[[], list[str]], *, callers: int
    ) -> None:
        self.entries = entries
        super().__init__(
            partial(work, number)
            for number in range(callers)
            for work in (self._generate_until_stopped, self._book_until_stopped)
        )
        self.lock = Lock()
        self.results: Counter[str] = Counter()
        self.failures: Counter[str] = Counter()
        self.violations: list[str] = []
        self.bookings: list[Booking] = []

    def _generate_until_stopped(self, number: int) -> None:
        call = HttpCall(
            '/v1/services/seat-fitting/v1/generate',
            json.dumps({'prompt': f'caller {number}', 'tokens': TOKENS}),
            headers={'X-Workspace': f'w{number}'},
        )
        sequence = number
        while not self.stopping.is_set():
            sequence += 1
            answer = self._send(sequence, call)
            self._check_tokens(answer)
            time.sleep(max(CALL_PAUSE_S, answer.retry_after_s))

    def _book_until_stopped(self, number: int) -> None:
        sequence = 0
        while not self.stopping.is_set():
            sequence += 1
            booking = Booking(f'caller-{number}-{sequence}')
            for attempt in range(MAX_ATTEMPTS):
                self._book(booking, sequence + attempt)
                if booking.answered:
                    break
                time.sleep(RETRY_PAUSE_S)
            with self.lock:
                self.bookings.append(booking)
            time.sleep(CALL_PAUSE_S)

    def _book(self, booking: Booking, sequence: int) -> None:
        call = HttpCall(
            '/v1/services/bookings/bookings',
            json.dumps({'seat': booking.key}),
            headers={'Idempotency-Key': booking.key},
        )
        answer = self._send(sequence, call, BOOKING_TIMEOUT_S)
        booking.attempts.append(
            BookingAttempt(time.monotonic(), answer.status, run_state(answer))
        )
        if answer.status == OK_STATUS and not _matches_booking(
            answer.body, booking
        ):
            booking.only_own_answers = False

    def _send(
        self, sequence: int, call: HttpCall, timeout_s: float = CALL_TIMEOUT_S
    ) -> Answer:
        addresses = self.entries()
        address = addresses[sequence % len(addresses)]
        return call_http(address, call, timeout_s)

    def _check_tokens(self, answer: Answer) -> None:
        with self.lock:
            self.results[answer.result] += 1
            if answer.result == 'failed':
                text = answer.body[:FAILURE_TEXT_BYTES].decode(errors='replace')
                self.failures[f'{answer.status} {text}'] += 1
            if answer.result != 'answered':
                return
            error = token_error(answer.body)
            if error:
                self.violations.append(error)


def token_error(body: bytes) -> str:
    """Return what is wrong with an answer of tokens; empty when it is valid."""
    try:
        lines = [json.loads(line) for line in body.splitlines()]
    except ValueError:
        return 'truncated answer was reported as complete'
    if [line.get('token') for line in lines] != list(range(TOKENS)):
        return 'tokens are missing or out of order'
    digests = {line['digest'] for line in lines}
    return '' if len(digests) == 1 else 'tokens are from different weights'


def run_state(answer: Answer) -> str:
    """Return ``ran``, ``not_run`` or ``unknown``, as the answer says."""
    if answer.status == OK_STATUS:
        return 'ran'
    try:
        return str(json.loads(answer.body).get('run', 'unknown'))
    except (ValueError, AttributeError):
        return 'unknown'


def _matches_booking(body: bytes, booking: Booking) -> bool:
    try:
        answer = json.loads(body)
        request = json.loads(answer['request'])
    except (ValueError, KeyError, TypeError):
        return False
    return bool(
        answer['booked'] == booking.key and request['seat'] == booking.key
    )
