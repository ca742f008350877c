"""Memory used by callers that stop reading, and their effect on others."""

import json
import time
from socket import SO_RCVBUF, SOL_SOCKET, create_connection, socket
from typing import NamedTuple

from bramleylug.bench.load import Answer, ClosedLoop, call_http
from bramleylug.bench.recorder import Recorder
from bramleylug.bench.results import BenchResult, Bound
from bramleylug.bench.serving_fleet import (
    GENERATE,
    FleetPlan,
    ServingFleet,
    build_generate_call,
)
from bramleylug.observability.process import resident_bytes

ZONE = 'zone-a'
READERS = 200
STREAM_TOKENS = 100_000
TOKENS_PER_S = 1000.0
HEALTHY_CALLERS = 4
HEALTHY_TOKENS = 100
PHASE_S = 8.0
BUFFER_FILL_S = 12.0
RECEIVE_BUFFER_BYTES = 4096
READER_LIMIT_BYTES = 65536
ENTRY_LIMIT_BYTES = 64 * 1024 * 1024
WORKERS = 512
ISSUE = 'issue 6, bench readers: '


class MemoryGrowth(NamedTuple):
    """Growth of memory in bytes while readers have stopped.

    :ivar kernel_bytes: unsent answers in the send queues of the entry's port.
    """

    entry_bytes: int
    kernel_bytes: int
    agent_bytes: int
    engine_bytes: int


def run(seed: int) -> BenchResult:
    """Measure healthy callers before and while 200 readers have stopped."""
    plan = FleetPlan(
        zones=(ZONE,),
        concurrency=READERS + HEALTHY_CALLERS * 2,
        cold_concurrency=READERS + HEALTHY_CALLERS * 2,
        warm_after=1,
        tokens_per_s=TOKENS_PER_S,
        agent_flags=(f'--workers={WORKERS}',),
        entry_flags=(f'--memory-bytes={ENTRY_LIMIT_BYTES}',),
    )
    with ServingFleet(plan) as fleet:
        fleet.warm_up()
        before = _run_healthy_callers(fleet)
        growth, during = _stop_readers(fleet)
    return _result(seed, before, during, growth)


def _result(
    seed: int, before: Recorder, during: Recorder, growth: MemoryGrowth
) -> BenchResult:
    entry_bytes = growth.entry_bytes + growth.kernel_bytes
    per_reader = entry_bytes / READERS
    ratio = during.percentile_s(99) / before.percentile_s(99)
    figures = {
        'readers_stopped': READERS,
        'entry_bytes_per_reader': per_reader,
        'entry_resident_bytes_per_reader': growth.entry_bytes / READERS,
        'entry_kernel_bytes_per_reader': growth.kernel_bytes / READERS,
        'agent_resident_bytes_per_reader': growth.agent_bytes / READERS,
        'engine_resident_bytes_per_reader': growth.engine_bytes / READERS,
        'entry_bytes': entry_bytes,
        'healthy_p99_s': during.percentile_s(99),
        'healthy_p50_s': during.percentile_s(50),
        'healthy_failed': during.total - during.counts['answered'],
    }
    baseline = {
        'healthy_p99_s': before.percentile_s(99),
        'healthy_p50_s': before.percentile_s(50),
        'healthy_failed': before.total - before.counts['answered'],
    }
    bounds = (
        Bound(
            'entry_bytes_per_reader',
            per_reader,
            '<=',
            READER_LIMIT_BYTES,
            f'{ISSUE}memory held per reader at most 64 KiB',
        ),
        Bound(
            'entry_bytes',
            entry_bytes,
            '<=',
            ENTRY_LIMIT_BYTES,
            f'{ISSUE}in total at most the set bound',
        ),
        Bound(
            'healthy_p99_to_before',
            ratio,
            '<=',
            1.2,
            f"{ISSUE}healthy callers' 99th percentile at most 1.2 x",
        ),
        Bound(
            'healthy_failed',
            during.total - during.counts['answered'],
            '==',
            0,
            'brief: every caller gets the whole answer to its own request',
        ),
    )
    slopes = {'entry_bytes_per_paused_reader': per_reader}
    return BenchResult('readers', seed, figures, bounds, baseline, {}, slopes)


def _run_healthy_callers(fleet: ServingFleet) -> Recorder:
    address = fleet.entry_address(ZONE)

    def send(_number: int) -> Answer:
        return call_http(address, build_generate_call(HEALTHY_TOKENS))

    return ClosedLoop(send, HEALTHY_CALLERS).run_for(PHASE_S)


def _stop_readers(fleet: ServingFleet) -> tuple[MemoryGrowth, Recorder]:
    children = (
        fleet.entries[ZONE],
        fleet.agents[ZONE],
        fleet.processes.children[f'engine-{ZONE}'],
    )
    before = [resident_bytes(child.process.pid) for child in children]
    readers = [_open_reader(fleet.entry_address(ZONE)) for _ in range(READERS)]
    time.sleep(BUFFER_FILL_S)
    during = _run_healthy_callers(fleet)
    grown_bytes = [
        resident_bytes(child.process.pid) - start
        for child, start in zip(children, before, strict=True)
    ]
    kernel_bytes = _unsent_bytes(fleet.entry_address(ZONE))
    for reader in readers:
        reader.close()
    return MemoryGrowth(
        grown_bytes[0], kernel_bytes, grown_bytes[1], grown_bytes[2]
    ), during


def _open_reader(address: str) -> socket:
    """Request a long answer and read none of it."""
    host, _, port = address.rpartition(':')
    reader = create_connection((host, int(port)))
    reader.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    body = json.dumps({'prompt': 'p', 'tokens': STREAM_TOKENS})
    reader.sendall(
        f'POST {GENERATE} HTTP/1.1\r\nHost: {address}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n{body}'.encode()
    )
    return reader


def _unsent_bytes(address: str) -> int:
    """Return the unsent bytes in the kernel's send queues of a port."""
    port = int(address.rpartition(':')[2])
    total = 0
    with open('/proc/net/tcp') as table:
        for line in table.readlines()[1:]:
            fields = line.split()
            if int(fields[1].rpartition(':')[2], 16) == port:
                total += int(fields[4].partition(':')[0], 16)
    return total
