"""UDP socket on an asyncio loop that is read in batches."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any, final

from bramleylug.node.ticks import until_tick_s

DATAGRAM_BYTES = 65536
# After some datagrams were read, further ones are collected, usually for this
# time: a turn of the loop costs as much as reading several of them.
BATCH_S = 0.05
# While datagrams arrive that are waited for, each one is read at once.
URGENT_S = 1.0
# Datagrams that are read in one turn, so that connections get theirs.
MAX_BATCH = 64


def batch_s() -> float:
    """Return the usual time for which datagrams are collected."""
    return BATCH_S


@final
class DatagramPort:
    """Sends datagrams at once and reads them in batches.

    :param sock: bound, non-blocking socket.
    :param receive: called with each datagram and its sender; returns whether
        the next ones may be waited for.
    :param collect_s: returns for how long further datagrams are collected; 0
        to read each at once.
    """

    def __init__(
        self,
        sock: socket.socket,
        receive: Callable[[bytes, Any], bool],
        collect_s: Callable[[], float] = batch_s,
    ) -> None:
        self.sock = sock
        self.receive = receive
        self.collect_s = collect_s
        self.loop = asyncio.get_running_loop()
        self.urgent_until_s = float('-inf')
        self.timer: asyncio.TimerHandle | None = None
        self.loop.add_reader(sock, self._read_first)

    @classmethod
    def open(
        cls,
        address: tuple[str, int],
        receive: Callable[[bytes, Any], bool],
        collect_s: Callable[[], float] = batch_s,
    ) -> 'DatagramPort':
        """Bind to host and port.

        :raises OSError: if the port cannot be bound.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)  # noqa: FBT003
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        return cls(sock, receive, collect_s)

    @property
    def address(self) -> str:
        """Address that it is bound to, as ``host:port``."""
        host, port = self.sock.getsockname()
        return f'{host}:{port}'

    @property
    def closed(self) -> bool:
        return self.sock.fileno() < 0

    def sendto(self, raw: bytes, target: tuple[str, int]) -> None:
        """Send a datagram.

        :raises OSError: if it cannot be sent now.
        """
        self.sock.sendto(raw, target)

    def read(self) -> None:
        """Read what has arrived and would be collected for longer."""
        if not self.closed:
            self._read_batch()

    def close(self) -> None:
        """Stop receiving."""
        if self.closed:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.loop.remove_reader(self.sock)
        self.sock.close()

    def _read_first(self) -> None:
        count = self._read_batch()
        if self.closed or self._is_urgent() or count == MAX_BATCH:
            return
        self.loop.remove_reader(self.sock)
        self._collect()

    def _collect(self) -> None:
        delay_s = until_tick_s(self.loop, self.collect_s() or BATCH_S)
        self.timer = self.loop.call_later(delay_s, self._read_collected)

    def _read_collected(self) -> None:
        # The timer comes first: what a receiver raises must not end reading.
        self._collect()
        if 0 < self._read_batch() < MAX_BATCH and not self._is_urgent():
            return
        if self.timer is not None:
            self.timer.cancel()
        if not self.closed:
            self.loop.add_reader(self.sock, self._read_first)

    def _is_urgent(self) -> bool:
        return not self.collect_s() or self.loop.time() < self.urgent_until_s

    def _read_batch(self) -> int:
        """Read what has arrived; return how many datagrams that were.

        After :data:`MAX_BATCH`, others wait for the next turn.
        """
        for number in range(MAX_BATCH):
            try:
                raw, sender = self.sock.recvfrom(DATAGRAM_BYTES)
            except BlockingIOError:
                return number
            except OSError:
                # An earlier datagram of this process could not be delivered.
                continue
            if self.receive(raw, sender):
                self.urgent_until_s = self.loop.time() + URGENT_S
        return MAX_BATCH
