"""Callers of a booking service that send every booking more than once."""

import json
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from threading import Event, Lock, Thread
from typing import NamedTuple, final

from bramleylug.bench.load import Answer, HttpCall, call_http
from bramleylug.bench.checking_callers import run_state

TRIES = 4
PATIENCE_S = 1.5
RESEND_PAUSE_S = 0.2
RESEND_SHARE = 0.3
OK_STATUS = 200

Address = Callable[[], str]
NewKey = Callable[[str], str]


class Try(NamedTuple):
    """One try and what its caller was told."""

    request_id: str
    status: int
    run: str
    took_s: float


@final
@dataclass(slots=True)
class KeyRecord:
    """One key and all its tries.

    :ivar own: whether every answer was the key's own.
    """

    key: str
    tries: list[Try] = field(default_factory=list)
    own: bool = True

    @property
    def answered(self) -> bool:
        """Whether any try brought the answer."""
        return any(one.status == OK_STATUS for one in self.tries)


@final
class BookingCallers:
    """Closed loop of callers; each books under a new key, and resends.

    A try without an answer is sent again under its key, and some answered
    ones too, through another address.

    :param address: returns an address to send to.
    :param path: of the booking service.
    :param new_key: returns the key of the next booking, given a fresh one.
    """

    def __init__(
        self, address: Address, path: str, new_key: NewKey, *, callers: int
    ) -> None:
        self.address = address
        self.path = path
        self.new_key = new_key
        self.stopping = Event()
        self.lock = Lock()
        self.records: list[KeyRecord] = []
        self.threads = [
            Thread(target=self._keep_booking, args=(number,), daemon=True)
            for number in range(callers)
        ]

    def run_for(self, duration_s: float) -> list[KeyRecord]:
        """Book for some time and return what was told."""
        for thread in self.threads:
            thread.start()
        self.stopping.wait(duration_s)
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        return self.records

    def _keep_booking(self, number: int) -> None:
        random = Random(number)
        while not self.stopping.is_set():
            record = KeyRecord(self.new_key(uuid.uuid4().hex))
            if record.key:
                self._book(record, random)
                with self.lock:
                    self.records.append(record)
            else:
                time.sleep(RESEND_PAUSE_S)

    def _book(self, record: KeyRecord, random: Random) -> None:
        while len(record.tries) < TRIES:
            self._send(record)
            if record.answered:
                if random.random() < RESEND_SHARE:
                    self._send(record)
                return
            time.sleep(RESEND_PAUSE_S)

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
        answer = call_http(self.address(), call, PATIENCE_S)
        took_s = time.monotonic() - started_s
        record.tries.append(
            Try(request_id, answer.status, run_state(answer), took_s)
        )
        if answer.status == OK_STATUS and not _is_own(answer, record.key):
            record.own = False


def _is_own(answer: Answer, key: str) -> bool:
    try:
        booked = json.loads(answer.body)
        request = json.loads(booked['request'])
    except (ValueError, KeyError, TypeError):
        return False
    return bool(booked['booked'] == key and request['seat'] == key)
