"""Real relays that report usage to a fake of the service."""

import threading
import unittest

from bramleylug.duties.settings import DutySettings
from bramleylug.fakes.duty_service import DutyRecord, FakeDutyService
from testing.platform.cluster import PlatformCluster

LEASE_S = 0.5
REQUESTS = 12


class TestUsageReports(unittest.TestCase):
    """Two relays, one of which holds the duties and then stops."""

    def setUp(self) -> None:
        self.record = DutyRecord(LEASE_S, 50)
        self.service = FakeDutyService(self.record)
        self.service.start()
        self.addCleanup(self.service.stop)
        self.cluster = PlatformCluster()
        self.addCleanup(self.cluster.stop)
        self.cluster.start(
            duties=DutySettings(
                self.service.web.address, LEASE_S, 50, True, False, 1.0, 6.0
            ),
            calm_window=1.0,
            metrics_bind='',
        )

    def holders(self) -> list[int]:
        """Return the indices of the relays that hold the duties."""
        return [
            index
            for index, relay in enumerate(self.cluster.relays)
            if relay.duties is not None and relay.duties.status()['token']
        ]

    def reported(self) -> int:
        return sum(
            counts.get('garage', 0) for counts in self.record.reports.values()
        )

    def test_requests_of_both_relays_are_reported_once(self) -> None:
        """Also those that the holder served before it stopped."""
        self.cluster.wait_until(self.holders)
        for index in range(REQUESTS):
            status, _, _ = self.cluster.request(relay=index % 2)
            self.assertEqual(status, 200)
        first = self.holders()[0]
        threading.Thread(
            target=self.cluster.runners[first].drain_and_stop
        ).start()
        self.cluster.wait_until(lambda: self.holders() == [1 - first])
        self.cluster.wait_until(lambda: self.reported() >= REQUESTS)

        self.assertEqual(self.reported(), REQUESTS)
        self.assertEqual(self.record.breaches, [])
