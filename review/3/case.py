"""One relay of a zone is cut off from the store; the other stays in touch."""

import asyncio
import os
import secrets
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.standins import (  # noqa: E402
    CannotRun,
    Engine,
    Link,
    Program,
    Store,
    call,
    configuration,
    now,
    random_network,
    render,
    run_case,
    wait_ready,
)

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = {'zone-a': 'region-1'}
# Bound drain_ms, and some time for the way of the request.
DRAIN_S = 2.0
MARGIN_S = 0.05
ROUNDS = 4
CUT_S = 3.5
ROUND_S = 12.0
REQUESTS = 10


class LeavingEngine(Engine):
    """An engine that says in its answers, too, that it leaves."""

    leaving = False

    async def plain_answer(self, request, writer, base):
        await asyncio.sleep(self.work_s)
        if self.leaving:
            base = {**base, 'Server-Leaving': '1', 'Connection': 'close'}
        signature = f'{self.name}.{secrets.token_hex(6)}'
        return render(
            200, {**base, 'X-Response-Signature': signature}, b'.' * 800
        )


async def case(record, temporary, programs):
    network = random_network()
    store = Store(f'{network}.1:8007', record)
    await store.start()
    version = 0

    def publish():
        """Write a configuration that changes a time-out."""
        nonlocal version
        version += 3
        route = ('book', '/status/', 'bookings', {'timeout_ms': 1000 + version})
        store.write('op/config', configuration(version, [route], ['bookings']))

    publish()
    stays = LeavingEngine(
        store, record, 'i-stays', 'bookings', 'zone-a', f'{network}.21:9000'
    )
    await stays.start()
    relays = []
    for at in (11, 12):
        link = Link(f'{network}.{at}:9900', store.address)
        await link.start()
        program = Program(
            temporary, 'relay', f'front-a-{at}', f'{network}.{at}', 'zone-a',
            link.address, ZONES,
        )
        programs.append(program)
        program.start()
        relays.append((program, link))
    await wait_ready(programs)
    await asyncio.sleep(1)
    violations = []
    for number in range(ROUNDS):
        began = now()
        cut, link = relays[number % 2]
        other = relays[1 - number % 2][0]
        leaves = LeavingEngine(
            store, record, f'i-leaves-{number}', 'bookings', 'zone-a',
            f'{network}.{30 + number}:9000',
        )
        await leaves.start()
        await asyncio.sleep(3)
        statuses = await ask(record, other, f'before-{number}')
        if statuses.count(200) != REQUESTS or not leaves.runs:
            raise CannotRun(f'{other.name} does not use {leaves.name}')
        # Two changes of the configuration, as in quick succession.
        publish()
        await asyncio.sleep(0.1)
        publish()
        await asyncio.sleep(0.2)
        leaves.leaving = True
        leaves.register(state='draining')
        acknowledged = now()
        record(leaves.name, 'reports draining; acknowledged')
        if TROUBLE:
            link.cut()
            record(f'{cut.name} is cut off from the store')
        await asyncio.sleep(acknowledged + DRAIN_S + MARGIN_S - now())
        sent = now()
        await ask(record, other, f'after-{number}')
        late = [one for at, one, _ in leaves.runs if one.startswith('after-')]
        if late:
            violations.append(
                f'DRAIN: {len(late)} requests, sent to {other.name} '
                f'{sent - acknowledged:.2f} s after the acknowledgement, '
                f'reached {leaves.name}'
            )
        await asyncio.sleep(max(0, acknowledged + CUT_S - now()))
        link.heal()
        store.remove(f'servers/{leaves.name}')
        leaves.server.close()
        leaves.task.cancel()
        await asyncio.sleep(max(0, began + ROUND_S - now()))
    return violations


async def ask(record, relay, name):
    """Send some requests at once; return their statuses."""

    async def send(number):
        request_id = f'{name}-{number}'
        status, _, _ = await call(
            relay.front,
            'GET',
            f'/status/{number}',
            {
                'Host': 'site.example',
                'X-Request-Id': request_id,
                'X-Request-Deadline': '1000',
            },
        )
        record('answered', request_id, 'at', relay.name, status)
        return status

    return await asyncio.gather(*(send(one) for one in range(REQUESTS)))


run_case(FOLDER, case)
