"""Callers of a booking service that resend bookings under their keys."""

import json
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from threading import Event, Lock, Thread
from typing import NamedTuple, final

from bramleylug.bench.checking_callers import run_state
from bramleylug.bench.load import Answer, HttpCall, call_http

MAX_ATTEMPTS = 4
ATTEMPT_TIMEOUT_S = 1.5
RETRY_PAUSE_S = 0.2
RESEND_SHARE = 0.3
OK_STATUS = 200

Address = Callable[[], str]
CreateKey = Callable[[str], str]


class Attempt(NamedTuple):
    """One attempt of a booking and the answer to it.

    :ivar run: ``ran``, ``not_run`` or ``unknown``, as answered.
    """

    request_id: str
    status: int
    run: str
    latency_s: float


@final
@dataclass(slots=True)
class KeyRecord:
    """All attempts to book under one idempotency key.

    :ivar only_own_answers: whether each answer with status 200 was the key's
        own booking.
    """

    key: str
    attempts: list[Attempt] = field(default_factory=list)
    only_own_answers: bool = True

    @property
    def answered(self) -> bool:
        """Whether any attempt was answered with the booking."""
        return any(attempt.status == OK_STATUS for attempt in self.attempts)


@final
class BookingCallers:
    """Closed loop of callers that book under new keys and resend.

    An attempt without an answer is sent again under its key, and so is the
    share ``RESEND_SHARE`` of the answered ones.

    :param address: returns the address for the next attempt; when it
        alternates, a resend goes through another entry or upstream.
    :param path: path of the booking service.
    :param create_key: returns the key of the next booking, given a new
        unique one; empty when there is none yet.
    """

    def __init__(
        self,
        address: Address,
        path: str,
        create_key: CreateKey,
        *,
        callers: int,
    ) -> None:
        self.address = address
        self.path = path
        self.create_key = create_key
        self.stopping = Event()
        self.lock = Lock()
        self.records: list[KeyRecord] = []
        self.threads = [
            Thread(target=self._book_until_stopped, args=(number,), daemon=True)
            for number in range(callers)
        ]

    def run_for(self, duration_s: float) -> list[KeyRecord]:
        """Book for the given time and return the records of all keys."""
        for thread in self.threads:
            thread.start()
        self.stopping.wait(duration_s)
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        return self.records

    def _book_until_stopped(self, number: int) -> None:
        random = Random(number)
        while not self.stopping.is_set():
            record = KeyRecord(self.create_key(uuid.uuid4().hex))
            if record.key:
                self._book(record, random)
                with self.lock:
                    self.records.append(record)
            else:
                time.sleep(RETRY_PAUSE_S)

    def _book(self, record: KeyRecord, random: Random) -> None:
        while len(record.attempts) < MAX_ATTEMPTS:
            self._send(record)
            if record.answered:
                if random.random() < RESEND_SHARE:
                    self._send(record)
                return
            time.sleep(RETRY_PAUSE_S)

    def _send(self, record: KeyRecord) -> None:
        request_id = uuid.uuid4().hex
        call = HttpCall(
            self.path,
            json.dumps({'seat': record.key}),
            headers={
                'Idempotency-Key': record.key,
                'X-Request-Id': request_id,
            },
        )
        started_s = time.monotonic()
        answer = call_http(self.address(), call, ATTEMPT_TIMEOUT_S)
        latency_s = time.monotonic() - started_s
        record.attempts.append(
            Attempt(request_id, answer.status, run_state(answer), latency_s)
        )
        if answer.status == OK_STATUS and not _matches_key(answer, record.key):
            record.only_own_answers = False


def _matches_key(answer: Answer, key: str) -> bool:
    try:
        booked = json.loads(answer.body)
        request = json.loads(booked['request'])
    except (ValueError, KeyError, TypeError):
        return False
    return bool(booked['booked'] == key and request['seat'] == key)
