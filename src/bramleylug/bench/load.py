"""Open-loop and closed-loop HTTP load generators."""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from http.client import HTTPConnection, HTTPException
from typing import Literal, NamedTuple, final

import numpy

from bramleylug.bench.recorder import Recorder
from bramleylug.demo.callers import CallerThreads

CALL_TIMEOUT_S = 30.0
OPEN_LOOP_WORKERS = 256
ANSWERED_STATUSES = range(200, 300)

CallResult = Literal['answered', 'refused', 'failed']


class Answer(NamedTuple):
    """Outcome of one call.

    :ivar result: ``refused`` only when the answer says ``not_run``.
    :ivar status: HTTP status; 0 when no complete answer was received.
    :ivar retry_after_s: the ``Retry-After`` header; 0 when it is missing.
    """

    result: CallResult
    status: int = 0
    body: bytes = b''
    retry_after_s: float = 0.0


@final
@dataclass(frozen=True, slots=True)
class HttpCall:
    """One HTTP request, sent with :func:`call_http`."""

    path: str
    body: str = ''
    method: str = 'POST'
    headers: dict[str, str] = field(default_factory=dict)


Send = Callable[[int], Answer]


def call_http(
    address: str, call: HttpCall, timeout_s: float = CALL_TIMEOUT_S
) -> Answer:
    """Send a request on a new connection and read the complete answer.

    :param address: ``host:port``.
    """
    connection = HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(call.method, call.path, call.body, call.headers)
        response = connection.getresponse()
        body = response.read()
    except (OSError, HTTPException):
        return Answer('failed')
    finally:
        connection.close()
    return Answer(
        classify(response.status, response.headers.get('X-Run', '')),
        response.status,
        body,
        float(response.headers.get('Retry-After', 0)),
    )


def classify(status: int, run: str) -> CallResult:
    """Classify an answer as answered, refused or failed.

    :param run: the ``X-Run`` header; empty when it is missing.
    """
    if status in ANSWERED_STATUSES:
        return 'answered'
    return 'refused' if run == 'not_run' else 'failed'


def arrival_times(rate: float, duration_s: float, seed: int) -> list[float]:
    """Return Poisson arrival times in seconds, determined by the seed.

    :param rate: mean arrivals per second.
    """
    random = numpy.random.default_rng(seed)
    count = random.poisson(rate * duration_s)
    return sorted(random.uniform(0, duration_s, count).tolist())


def run_open_loop(
    send: Send,
    arrivals: list[float],
    *,
    recorder: Recorder | None = None,
    workers: int = OPEN_LOOP_WORKERS,
) -> Recorder:
    """Send calls at fixed times, without waiting for earlier answers.

    Latency is measured from the time a call was due, so that a stall is not
    hidden by calls sent late (coordinated omission).

    :param send: called with the call's number, in a pool of threads.
    :param arrivals: seconds after the start, from :func:`arrival_times`.
    :param workers: calls that can run at once; others wait for a worker, and
        their latency includes the wait.
    """
    recorded = recorder or Recorder()
    started_s = time.monotonic()

    def call(number: int, due_s: float) -> None:
        answer = send(number)
        now_s = time.monotonic()
        recorded.add(answer.result, now_s - started_s, now_s - due_s)

    with ThreadPoolExecutor(workers) as pool:
        for number, arrival_s in enumerate(arrivals):
            due_s = started_s + arrival_s
            time.sleep(max(0.0, due_s - time.monotonic()))
            pool.submit(call, number, due_s)
    return recorded


@final
class ClosedLoop(CallerThreads):
    """Callers that each wait for an answer before the next call.

    :param send: called with a number that is unique among the calls.
    :param pause_s: time between an answer and the caller's next call.
    """

    def __init__(
        self, send: Send, callers: int, *, pause_s: float = 0.0
    ) -> None:
        self.send = send
        self.callers = callers
        self.pause_s = pause_s
        self.recorder = Recorder()
        super().__init__(
            partial(self._call_until_stopped, caller)
            for caller in range(callers)
        )
        self.started_s = time.monotonic()

    def start(self) -> None:
        self.started_s = time.monotonic()
        super().start()

    def stop(self) -> Recorder:
        """Wait for running calls and return the recorder."""
        self.join()
        return self.recorder

    def run_for(self, duration_s: float) -> Recorder:
        """Run the callers for the given time."""
        self.start()
        self.stopping.wait(duration_s)
        return self.stop()

    def _call_until_stopped(self, caller: int) -> None:
        number = caller
        while not self.stopping.is_set():
            sent_s = time.monotonic()
            answer = self.send(number)
            now_s = time.monotonic()
            self.recorder.add(
                answer.result, now_s - self.started_s, now_s - sent_s
            )
            number += self.callers
            self.stopping.wait(self.pause_s)
