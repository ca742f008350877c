"""Short soaks of the real programs."""

import asyncio
import tempfile
import unittest
from collections.abc import Sequence
from pathlib import Path

from bramleylug.soak.fault_schedule import FIRST_KINDS, SECOND_KINDS, Kind
from bramleylug.soak.soak import Soak, Summary

# Seeds, with the seconds during which faults are started, and their kinds.
# Seed 202 guards against this failure: three engines were killed while many
# clients sent the same request, which was then classified as the cause of the
# crashes and refused everywhere for two minutes.
SEEDS = {
    1: (6.0, SECOND_KINDS),
    202: (15.0, FIRST_KINDS),
    27: (6.0, (Kind.unframed, Kind.cut_event, Kind.config_changed)),
}


def run_soak(seed: int, length_s: float, kinds: Sequence[Kind]) -> Summary:
    """Run a soak whose logs are discarded."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, length_s, Path(folder), kinds)
        return asyncio.run(soak.run())


class TestSoak(unittest.TestCase):
    """No invariant is violated under the faults of a seed."""

    def test_short_soak_violates_no_invariant(self) -> None:
        """Thirteen processes, 36 clients, overlapping faults."""
        for seed, (length_s, kinds) in SEEDS.items():
            with self.subTest(seed):
                summary = run_soak(seed, length_s, kinds)

                self.assertEqual(summary['violations'], [])
                self.assertGreater(summary['endings']['whole'], 100)

    def test_lowered_idle_limit_loses_no_request(self) -> None:
        """Relays closed connections that were idle for longer than that."""
        summary = run_soak(900, 3.0, (Kind.idle_limit,))

        self.assertEqual(summary['violations'], [])

    def test_harmful_part_is_kept_from_engines(self) -> None:
        """Requests that differ in all else crashed one engine after another."""
        summary = run_soak(901, 3.0, (Kind.harmful_part,))

        self.assertEqual(summary['violations'], [])

    def test_engine_in_need_gets_no_more_than_it_names(self) -> None:
        """Three engines and a records service name limits at once."""
        summary = run_soak(933, 4.0, (Kind.engine_in_need,))

        self.assertEqual(summary['violations'], [])

    def test_odd_entry_hides_no_change(self) -> None:
        """A relay that started beside one sent into an evacuated zone."""
        kinds = (Kind.odd_entry, Kind.zone_out, Kind.relay_killed)
        summary = run_soak(950, 12.0, kinds)

        self.assertEqual(summary['violations'], [])

    def test_crowd_silences_no_relay(self) -> None:
        """Connections from the 1,024th descriptor on were never read."""
        summary = run_soak(960, 3.0, (Kind.crowd,))

        self.assertEqual(summary['violations'], [])

    def test_silence_ends_no_stream(self) -> None:
        """With one zone taken out, a single engine served the streams."""
        summary = run_soak(921, 10.0, (Kind.silence, Kind.zone_out))

        self.assertEqual(summary['violations'], [])

    def test_relay_that_missed_a_naming_sends_to_no_older_weights(self) -> None:
        """Relay and loader were paused, one engine was late."""
        summary = run_soak(40, 1.1, (Kind.naming_missed,))

        self.assertEqual(summary['violations'], [])

    def test_relay_that_missed_large_configurations_follows(self) -> None:
        """A relay repeated a watch whose answer was too large for it."""
        summary = run_soak(6404, 1.1, (Kind.configurations_missed,))

        self.assertEqual(summary['violations'], [])

    def test_requests_run_on_no_layer_taken_from_corrupt_chunks(self) -> None:
        """Hosts of engines were paused as they staged new weights."""
        summary = run_soak(4806, 3.0, (Kind.staged_spoilt,))

        self.assertEqual(summary['violations'], [])
        self.assertEqual(summary['corrupt_runs'], 0)

    def test_engines_begin_no_streams_that_callers_left_at_a_pause(
        self,
    ) -> None:
        """All hosts but one of engines were paused, three times."""
        summary = run_soak(92, 10.0, (Kind.host_paused,))

        self.assertEqual(summary['violations'], [])
