"""UDP socket that outlives errors of single datagrams."""

from contextlib import suppress
from typing import final

from circuits.net.events import read
from circuits.net.sockets import UDPServer

BUFFER_BYTES = 4096


@final
class DatagramServer(UDPServer):
    """UDP server that drops a datagram where circuits would close.

    An unreachable network or a full buffer makes one call fail; closing the
    socket for it would cut this instance off from its peers for good.
    """

    def _read(self) -> None:
        with suppress(OSError):
            datagram, address = self._sock.recvfrom(BUFFER_BYTES)
            self.fire(read(address, datagram))

    def _write(self, address: tuple[str, int], datagram: bytes) -> None:
        with suppress(OSError):
            self._sock.sendto(datagram, address)
