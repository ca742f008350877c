"""HTTP server on circuits.web whose answers are written under flow control.

circuits.web pulls a streamed body as fast as events run and buffers it
without bound. Here a request becomes an :class:`Exchange`, and its owner
sends the next piece when the socket has drained.
"""

import json
from collections.abc import Callable, Mapping
from socket import socket
from typing import Any, final

from circuits import BaseComponent, Event, handler
from circuits.net.events import close, write
from circuits.net.sockets import TCPServer
from circuits.web.http import HTTP
from circuits.web.wrappers import Request, Response

JSON_TYPE = 'application/json'


class drained(Event):  # noqa: N801
    """All bytes written to a socket have left the process."""


class invoke(Event):  # noqa: N801
    """Run a callable on the loop that owns the sockets."""


class DrainingTcpServer(TCPServer):
    """TCP server that reports each socket whose write buffer has emptied."""

    def _write(self, sock: socket, payload: bytes) -> None:
        super()._write(sock, payload)
        if sock in self._clients and not self._buffers[sock]:
            self.fire(drained(sock), self.channel)


@final
class Exchange:
    """One request and the answer that is written to its caller.

    Every method may be called from any thread; the loop of the server does
    the work. ``on_drained`` and ``on_closed`` are called on that loop.

    :ivar pending_bytes: bytes handed over and not yet taken by the socket.
    """

    def __init__(
        self, server: 'WebServer', request: Request, response: Response
    ) -> None:
        self.server = server
        self.request = request
        self.response = response
        self.pending_bytes = 0
        self.started = False
        self.closed = False
        self.on_drained: Callable[[], None] = _ignore
        self.on_closed: Callable[[], None] = _ignore

    @property
    def method(self) -> str:
        """HTTP method of the request."""
        return str(self.request.method)

    @property
    def path(self) -> str:
        """Path of the request without its query."""
        return str(self.request.path)

    @property
    def query(self) -> str:
        """Query string of the request, undecoded."""
        return str(self.request.qs or '')

    def header(self, name: str, default: str = '') -> str:
        """Return a request header, or the default where it is absent."""
        return str(self.request.headers.get(name, default))

    def body(self) -> bytes:
        """Return the whole request body."""
        return bytes(self.request.body.getvalue())

    def start(
        self,
        status: int,
        headers: Mapping[str, str],
        content_length: int | None = None,
    ) -> None:
        """Send the status line and headers.

        :param content_length: bytes of the body; ``None`` sends it chunked.
        """
        self.server.call(lambda: self._start(status, headers, content_length))

    def send(self, piece: bytes) -> None:
        """Send one piece of the body."""
        self.pending_bytes += len(piece)
        self.server.call(lambda: self._send(piece))

    def finish(self) -> None:
        """End the answer; the connection may be kept for the next request."""
        self.server.call(self._finish)

    def abort(self) -> None:
        """Close the connection without an end, so that the cut is visible."""
        self.server.call(self._abort)

    def reply(
        self,
        status: int,
        body: bytes,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send a whole answer."""
        self.start(status, headers or {}, len(body))
        if body and self.method != 'HEAD':
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

    def drop_connection_after(self) -> None:
        """Close the kept-alive connection once the answer has ended."""
        self.response.close = True

    def socket_drained(self) -> None:
        """Note that the socket took all that was written."""
        self.pending_bytes = 0
        self.on_drained()

    def socket_closed(self) -> None:
        """Note that the caller has gone."""
        self.closed = True
        self.on_closed()

    def _start(
        self,
        status: int,
        headers: Mapping[str, str],
        content_length: int | None,
    ) -> None:
        if self.closed:
            return
        self.started = True
        response = self.response
        response.status = status
        response.body = iter(())
        for name, text in headers.items():
            response.headers[name] = text
        _set_framing(response, content_length)
        head = b'%s%s' % (bytes(response), bytes(response.headers))
        self.server.fire(write(self.request.sock, head), self.server.channel)

    def _send(self, piece: bytes) -> None:
        if self.closed or not piece:
            return
        if self.response.chunked:
            piece = b'%x\r\n%s\r\n' % (len(piece), piece)
        self.server.fire(write(self.request.sock, piece), self.server.channel)

    def _finish(self) -> None:
        if self.closed:
            return
        sock = self.request.sock
        if self.response.chunked:
            self.server.fire(write(sock, b'0\r\n\r\n'), self.server.channel)
        self.response.done = True
        self.server.forget(sock)
        if self.response.close:
            self.server.fire(close(sock), self.server.channel)

    def _abort(self) -> None:
        if not self.closed:
            self.server.cut(self.request.sock)


class WebServer(BaseComponent):
    """HTTP server that hands each request to a callable as an exchange.

    :param bind: address as ``host:port``; port 0 lets the kernel choose.
    :param serve: called on the loop with each exchange.
    """

    channel = 'web'

    def __init__(
        self,
        bind: str,
        serve: Callable[[Exchange], None],
        *,
        channel: str = 'web',
    ) -> None:
        super().__init__(channel=channel)
        self.serve = serve
        self.exchanges: dict[socket, Exchange] = {}
        self.secure = False
        self.display_banner = False
        host, _, port = bind.rpartition(':')
        self.tcp = DrainingTcpServer((host, int(port)), channel=channel)
        self.tcp.register(self)
        self.http = HTTP(self, channel=channel).register(self)

    @property
    def host(self) -> str:
        """Address the server listens on."""
        return str(self.tcp.host)

    @property
    def port(self) -> int:
        """Port the server listens on."""
        return int(self.tcp.port)

    @property
    def address(self) -> str:
        """Address as ``host:port``."""
        return f'{self.host}:{self.port}'

    def call(self, action: Callable[[], None]) -> None:
        """Run a callable on the loop; may be called from any thread."""
        self.fire(invoke(action), self.channel)

    def forget(self, sock: socket) -> None:
        """Drop the exchange of a socket, so that the next may come."""
        self.exchanges.pop(sock, None)
        self.http._clients.pop(sock, None)  # noqa: SLF001

    def cut(self, sock: socket) -> None:
        """Close a connection at once, dropping what it had not taken."""
        self.tcp._close(sock)  # noqa: SLF001

    @handler('invoke')
    def _on_invoke(self, action: Callable[[], None]) -> None:
        action()

    @handler('request')
    def _on_request(
        self, request: Request, response: Response, *_cert: object
    ) -> bool:
        exchange = Exchange(self, request, response)
        self.exchanges[request.sock] = exchange
        self.serve(exchange)
        return True

    @handler('drained')
    def _on_drained(self, sock: socket) -> None:
        exchange = self.exchanges.get(sock)
        if exchange is not None:
            exchange.socket_drained()

    @handler('disconnect')
    def _on_disconnect(self, sock: socket) -> None:
        exchange = self.exchanges.pop(sock, None)
        self.http._buffers.pop(sock, None)  # noqa: SLF001
        if exchange is not None:
            exchange.socket_closed()


def _set_framing(response: Response, content_length: int | None) -> None:
    if content_length is not None:
        response.headers['Content-Length'] = str(content_length)
    response.prepare()


def _ignore() -> None:
    """Do nothing."""
