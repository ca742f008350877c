"""Calls of the upstream beside the agent, over HTTP on loopback."""

import json
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus
from http.client import (
    HTTPConnection,
    HTTPException,
    HTTPResponse,
)
from typing import Any, final

from bramleylug.agent.bounded_connection import BoundedConnection
from bramleylug.outcomes import NotRun, Ran, Reason, Unknown
from bramleylug.wire.requests_pb2 import Head, Header, Request

READ_BYTES = 4096
CONNECT_TIMEOUT_S = 2.0
STATE_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 120.0
MIN_TIMEOUT_S = 0.001
REQUEST_ID_HEADER = 'X-Request-Id'
PRIORITY_HEADER = 'X-Priority'
BOOT_HEADER = 'X-Boot-Id'
HOP_BY_HOP_HEADERS = frozenset(
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
SET_HEADERS = frozenset((REQUEST_ID_HEADER.lower(), PRIORITY_HEADER.lower()))


@final
@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer whose body follows.

    :ivar boot_id: boot of the upstream that answers, where it tells.
    """

    head: Head
    boot_id: str = ''


AnswerPart = AnswerHead | bytes | Ran | Unknown | NotRun


@final
class UpstreamCall:
    """One request on a connection of its own, which is then closed.

    No connection is used twice, so that a late, crossed or duplicated
    answer has no other request to reach.

    :param deadline_s: monotonic seconds when the call is broken off.
    :ivar cancelled: whether the call was broken off by its caller.
    """

    def __init__(self, address: str, deadline_s: float) -> None:
        self.connection = BoundedConnection(address)
        self.deadline_s = deadline_s
        self.cancelled = False

    def cancel(self) -> None:
        """Break the call off; may be called from any thread."""
        self.cancelled = True
        sock = self.connection.sock
        if sock is not None:
            _shut_down(sock)

    def run(self, request: Request) -> Iterator[AnswerPart]:
        """Run the request and yield its answer, then what became of it.

        The last part is always an outcome; ``Ran(whole=False)`` marks an
        answer that broke off after its head.
        """
        if self.cancelled:
            yield NotRun(Reason.deadline, 'its caller has gone')
            return
        self.connection.timeout = min(CONNECT_TIMEOUT_S, self._remaining_s())
        try:
            self.connection.connect()
        except OSError as error:
            yield NotRun(Reason.connection_failed, str(error))
            return
        sock = self.connection.sock
        try:
            yield from self._exchange(request, sock)
        finally:
            _shut_down(sock)
            self.connection.close()

    def _exchange(self, request: Request, sock: Any) -> Iterator[AnswerPart]:
        sock.settimeout(self._remaining_s())
        try:
            self.connection.request(
                request.method, request.path, request.body, _headers(request)
            )
            response = self.connection.getresponse()
        except TimeoutError as error:
            yield Unknown(Reason.deadline, repr(error))
            return
        except (OSError, HTTPException) as error:
            yield Unknown(Reason.upstream_crashed, repr(error))
            return
        echo = response.getheader(REQUEST_ID_HEADER, request.request_id)
        if echo != request.request_id:
            yield Unknown(
                Reason.upstream_failed, 'answer to a different request'
            )
            return
        boot_id = response.getheader(BOOT_HEADER, '')
        yield AnswerHead(_head(response), boot_id)
        yield from self._body(response, sock)

    def _body(self, response: HTTPResponse, sock: Any) -> Iterator[AnswerPart]:
        status = response.status
        framed = response.chunked or response.length is not None
        try:
            while piece := response.read1(READ_BYTES):
                yield piece
                sock.settimeout(self._remaining_s())
        except TimeoutError as error:
            yield Ran(status, False, Reason.deadline, repr(error))
            return
        except (OSError, HTTPException) as error:
            yield Ran(status, False, Reason.answer_cut, repr(error))
            return
        if response.length:
            yield Ran(status, False, Reason.answer_cut, 'bytes missing')
        elif framed:
            yield Ran(status)
        else:
            yield Ran(
                status, False, Reason.answer_cut, 'neither length nor end'
            )

    def _remaining_s(self) -> float:
        return max(MIN_TIMEOUT_S, self.deadline_s - time.monotonic())


@final
class Upstream:
    """Client of one upstream.

    :param address: ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self.address = address

    def call(self, deadline_s: float) -> UpstreamCall:
        """Return a call that is yet to be run."""
        return UpstreamCall(self.address, deadline_s)

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


def _headers(request: Request) -> dict[str, str]:
    headers = {
        header.name: header.value
        for header in request.headers
        if header.name.lower() not in HOP_BY_HOP_HEADERS | SET_HEADERS
    }
    headers[REQUEST_ID_HEADER] = request.request_id
    headers[PRIORITY_HEADER] = str(request.priority)
    return headers


def _head(response: HTTPResponse) -> Head:
    head = Head(
        status=response.status,
        headers=[
            Header(name=name, value=text)
            for name, text in response.getheaders()
            if name.lower() not in HOP_BY_HOP_HEADERS
        ],
        weights_digest=response.getheader('X-Weights-Digest', ''),
    )
    if response.length is not None:
        head.content_length = response.length
    return head


def _shut_down(sock: socket.socket) -> None:
    """Wake a reader; a close alone would leave it waiting."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
