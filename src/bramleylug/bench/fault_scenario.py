"""Faults brought about one after the other on a fleet of processes."""

import json
import time
from typing import Any, final

from bramleylug.bench.fault_fleet import FaultFleet, services
from bramleylug.bench.load import HttpCall, call_http
from bramleylug.cli.faults import set_http_faults, set_store_faults
from bramleylug.configuration.publisher import Accepted

CALM_S = 2.0
FREEZE_S = 4.0
OUTAGE_S = 4.0
NO_NEW_WORK_LIMIT_S = 3.0
CRASH_RESENDS = 6
CRASH_PAUSE_S = 0.5
SLOW_STORE_MS = 400


@final
class FaultScenario:
    """Brings about one fault after the other on a fleet of processes.

    :ivar figures: what was measured.
    """

    def __init__(self, fleet: FaultFleet) -> None:
        self.fleet = fleet
        self.figures: dict[str, Any] = {}

    def run(self) -> None:
        """Bring about every fault under the traffic that runs."""
        self._kill_agent()
        self._kill_agent_of_bookings()
        self._freeze_agent()
        self._engine_falls_over()
        self._store_outage()
        self._kill_entry()
        self._new_version()
        self._zone_out_and_in()
        self._crash_request()
        self._freeze_upstream()
        self._slow_store()
        self._store_goes_back()
        self._planned_stops()

    def _kill_agent(self) -> None:
        self.fleet.processes.children['agent-engine-zone-a'].kill()
        pause_between_faults()
        self.fleet.start_agent('engine', 'zone-a')
        pause_between_faults()

    def _kill_agent_of_bookings(self) -> None:
        self.fleet.processes.children['agent-records-zone-a'].kill()
        pause_between_faults()
        self.fleet.start_agent('records', 'zone-a')
        pause_between_faults()

    def _freeze_agent(self) -> None:
        agent = self.fleet.processes.children['agent-records-zone-b']
        agent.pause()
        time.sleep(FREEZE_S)
        agent.resume()
        pause_between_faults()

    def _engine_falls_over(self) -> None:
        set_http_faults(
            self.fleet.upstreams['engine-zone-b'], {'fall_over': True}
        )
        pause_between_faults()

    def _store_outage(self) -> None:
        set_store_faults(self.fleet.processes.store, {'outage': True})
        outcome = self.fleet.publish({}, {'zone-c': 'out'})
        self.figures['publish in an outage'] = type(outcome).__name__
        time.sleep(OUTAGE_S)
        set_store_faults(self.fleet.processes.store, {'lose_answers': 3})
        outcome = self.fleet.publish({}, {'zone-c': 'in'})
        self.figures['publish with a lost answer'] = type(outcome).__name__
        pause_between_faults()

    def _kill_entry(self) -> None:
        self.fleet.processes.children['entry-zone-a'].kill()
        pause_between_faults()
        self.fleet.processes.start_entry('entry-zone-a', 'zone-a')
        pause_between_faults()

    def _new_version(self) -> None:
        self.fleet.publish(services('2'), {})
        pause_between_faults(2)

    def _zone_out_and_in(self) -> None:
        before = self.fleet.work_of('zone-b')
        pause_between_faults()
        after = self.fleet.work_of('zone-b')
        self.figures['work in the zone before'] = after - before
        accepted = self.fleet.publish({}, {'zone-b': 'out'})
        if not isinstance(accepted, Accepted):
            raise TypeError(f'zone out was not accepted: {accepted}')
        accepted_s = time.monotonic()
        last_s = accepted_s
        seen = self.fleet.work_of('zone-b')
        while time.monotonic() - accepted_s < 2 * NO_NEW_WORK_LIMIT_S:
            work = self.fleet.work_of('zone-b')
            if work != seen:
                seen, last_s = work, time.monotonic()
            time.sleep(0.05)
        self.figures['zone out: seconds to no new work'] = last_s - accepted_s
        self.fleet.publish({}, {'zone-b': 'in'})
        pause_between_faults()

    def _crash_request(self) -> None:
        before = self.fleet.crashes()
        call = HttpCall(
            '/v1/services/seat-fitting/v1/generate',
            json.dumps({'prompt': 'poison', 'crash': True}),
            headers={'X-Workspace': 'poison'},
        )
        for turn in range(CRASH_RESENDS):
            addresses = self.fleet.entries()
            call_http(addresses[turn % len(addresses)], call)
            time.sleep(CRASH_PAUSE_S)
        self.figures['engines crashed by one request'] = (
            self.fleet.crashes() - before
        )
        pause_between_faults()

    def _freeze_upstream(self) -> None:
        records = self.fleet.processes.children['records-zone-a']
        records.pause()
        time.sleep(FREEZE_S)
        records.resume()
        pause_between_faults()

    def _slow_store(self) -> None:
        set_store_faults(
            self.fleet.processes.store, {'delay_ms': SLOW_STORE_MS}
        )
        pause_between_faults()
        set_store_faults(self.fleet.processes.store, {'delay_ms': 0})

    def _store_goes_back(self) -> None:
        """Restore an older value under a zone that was just taken out."""
        self.fleet.publish({}, {'zone-a': 'out'})
        pause_between_faults()
        seen = self.fleet.work_of('zone-a')
        set_store_faults(self.fleet.processes.store, {'roll_back': True})
        pause_between_faults(2)
        after = self.fleet.work_of('zone-a')
        self.figures['work in a zone out after the store went back'] = (
            after - seen
        )
        self.fleet.publish({}, {'zone-a': 'in'})
        pause_between_faults()

    def _planned_stops(self) -> None:
        names = (
            'agent-engine-zone-c',
            'agent-records-zone-c',
            'entry-zone-c',
        )
        codes = [self.fleet.processes.children[name].stop() for name in names]
        self.figures['exit codes of planned stops'] = codes


def pause_between_faults(times: float = 1) -> None:
    """Let the fleet run without a further fault."""
    time.sleep(times * CALM_S)
