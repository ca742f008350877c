"""Requests that callers send while a demonstration runs."""

import json
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from http.client import HTTPConnection, HTTPException
from typing import NamedTuple, final

from bramleylug.demo.callers import CallerThreads

REQUEST_TIMEOUT_S = 30
REQUEST_PAUSE_S = 0.02
HTTP_OK = 200


class Call(NamedTuple):
    """Result of one request.

    :ivar at_s: monotonic time at which it ended.
    :ivar result: ``answered``, ``refused`` (it did not run) or ``failed``.
    :ivar digests: digests of the weights that the answer names.
    """

    at_s: float
    result: str
    digests: frozenset[str]


@final
class Traffic(CallerThreads):
    """Sends requests to a model service from several threads until stopped.

    :param entries: returns the entry addresses; called before each request.
    :param callers: number of threads.
    """

    def __init__(
        self, entries: Callable[[], list[str]], service: str, callers: int
    ) -> None:
        self.entries = entries
        self.service = service
        super().__init__(
            partial(self._send_requests, number) for number in range(callers)
        )
        self.calls: list[Call] = []

    def count_results(self) -> Counter[str]:
        return Counter(call.result for call in self.calls)

    def count_mixed(self) -> int:
        """Return how many answers name more than one weights digest."""
        return sum(len(call.digests) > 1 for call in self.calls)

    def _send_requests(self, number: int) -> None:
        while not self.stopping.is_set():
            addresses = self.entries()
            if addresses:
                address = addresses[number % len(addresses)]
                self.calls.append(generate(address, self.service))
            time.sleep(REQUEST_PAUSE_S)


def generate(address: str, service: str, tokens: int = 16) -> Call:
    """Request tokens from a model service.

    An answer with another number of tokens counts as failed.
    """
    body = json.dumps({'prompt': 'is the seat fitted?', 'tokens': tokens})
    path = f'/v1/services/{service}/v1/generate'
    status, text = post(address, path, body, {})
    if status != HTTP_OK:
        result = 'refused' if b'"not_run"' in text else 'failed'
        return Call(time.monotonic(), result, frozenset())
    lines = text.decode().splitlines()
    complete = len(lines) == tokens
    digests = frozenset(json.loads(line)['digest'] for line in lines)
    return Call(time.monotonic(), 'answered' if complete else 'failed', digests)


def post(
    address: str, path: str, body: str, headers: dict[str, str]
) -> tuple[int, bytes]:
    """Send a POST; return status and body, status 0 if there is no response."""
    connection = HTTPConnection(address, timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request('POST', path, body, headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, HTTPException):
        return 0, b''
    finally:
        connection.close()
