"""Demonstration scenario: rollouts, zone exclusion, bookings, planned stop."""

import json
import time
import uuid
from pathlib import Path
from typing import Any, final

from tqdm import tqdm

from bramleylug.configuration.document import Change
from bramleylug.configuration.files import read_service_files
from bramleylug.configuration.publisher import Accepted, publish
from bramleylug.demo.cluster import (
    MODEL_SERVICE,
    RECORDS_SERVICE,
    ZONES,
    EmbeddedCluster,
)
from bramleylug.demo.table import Row
from bramleylug.demo.traffic import Traffic, post

MODEL = 'seat-fitting-model'
FIRST_VERSION = '1'
SECOND_VERSION = '2'
MODEL_BYTES = 67108864
READY_TIMEOUT_S = 30.0
ZONE_EXCLUSION_LIMIT_S = 3.0
OBSERVATION_S = 2.0
CALLER_COUNT = 4
MAX_ORIGIN_COPIES = 1.5
SAMPLE_INTERVAL_S = 0.02
BOOKING_ATTEMPTS = 3


@final
class Scenario:
    """Runs the demonstration on an embedded cluster.

    :param services: folder of service files.
    :ivar rows: results so far, and whether each guarantee holds.
    """

    def __init__(self, cluster: EmbeddedCluster, services: Path) -> None:
        self.cluster = cluster
        self.services = services
        self.rows: list[Row] = []

    def run(self) -> bool:
        """Run all steps; return whether every guarantee holds."""
        manifest = self.cluster.origin.add_version(
            MODEL, FIRST_VERSION, MODEL_BYTES
        )
        self._publish(read_service_files([self.services]).to_change())
        self._roll_out('first version', manifest.digest)
        self.cluster.wait_until(
            self._entries_see_engines_ready, READY_TIMEOUT_S
        )
        traffic = Traffic(self._entry_addresses, MODEL_SERVICE, CALLER_COUNT)
        traffic.start()
        self._roll_out_second_version()
        self._exclude_and_include_zone()
        self._repeat_booking()
        self._drain_agent()
        traffic.join()
        self._report_traffic(traffic)
        return all(row.kept for row in self.rows)

    def _publish(self, change: Change) -> int:
        outcome = publish(
            self.cluster.store,
            change,
            change_id=uuid.uuid4().hex,
            who='demo',
            when_s=time.time(),
        )
        if not isinstance(outcome, Accepted):
            raise RuntimeError(f'not published: {outcome}')
        return outcome.revision

    def _roll_out_second_version(self) -> None:
        manifest = self.cluster.origin.add_version(
            MODEL, SECOND_VERSION, MODEL_BYTES
        )
        change = read_service_files([self.services]).to_change()
        spec: dict[str, Any] = change['services'][MODEL_SERVICE] or {}
        spec['version'] = SECOND_VERSION
        self._publish(change)
        self._roll_out('second version under traffic', manifest.digest)

    def _roll_out(self, name: str, digest: str) -> None:
        sent_before = self.cluster.origin.bytes_sent
        managers = [agent.version_manager for agent in self._model_agents()]
        with tqdm(total=100, desc=name, unit='%', disable=None) as bar:

            def is_rolled_out() -> bool:
                share = sum(manager.progress for manager in managers)
                bar.update(int(100 * share / len(managers)) - bar.n)
                return all(
                    agent.gate.is_open and agent.gate.open_digest == digest
                    for agent in self._model_agents()
                )

            duration_s = self.cluster.wait_until(is_rolled_out, READY_TIMEOUT_S)
        copies = (self.cluster.origin.bytes_sent - sent_before) / MODEL_BYTES
        self.rows.append(
            Row(
                f'{name}: {len(managers)} replicas after',
                f'{duration_s:.1f} s',
                True,
            )
        )
        self.rows.append(
            Row(
                f'{name}: origin copies',
                f'{copies:.2f}',
                copies <= MAX_ORIGIN_COPIES,
            )
        )

    def _exclude_and_include_zone(self) -> None:
        zone = ZONES[0]
        engine = self.cluster.engines[0]
        runs_before = engine.started_runs
        self.cluster.wait_until(
            lambda: engine.started_runs > runs_before, READY_TIMEOUT_S
        )
        started_s = time.monotonic()
        self._publish(Change(services={}, zones={zone: 'out'}))
        last_run_s = started_s
        runs_seen = engine.started_runs
        while (
            time.monotonic() - started_s
            < ZONE_EXCLUSION_LIMIT_S + OBSERVATION_S
        ):
            if engine.started_runs != runs_seen:
                runs_seen, last_run_s = engine.started_runs, time.monotonic()
            time.sleep(SAMPLE_INTERVAL_S)
        last_run_after_s = last_run_s - started_s
        self._publish(Change(services={}, zones={zone: 'in'}))
        self.rows.append(
            Row(
                'zone out: last new work after',
                f'{last_run_after_s:.2f} s',
                last_run_after_s <= ZONE_EXCLUSION_LIMIT_S,
            )
        )
        first_run_after_s = self.cluster.wait_until(
            lambda: engine.started_runs > runs_seen, READY_TIMEOUT_S
        )
        self.rows.append(
            Row(
                'zone in: first new work after',
                f'{first_run_after_s:.2f} s',
                True,
            )
        )

    def _repeat_booking(self) -> None:
        key = uuid.uuid4().hex
        for address in self._entry_addresses()[:1] * BOOKING_ATTEMPTS:
            post(
                address,
                f'/v1/services/{RECORDS_SERVICE}/bookings',
                json.dumps({'seat': 7}),
                {'Idempotency-Key': key},
            )
        runs = sum(records.runs[key] for records in self.cluster.records)
        self.rows.append(
            Row(
                f'booking sent {BOOKING_ATTEMPTS} times: runs',
                f'{runs}',
                runs == 1,
            )
        )
        repeated = sum(
            count > 1
            for records in self.cluster.records
            for count in records.runs.values()
        )
        self.rows.append(Row('duplicates', str(repeated), not repeated))

    def _drain_agent(self) -> None:
        runner = self.cluster.runner_of(self._model_agents()[1])
        started_s = time.monotonic()
        runner.drain_and_stop()
        duration_s = time.monotonic() - started_s
        self.rows.append(
            Row('planned stop of an agent took', f'{duration_s:.1f} s', True)
        )

    def _report_traffic(self, traffic: Traffic) -> None:
        counts = traffic.count_results()
        for result in ('answered', 'refused', 'failed'):
            kept = result != 'failed' or not counts[result]
            self.rows.append(
                Row(f'requests {result}', str(counts[result]), kept)
            )
        mixed = traffic.count_mixed()
        self.rows.append(Row('mixed-weight answers', str(mixed), not mixed))
        crashes = sum(engine.crashes for engine in self.cluster.engines)
        self.rows.append(Row('engines fallen over', str(crashes), not crashes))

    def _model_agents(self) -> list[Any]:
        return [
            agent
            for agent in self.cluster.agents
            if agent.settings.service == MODEL_SERVICE
        ]

    def _entries_see_engines_ready(self) -> bool:
        """Return whether every entry sees all engines as ready."""
        ready = [
            sum(
                state.ready and state.service == MODEL_SERVICE
                for member in entry.node.members
                for state in member.services
            )
            for entry in self.cluster.entries
        ]
        return all(count == len(self._model_agents()) for count in ready)

    def _entry_addresses(self) -> list[str]:
        for entry in self.cluster.entries:
            answer = entry.entry_addresses()
            if answer['entries']:
                return [item['address'] for item in answer['entries']]
        return []
