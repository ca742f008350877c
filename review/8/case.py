"""A relay that stood still while configurations came keeps an old one."""

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-2'))

import standins  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'host.example'
# The configuration grows by this many routes (big_config).
MORE_ROUTES = 1400
# Configurations in quick succession (config_storm).
STORM_S = 2.0
STORM_GAP_S = 0.08
# The relay stands still (node_freeze).
FREEZE_S = 4.0
# Bounds of the deployment that names these doses.
BOUNDS = {'stable_window_ms': 4000, 'ack_ms': 6000, 'catch_up_s': 6,
          'drain_ms': 3000, 'config_apply_ms': 3000, 'outer_bound_ms': 6000,
          'budget_slack': 395, 'recovery_s': 15, 'pass_ms': 200}
STABLE_WINDOW_S = BOUNDS['stable_window_ms'] / 1000
CONFIG_APPLY_S = BOUNDS['config_apply_ms'] / 1000
CHECK_S = 8.0
REQUEST_GAP_S = 0.25


def more_route(number):
    return {
        'name': f'r-{number:07d}', 'host': f'more{number % 40}.example',
        'path_prefix': f'/xapu{number}/ny95/', 'kind': 'streaming',
        'timeout_ms': 6000, 'target_latency_ms': 404, 'priority': 1,
        'service': 'desk-new', 'max_attempts': 2, 'public': True,
        'sticky_sessions': True, 'resumable': True, 'gap_aim_ms': 300,
        'allowed_regions': []}


MORE = [more_route(number) for number in range(MORE_ROUTES)]


def configuration(version, service):
    """Return a configuration in which the bookings go to a service."""
    return {
        'version': version,
        'routes': [standins.route('bookings', service, '/book/', host=HOST),
                   *MORE],
        'services': [standins.service('desk-old'),
                     standins.service('desk-new')],
        'limits': standins.LIMITS}


class Record:
    def __init__(self):
        self.lines = []
        self.began = time.time()

    def add(self, text):
        line = f'{time.time() - self.began:8.3f} {text}'
        self.lines.append(line)

    def write(self):
        (HERE / 'record.txt').write_text('\n'.join(self.lines) + '\n')


async def ask(relay, number, engines, record):
    """Send one booking; return the service that ran it."""
    request_id = f'{relay.name}-{number}'
    sent_s = time.time()
    headers = {'Host': HOST, 'X-Request-Id': request_id,
               'X-Request-Deadline': '1000'}
    try:
        status, _, _ = await standins.call(
            relay.front, 'POST', '/book/seat', headers, b'{}')
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError, IndexError) as error:
        status = repr(error)
    ran = [one.service for one in engines if one.runs[request_id]]
    record.add(f'{request_id} answered {status}, ran at {ran or "none"}')
    return sent_s, ran


async def play(folder, record, relays):
    store = await standins.Store().open()
    asyncio.create_task(store.expire())
    engines = [
        await standins.Records('i-old', 'desk-old', 'zone-a').open(),
        await standins.Records('i-new', 'desk-new', 'zone-a').open()]
    for one in engines:
        store.put(f'servers/{one.engine_id}', one.record())
    first = configuration(1, 'desk-old')
    record.add(f'a configuration has {len(json.dumps(first))} bytes')
    store.put('op/config', first)
    zones = {'zone-a': 'region-1', 'zone-b': 'region-2'}
    for name, zone in (('front-a-1', 'zone-a'), ('front-b-1', 'zone-b')):
        relays.append(standins.Relay(
            folder, name, '127.0.0.1', zone, zones, store.address,
            bounds=BOUNDS))
        relays[-1].start()
    if not await standins.wait_ready(relays):
        record.add('the relays did not become ready')
        return 2
    await asyncio.sleep(2.0)
    for relay in relays:
        _, ran = await ask(relay, 0, engines, record)
        if ran != ['desk-old']:
            return 2
    frozen, other = relays
    if TROUBLE:
        frozen.process.send_signal(signal.SIGSTOP)
        record.add(f'{frozen.name} stands still')
    frozen_s = time.time()
    await asyncio.sleep(0.5)
    changes = round(STORM_S / STORM_GAP_S)
    for change in range(changes):
        service = 'desk-new' if change == changes - 1 else 'desk-old'
        store.put('op/config', configuration(2 + change, service))
        record.add(f'version {2 + change} acknowledged: {service}')
        acknowledged_s = time.time()
        await asyncio.sleep(STORM_GAP_S)
    await asyncio.sleep(max(0, frozen_s + FREEZE_S - time.time()))
    if TROUBLE:
        frozen.process.send_signal(signal.SIGCONT)
    woken_s = time.time()
    record.add(f'{frozen.name} runs on')
    in_touch_s = woken_s + STABLE_WINDOW_S
    from_s = max(in_touch_s, acknowledged_s + CONFIG_APPLY_S)
    await asyncio.sleep(from_s - time.time() + 0.2)
    record.add('all machines are in touch, the last version is due')
    late = {relay.name: 0 for relay in relays}
    number = 0
    ends_s = time.time() + CHECK_S
    while time.time() < ends_s:
        number += 1
        for relay in relays:
            _, ran = await ask(relay, number, engines, record)
            late[relay.name] += 'desk-old' in ran
        await asyncio.sleep(REQUEST_GAP_S)
    for relay in relays:
        lines = (Path(folder) / f'{relay.name}.log').read_text().splitlines()
        for line in lines:
            if 'the store does not answer' in line:
                record.add(f'log of {relay.name}: {line}')
    for name, count in late.items():
        record.add(f'{name}: {count} of {number} bookings ran at the service '
                   'that only older versions name')
    return 1 if any(late.values()) else 0


async def main():
    record, relays = Record(), []
    folder = tempfile.mkdtemp(prefix='review-8-')
    code = 2
    try:
        code = await asyncio.wait_for(play(folder, record, relays), 100)
    except asyncio.TimeoutError:
        record.add('the case took too long')
    finally:
        for relay in relays:
            relay.kill()
        record.add(f'exit code {code}')
        record.write()
        shutil.rmtree(folder, ignore_errors=True)
    return code


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
