"""Tests of starting daemons as child processes."""

import unittest

from bramleylug.bench.config_fleet import count_members, in_force_s
from bramleylug.bench.processes import Processes, wait_until

TIMEOUT_S = 10.0


class TestProcesses(unittest.TestCase):
    """What the benches read from the log of a daemon."""

    def test_daemon_starts_and_its_addresses_are_known(self) -> None:
        """They are in a line of its log."""
        processes = Processes()
        self.addCleanup(processes.close)
        processes.start_platform()

        entry = processes.start_entry('entry-0', 'zone-a')

        self.assertEqual(set(entry.addresses), {'http', 'grpc', 'gossip'})
        wait_until(
            lambda: count_members(entry.addresses['http']) == 1, TIMEOUT_S
        )

    def test_time_of_a_configuration_is_that_of_its_log_line(self) -> None:
        """The line is a flat JSON object."""
        processes = Processes()
        self.addCleanup(processes.close)
        processes.start_platform()
        entry = processes.start_entry('entry-0', 'zone-a')
        entry.lines.append(
            '{"time": "2026-01-01T00:00:01.500+00:00", "event": "BL1001", '
            '"revision": 7}'
        )

        self.assertEqual(in_force_s(entry, 7), 1767225601.5)
        self.assertEqual(in_force_s(entry, 8), 0.0)
