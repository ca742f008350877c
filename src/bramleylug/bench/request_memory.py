"""Measures the memory an agent uses for each request in progress."""

import time
from typing import Any

from bramleylug.bench.processes import Child
from bramleylug.cli.faults import set_http_faults
from bramleylug.observability.process import resident_bytes
from bramleylug.wire.channels import open_channel
from bramleylug.wire.requests_pb2 import Request
from bramleylug.wire.requests_pb2_grpc import ServingStub

HELD_REQUESTS = 12
BODY_BYTES = 65536
SETTLE_S = 1.0
DEADLINE_MS = 30000


def bytes_per_held_request(agent: Child, engine: str, service: str) -> float:
    """Return the growth of the agent's resident memory per request.

    The engine is stalled meanwhile, so that it answers none of them.
    """
    stub: Any = ServingStub(open_channel(agent.addresses['grpc']))
    set_http_faults(engine, {'stalled': True})
    before = resident_bytes(agent.process.pid)
    calls = [
        stub.Dispatch(build_large_request(service, number))
        for number in range(HELD_REQUESTS)
    ]
    time.sleep(SETTLE_S)
    after = resident_bytes(agent.process.pid)
    for call in calls:
        call.cancel()
    set_http_faults(engine, {'stalled': False})
    time.sleep(SETTLE_S)
    return (after - before) / HELD_REQUESTS


def build_large_request(service: str, number: int) -> Request:
    """Return a request with a body of ``BODY_BYTES``."""
    prompt = b'%06d' % number + b'x' * BODY_BYTES
    return Request(
        request_id=f'held-{number}',
        service=service,
        method='POST',
        path='/v1/generate',
        body=b'{"tokens": 1000, "prompt": "%s"}' % prompt,
        deadline_ms=DEADLINE_MS,
    )
