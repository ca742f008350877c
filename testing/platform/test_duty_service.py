"""Tests of calls to the service of singleton duties, over HTTP."""

import asyncio
import tomllib
import unittest
from typing import Any

from bramleylug.duties.service import (
    CallFailed,
    Mandate,
    ScaleOrder,
    UsageReport,
)
from bramleylug.fakes.duty_service import DutyRecord, FakeDutyService
from bramleylug.fakes.metadata_store import FakeMetadataStore
from bramleylug.platform.decoding import decode_configuration
from bramleylug.platform.duty_service import PlatformDutyService
from bramleylug.platform.keyvalue import PlatformStore
from bramleylug.platform.settings import relay_settings
from bramleylug.scheduling.figures import ScalingLimits
from bramleylug.settings.fields import SettingsError
from bramleylug.store.changes import ConditionFailed, Transaction, Write
from testing.platform.builders import CONFIG, SETTINGS, build_config

MANDATE = Mandate('front-a-1', 12)
REPORT = UsageReport(340_000_000, {'garage': 412})


class TestPlatformDutyService(unittest.TestCase):
    """The service gets what it expects, and refusals are errors."""

    def setUp(self) -> None:
        self.record = DutyRecord(3, 2)
        self.fake = FakeDutyService(self.record)
        self.fake.start()
        self.addCleanup(self.fake.stop)
        self.service = PlatformDutyService(self.fake.web.address)

    def test_report_and_order_arrive(self) -> None:
        asyncio.run(self.service.report_usage(MANDATE, REPORT))
        order = ScaleOrder('advisor', 'zone-a', 6)
        asyncio.run(self.service.order(MANDATE, order))

        self.assertEqual(self.record.reports, {340_000_000: {'garage': 412}})
        self.assertEqual(self.record.orders, {('advisor', 'zone-a'): 6})
        self.assertEqual(
            {(one.holder, one.token) for one in self.record.calls},
            {('front-a-1', 12)},
        )

    def test_calls_beyond_the_rate_fail(self) -> None:
        for _ in range(2):
            asyncio.run(self.service.report_usage(MANDATE, REPORT))

        with self.assertRaisesRegex(CallFailed, 'HTTP 429'):
            asyncio.run(self.service.report_usage(MANDATE, REPORT))

    def test_service_that_is_gone_does_not_answer(self) -> None:
        service = PlatformDutyService('127.0.0.1:1')

        with self.assertRaisesRegex(CallFailed, 'Refused'):
            asyncio.run(service.report_usage(MANDATE, REPORT))

    def test_nothing_is_sent_after_the_end_of_the_mandate(self) -> None:
        """Connecting may have taken long."""
        late = MANDATE._replace(until_s=0.0)

        with self.assertRaisesRegex(CallFailed, 'too late'):
            asyncio.run(self.service.report_usage(late, REPORT))
        self.assertEqual(self.record.calls, [])

    def test_record_finds_two_reports_of_a_window(self) -> None:
        asyncio.run(self.service.report_usage(MANDATE, REPORT))
        other = REPORT._replace(counts={'garage': 413})
        asyncio.run(self.service.report_usage(MANDATE, other))

        self.assertEqual(len(self.record.breaches), 1)


class TestTransactions(unittest.TestCase):
    """Writes take effect under their conditions only."""

    def test_condition(self) -> None:
        fake = FakeMetadataStore()
        fake.start()
        self.addCleanup(fake.stop)
        create = Transaction(expected={'key': 0}, writes=(Write('key', b'1'),))

        async def commit(transaction: Transaction) -> int:
            return await PlatformStore(fake.web.address).commit(transaction)

        revision = asyncio.run(commit(create))

        with self.assertRaises(ConditionFailed):
            asyncio.run(commit(create))
        remove = Transaction(expected={'key': revision}, removals=('key',))
        self.assertGreater(asyncio.run(commit(remove)), revision)
        self.assertNotIn('key', fake.items)


class TestDutySettings(unittest.TestCase):
    """Duties are done only where the settings name them."""

    def document(self, **service: Any) -> dict[str, Any]:
        document = tomllib.loads(SETTINGS)
        document['contracts'] = ['base', 'leader']
        document['cloud'] = {
            'address': '127.0.0.1:9',
            'duties': ['usage'],
            'duty_per_s': 50.0,
            **service,
        }
        document['bounds'].update(
            lease_ms=3000, report_window_s=5, usage_late_s=10
        )
        return document

    def test_settings_are_read(self) -> None:
        duties = relay_settings(self.document()).duties

        self.assertIsNotNone(duties)
        self.assertEqual(duties.lease_s, 3.0)
        self.assertEqual((duties.reports_usage, duties.scales), (True, False))

    def test_no_contract_means_no_duties(self) -> None:
        document = self.document()
        document['contracts'] = ['base']

        self.assertIsNone(relay_settings(document).duties)

    def test_malformed_address_is_reported(self) -> None:
        with self.assertRaisesRegex(SettingsError, 'duties'):
            relay_settings(self.document(address='nowhere'))

    def test_limits_of_scaling(self) -> None:
        """They are those of each zone."""
        scaling = {'minimum': 2, 'maximum': 6, 'boot_s': 8.0}
        services = [{**CONFIG['services'][0], 'scaling': scaling}]
        table = decode_configuration(build_config(services=services))

        self.assertTrue(table.is_scaled('advisor'))
        self.assertEqual(
            table.services['advisor'].scaling, ScalingLimits(2, 6, 8.0)
        )
