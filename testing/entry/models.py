"""Models of agents, and an entry's dispatcher that talks to them."""

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
from testing.web.ports import FakeSocket, PortBench

MODEL = 'seat-fitting'
BOOKINGS = 'bookings'
LOST = 'lost'


def answer_parts(request: Request) -> list[Any]:
    """Return the replies of a whole answer that names its request."""
    body = request.request_id.encode()
    return [
        Reply(head=Head(status=200, content_length=len(body))),
        Reply(piece=body),
        Reply(end=End(body_bytes=len(body))),
    ]


class ModelAgent:
    """An agent that behaves as told and notes what ran.

    :ivar behaviour: one of :data:`BEHAVIOURS`.
    :ivar asked: every request that reached it.
    """

    def __init__(self, name: str, runs: Counter[str]) -> None:
        self.name = name
        self.runs = runs
        self.behaviour = 'serve'
        self.asked: list[Request] = []
        self.timeouts: list[float] = []
        self.calls = 0
        self.stub = self

    async def connect(self) -> bool:
        """Tell whether the agent can be reached."""
        return self.behaviour != 'unreachable'

    def Dispatch(  # noqa: N802
        self, request: Request, timeout: float
    ) -> 'ModelCall':
        """Run a request as the behaviour says."""
        copy = Request()
        copy.CopyFrom(request)
        self.asked.append(copy)
        self.timeouts.append(timeout)
        refused = self.behaviour == 'refuse'
        if not refused and self.behaviour != 'lose before':
            self.runs[request.request_id] += 1
        return ModelCall(self.parts(copy))

    def parts(self, request: Request) -> list[Any]:
        """Return the replies to a request."""
        whole = answer_parts(request)
        return {
            'serve': whole,
            'refuse': [Reply(refusal=Refusal(reason='overloaded'))],
            'lose before': [LOST],
            'lose': [LOST],
            'cut': [*whole[:2], LOST],
            'short': [whole[0], whole[2]],
            'long': [*whole[:2], *whole[1:]],
            'twice': [whole[0], *whole],
            'silent end': whole[:2],
            'crash': [Reply(broken=Break(reason='upstream_crashed'))],
            'broken': [whole[0], Reply(broken=Break(reason='answer_cut'))],
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
    """Replies of one call, one a read."""

    def __init__(self, parts: list[Any]) -> None:
        self.parts: Iterator[Any] = iter(parts)
        self.cancelled = asyncio.Event()

    async def read(self) -> Any:
        """Return the next reply."""
        part = next(self.parts, None)
        if part == LOST:
            code = grpc.StatusCode.UNAVAILABLE
            raise AioRpcError(code, Metadata(), Metadata(), 'lost')
        return part

    def cancel(self) -> None:
        """End the call."""
        self.cancelled.set()


class ModelEntry:
    """A dispatcher over model agents, with the port's bytes at hand."""

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
        self.dispatcher.channels.find = self.find
        self.port = PortBench()

    def find(self, address: str) -> ModelAgent:
        """Return the agent at an address."""
        return self.agents[address.removesuffix(':2')]

    def send(
        self,
        service: str,
        request_id: str,
        headers: dict[str, str] | None = None,
    ) -> bytes:
        """Send one request and return every byte of its answer."""
        sock, exchange = self.accept(service, request_id, headers or {})
        asyncio.run(self.serve(exchange))
        return sock.sent

    def accept(
        self, service: str, request_id: str, headers: dict[str, str]
    ) -> tuple[FakeSocket, Exchange]:
        """Bring a request to the port."""
        sock = self.port.connect()
        lines = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
        self.port.receive(
            sock,
            f'POST /v1/services/{service}/x HTTP/1.1\r\nHost: x\r\n'
            f'X-Request-Id: {request_id}\r\n{lines}\r\n'.encode(),
        )
        return sock, self.port.served[-1]

    async def serve(self, exchange: Exchange) -> None:
        """Serve an exchange to its end."""
        await self.dispatcher.serve(
            exchange, Reservation(self.port.ledger, 0, 1)
        )


def build_agent(name: str, zone: str) -> Member:
    """Return an agent that serves the model and the bookings."""
    states = [
        ServiceState(service=service, ready=True, limit=4)
        for service in (MODEL, BOOKINGS)
    ]
    return build_member(name, zone=zone, services=states)


def build_services(**fields: Any) -> Any:
    """Return a document with a model and a service that runs once."""
    return build_document(
        build_spec(MODEL), build_spec(BOOKINGS, idempotent=False), **fields
    )
