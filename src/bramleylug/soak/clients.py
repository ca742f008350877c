"""Clients that reuse connections and validate every answer."""

import asyncio
import json
import re
import time
from random import Random
from typing import Any, NamedTuple, final

from bramleylug.soak.deployment import HARMFUL_PART, KEYS
from bramleylug.soak.observations import Observations, Outcome, RequestRecord
from bramleylug.soak.traffic import Traffic
from bramleylug.web.client_connection import (
    AnswerHead,
    ClientConnection,
    ClientRequest,
    call,
)
from bramleylug.web.http_client import CALL_ERRORS, HttpClient

DIRECTORY_ERRORS = (*CALL_ERRORS, ValueError, KeyError)
EVENT = re.compile(r'id: (\d+)\ndata: (\S+) v(\d+)\n\n')
EVENT_COUNT = 6
REQUEST_TIMEOUT_S = 6.0
# Clients leave a stream after this time while the host of an engine is paused.
PATIENCE_S = 2.0
CONNECT_TIMEOUT_S = 0.5
MEAN_PAUSE_S = 0.12
CLIENT_COUNT = 12
# More clients that send only while hosts of engines are paused.
EXTRA_CLIENT_COUNT = 24
RESOLVE_INTERVAL_S = 1.0
REFUSED_STATUSES = frozenset((408, 421, 429, 503))
DENIED_STATUSES = frozenset((401, 403, 404))
HOST = 'advisor.example'
MIN_ERROR_STATUS = 300
BOOKING_SHARE = 0.3
# Number of clients whose streams are harmful during a fault of that kind.
HARMFUL_CLIENTS = 3
# Number of second parts that the prompts of sound streams are chosen from.
SECOND_PARTS = 8


class RelayAddress(NamedTuple):
    """A relay, and the address that the directory returned for it."""

    name: str
    address: str


@final
class Client:
    """Sends streams and bookings to random relays until cancelled.

    :param directory: source of the relay addresses.
    :ivar idle_connections: open connections by relay address.
    """

    def __init__(
        self,
        number: int,
        directory: 'Directory',
        observations: Observations,
        traffic: Traffic,
        seed: int,
    ) -> None:
        self.number = number
        self.directory = directory
        self.observations = observations
        self.traffic = traffic
        self.random = Random(seed * 1000 + number)  # noqa: S311
        self.idle_connections: dict[str, ClientConnection] = {}
        self.count = 0

    @property
    def sends(self) -> bool:
        """Whether it sends requests now."""
        return self.number < CLIENT_COUNT or self.traffic.host_pauses > 0

    async def run(self) -> None:
        while True:
            await asyncio.sleep(self.random.uniform(0, 2 * MEAN_PAUSE_S))
            addresses = self.directory.addresses
            if addresses and self.sends:
                await self._request(self.random.choice(addresses))

    async def _request(self, relay: RelayAddress) -> None:
        self.count += 1
        booking = self.random.random() < BOOKING_SHARE
        request_id = f's{self.number}-{self.count}'
        harmful = (
            not booking
            and self.number < HARMFUL_CLIENTS
            and self.traffic.harmful_faults > 0
        )
        key = self.random.choice(KEYS)
        request = self._build(request_id, key, booking, harmful)
        sent_s = time.time()
        outcome, error = await self._call(relay, request, request_id, booking)
        self.observations.requests.append(
            RequestRecord(
                request_id,
                booking,
                sent_s,
                outcome,
                error,
                key,
                relay.name,
                time.time(),
                harmful,
            )
        )

    async def _call(
        self,
        relay: RelayAddress,
        request: ClientRequest,
        request_id: str,
        booking: bool,
    ) -> tuple[Outcome, str]:
        """Return how a request ends, and the error in a complete answer."""
        leaves = not booking and self.traffic.host_pauses > 0
        patience = asyncio.timeout(PATIENCE_S if leaves else REQUEST_TIMEOUT_S)
        try:
            async with patience:
                head, body = await self._send(relay, request)
        except CALL_ERRORS:
            has_left = leaves and patience.expired()
            return Outcome.left if has_left else Outcome.failed, ''
        return classify_answer(head, body, request_id, booking=booking)

    def _build(
        self, request_id: str, key: str, booking: bool, harmful: bool
    ) -> ClientRequest:
        headers = [
            ('Host', HOST),
            ('X-Request-Id', request_id),
            ('X-Request-Deadline', '5000'),
            ('Authorization', f'Bearer {key}'),
        ]
        if booking:
            return ClientRequest('POST', '/book/1', headers, b'{}')
        part = f'sound-{self.count % SECOND_PARTS}'
        if harmful:
            part = HARMFUL_PART
        headers.append(('X-Model', 'fitting'))
        headers.append(
            ('X-Prompt-Prefix', f'shared:800,{part}:400,{request_id}:60')
        )
        # Requests that share a harmful part differ in their bodies.
        body = json.dumps({'id': request_id}).encode() if harmful else b'{}'
        return ClientRequest('POST', '/ask/1', headers, body)

    async def _send(
        self, relay: RelayAddress, request: ClientRequest
    ) -> tuple[AnswerHead, bytes]:
        connection = self.idle_connections.pop(relay.address, None)
        if connection is None or not connection.reusable:
            connection = await ClientConnection.open(
                relay.address, timeout_s=CONNECT_TIMEOUT_S
            )
        try:
            answer = await call(connection, request)
        except BaseException:
            connection.close()
            raise
        if (
            connection.reusable
            and answer[0].headers.get('connection') != 'close'
        ):
            self.idle_connections[relay.address] = connection
        else:
            connection.close()
        return answer


