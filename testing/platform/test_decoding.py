"""Tests of reading what stands in the platform's store."""

import unittest

from bramleylug.platform.decoding import (
    decode_configuration,
    decode_engine,
    decode_version,
)
from bramleylug.platform.engines import decode_report
from bramleylug.relay.route_table import RetryPolicy, ServiceShare
from bramleylug.relay.upstreams import HeldWeights
from testing.platform.builders import REPORT, build_config, build_engine


class TestConfiguration(unittest.TestCase):
    """Names of the platform become the project's types."""

    def setUp(self) -> None:
        """Read the example."""
        self.table = decode_configuration(build_config())

    def test_resumable_stream(self) -> None:
        """Times are seconds, hosts are in lower case."""
        route = self.table.routes[0]

        self.assertIs(route.retry_policy, RetryPolicy.resume)
        self.assertTrue(route.streamed)
        self.assertEqual(
            (route.host, route.timeout_s, route.objective_s),
            ('advisor.example', 6.0, 0.404),
        )
        self.assertEqual(route.regions, {'north'})

    def test_split_route_that_runs_once(self) -> None:
        """Each share keeps its weight."""
        route = self.table.routes[1]

        self.assertIs(route.retry_policy, RetryPolicy.never)
        self.assertEqual(
            route.shares,
            (ServiceShare('bookings', 90), ServiceShare('advisor', 10)),
        )

    def test_kinds_decide_what_is_repeated(self) -> None:
        """A stream that cannot resume runs once; lookups may repeat."""
        routes = [
            {**vars_of('streaming'), 'resumable': False},
            vars_of('safe'),
        ]
        table = decode_configuration(build_config(routes=routes))

        self.assertEqual(
            [route.retry_policy for route in table.routes],
            [RetryPolicy.never, RetryPolicy.always],
        )

    def test_every_key_names_its_workspace(self) -> None:
        """A workspace may hold several keys."""
        names = {
            key: workspace.name
            for key, workspace in self.table.workspaces.items()
        }

        self.assertEqual(names, {'key-1': 'garage', 'key-2': 'garage'})
        self.assertTrue(self.table.needs_keys)

    def test_without_tenants_no_key_is_needed(self) -> None:
        """Such a deployment has no customers of its own."""
        table = decode_configuration(build_config(tenants=[]))

        self.assertFalse(table.needs_keys)

    def test_weights_and_origin(self) -> None:
        """The layout stands with the engines, the origin is a service."""
        layout = self.table.services['advisor'].weights

        self.assertEqual((layout.model, layout.chunks), ('fitting', 8))
        self.assertEqual(
            [service.origin for service in self.table.origins()],
            ['127.0.0.1:9'],
        )

    def test_unreadable_configuration_is_none(self) -> None:
        """The one in force stays."""
        for value in (b'', b'\xff', b'[]', b'{"version": "seven"}'):
            with self.subTest(value):
                self.assertIsNone(decode_configuration(value))


class TestEngines(unittest.TestCase):
    """A record names an engine, or nothing."""

    def decode(self, **fields):
        """Decode a record at 100 s."""
        return decode_engine('servers/e-1', build_engine(**fields), 100.0)

    def test_record(self) -> None:
        """Held weights come with the layers."""
        record = self.decode()

        self.assertEqual(record.upstream_id, 'e-1')
        self.assertEqual(record.weights, {'fitting': HeldWeights(1, True)})
        self.assertFalse(record.draining)

    def test_cold_time_counts_from_reading(self) -> None:
        """The platform tells how long it still lasts."""
        self.assertEqual(
            self.decode(cold_remaining_ms=2500).cold_until_s, 102.5
        )

    def test_engine_without_layers_is_not_whole(self) -> None:
        """It has just started."""
        for layers in (None, {'from': 0, 'to': 0, 'version': 0}):
            record = self.decode(layers=layers)
            self.assertFalse(record.weights['fitting'].whole)

    def test_part_of_the_layers_is_not_whole(self) -> None:
        """Layers that begin later than the first one serve nothing alone."""
        record = self.decode(layers={'from': 4, 'to': 16, 'version': 1})

        self.assertFalse(record.weights['fitting'].whole)

    def test_bad_records_name_no_engine(self) -> None:
        """Whatever another writer left there, nothing breaks."""
        faults = (
            {'state': 'asleep'},
            {'address': 'nowhere'},
            {'address': 7},
            {'slots': '16'},
            {'slots': True},
            {'service': None},
            {'born': 1.5},
            {'cold_remaining_ms': 'long'},
            {'models': 7},
            {'layers': 'all'},
        )
        for fields in faults:
            with self.subTest(fields):
                self.assertIsNone(self.decode(**fields))
        for value in (b'', b'\xff\x00', b'7', b'null', b'{}'):
            with self.subTest(value):
                self.assertIsNone(decode_engine('servers/e-1', value, 0))

    def test_named_version(self) -> None:
        """An unreadable one is passed over."""
        named = decode_version('k', b'{"model": "fitting", "version": 2}')

        self.assertEqual(named, ('fitting', 2))
        self.assertIsNone(decode_version('k', b'{"model": "fitting"}'))

    def test_report(self) -> None:
        """It is read for the loader and for the relays."""
        said = decode_report(REPORT, 'fitting', 5.0)

        self.assertEqual(
            (said.state.version, said.state.accepted_orders), (2, 3)
        )
        self.assertEqual((said.report.running, said.report.waiting), (12, 1))


def vars_of(kind):
    """Return a route of a kind."""
    return {
        'name': kind,
        'host': 'a.example',
        'path_prefix': f'/{kind}/',
        'kind': kind,
        'timeout_ms': 1000,
        'target_latency_ms': 100,
        'service': 'advisor',
    }
