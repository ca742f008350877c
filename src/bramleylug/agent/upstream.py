"""Calls of the upstream beside the agent, over HTTP on loopback."""

import json
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException, HTTPResponse
from typing import Any, final

from bramleylug.outcomes import NotRun, Ran, Reason, Unknown
from bramleylug.wire.requests_pb2 import Head, Header, Request

PIECE_BYTES = 16384
STATE_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 120.0
HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


@final
@dataclass(frozen=True, slots=True)
class Answer:
    """Status and headers of an answer whose body follows."""

    head: Head


Part = Answer | bytes | Ran | Unknown | NotRun


@final
class Upstream:
    """Client of one upstream; each call uses a connection of its own.

    :param address: ``host:port``.
    :ivar on_answer: called with the head of each answer and the seconds it
        took to arrive.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.on_answer: Callable[[Head, float], None] = _ignore

    def run(self, request: Request, timeout_s: float) -> Iterator[Part]:
        """Run a request and yield its answer, then what became of it.

        The last part is always an outcome; ``Ran(whole=False)`` marks an
        answer that broke off after its head.
        """
        started_s = time.monotonic()
        connection = HTTPConnection(self.address, timeout=timeout_s)
        try:
            connection.connect()
        except OSError as error:
            yield NotRun(Reason.connection_failed, str(error))
            return
        try:
            for part in _exchange(connection, request):
                if isinstance(part, Answer):
                    self.on_answer(part.head, time.monotonic() - started_s)
                yield part
        finally:
            connection.close()

    def state(self) -> dict[str, Any] | None:
        """Return what the upstream reports, or ``None`` without an answer."""
        return self._call('GET', '/v1/state', None, STATE_TIMEOUT_S)

    def order(self, order: dict[str, Any]) -> dict[str, Any] | None:
        """Give an order; ``None`` when it was refused or not answered."""
        return self._call('POST', '/v1/orders', order, ORDER_TIMEOUT_S)

    def _call(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None,
        timeout_s: float,
    ) -> dict[str, Any] | None:
        connection = HTTPConnection(self.address, timeout=timeout_s)
        body = None if document is None else json.dumps(document)
        try:
            connection.request(method, path, body)
            response = connection.getresponse()
            answer = json.loads(response.read())
        except (OSError, HTTPException, ValueError):
            return None
        finally:
            connection.close()
        return answer if response.status == HTTPStatus.OK else None


def _exchange(connection: HTTPConnection, request: Request) -> Iterator[Part]:
    headers = {
        header.name: header.value
        for header in request.headers
        if header.name.lower() not in HOP_HEADERS
    }
    try:
        connection.request(request.method, request.path, request.body, headers)
        response = connection.getresponse()
    except (OSError, HTTPException) as error:
        yield Unknown(Reason.upstream_failed, repr(error))
        return
    yield Answer(_head(response))
    yield from _body(response)


def _body(response: HTTPResponse) -> Iterator[Part]:
    try:
        while piece := response.read1(PIECE_BYTES):
            yield piece
    except (OSError, HTTPException) as error:
        yield Ran(response.status, False, Reason.answer_cut, repr(error))
        return
    if response.length:
        yield Ran(response.status, False, Reason.answer_cut, 'bytes missing')
        return
    yield Ran(response.status)


def _head(response: HTTPResponse) -> Head:
    head = Head(
        status=response.status,
        headers=[
            Header(name=name, value=text)
            for name, text in response.getheaders()
            if name.lower() not in HOP_HEADERS
        ],
        weights_digest=response.getheader('X-Weights-Digest', ''),
    )
    if response.length is not None:
        head.content_length = response.length
    return head


def _ignore(head: Head, latency_s: float) -> None:
    """Take no notice of an answer."""
