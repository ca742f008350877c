"""One request and the response that is sent to its client."""

import json
import re
import uuid
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, final

from bramleylug.web.framing import Framing, HeaderPairs, clean_headers
from bramleylug.web.output import SendProgress

if TYPE_CHECKING:
    from circuits.web.headers import Headers

    from bramleylug.web.connection import Connection
    from bramleylug.web.port import Port
    from bramleylug.web.reader import Message

JSON_TYPE = 'application/json'
REQUEST_ID = re.compile('[A-Za-z0-9._-]{1,64}')


@final
class CallSequence:
    """Calls that a loop runs in order; one thread at a time makes them.

    :param call: runs a callable on the loop; thread-safe.
    :ivar made: calls that were made, counted by the caller.
    :ivar ended: calls that have ended, counted by the loop.
    """

    def __init__(self, call: Callable[[Callable[[], None]], None]) -> None:
        self.call = call
        self.made = 0
        self.ended = 0

    @property
    def has_ended(self) -> bool:
        """Whether all calls have ended; only the caller may ask."""
        return self.made == self.ended

    def add(self, action: Callable[[], None]) -> None:
        """Let the loop run a callable."""
        self.made += 1
        self.call(lambda: self._run(action))

    def _run(self, action: Callable[[], None]) -> None:
        action()
        self.ended += 1


@final
class Exchange:
    """One request and the response that is sent to its client.

    Every method may be called from any thread, by one thread at a time; the
    work runs on the loop of the server, as do the callbacks ``on_drained``,
    ``on_closed`` and ``on_ended``. A piece that nothing precedes is sent by
    the calling thread, which then calls ``on_drained``: it costs less than to
    wake the loop.

    :ivar on_drained: called after the socket has accepted bytes.
    :ivar on_closed: called when the client disconnected or its connection
        was reset.
    :ivar on_ended: called once the exchange uses no more memory.
    :ivar stalled: whether the connection was reset because the client did
        not read.
    :ivar request_id: the client's id of the request, or a generated one.
    """

    def __init__(
        self, port: 'Port', connection: 'Connection', message: 'Message'
    ) -> None:
        self.port = port
        self.calls = CallSequence(port.context.call)
        self.connection = connection
        self.head = message.head
        self.payload = message.body
        self.request_id = choose_request_id(self.header('X-Request-Id'))
        self.close_after_response = not message.head.keep_alive
        self.closed = False
        self.finished = False
        self.stalled = False
        self.framing: Framing | None = None
        self.progress = SendProgress()
        self.on_drained: Callable[[], None] = _ignore
        self.on_closed: Callable[[], None] = _ignore
        self.on_ended: Callable[[], None] = _ignore

    @property
    def method(self) -> str:
        return self.head.method

    @property
    def path(self) -> str:
        """Path without the query, percent-encoded as received."""
        return self.head.path

    @property
    def query(self) -> str:
        """Query string, percent-encoded as received."""
        return self.head.query

    @property
    def headers(self) -> 'Headers':
        return self.head.headers

    @property
    def pending_bytes(self) -> int:
        """Body bytes submitted that the socket has not accepted yet."""
        return self.progress.submitted - self.progress.written

    def header(self, name: str, default: str = '') -> str:
        return str(self.head.headers.get(name, default))

    def body(self) -> bytes:
        return self.payload

    def start(
        self,
        status: int,
        headers: HeaderPairs,
        content_length: int | None = None,
    ) -> None:
        """Send the status line and headers.

        :param content_length: bytes of the body; ``None`` for a body of
            unknown length, sent in chunks or ended by closing the connection.
        """
        pairs = clean_headers(headers)
        self.calls.add(lambda: self._start(status, pairs, content_length))

    def send(self, piece: bytes) -> None:
        self.progress.submitted += len(piece)
        if not (self.calls.has_ended and self._send_at_once(piece)):
            self.calls.add(lambda: self._send(piece))

    def finish(self) -> None:
        """End the response; the connection may be kept for other requests.

        If the body differs in length from what was announced, the connection
        is reset instead.
        """
        self.calls.add(self._finish)

    def abort(self) -> None:
        """Reset the connection, so that the client sees an error."""
        self.calls.add(lambda: self.port.reset(self.connection))

    def reply(
        self,
        status: int,
        body: bytes,
        headers: HeaderPairs | None = None,
    ) -> None:
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
        body = json.dumps(document).encode()
        self.reply(status, body, {'Content-Type': JSON_TYPE, **(headers or {})})

    def fail(self) -> None:
        """End an exchange that nothing will answer any more.

        The client gets a 502 response that promises nothing, or a reset if a
        response has begun. A complete response stays as it is.
        """
        self.calls.add(self._fail)

    def disable_keep_alive(self) -> None:
        """Close the connection once the response has ended."""
        self.close_after_response = True

    def socket_closed(self) -> None:
        """Record that the connection was closed or reset."""
        self.closed = True
        self.on_closed()
        self.on_ended()

    def _send_at_once(self, piece: bytes) -> bool:
        """Send a piece if nothing precedes it; return whether it was taken."""
        framing = self.framing
        if self.closed or self.finished or not piece or framing is None:
            return False
        if not framing.has_body:
            return False
        connection = self.connection
        taken = connection.output.send_at_once(
            framing.frame(piece),
            len(piece),
            self.progress,
            self.port.context.clock(),
        )
        if not taken:
            return False
        if connection.output.pieces:
            # The loop sends the rest, and closes a broken connection.
            self.calls.add(lambda: self.port.schedule_flush(connection))
        self.on_drained()
        return True

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
        self.close_after_response = (
            self.close_after_response or framing.ends_with_connection
        )
        connection = 'close' if self.close_after_response else ''
        if not connection and self.head.version == (1, 0):
            connection = 'keep-alive'
        self.port.write(
            self.connection,
            framing.render(headers, self.request_id, connection),
        )

    def _send(self, piece: bytes) -> None:
        self.progress.queued += len(piece)
        framing = self.framing
        if self.closed or self.finished or not piece or framing is None:
            return
        if not framing.has_body:
            self.progress.written = self.progress.queued
            return
        self.port.write(self.connection, framing.frame(piece))

    def _finish(self) -> None:
        framing = self.framing
        if self.closed or self.finished or framing is None:
            return
        if not framing.is_complete(self.progress.queued):
            self.port.reset(self.connection)
            return
        if framing.chunked:
            self.port.write(self.connection, b'0\r\n\r\n')
        self.finished = True
        self.port.schedule_flush(self.connection)

    def _fail(self) -> None:
        if self.closed or self.finished:
            return
        if self.framing is not None:
            self.port.reset(self.connection)
            return
        document = {
            'code': 'internal',
            'message': 'internal error',
            'run': 'unknown',
        }
        self.reply_json(HTTPStatus.BAD_GATEWAY, document, {'X-Run': 'unknown'})


def choose_request_id(client_id: str) -> str:
    """Return the client's request id if it is valid, else a new one."""
    if REQUEST_ID.fullmatch(client_id):
        return client_id
    return uuid.uuid4().hex


def _ignore() -> None:
    """Ignore the event; the default callback."""
