"""HTTP connection to the upstream with a small receive buffer."""

import socket
from http.client import HTTPConnection
from typing import final

from bramleylug.web.response import CheckedResponse

RECEIVE_BUFFER_BYTES = 32768


@final
class BoundedConnection(HTTPConnection):
    """HTTP connection that buffers little of an answer nobody reads.

    The kernel grows a receive buffer to megabytes while its reader pauses,
    and the upstream would go on generating for a caller that stopped
    reading. The size is set before connecting, since the TCP window is
    announced then.
    """

    response_class = CheckedResponse

    def connect(self) -> None:
        """Connect with a bounded receive buffer.

        :raises OSError: when the connection cannot be opened.
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
