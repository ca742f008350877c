"""Live requests sent throughout a demonstration."""

import json
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from http.client import HTTPConnection, HTTPException
from typing import NamedTuple, final

from bramleylug.demo.callers import CallerThreads

CALL_TIMEOUT_S = 30
PAUSE_S = 0.02
HTTP_OK = 200


class Call(NamedTuple):
    """One request and what came back."""

    at_s: float
    result: str
    digests: frozenset[str]


@final
class Traffic(CallerThreads):
    """Callers that keep asking one service.

    :param entries: returns the addresses to use; asked before each call.
    """

    def __init__(
        self, entries: Callable[[], list[str]], service: str, callers: int
    ) -> None:
        self.entries = entries
        self.service = service
        super().__init__(
            partial(self._keep_calling, number) for number in range(callers)
        )
        self.calls: list[Call] = []

    def counts(self) -> Counter[str]:
        """Return how often each result came."""
        return Counter(call.result for call in self.calls)

    def mixed(self) -> int:
        """Return the answers that ran on more than one digest."""
        return sum(len(call.digests) > 1 for call in self.calls)

    def _keep_calling(self, number: int) -> None:
        while not self.stopping.is_set():
            addresses = self.entries()
            if addresses:
                address = addresses[number % len(addresses)]
                self.calls.append(generate(address, self.service))
            time.sleep(PAUSE_S)


def generate(address: str, service: str, tokens: int = 16) -> Call:
    """Ask a model service for some tokens."""
    body = json.dumps({'prompt': 'is the seat fitted?', 'tokens': tokens})
    path = f'/v1/services/{service}/v1/generate'
    status, text = post(address, path, body, {})
    if status != HTTP_OK:
        result = 'refused' if b'"not_run"' in text else 'failed'
        return Call(time.monotonic(), result, frozenset())
    lines = text.decode().splitlines()
    whole = len(lines) == tokens
    digests = frozenset(json.loads(line)['digest'] for line in lines)
    return Call(time.monotonic(), 'answered' if whole else 'failed', digests)


def post(
    address: str, path: str, body: str, headers: dict[str, str]
) -> tuple[int, bytes]:
    """Send a POST and return status and body; status 0 without an answer."""
    connection = HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    try:
        connection.request('POST', path, body, headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, HTTPException):
        return 0, b''
    finally:
        connection.close()
