"""Simulated agents, and a real dispatcher of an entry that calls them."""

import asyncio
from collections import Counter
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import grpc
from grpc.aio import AioRpcError, Metadata

from bramleylug.entry.dispatch import Dispatcher
from bramleylug.entry.reservations import Reservation
from bramleylug.settings.daemons import EntrySettings
from bramleylug.web.exchange import Exchange
from bramleylug.wire.membership_pb2 import Member, ServiceState
from bramleylug.wire.requests_pb2 import (
    Break,
    End,
    Head,
    Refusal,
    Reply,
    Request,
)
from testing.builders import build_document, build_member, build_spec
from testing.web.ports import FakeSocket, PortHarness

MODEL = 'seat-fitting'
BOOKINGS = 'bookings'
CONNECTION_LOST = 'lost'


def answer_parts(request: Request) -> list[Any]:
    """Return the replies of a complete answer that contains its request id."""
    body = request.request_id.encode()
    return [
        Reply(head=Head(status=200, content_length=len(body))),
        Reply(piece=body),
        Reply(end=End(body_bytes=len(body))),
    ]


class ModelAgent:
    """A simulated agent with a selectable behaviour; counts runs.

    :ivar behaviour: one of :data:`BEHAVIOURS`.
    :ivar requests: every request that reached it.
    :ivar timeouts: timeout of the call of each of them.
    """

    def __init__(self, name: str, runs: Counter[str]) -> None:
        self.name = name
        self.runs = runs
        self.behaviour = 'serve'
        self.requests: list[Request] = []
        self.timeouts: list[float] = []
        self.active_calls = 0
        self.stub = self

    async def connect(self) -> bool:
        """Return whether the agent is reachable."""
        return self.behaviour != 'unreachable'

    def Dispatch(  # noqa: N802
        self, request: Request, timeout: float
    ) -> 'ModelCall':
        """Handle a request according to the behaviour."""
        copy = Request()
        copy.CopyFrom(request)
        self.requests.append(copy)
        self.timeouts.append(timeout)
        refused = self.behaviour == 'refuse'
        if not refused and self.behaviour != 'lose before':
            self.runs[request.request_id] += 1
        return ModelCall(self.parts(copy))

    def parts(self, request: Request) -> list[Any]:
        complete = answer_parts(request)
        return {
            'serve': complete,
            'refuse': [Reply(refusal=Refusal(reason='overloaded'))],
            'lose before': [CONNECTION_LOST],
            'lose': [CONNECTION_LOST],
            'cut': [*complete[:2], CONNECTION_LOST],
            'short': [complete[0], complete[2]],
            'long': [*complete[:2], *complete[1:]],
            'twice': [complete[0], *complete],
            'silent end': complete[:2],
            'crash': [Reply(broken=Break(reason='upstream_crashed'))],
            'broken': [complete[0], Reply(broken=Break(reason='answer_cut'))],
        }[self.behaviour]


BEHAVIOURS = (
    'serve',
    'refuse',
    'unreachable',
    'lose before',
    'lose',
    'cut',
    'short',
    'long',
    'twice',
    'silent end',
    'broken',
    'crash',
)


class ModelCall:
    """A call that returns one reply for each read."""

    def __init__(self, parts: list[Any]) -> None:
        self.parts: Iterator[Any] = iter(parts)
        self.cancelled = asyncio.Event()

    async def read(self) -> Any:
        """Return the next reply, or fail where the connection is lost."""
        part = next(self.parts, None)
        if part == CONNECTION_LOST:
            code = grpc.StatusCode.UNAVAILABLE
            raise AioRpcError(code, Metadata(), Metadata(), 'lost')
        return part

    def cancel(self) -> None:
        self.cancelled.set()


class ModelEntry:
    """A dispatcher with simulated agents and a fake HTTP port."""

    def __init__(self, zones: tuple[str, ...]) -> None:
        self.runs: Counter[str] = Counter()
        self.now_s = 100.0
        self.agents = {
            f'agent-{number}': ModelAgent(f'agent-{number}', self.runs)
            for number in range(len(zones))
        }
        self.node = SimpleNamespace(
            members=tuple(
                build_agent(name, zone)
                for name, zone in zip(self.agents, zones, strict=True)
            ),
            holder=SimpleNamespace(document=build_services()),
            keyring=None,
        )
        settings = EntrySettings(
            name='entry-1', zone='zone-a', region='region-1', store='s:1'
        )
        self.dispatcher: Any = Dispatcher(
            settings, self.node, lambda: self.now_s
        )
        self.dispatcher.channels.get = self.get_channel
        self.port = PortHarness()

    def get_channel(self, address: str) -> ModelAgent:
        return self.agents[address.removesuffix(':2')]

    def send(
        self,
        service: str,
        request_id: str,
        headers: dict[str, str] | None = None,
    ) -> bytes:
        """Send a request and return all bytes of its answer."""
        sock, exchange = self.accept(service, request_id, headers or {})
        asyncio.run(self.serve(exchange))
        return sock.sent

    def accept(
        self, service: str, request_id: str, headers: dict[str, str]
    ) -> tuple[FakeSocket, Exchange]:
        """Receive a request at the port and return its exchange."""
        sock = self.port.connect()
        lines = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
        self.port.receive(
            sock,
            f'POST /v1/services/{service}/x HTTP/1.1\r\nHost: x\r\n'
            f'X-Request-Id: {request_id}\r\n{lines}\r\n'.encode(),
        )
        return sock, self.port.served[-1]

    async def serve(self, exchange: Exchange) -> None:
        await self.dispatcher.serve(
            exchange, Reservation(self.port.ledger, 0, 1)
        )


def build_agent(name: str, zone: str) -> Member:
    """Return an agent that is ready for both services."""
    states = [
        ServiceState(service=service, ready=True, limit=4)
        for service in (MODEL, BOOKINGS)
    ]
    return build_member(name, zone=zone, services=states)


def build_services(**fields: Any) -> Any:
    """Return a document with a model and a non-idempotent service."""
    return build_document(
        build_spec(MODEL), build_spec(BOOKINGS, idempotent=False), **fields
    )
