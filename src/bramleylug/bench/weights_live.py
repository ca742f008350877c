"""Live requests during a distribution of weights, on real processes."""

import json
import time
from pathlib import Path
from typing import NamedTuple

from bramleylug.bench.load import (
    Answer,
    ClosedLoop,
    HttpCall,
    Send,
    call_http,
)
from bramleylug.bench.processes import wait_until
from bramleylug.bench.recorder import Recorder
from bramleylug.bench.serving_fleet import (
    MODEL,
    SERVICE,
    FleetPlan,
    ServingFleet,
    build_generate_call,
)
from bramleylug.configuration.document import Change

ZONES = ('zone-a', 'zone-b', 'zone-c')
MODEL_BYTES = 25_165_824
BURST_S = 6.0
BEFORE_S = 4.0
BURST_TIMEOUT_S = 30.0
CALLERS = 6
TOKENS = 8
NEW_VERSION = '2'


class LiveFigures(NamedTuple):
    """Calls before and during the transfer of a version to three hosts."""

    before: Recorder
    during: Recorder
    burst_s: float


def measure_live() -> LiveFigures:
    """Transfer a version during live requests, without swapping to it."""
    rate = 2 * MODEL_BYTES / BURST_S
    plan = FleetPlan(
        zones=ZONES,
        concurrency=8,
        agent_flags=(f'--download-rate={rate}', f'--upload-rate={rate}'),
        extra_weights=(f'{MODEL}@{NEW_VERSION}={MODEL_BYTES}',),
    )
    with ServingFleet(plan) as fleet:
        fleet.warm_up()
        _limit_origin(fleet, 2 * rate)
        before = ClosedLoop(_sender(fleet), CALLERS).run_for(BEFORE_S)
        return _run_burst(fleet, before)


def _run_burst(fleet: ServingFleet, before: Recorder) -> LiveFigures:
    spec = {**fleet.build_spec(), 'version': NEW_VERSION, 'max_unavailable': 0}
    loop = ClosedLoop(_sender(fleet), CALLERS)
    loop.start()
    started_s = time.monotonic()
    fleet.publish(Change(services={SERVICE: spec}, zones={}))
    folder = Path(fleet.processes.folder.name)
    wait_until(
        lambda: all(
            (folder / f'agent-{zone}' / f'{MODEL}@{NEW_VERSION}').is_dir()
            for zone in ZONES
        ),
        BURST_TIMEOUT_S,
    )
    burst_s = time.monotonic() - started_s
    return LiveFigures(before, loop.stop(), burst_s)


def _sender(fleet: ServingFleet) -> Send:
    addresses = [fleet.entry_address(zone) for zone in ZONES]
    call = build_generate_call(TOKENS)

    def send(number: int) -> Answer:
        return call_http(addresses[number % len(addresses)], call)

    return send


def _limit_origin(fleet: ServingFleet, rate: float) -> None:
    control = json.dumps({'rate': rate})
    call_http(fleet.processes.origin, HttpCall('/control', control))
