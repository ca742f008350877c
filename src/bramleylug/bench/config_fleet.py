"""Entries as processes of their own, and when each has a change in force."""

import json
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import final

from bramleylug.bench.resource_usage import processor_seconds
from bramleylug.bench.processes import Child, Processes, wait_until
from bramleylug.cli.faults import set_store_faults
from bramleylug.cli.status import fetch_page
from bramleylug.configuration.document import Change
from bramleylug.configuration.publisher import Accepted, publish
from bramleylug.observability.events import LogEvent
from bramleylug.store.grpc_store import GrpcStore
from bramleylug.wire.channels import open_channel

ZONES = 3
STARTED_AT_ONCE = 8
JOIN_LIMIT_S = 60.0
IN_FORCE_NUMBER = LogEvent.configuration_in_force.value.number
MEMBERS_PATH = '/v1/members'


@final
class ConfigFleet:
    """Entries that found one another, over one store stand-in."""

    def __init__(self, processes: Processes) -> None:
        self.processes = processes
        processes.store = processes.start_fake('store', 'store')
        self.channel = open_channel(processes.store)
        self.store = GrpcStore(self.channel)
        self.entries: list[Child] = []

    def grow(self, members: int) -> None:
        """Start entries until there are so many, and let all meet."""
        if not self.entries:
            self._start(0)
        with ThreadPoolExecutor(STARTED_AT_ONCE) as pool:
            list(pool.map(self._start, range(len(self.entries), members)))
        wait_until(self._all_met, JOIN_LIMIT_S)

    def publish(self, number: int) -> float:
        """Publish a change; return the time until the last has it in force.

        :param number: names the zone that is changed; none runs in it.
        :raises RuntimeError: when it is not accepted.
        """
        outcome = publish(
            self.store,
            Change(services={}, zones={f'other-{number}': 'out'}),
            change_id=uuid.uuid4().hex,
            who='bench',
            when_s=time.time(),
        )
        accepted_s = time.time()
        if not isinstance(outcome, Accepted):
            raise RuntimeError(f'not accepted: {outcome}')
        revision = outcome.revision
        wait_until(
            lambda: all(in_force_s(one, revision) for one in self.entries),
            JOIN_LIMIT_S,
        )
        last_s = max(in_force_s(one, revision) for one in self.entries)
        return max(0.0, last_s - accepted_s)

    def calls(self) -> int:
        """Return the calls the store has counted."""
        counts = set_store_faults(self.processes.store, {})
        return sum(counts['calls'].values())

    def processor_s(self) -> float:
        """Return the processor time of all entries so far."""
        return sum(processor_seconds(one.process.pid) for one in self.entries)

    def _start(self, number: int) -> None:
        zone = f'zone-{number % ZONES}'
        seed = [
            f'--seeds={one.addresses["gossip"]}' for one in self.entries[:1]
        ]
        entry = self.processes.start_entry(f'entry-{number}', zone, *seed)
        self.entries.append(entry)

    def _all_met(self) -> bool:
        return all(
            count_members(one.addresses['http']) == len(self.entries)
            for one in self.entries
        )


def in_force_s(entry: Child, revision: int) -> float:
    """Return when a process logged a revision as in force; 0 when not yet.

    A process that went over a revision logs only the later one.
    """
    for line in tuple(entry.lines):
        if IN_FORCE_NUMBER not in line:
            continue
        record = json.loads(line)['record']
        if record['extra'].get('revision', 0) >= revision:
            return float(record['time']['timestamp'])
    return 0.0


def count_members(address: str) -> int:
    """Return how many members a daemon holds alive; 0 without an answer."""
    page = fetch_page(address, MEMBERS_PATH)
    return 0 if page is None else len(page['members'])
