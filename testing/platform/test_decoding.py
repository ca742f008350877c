"""Tests of decoding configuration, engine records and reports."""

import unittest

from bramleylug.cluster.route_table import RetryPolicy, ServiceShare
from bramleylug.cluster.held_weights import HeldWeights
from bramleylug.platform.decoding import (
    RouteDecoder,
    decode_configuration,
    decode_engine,
    decode_version,
)
from bramleylug.platform.engines import decode_report
from bramleylug.platform.fields import UnreadableValue
from bramleylug.scheduling.figures import EngineFigures
from testing.platform.builders import (
    CONFIG,
    REPORT,
    build_config,
    build_engine,
)

ROUTE = CONFIG['routes'][1]


class TestConfiguration(unittest.TestCase):
    """The operator's configuration becomes a route table."""

    def setUp(self) -> None:
        self.table = decode_configuration(build_config())

    def test_resumable_stream(self) -> None:
        """Times are converted to seconds, host names to lower case."""
        route = self.table.routes[0]

        self.assertIs(route.retry_policy, RetryPolicy.resume)
        self.assertTrue(route.streamed)
        self.assertEqual(
            (route.host, route.timeout_s, route.objective_s),
            ('advisor.example', 6.0, 0.404),
        )
        self.assertEqual(route.regions, {'north'})

    def test_speed_of_engines_is_in_seconds_a_token(self) -> None:
        engine = {
            'step_ms': 8,
            'per_seq_ms': 0.5,
            'context_per_k': 2,
            'read_per_s': 19100,
            'pairs_per_m': 1.5,
            'chunk': 2048,
            'stride': 5,
            'usual': {'prompt': 980, 'answer': 96},
            'kv_capacity_tokens': 1180000,
        }
        table = decode_configuration(
            build_config(services=[{'name': 'advisor', 'engine': engine}])
        )

        self.assertEqual(
            table.services['advisor'].engine,
            EngineFigures(
                step_s=0.008,
                sequence_s=0.0005,
                context_token_s=2e-6,
                read_per_s=19100.0,
                pair_s=1.5e-9,
                step_tokens=2048,
                steps=5,
                usual_prompt=980.0,
                usual_answer=96.0,
                memory_tokens=1180000,
            ),
        )

    def test_unsafe_route_is_never_retried_and_keeps_its_split(
        self,
    ) -> None:
        route = self.table.routes[1]

        self.assertIs(route.retry_policy, RetryPolicy.never)
        self.assertEqual(
            route.shares,
            (ServiceShare('bookings', 90), ServiceShare('advisor', 10)),
        )

    def test_kind_of_a_route_decides_its_retry_policy(self) -> None:
        """A stream that cannot resume is never retried, a safe route always."""
        routes = [
            {**route_of_kind('streaming'), 'resumable': False},
            route_of_kind('safe'),
        ]
        table = decode_configuration(build_config(routes=routes))

        self.assertEqual(
            [route.retry_policy for route in table.routes],
            [RetryPolicy.never, RetryPolicy.always],
        )

    def test_each_key_of_a_workspace_is_mapped_to_it(self) -> None:
        names = {
            key: workspace.name
            for key, workspace in self.table.workspaces.items()
        }

        self.assertEqual(names, {'key-1': 'garage', 'key-2': 'garage'})
        self.assertTrue(self.table.needs_keys)

    def test_no_key_is_needed_without_tenants(self) -> None:
        """Such a deployment serves everybody."""
        table = decode_configuration(build_config(tenants=[]))

        self.assertFalse(table.needs_keys)

    def test_weights_layout_and_origin(self) -> None:
        """The layout is a field of a service; the origin is a service."""
        layout = self.table.services['advisor'].weights

        self.assertEqual((layout.model, layout.chunks), ('fitting', 8))
        self.assertEqual(
            [service.origin for service in self.table.origins()],
            ['127.0.0.1:9'],
        )

    def test_split_without_a_positive_weight_refuses_no_other_route(
        self,
    ) -> None:
        """Keys that the version revokes must not stay in force."""
        split = [{'service': 'bookings', 'weight': 0}]
        table = decode_configuration(
            build_config(routes=[{**ROUTE, 'traffic_split': split}])
        )

        self.assertEqual(table.routes[0].shares, (('bookings', 0.0),))

    def test_configuration_with_a_weight_that_is_no_share_is_refused(
        self,
    ) -> None:
        """A choice by such weights raises or is skewed."""
        for weight in (-1, float('nan'), float('inf')):
            with self.subTest(weight):
                split = [
                    {'service': 'bookings', 'weight': weight},
                    {'service': 'advisor', 'weight': 10},
                ]
                routes = [{**ROUTE, 'traffic_split': split}]
                config = build_config(routes=routes)
                with self.assertRaises(UnreadableValue):
                    decode_configuration(config)

    def test_malformed_configuration_is_refused(self) -> None:
        """The configuration in force then stays."""
        for value in (b'', b'\xff', b'[]', b'{"version": "seven"}'):
            with self.subTest(value):
                with self.assertRaises(UnreadableValue):
                    decode_configuration(value)


