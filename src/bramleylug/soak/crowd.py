"""Very many connections at one relay: idle, half-written and reset."""

import asyncio
from contextlib import suppress
from socket import SO_LINGER, SOL_SOCKET, socket

from bramleylug.cluster.descriptors import allow_descriptors
from bramleylug.soak.deployment import Deployment
from bramleylug.web.http_client import CALL_ERRORS, HttpClient
from bramleylug.web.sockets import RESET_ON_CLOSE

# More than select(2) takes, and fewer than a relay promises.
CROWD_CONNECTIONS = 1200
# This process holds one end of each, those of two overlapping faults at most.
NEEDED_DESCRIPTORS = 4096
STEP_CONNECTIONS = 40
STEP_PAUSE_S = 0.02
HALF_A_HEAD = b'POST /book/1 HTTP/1.1\r\nHost: advisor'
PAGE_TIMEOUT_S = 2.0
# Every third connection is of one of the kinds: idle, half-written, reset.
KINDS = 3


async def crowd_relay(
    deployment: Deployment, name: str, for_s: float
) -> list[str]:
    """Hold many connections at a relay; return pages that did not answer.

    A relay that restarts meanwhile loses them.
    """
    allow_descriptors(NEEDED_DESCRIPTORS)
    relay = deployment.relays[name]
    sockets: list[socket] = []
    try:
        await _connect_all(relay['caller'], sockets)
        await asyncio.sleep(for_s)
        return [
            page
            for page in ('ready', 'directory')
            if not await _answers(relay[page])
        ]
    finally:
        for sock in sockets:
            sock.close()


async def _connect_all(address: str, sockets: list[socket]) -> None:
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    for number in range(CROWD_CONNECTIONS):
        sock = socket()
        sock.setblocking(False)
        sockets.append(sock)
        with suppress(OSError):
            async with asyncio.timeout(PAGE_TIMEOUT_S):
                await loop.sock_connect(sock, (host, int(port)))
                await _begin(sock, number % KINDS)
        if number % STEP_CONNECTIONS == 0:
            await asyncio.sleep(STEP_PAUSE_S)


async def _begin(sock: socket, kind: int) -> None:
    """Leave a connection idle, send half a request, or reset it."""
    if kind:
        await asyncio.get_running_loop().sock_sendall(sock, HALF_A_HEAD)
    if kind == KINDS - 1:
        sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
        sock.close()


async def _answers(address: str) -> bool:
    """Return whether a page answers a new connection."""
    client = HttpClient(address, connect_timeout_s=PAGE_TIMEOUT_S)
    try:
        await client.call('GET', '/', timeout_s=PAGE_TIMEOUT_S)
    except CALL_ERRORS:
        return False
    finally:
        client.close()
    return True
