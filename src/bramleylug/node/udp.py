"""UDP server that survives errors of single datagrams."""

from contextlib import suppress
from typing import final

from circuits.net.events import read
from circuits.net.sockets import UDPServer

from bramleylug.web.poller import PolledServer

BUFFER_BYTES = 4096
PORT_LIMIT = 65536


@final
class DatagramServer(PolledServer, UDPServer):
    """UDP server that drops a datagram where circuits would close the socket.

    An unreachable network or a full buffer makes a single call fail; closing
    the socket because of it would disconnect this process from its peers for
    good.
    """

    def _read(self) -> None:
        with suppress(OSError):
            datagram, address = self._sock.recvfrom(BUFFER_BYTES)
            self.fire(read(address, datagram))

    def _write(self, address: tuple[str, int], datagram: bytes) -> None:
        with suppress(OSError):
            self._sock.sendto(datagram, address)


def parse_address(text: str) -> tuple[str, int] | None:
    """Return host and port, or ``None`` when the text is no address."""
    host, _, port = text.rpartition(':')
    if host and port.isdecimal() and int(port) < PORT_LIMIT:
        return host, int(port)
    return None
