"""Connection to the upstream whose kernel buffer is bounded."""

import socket
from http.client import HTTPConnection
from typing import final

RECEIVE_BUFFER_BYTES = 32768


@final
class BoundedConnection(HTTPConnection):
    """HTTP connection that holds little of an answer nobody reads.

    The kernel grows a receive buffer to megabytes while its reader pauses;
    the upstream would go on generating for a caller that has stopped. The
    size is set before connecting, since it is announced to the peer then.
    """

    def connect(self) -> None:
        """Connect with a bounded receive buffer.

        :raises OSError: when there is no connection.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(self.timeout)
            sock.connect((self.host, self.port))
        except OSError:
            sock.close()
            raise
        self.sock = sock
