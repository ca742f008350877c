"""The sequence of faults injected by the faults bench."""

import json
import time
from typing import Any, final

from bramleylug.bench.fault_fleet import FaultFleet, build_services
from bramleylug.bench.load import HttpCall, call_http
from bramleylug.cli.faults import set_http_faults, set_store_faults
from bramleylug.configuration.publisher import Accepted

FAULT_INTERVAL_S = 2.0
PAUSE_S = 4.0
OUTAGE_S = 4.0
NO_NEW_WORK_LIMIT_S = 3.0
CRASH_RESENDS = 6
CRASH_RESEND_PAUSE_S = 0.5
SLOW_STORE_MS = 400


@final
class FaultScenario:
    """Injects one fault after the other into a fleet of processes.

    :ivar figures: figures measured so far, by name.
    """

    def __init__(self, fleet: FaultFleet) -> None:
        self.fleet = fleet
        self.figures: dict[str, Any] = {}

    def run(self) -> None:
        """Inject every fault; callers keep sending meanwhile."""
        self._kill_agent()
        self._kill_records_agent()
        self._pause_agent()
        self._crash_engine()
        self._store_outage()
        self._kill_entry()
        self._new_version()
        self._zone_out_and_in()
        self._send_crashing_request()
        self._pause_upstream()
        self._slow_store()
        self._roll_back_store()
        self._planned_stops()

    def _kill_agent(self) -> None:
        self.fleet.processes.children['agent-engine-zone-a'].kill()
        pause_between_faults()
        self.fleet.start_agent('engine', 'zone-a')
        pause_between_faults()

    def _kill_records_agent(self) -> None:
        self.fleet.processes.children['agent-records-zone-a'].kill()
        pause_between_faults()
        self.fleet.start_agent('records', 'zone-a')
        pause_between_faults()

    def _pause_agent(self) -> None:
        agent = self.fleet.processes.children['agent-records-zone-b']
        agent.pause()
        time.sleep(PAUSE_S)
        agent.resume()
        pause_between_faults()

    def _crash_engine(self) -> None:
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
        self.fleet.publish(build_services('2'), {})
        pause_between_faults(2)

    def _zone_out_and_in(self) -> None:
        before = self.fleet.count_runs('zone-b')
        pause_between_faults()
        after = self.fleet.count_runs('zone-b')
        self.figures['work in the zone before'] = after - before
        accepted = self.fleet.publish({}, {'zone-b': 'out'})
        if not isinstance(accepted, Accepted):
            raise TypeError(f'taking the zone out was not accepted: {accepted}')
        accepted_s = time.monotonic()
        last_s = accepted_s
        runs_before = self.fleet.count_runs('zone-b')
        while time.monotonic() - accepted_s < 2 * NO_NEW_WORK_LIMIT_S:
            runs = self.fleet.count_runs('zone-b')
            if runs != runs_before:
                runs_before, last_s = runs, time.monotonic()
            time.sleep(0.05)
        self.figures['zone out: seconds to no new work'] = last_s - accepted_s
        self.fleet.publish({}, {'zone-b': 'in'})
        pause_between_faults()

    def _send_crashing_request(self) -> None:
        before = self.fleet.count_crashes()
        call = HttpCall(
            '/v1/services/seat-fitting/v1/generate',
            json.dumps({'prompt': 'poison', 'crash': True}),
            headers={'X-Workspace': 'poison'},
        )
        for attempt in range(CRASH_RESENDS):
            addresses = self.fleet.entries()
            call_http(addresses[attempt % len(addresses)], call)
            time.sleep(CRASH_RESEND_PAUSE_S)
        self.figures['engines crashed by one request'] = (
            self.fleet.count_crashes() - before
        )
        pause_between_faults()

    def _pause_upstream(self) -> None:
        records = self.fleet.processes.children['records-zone-a']
        records.pause()
        time.sleep(PAUSE_S)
        records.resume()
        pause_between_faults()

    def _slow_store(self) -> None:
        set_store_faults(
            self.fleet.processes.store, {'delay_ms': SLOW_STORE_MS}
        )
        pause_between_faults()
        set_store_faults(self.fleet.processes.store, {'delay_ms': 0})

    def _roll_back_store(self) -> None:
        """Restore the store to its state before a zone was taken out.

        The daemons must go on to send no work there.
        """
        self.fleet.publish({}, {'zone-a': 'out'})
        pause_between_faults()
        runs_before = self.fleet.count_runs('zone-a')
        set_store_faults(self.fleet.processes.store, {'roll_back': True})
        pause_between_faults(2)
        after = self.fleet.count_runs('zone-a')
        self.figures['work in a zone out after the store went back'] = (
            after - runs_before
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


def pause_between_faults(intervals: float = 1) -> None:
    """Wait, so that the fleet can recover before the next fault."""
    time.sleep(intervals * FAULT_INTERVAL_S)
