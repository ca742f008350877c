"""HTTP client of the upstream on the agent's host."""

import json
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from typing import Any, cast, final

from bramleylug.agent.bounded_connection import BoundedConnection
from bramleylug.outcomes import NotRun, Ran, Reason, Unknown
from bramleylug.web.response import CheckedResponse
from bramleylug.wire.requests_pb2 import Head, Header, Request

READ_BYTES = 4096
CONNECT_TIMEOUT_S = 2.0
STATE_TIMEOUT_S = 2.0
# A deeply nested answer ends the JSON parser with a RecursionError.
CALL_ERRORS = (OSError, HTTPException, ValueError, RecursionError)
ORDER_TIMEOUT_S = 120.0
# A time-out of 0 would make the socket non-blocking.
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
# Headers that the agent sets itself.
SET_HEADERS = frozenset((REQUEST_ID_HEADER.lower(), PRIORITY_HEADER.lower()))


@final
@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer whose body follows.

    :ivar boot_id: boot id of the upstream; empty when it does not report
        it.
    """

    head: Head
    boot_id: str = ''


AnswerPart = AnswerHead | bytes | Ran | Unknown | NotRun


@final
class UpstreamCall:
    """One request on a connection of its own, which is then closed.

    Connections are not reused, so that a late, misdirected or duplicated
    answer cannot be taken for the answer to another request.

    :param deadline_s: monotonic seconds at which the call is aborted.
    :ivar cancelled: whether :meth:`cancel` was called.
    """

    def __init__(self, address: str, deadline_s: float) -> None:
        self.connection = BoundedConnection(address)
        self.deadline_s = deadline_s
        self.cancelled = False

    def cancel(self) -> None:
        """Abort the call; may be called from any thread."""
        self.cancelled = True
        sock = self.connection.sock
        if sock is not None:
            _shut_down(sock)

    def run(self, request: Request) -> Iterator[AnswerPart]:
        """Send the request and yield its answer, then its outcome.

        The last part is always an outcome; ``Ran(complete=False)`` means that
        the answer was cut off after its head.
        """
        if self.cancelled:
            yield NotRun(Reason.deadline, 'caller disconnected')
            return
        self.connection.timeout = min(CONNECT_TIMEOUT_S, self._remaining_s())
        try:
            self.connection.connect()
        except OSError as error:
            yield NotRun(Reason.connection_failed, str(error))
            return
        sock = self.connection.sock
        try:
            yield from self._send_request(request, sock)
        finally:
            _shut_down(sock)
            self.connection.close()

    def _send_request(
        self, request: Request, sock: Any
    ) -> Iterator[AnswerPart]:
        sock.settimeout(self._remaining_s())
        try:
            self.connection.request(
                request.method,
                request.path,
                request.body,
                _build_headers(request),
            )
            response = cast(CheckedResponse, self.connection.getresponse())
        except TimeoutError as error:
            yield Unknown(Reason.deadline, repr(error))
            return
        except (OSError, HTTPException) as error:
            yield Unknown(Reason.upstream_crashed, repr(error))
            return
        echoed_id = response.getheader(REQUEST_ID_HEADER, request.request_id)
        if echoed_id != request.request_id:
            yield Unknown(
                Reason.upstream_failed, 'answer to a different request'
            )
            return
        boot_id = response.getheader(BOOT_HEADER, '')
        yield AnswerHead(_build_head(response), boot_id)
        yield from self._read_body(response, sock)

    def _read_body(
        self, response: CheckedResponse, sock: Any
    ) -> Iterator[AnswerPart]:
        status = response.status
        unframed = response.length is None and not response.chunked
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
        if unframed:
            yield Ran(
                status,
                False,
                Reason.answer_cut,
                'body has neither a length nor chunked encoding',
            )
        elif response.ended_whole():
            yield Ran(status)
        else:
            yield Ran(
                status,
                False,
                Reason.answer_cut,
                'body is shorter than its framing says',
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
        """Return a call that is not yet started."""
        return UpstreamCall(self.address, deadline_s)

    def state(self) -> dict[str, Any] | None:
        """Return the upstream's report; ``None`` when it does not answer."""
        return self._request_json('GET', '/v1/state', None, STATE_TIMEOUT_S)

    def order(self, order: dict[str, Any]) -> dict[str, Any] | None:
        """Send an order; ``None`` when it was refused or not answered."""
        return self._request_json('POST', '/v1/orders', order, ORDER_TIMEOUT_S)

    def _request_json(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None,
        timeout_s: float,
    ) -> dict[str, Any] | None:
        connection = HTTPConnection(self.address, timeout=timeout_s)
        connection.response_class = CheckedResponse
        body = None if document is None else json.dumps(document)
        try:
            connection.request(method, path, body)
            response = connection.getresponse()
            answer = json.loads(response.read())
        except CALL_ERRORS:
            return None
        finally:
            connection.close()
        return answer if response.status == HTTPStatus.OK else None


def _build_headers(request: Request) -> dict[str, str]:
    headers = {
        header.name: header.value
        for header in request.headers
        if header.name.lower() not in HOP_BY_HOP_HEADERS | SET_HEADERS
    }
    headers[REQUEST_ID_HEADER] = request.request_id
    headers[PRIORITY_HEADER] = str(request.priority)
    return headers


def _build_head(response: CheckedResponse) -> Head:
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
    """Shut a socket down; closing it alone would not wake a reader."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
