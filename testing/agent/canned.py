"""An upstream that answers every connection with given bytes."""

import socket
from threading import Thread
from typing import final

HEAD = b'HTTP/1.1 200 OK\r\n'


@final
class CannedUpstream:
    """Reads one request a connection, sends the bytes and closes.

    :param answer: what is sent; empty resets without an answer.
    :ivar connections: how many were accepted.
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
        """Serve until closed."""
        while True:
            try:
                connection = self.listener.accept()[0]
            except OSError:
                return
            self.connections += 1
            with connection:
                self.received = connection.recv(65536)
                connection.sendall(self.answer)

    def close(self) -> None:
        """Stop listening."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.thread.join()
