"""Callers that check every answer, and keep connections while they last."""

import asyncio
import json
import re
import time
from random import Random
from typing import Any, NamedTuple, final

from bramleylug.soak.checks import Call, Ending, Record
from bramleylug.web.http_client import CALL_ERRORS, HttpClient
from bramleylug.web.client_connection import (
    AnswerHead,
    ClientConnection,
    ClientRequest,
    call,
)

DIRECTORY_FAULTS = (*CALL_ERRORS, ValueError, KeyError)
EVENT = re.compile(r'id: (\d+)\ndata: (\S+) v(\d+)\n\n')
EVENTS = 6
TIMEOUT_S = 6.0
CONNECT_S = 0.5
PAUSE_S = 0.12
RESOLVE_S = 1.0
REFUSALS = frozenset((408, 421, 429, 503))
DENIALS = frozenset((401, 403, 404))
HOST = 'advisor.example'
KEYS = ('key-1', 'key-2')
LEAST_FAILURE = 300
BOOKING_SHARE = 0.3


class Entry(NamedTuple):
    """A relay as callers know it."""

    name: str
    address: str


@final
class Client:
    """Asks for streams and bookings until stopped.

    :param directory: names the relays to use.
    """

    def __init__(
        self,
        number: int,
        directory: 'Directory',
        record: Record,
        seed: int,
    ) -> None:
        self.number = number
        self.directory = directory
        self.record = record
        self.random = Random(seed * 1000 + number)  # noqa: S311
        self.kept: dict[str, ClientConnection] = {}
        self.count = 0

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.sleep(self.random.uniform(0, 2 * PAUSE_S))
            entries = self.directory.entries
            if entries:
                await self._ask(self.random.choice(entries))

    async def _ask(self, entry: Entry) -> None:
        self.count += 1
        booking = self.random.random() < BOOKING_SHARE
        request_id = f's{self.number}-{self.count}'
        key = self.random.choice(KEYS)
        sent_s = time.time()
        ending, fault = Ending.failed, ''
        try:
            async with asyncio.timeout(TIMEOUT_S):
                head, body = await self._send(entry, request_id, key, booking)
        except CALL_ERRORS:
            self._drop(entry)
        else:
            ending, fault = judge(head, body, request_id, booking=booking)
        self.record.calls.append(
            Call(request_id, booking, sent_s, ending, fault, key, entry.name)
        )

    async def _send(
        self, entry: Entry, request_id: str, key: str, booking: bool
    ) -> tuple[AnswerHead, bytes]:
        connection = self.kept.pop(entry.address, None)
        if connection is None or not connection.reusable:
            connection = await ClientConnection.open(
                entry.address, timeout_s=CONNECT_S
            )
        headers = [
            ('Host', HOST),
            ('X-Request-Id', request_id),
            ('X-Request-Deadline', '5000'),
            ('Authorization', f'Bearer {key}'),
        ]
        if not booking:
            headers.append(('X-Model', 'fitting'))
        target = '/book/1' if booking else '/ask/1'
        try:
            answer = await call(
                connection, ClientRequest('POST', target, headers, b'{}')
            )
        except BaseException:
            connection.close()
            raise
        if (
            connection.reusable
            and answer[0].headers.get('connection') != 'close'
        ):
            self.kept[entry.address] = connection
        else:
            connection.close()
        return answer

    def _drop(self, entry: Entry) -> None:
        kept = self.kept.pop(entry.address, None)
        if kept is not None:
            kept.close()


def judge(
    head: AnswerHead, body: bytes, request_id: str, *, booking: bool
) -> tuple[Ending, str]:
    """Return how a request ended, and what is wrong with its answer."""
    if head.status in REFUSALS:
        return Ending.refused, ''
    if head.status in DENIALS:
        return Ending.denied, ''
    if head.status >= LEAST_FAILURE:
        return Ending.failed, ''
    fault = 'no signature'
    if 'x-response-signature' in head.headers:
        check = booking_fault if booking else stream_fault
        fault = check(body.decode(), request_id)
    return Ending.whole, fault


def booking_fault(text: str, request_id: str) -> str:
    """Return what is wrong with the answer to a booking."""
    if json.loads(text).get('id') == request_id:
        return ''
    return f'another booking: {text!r}'


def stream_fault(text: str, request_id: str) -> str:
    """Return what is wrong with a stream that ended as complete."""
    events = EVENT.findall(text)
    if EVENT.sub('', text):
        return f'bytes that are no event: {text!r}'
    if [int(event[0]) for event in events] != list(range(1, EVENTS + 1)):
        return f'events {[event[0] for event in events]}'
    if any(event[1] != request_id for event in events):
        return 'events of another request'
    return ''


@final
class Directory:
    """Asks all relays in turn which of them to use."""

    def __init__(self, relays: dict[str, Any]) -> None:
        self.relays = relays
        self.entries: list[Entry] = []

    async def run(self) -> None:
        """Ask until cancelled."""
        names = {relay['caller']: name for name, relay in self.relays.items()}
        while True:
            for name, relay in tuple(self.relays.items()):
                addresses = await self._ask(relay)
                if addresses:
                    self.entries = [
                        Entry(names[address], address) for address in addresses
                    ]
                    await asyncio.sleep(RESOLVE_S)
            await asyncio.sleep(PAUSE_S)

    async def _ask(self, relay: dict[str, str]) -> list[str]:
        caller = HttpClient(relay['directory'], connect_timeout_s=CONNECT_S)
        target = f'/-/resolve?name={HOST}&region=north&zone=zone-a'
        try:
            answer = await caller.call('GET', target, timeout_s=1.0)
            return list(json.loads(answer.body)['addresses'])
        except DIRECTORY_FAULTS:
            # The next relay is asked.
            return []
        finally:
            caller.close()