def classify_answer(
    head: AnswerHead, body: bytes, request_id: str, *, booking: bool
) -> tuple[Outcome, str]:
    """Return the outcome of a request, and the error in a complete answer."""
    if head.status in REFUSED_STATUSES:
        return Outcome.refused, ''
    if head.status in DENIED_STATUSES:
        return Outcome.denied, ''
    if head.status >= MIN_ERROR_STATUS:
        return Outcome.failed, ''
    error = 'no signature'
    if 'x-response-signature' in head.headers:
        check = booking_error if booking else stream_error
        error = check(body.decode(), request_id)
    return Outcome.complete, error


def booking_error(text: str, request_id: str) -> str:
    """Return what is wrong with the answer to a booking; empty if valid."""
    try:
        document = json.loads(text)
    except ValueError:
        return f'incomplete answer: {text!r}'
    if document.get('id') == request_id:
        return ''
    return f'answer of another booking: {text!r}'


def stream_error(text: str, request_id: str) -> str:
    """Return what is wrong with a complete stream; empty if valid."""
    events = EVENT.findall(text)
    if EVENT.sub('', text):
        return f'bytes outside of events: {text!r}'
    if [int(event[0]) for event in events] != list(range(1, EVENT_COUNT + 1)):
        return f'events {[event[0] for event in events]}'
    if any(event[1] != request_id for event in events):
        return 'events of another request'
    return ''


@final
class Directory:
    """Polls the relays in turn for the addresses that clients should use."""

    def __init__(self, relays: dict[str, Any]) -> None:
        self.relays = relays
        self.addresses: list[RelayAddress] = []

    async def run(self) -> None:
        names = {relay['caller']: name for name, relay in self.relays.items()}
        while True:
            for name, relay in tuple(self.relays.items()):
                addresses = await self._resolve(relay)
                if addresses:
                    self.addresses = [
                        RelayAddress(names[address], address)
                        for address in addresses
                    ]
                    await asyncio.sleep(RESOLVE_INTERVAL_S)
            await asyncio.sleep(MEAN_PAUSE_S)

    async def _resolve(self, relay: dict[str, str]) -> list[str]:
        client = HttpClient(
            relay['directory'], connect_timeout_s=CONNECT_TIMEOUT_S
        )
        target = f'/-/resolve?name={HOST}&region=north&zone=zone-a'
        try:
            answer = await client.call('GET', target, timeout_s=1.0)
            return list(json.loads(answer.body)['addresses'])
        except DIRECTORY_ERRORS:
            # The caller goes on with the next relay.
            return []
        finally:
            client.close()
