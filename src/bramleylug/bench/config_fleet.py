"""Fleet of entry processes that measures when a change is in force."""

import json
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from datetime import datetime
from typing import final

from bramleylug.bench.processes import Child, Processes, wait_until
from bramleylug.bench.resource_usage import processor_seconds
from bramleylug.cli.faults import set_store_faults
from bramleylug.cli.status import fetch_page
from bramleylug.configuration.document import Change
from bramleylug.configuration.publisher import Accepted, publish
from bramleylug.observability.events import LogEvent
from bramleylug.store.grpc_store import GrpcStore
from bramleylug.wire.channels import open_channel

ZONES = 3
CONCURRENT_STARTS = 8
JOIN_TIMEOUT_S = 60.0
IN_FORCE_EVENT = LogEvent.configuration_in_force.value.number
MEMBERS_PATH = '/v1/members'


@final
class ConfigFleet:
    """Entries that discovered one another, with one store stand-in."""

    def __init__(self, processes: Processes) -> None:
        self.processes = processes
        processes.store = processes.start_fake('store', 'store')
        self.channel = open_channel(processes.store)
        self.store = GrpcStore(self.channel)
        self.entries: list[Child] = []

    def grow_to(self, members: int) -> None:
        """Start entries up to a number and wait until all know one another."""
        if not self.entries:
            self._start(0)
        with ThreadPoolExecutor(CONCURRENT_STARTS) as pool:
            list(pool.map(self._start, range(len(self.entries), members)))
        wait_until(self._all_discovered, JOIN_TIMEOUT_S)

    def publish(self, number: int) -> float:
        """Publish a change; return the seconds until all have it in force.

        :param number: number of the zone that is changed; it has no members.
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
            raise RuntimeError(f'change was not accepted: {outcome}')
        revision = outcome.revision
        wait_until(
            lambda: all(in_force_s(entry, revision) for entry in self.entries),
            JOIN_TIMEOUT_S,
        )
        last_s = max(in_force_s(entry, revision) for entry in self.entries)
        return max(0.0, last_s - accepted_s)

    def count_store_calls(self) -> int:
        """Return the number of calls that the store has received."""
        counts = set_store_faults(self.processes.store, {})
        return sum(counts['calls'].values())

    def processor_s(self) -> float:
        """Return the processor time used by all entries so far."""
        return sum(
            processor_seconds(entry.process.pid) for entry in self.entries
        )

    def _start(self, number: int) -> None:
        zone = f'zone-{number % ZONES}'
        seed = [
            f'--seeds={entry.addresses["gossip"]}' for entry in self.entries[:1]
        ]
        entry = self.processes.start_entry(f'entry-{number}', zone, *seed)
        self.entries.append(entry)

    def _all_discovered(self) -> bool:
        return all(
            count_members(entry.addresses['http']) == len(self.entries)
            for entry in self.entries
        )


def in_force_s(entry: Child, revision: int) -> float:
    """Return the Unix time at which a process had a revision in force.

    The time is that of its log line; 0 without one. A process that skipped a
    revision logs only the later one.
    """
    for line in tuple(entry.lines):
        if IN_FORCE_EVENT not in line:
            continue
        fields = json.loads(line)
        if fields.get('revision', 0) >= revision:
            return datetime.fromisoformat(fields['time']).timestamp()
    return 0.0


def count_members(address: str) -> int:
    """Return how many members a daemon considers alive; 0 without an answer."""
    page = fetch_page(address, MEMBERS_PATH)
    return 0 if page is None else len(page['members'])
