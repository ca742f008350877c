"""Tests of the addresses of a deployment."""

import os
import subprocess
import sys
import unittest
from ipaddress import IPv4Address

from bramleylug.soak.addresses import OWN_HOST, free_address, loopback_host

PRINT_HOST = 'from bramleylug.soak.addresses import OWN_HOST; print(OWN_HOST)'


class TestAddresses(unittest.TestCase):
    """Runs on one machine share no address."""

    def test_runs_have_different_loopback_addresses(self) -> None:
        """Guards against answers of another run's records service."""
        hosts = {
            subprocess.check_output([sys.executable, '-c', PRINT_HOST])
            for _ in range(3)
        }

        self.assertEqual(len(hosts), 3)
        self.assertTrue(free_address().startswith(f'{OWN_HOST}:'))

    def test_no_port_is_given_out_twice(self) -> None:
        """A relay whose two ports were the same could never start."""
        addresses = [free_address() for _ in range(2000)]

        self.assertEqual(len(set(addresses)), 2000)

    def test_every_process_id_gives_a_loopback_address(self) -> None:
        for process_id in (1, 255, 65_536, 4_194_303, os.getpid()):
            host = IPv4Address(loopback_host(process_id))
            with self.subTest(process_id):
                self.assertTrue(host.is_loopback)