class TestEngines(unittest.TestCase):
    """Engine records, reports and target versions."""

    def decode(self, **fields):
        """Decode the sample record at 100 s on the clock."""
        return decode_engine('servers/e-1', build_engine(**fields), 100.0)

    def test_record_of_a_ready_engine(self) -> None:
        """An engine with all layers holds complete weights."""
        record = self.decode()

        self.assertEqual(record.upstream_id, 'e-1')
        self.assertEqual(record.weights, {'fitting': HeldWeights(1, True)})
        self.assertFalse(record.draining)

    def test_remaining_cold_time_is_added_to_the_current_time(self) -> None:
        self.assertEqual(
            self.decode(cold_remaining_ms=2500).cold_until_s, 102.5
        )

    def test_weights_without_layers_are_incomplete(self) -> None:
        """An engine that has just started has none."""
        for layers in (None, {'from': 0, 'to': 0, 'version': 0}):
            record = self.decode(layers=layers)
            self.assertFalse(record.weights['fitting'].whole)

    def test_weights_without_the_first_layers_are_incomplete(self) -> None:
        """An engine with later layers alone cannot serve requests."""
        record = self.decode(layers={'from': 4, 'to': 16, 'version': 1})

        self.assertFalse(record.weights['fitting'].whole)

    def test_malformed_records_are_refused(self) -> None:
        """No value that another writer stored raises an exception."""
        malformed = (
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
        for fields in malformed:
            with self.subTest(fields):
                with self.assertRaises(UnreadableValue):
                    self.decode(**fields)
        for value in (b'', b'\xff\x00', b'7', b'null', b'{}'):
            with self.subTest(value):
                with self.assertRaises(UnreadableValue):
                    decode_engine('servers/e-1', value, 0)

    def test_target_version_is_decoded_unless_malformed(
        self,
    ) -> None:
        target = decode_version(b'{"model": "fitting", "version": 2}')

        self.assertEqual(target, ('fitting', 2))
        with self.assertRaises(UnreadableValue):
            decode_version(b'{"model": "fitting"}')

    def test_report_is_decoded_for_the_loader_and_for_the_relays(self) -> None:
        decoded = decode_report(REPORT, 'fitting', 5.0)

        self.assertEqual(
            (decoded.state.version, decoded.state.accepted_orders), (2, 3)
        )
        self.assertEqual(
            (decoded.report.running, decoded.report.waiting), (12, 1)
        )

    def test_pace_and_memory_of_a_report(self) -> None:
        document = {**REPORT, 'pace': 2.5, 'kv_used': 41000, 'kv_total': 90000}
        report = decode_report(document, 'fitting', 5.0).report

        self.assertEqual(
            (report.pace, report.memory_used, report.memory_total),
            (2.5, 41000, 90000),
        )

    def test_engine_without_a_pace_works_as_stated(self) -> None:
        document = {
            name: field for name, field in REPORT.items() if name != 'pace'
        }

        self.assertEqual(
            decode_report(document, 'fitting', 5.0).report.pace, 1.0
        )


def route_of_kind(kind):
    """Return the fields of a route of a kind."""
    return {
        'name': kind,
        'host': 'a.example',
        'path_prefix': f'/{kind}/',
        'kind': kind,
        'timeout_ms': 1000,
        'target_latency_ms': 100,
        'service': 'advisor',
    }


class TestRouteDecoder(unittest.TestCase):
    """Routes that stay as they are are not decoded again."""

    def decode(self, decoder: RouteDecoder, *routes: dict) -> tuple:
        return decode_configuration(
            build_config(routes=list(routes)), decoder
        ).routes

    def test_only_the_route_that_changed_is_decoded(self) -> None:
        """Each change cost as much as there are routes (SHORT)."""
        decoder = RouteDecoder()
        first, second = CONFIG['routes']
        before = self.decode(decoder, first, second)
        after = self.decode(
            decoder, {**first, 'timeout_ms': 1234}, second, first
        )

        self.assertEqual(after[0].timeout_s, 1.234)
        self.assertIs(after[1], before[1])
        self.assertEqual(len(after), 3)

    def test_configuration_that_is_malformed_changes_nothing(self) -> None:
        decoder = RouteDecoder()
        first, second = CONFIG['routes']
        before = self.decode(decoder, first, second)
        for odd in ({**second, 'kind': 5, 'timeout_ms': 'x'}, 7, {'name': []}):
            with self.subTest(odd), self.assertRaises(UnreadableValue):
                self.decode(decoder, {**first, 'timeout_ms': 1}, odd)

        self.assertEqual(self.decode(decoder, first, second), before)
