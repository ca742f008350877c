"""One request and the answer that is written to its caller."""

import json
import re
import uuid
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, final

from bramleylug.web.framing import Framing, HeaderPairs, clean_headers

if TYPE_CHECKING:
    from circuits.web.headers import Headers

    from bramleylug.web.connection import Connection
    from bramleylug.web.port import Port
    from bramleylug.web.reader import Message

JSON_TYPE = 'application/json'
REQUEST_ID = re.compile('[A-Za-z0-9._-]{1,64}')


@final
@dataclass(slots=True)
class Flow:
    """Body bytes of one answer on their way; each count only rises.

    :ivar handed: given over by the owner.
    :ivar queued: arrived at the loop that owns the socket.
    :ivar taken: taken by the socket.
    """

    handed: int = 0
    queued: int = 0
    taken: int = 0


@final
class Exchange:
    """One request and the answer that is written to its caller.

    Every method may be called from any thread, one at a time; the loop of
    the server does the work. ``on_drained``, ``on_closed`` and ``on_ended``
    are called on that loop.

    :ivar on_drained: called when the socket has taken bytes.
    :ivar on_closed: called when the caller has gone or was cut.
    :ivar on_ended: called once nothing more is held for the exchange.
    :ivar stalled: whether the caller was cut because it did not read.
    :ivar request_id: the caller's id of the request, or one made here.
    """

    def __init__(
        self, port: 'Port', connection: 'Connection', message: 'Message'
    ) -> None:
        self.port = port
        self.connection = connection
        self.head = message.head
        self.payload = message.body
        self.request_id = choose_request_id(self.header('X-Request-Id'))
        self.close_after = not message.head.keep_alive
        self.closed = False
        self.finished = False
        self.stalled = False
        self.framing: Framing | None = None
        self.flow = Flow()
        self.on_drained: Callable[[], None] = _ignore
        self.on_closed: Callable[[], None] = _ignore
        self.on_ended: Callable[[], None] = _ignore

    @property
    def method(self) -> str:
        """HTTP method of the request."""
        return self.head.method

    @property
    def path(self) -> str:
        """Path of the request without its query, undecoded."""
        return self.head.path

    @property
    def query(self) -> str:
        """Query string of the request, undecoded."""
        return self.head.query

    @property
    def headers(self) -> 'Headers':
        """Headers of the request."""
        return self.head.headers

    @property
    def pending_bytes(self) -> int:
        """Bytes handed over and not yet taken by the socket."""
        return self.flow.handed - self.flow.taken

    def header(self, name: str, default: str = '') -> str:
        """Return a request header, or the default where it is absent."""
        return str(self.head.headers.get(name, default))

    def body(self) -> bytes:
        """Return the whole request body."""
        return self.payload

    def start(
        self,
        status: int,
        headers: HeaderPairs,
        content_length: int | None = None,
    ) -> None:
        """Send the status line and headers.

        :param content_length: bytes of the body; ``None`` sends it chunked.
        """
        pairs = clean_headers(headers)
        self.port.context.call(
            lambda: self._start(status, pairs, content_length)
        )

    def send(self, piece: bytes) -> None:
        """Send one piece of the body."""
        self.flow.handed += len(piece)
        self.port.context.call(lambda: self._send(piece))

    def finish(self) -> None:
        """End the answer; the connection may be kept for the next request.

        Where the body is not as long as announced, the connection is cut.
        """
        self.port.context.call(self._finish)

    def abort(self) -> None:
        """Reset the connection, so that the cut is visible."""
        self.port.context.call(lambda: self.port.reset(self.connection))

    def reply(
        self,
        status: int,
        body: bytes,
        headers: HeaderPairs | None = None,
    ) -> None:
        """Send a whole answer."""
        self.start(status, headers or {}, len(body))
        if body:
            self.send(body)
        self.finish()

    def reply_json(
        self,
        status: int,
        document: Any,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send a whole answer as JSON."""
        body = json.dumps(document).encode()
        self.reply(status, body, {'Content-Type': JSON_TYPE, **(headers or {})})

    def disable_keep_alive(self) -> None:
        """Close the kept-alive connection once the answer has ended."""
        self.close_after = True

    def socket_took(self, unsent_bytes: int) -> None:
        """Note that the socket has taken all but some bytes."""
        self.flow.taken = self.flow.queued - min(self.flow.queued, unsent_bytes)
        self.on_drained()

    def socket_closed(self) -> None:
        """Note that the caller has gone."""
        self.closed = True
        self.on_closed()
        self.on_ended()

    def _start(
        self,
        status: int,
        headers: list[tuple[str, str]],
        content_length: int | None,
    ) -> None:
        if self.closed or self.framing is not None:
            return
        framing = Framing.from_request(self.head, status, content_length)
        self.framing = framing
        self.close_after = self.close_after or framing.ends_with_connection
        connection = 'close' if self.close_after else ''
        if not connection and self.head.version == (1, 0):
            connection = 'keep-alive'
        self.port.write(
            self.connection,
            framing.render(headers, self.request_id, connection),
        )

    def _send(self, piece: bytes) -> None:
        self.flow.queued += len(piece)
        framing = self.framing
        if self.closed or self.finished or not piece or framing is None:
            return
        if not framing.has_body:
            self.flow.taken = self.flow.queued
            return
        if framing.chunked:
            piece = b'%x\r\n%s\r\n' % (len(piece), piece)
        self.port.write(self.connection, piece)

    def _finish(self) -> None:
        framing = self.framing
        if self.closed or self.finished or framing is None:
            return
        if not framing.is_whole(self.flow.queued):
            self.port.reset(self.connection)
            return
        if framing.chunked:
            self.port.write(self.connection, b'0\r\n\r\n')
        self.finished = True
        self.port.mark_dirty(self.connection)


def choose_request_id(offered: str) -> str:
    """Return the caller's request id where it is short and plain."""
    if REQUEST_ID.fullmatch(offered):
        return offered
    return uuid.uuid4().hex


def _ignore() -> None:
    """Do nothing."""
