"""HTTP client that reuses connections and limits the time of each call."""

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import NamedTuple, final

from bramleylug.web.client_connection import (
    AnswerHead,
    AnswerTooLarge,
    ClientConnection,
    ClientRequest,
    ConnectionBroken,
    MalformedAnswer,
    read_body,
)

# Largest answer that is read into memory; listings of the platform's store are
# the largest, with about 1 MB of Base64 text a page.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Addresses to which idle connections are kept; those of the longest unused
# ones are closed.
MAX_IDLE_ADDRESSES = 32
CALL_ERRORS = (OSError, ConnectionBroken, MalformedAnswer, TimeoutError)


class AnswerOverdue(TimeoutError):
    """The answer was still arriving when the longest time of the call ended."""


@final
class CallAnswer(NamedTuple):
    """A complete answer.

    :ivar first_byte_after_s: seconds from sending the request to the head of
        the answer; a large body can take much longer to end.
    :ivar headers: values by lower-case name.
    """

    status: int
    body: bytes
    first_byte_after_s: float
    headers: Mapping[str, str]


@final
class CallProgress:
    """Moves the time limit of a call while its answer arrives.

    :param timeout_s: longest time without input.
    :param limit_s: longest time of the call; ``None`` if input does not move
        the time limit.
    """

    def __init__(
        self,
        timeout: asyncio.Timeout,
        timeout_s: float,
        limit_s: float | None,
        on_input: Callable[[], None],
    ) -> None:
        self.timeout = timeout
        self.timeout_s = timeout_s
        self.on_input = on_input
        self.loop = asyncio.get_running_loop()
        self.latest_s: float | None = None
        if limit_s is not None:
            self.latest_s = self.loop.time() + limit_s

    @property
    def is_limited(self) -> bool:
        """Whether input has moved the time limit to its latest value."""
        return self.timeout.when() == self.latest_s

    def record_input(self) -> None:
        """Record that bytes of the answer have arrived."""
        self.on_input()
        if self.latest_s is None or self.timeout.expired():
            return
        self.timeout.reschedule(
            min(self.latest_s, self.loop.time() + self.timeout_s)
        )


@final
class HttpClient:
    """Calls one address; each call has a time limit.

    A connection on which a call failed is never reused: a late answer on it
    would be read as the answer to the next call.

    :param max_idle_s: how long an idle connection is kept; ``None`` for as
        long as the peer does.
    :ivar running: calls that have not ended.
    """

    def __init__(
        self,
        address: str,
        *,
        connect_timeout_s: float,
        max_idle_s: float | None = None,
    ) -> None:
        self.address = address
        self.connect_timeout_s = connect_timeout_s
        self.max_idle_s = max_idle_s
        self.idle: list[ClientConnection] = []
        self.running = 0

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        *,
        timeout_s: float,
        limit_s: float | None = None,
        on_input: Callable[[], None] | None = None,
    ) -> CallAnswer:
        """Send a request once and return its answer.

        :param timeout_s: longest time of the call; with a limit, the longest
            time without input.
        :param limit_s: longest time of a call whose answer is arriving.
        :param on_input: called when bytes of the answer have arrived.
        :raises AnswerOverdue: when the answer took longer than the limit.
        :raises OSError: when the request could not be sent or its answer was
            lost; :data:`CALL_ERRORS` lists everything that is raised.
        """
        self.running += 1
        progress: CallProgress | None = None
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                progress = CallProgress(
                    timeout, timeout_s, limit_s, on_input or _ignore
                )
                return await self._call(
                    method, target, body, progress.record_input
                )
        except TimeoutError as error:
            if progress is not None and progress.is_limited:
                raise AnswerOverdue(f'answer took over {limit_s} s') from error
            raise
        finally:
            self.running -= 1

    def close(self) -> None:
        while self.idle:
            self.idle.pop().close()

    def close_idle(self, connection: ClientConnection, answered: int) -> None:
        """Close a connection unless it has been used since."""
        if connection in self.idle and connection.answered_count == answered:
            self.idle.remove(connection)
            connection.close()

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        on_input: Callable[[], None],
    ) -> CallAnswer:
        connection = await self._connect()
        connection.on_input = on_input
        headers = [('Host', self.address)]
        if body:
            headers.append(('Content-Type', 'application/json'))
        request = ClientRequest(method, target, headers, body)
        try:
            head, answer = await _exchange(connection, request)
        except BaseException:
            connection.close()
            raise
        if connection.reusable and head.headers.get('connection') != 'close':
            self._keep(connection)
        else:
            connection.close()
        return answer

    def _keep(self, connection: ClientConnection) -> None:
        self.idle.append(connection)
        if self.max_idle_s is not None:
            asyncio.get_running_loop().call_later(
                self.max_idle_s,
                self.close_idle,
                connection,
                connection.answered_count,
            )

    async def _connect(self) -> ClientConnection:
        while self.idle:
            connection = self.idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        return await ClientConnection.open(
            self.address, timeout_s=self.connect_timeout_s
        )


@final
class HttpClients:
    """One :class:`HttpClient` per address, created on first use.

    :param max_idle_addresses: addresses to which idle connections are kept;
        more in turn need a new connection for each call.
    :param max_idle_s: as of :class:`HttpClient`.
    :ivar by_address: the longest unused one first.
    """

    def __init__(
        self,
        *,
        connect_timeout_s: float,
        max_idle_addresses: int = MAX_IDLE_ADDRESSES,
        max_idle_s: float | None = None,
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.max_idle_s = max_idle_s
        self.max_idle_addresses = max_idle_addresses
        self.by_address: dict[str, HttpClient] = {}

    async def get(
        self,
        address: str,
        target: str,
        *,
        timeout_s: float,
        limit_s: float | None = None,
        on_input: Callable[[], None] | None = None,
    ) -> CallAnswer:
        """Send a GET request to an address.

        :param limit_s: as of :meth:`HttpClient.call`.
        :param on_input: as of :meth:`HttpClient.call`.
        :raises OSError: as :meth:`HttpClient.call`.
        """
        client = self.by_address.pop(address, None) or HttpClient(
            address,
            connect_timeout_s=self.connect_timeout_s,
            max_idle_s=self.max_idle_s,
        )
        self.by_address[address] = client
        self._close_unused()
        return await client.call(
            'GET',
            target,
            timeout_s=timeout_s,
            limit_s=limit_s,
            on_input=on_input,
        )

    def _close_unused(self) -> None:
        excess = len(self.by_address) - self.max_idle_addresses
        for address, client in tuple(self.by_address.items())[: max(0, excess)]:
            if not client.running:
                client.close()
                self.by_address.pop(address)


def _ignore() -> None:
    """Do nothing."""


async def _exchange(
    connection: ClientConnection, request: ClientRequest
) -> tuple[AnswerHead, CallAnswer]:
    connection.send(request)
    sent_s = time.monotonic()
    head = await connection.read_head()
    first_byte_after_s = time.monotonic() - sent_s
    _check_length(head)
    body = await read_body(connection, MAX_ANSWER_BYTES)
    answer = CallAnswer(head.status, body, first_byte_after_s, head.headers)
    return head, answer


def _check_length(head: AnswerHead) -> None:
    """Reject an answer that says it is too large, before it arrives.

    :raises AnswerTooLarge: when its body is larger than is read.
    """
    length_bytes = int(head.headers.get('content-length', 0))
    if length_bytes > MAX_ANSWER_BYTES:
        raise AnswerTooLarge(
            f'body has {length_bytes} bytes, more than {MAX_ANSWER_BYTES}'
        )
