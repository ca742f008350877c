"""Clients that keep connections idle for as long as they may."""

import asyncio
import socket
import time
from random import Random
from typing import final

import h11

from bramleylug.soak.clients import (
    HOST,
    REQUEST_TIMEOUT_S,
    Directory,
    RelayAddress,
    classify_answer,
)
from bramleylug.soak.deployment import KEYS
from bramleylug.soak.observations import (
    Observations,
    RequestRecord,
    Unanswered,
)
from bramleylug.soak.traffic import Traffic
from bramleylug.web.client_connection import AnswerHead

READ_BYTES = 65536
MIN_IDLE_S = 0.2
RETRY_S = 0.3
# Time after which a reset by a relay that did not read has arrived.
RESET_S = 0.1


@final
class NoAnswer(Exception):
    """The connection ended regularly before the answer began."""


@final
class IdleClient:
    """Books on one connection at a time, with long pauses, until cancelled.

    When a relay closes that connection in a pause without a word, the next
    request is sent at once, as one that was on its way when the relay closed:
    a relay that reads it owes an answer.
    """

    def __init__(
        self,
        number: int,
        directory: Directory,
        observations: Observations,
        traffic: Traffic,
        seed: int,
    ) -> None:
        self.number = number
        self.directory = directory
        self.observations = observations
        self.traffic = traffic
        self.random = Random(-seed * 1000 - number)  # noqa: S311
        self.count = 0

    async def run(self) -> None:
        while True:
            await asyncio.sleep(self.random.uniform(0, RETRY_S))
            addresses = self.directory.addresses
            if addresses:
                await self._use_connection(self.random.choice(addresses))

    async def _use_connection(self, relay: RelayAddress) -> None:
        """Send requests on a new connection until it cannot be reused."""
        host, _, port = relay.address.rpartition(':')
        with socket.socket() as sock:
            sock.setblocking(False)
            try:
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    await _loop().sock_connect(sock, (host, int(port)))
            except OSError:
                return
            reusable = True
            while reusable:
                reusable = await self._request(sock, relay)
                if reusable:
                    reusable = await self._pause(sock)

    async def _request(self, sock: socket.socket, relay: RelayAddress) -> bool:
        """Book once; return whether the connection may be reused."""
        self.count += 1
        request_id = f'i{self.number}-{self.count}'
        key = self.random.choice(KEYS)
        connection = h11.Connection(h11.CLIENT)
        sent_s = time.time()
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await _send(sock, connection, request_id, key)
                head, body = await _receive(sock, connection)
        except NoAnswer:
            await self._record_unanswered(sock, request_id, sent_s, relay)
            return False
        except (OSError, h11.RemoteProtocolError):
            # A relay that resets the connection has not read the request, or
            # was killed.
            return False
        outcome, error = classify_answer(head, body, request_id, booking=True)
        self.observations.requests.append(
            RequestRecord(
                request_id,
                True,
                sent_s,
                outcome,
                error,
                key,
                relay.name,
                time.time(),
            )
        )
        return connection.our_state is not h11.MUST_CLOSE

    async def _pause(self, sock: socket.socket) -> bool:
        """Stay idle; return whether the next request may be sent."""
        longest_s = self.traffic.longest_idle_s(time.time())
        idle_s = self.random.uniform(MIN_IDLE_S, longest_s)
        try:
            async with asyncio.timeout(idle_s):
                notice = await _loop().sock_recv(sock, READ_BYTES)
        except TimeoutError:
            return True
        except OSError:
            return False
        # A notice answers a request that is on its way.
        return not notice

    async def _record_unanswered(
        self,
        sock: socket.socket,
        request_id: str,
        sent_s: float,
        relay: RelayAddress,
    ) -> None:
        await asyncio.sleep(RESET_S)
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            # A reset: the relay had closed its socket and read nothing.
            return
        self.observations.unanswered.append(
            Unanswered(request_id, sent_s, relay.name)
        )


async def _send(
    sock: socket.socket, connection: h11.Connection, request_id: str, key: str
) -> None:
    headers = [
        ('Host', HOST),
        ('X-Request-Id', request_id),
        ('X-Request-Deadline', '5000'),
        ('Authorization', f'Bearer {key}'),
        ('Content-Length', '2'),
    ]
    raw = [
        connection.send(
            h11.Request(method='POST', target='/book/1', headers=headers)
        ),
        connection.send(h11.Data(data=b'{}')),
        connection.send(h11.EndOfMessage()),
    ]
    await _loop().sock_sendall(sock, b''.join(part for part in raw if part))


async def _receive(
    sock: socket.socket, connection: h11.Connection
) -> tuple[AnswerHead, bytes]:
    """Return the head and body of an answer.

    :raises NoAnswer: when the connection ends regularly before the answer.
    :raises h11.RemoteProtocolError: when it ends inside the answer.
    """
    event = connection.next_event()
    while event is h11.NEED_DATA:
        raw = await _loop().sock_recv(sock, READ_BYTES)
        if not raw:
            raise NoAnswer
        connection.receive_data(raw)
        event = connection.next_event()
    if not isinstance(event, h11.Response):
        raise NoAnswer
    headers = {name.decode(): text.decode() for name, text in event.headers}
    head = AnswerHead(event.status_code, headers, ())
    pieces = []
    while not isinstance(event, h11.EndOfMessage):
        event = connection.next_event()
        match event:
            case h11.Data():
                pieces.append(bytes(event.data))
            case h11.NEED_DATA:
                raw = await _loop().sock_recv(sock, READ_BYTES)
                connection.receive_data(raw)
    return head, b''.join(pieces)


def _loop() -> asyncio.AbstractEventLoop:
    return asyncio.get_running_loop()
