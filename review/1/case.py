"""An unreadable engine entry lies in the store while a relay is started."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.standins import (  # noqa: E402
    CannotRun,
    Engine,
    Program,
    Store,
    call,
    configuration,
    now,
    random_network,
    run_case,
    wait_ready,
)

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = {'zone-a': 'region-1', 'zone-b': 'region-2'}
EVACUATION_S = 5.0
IN_TOUCH_S = 3.0
REQUESTS = 60
# Bytes that no JSON reader accepts; value_bytes allows 1,048,576 of them.
UNREADABLE = b'[' * 100_000


async def case(record, temporary, programs):
    network = random_network()
    store = Store(f'{network}.1:8007', record)
    await store.start()
    store.write(
        'op/config',
        configuration(
            7, [('book', '/status/', 'bookings', {})], ['bookings']
        ),
    )
    engines = [
        Engine(store, record, f'i-{zone}', 'bookings', zone, f'{network}.{at}:9000')
        for at, zone in ((21, 'zone-a'), (22, 'zone-b'))
    ]
    for engine in engines:
        await engine.start()

    def relay(name, at):
        program = Program(
            temporary, 'relay', name, f'{network}.{at}', 'zone-a',
            store.address, ZONES,
        )
        programs.append(program)
        program.start()
        return program

    first = relay('front-a-1', 11)
    await wait_ready([first])
    if TROUBLE:
        store.write('servers/i-other', UNREADABLE)
        record('another writer wrote servers/i-other:', len(UNREADABLE), 'bytes')
    await asyncio.sleep(2)
    store.write('op/evacuate/zone-b', {})
    evacuated = now()
    record('evacuation of zone-b acknowledged')
    added = relay('front-a-2', 12)
    record('machine front-a-2 added')
    started = now()
    await wait_ready([added])
    due = max(evacuated + EVACUATION_S, started + IN_TOUCH_S, now() + IN_TOUCH_S)
    await asyncio.sleep(due - now() + 0.5)
    violations = []
    served = 0
    for relay_program in (first, added):
        for number in range(REQUESTS):
            request_id = f'{relay_program.name}-{number}'
            status, _, _ = await call(
                relay_program.front,
                'GET',
                f'/status/{number}',
                {
                    'Host': 'site.example',
                    'X-Request-Id': request_id,
                    'X-Request-Deadline': '1000',
                },
            )
            served += status == 200
            record('answered', request_id, status)
    for at, request_id, _ in engines[1].runs:
        if at > evacuated + EVACUATION_S:
            violations.append(
                f'EVAC: {request_id} reached {engines[1].name} of zone-b '
                f'{at - evacuated:.1f} s after its evacuation'
            )
    record(served, 'of', 2 * REQUESTS, 'requests were answered with 200')
    if not served and not violations:
        raise CannotRun('no request was served')
    return violations


run_case(FOLDER, case)
