"""Fake upstream that answers every connection with the same bytes."""

import re
import socket
from threading import Thread
from typing import final

HEAD = b'HTTP/1.1 200 OK\r\n'
LENGTH = re.compile(rb'Content-Length: (\d+)', re.IGNORECASE)


@final
class CannedUpstream:
    """Reads one request per connection, sends the answer and closes.

    :param answer: bytes that are sent; empty closes without an answer.
    :ivar received: bytes of the last request.
    :ivar connections: number of connections accepted.
    """

    def __init__(self, answer: bytes) -> None:
        self.answer = answer
        self.received = b''
        self.connections = 0
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = '127.0.0.1:%d' % self.listener.getsockname()[1]
        self.thread = Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self) -> None:
        while True:
            try:
                connection = self.listener.accept()[0]
            except OSError:
                return
            self.connections += 1
            with connection:
                self.received = receive_request(connection)
                connection.sendall(self.answer)

    def close(self) -> None:
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.thread.join()


def receive_request(connection: socket.socket) -> bytes:
    """Return a whole request: a close before its end would be a reset."""
    raw = b''
    while not _is_whole(raw):
        piece = connection.recv(65536)
        if not piece:
            break
        raw += piece
    return raw


def _is_whole(raw: bytes) -> bool:
    head, end, body = raw.partition(b'\r\n\r\n')
    length = LENGTH.search(head)
    length_bytes = 0 if length is None else int(length[1])
    return bool(end) and len(body) >= length_bytes
