"""The whole path on stand-ins of the platform, small."""

import unittest

from testing.platform.cluster import PlatformCluster, call


class TestWholePath(unittest.TestCase):
    """From the operator's keys to whole answers."""

    @classmethod
    def setUpClass(cls) -> None:
        """Start two relays, two engines with loaders, two records services."""
        cls.cluster = PlatformCluster()
        cls.cluster.start()
        cls.addClassCleanup(cls.cluster.stop)

    def test_stream_is_whole_and_signed(self) -> None:
        """All events come, in order."""
        status, headers, body = self.cluster.ask()

        self.assertEqual(status, 200)
        self.assertIn('X-Response-Signature', headers)
        self.assertEqual(body.count(b'data:'), 6)

    def test_unknown_key_and_route_are_denied(self) -> None:
        """While the configuration is confirmed."""
        self.assertEqual(
            self.cluster.ask(Authorization='Bearer nobody')[0], 401
        )
        self.assertEqual(self.cluster.ask('/nowhere/')[0], 404)

    def test_directory_names_the_relays_of_a_region(self) -> None:
        """Any relay answers for every region."""
        south = self.cluster.relays[1].settings.caller_bind

        self.assertEqual(self.cluster.resolve(0, 'south'), [south])

    def test_booking_runs_once(self) -> None:
        """No key is needed on a public route."""
        status, _, _ = self.cluster.ask('/book/1', X_Request_Id='booking-1')

        runs = [engine.runs['booking-1'] for engine in self.cluster.engines]

        self.assertEqual((status, sum(runs)), (200, 1))

    def test_new_weights_are_loaded_everywhere(self) -> None:
        """Streams go on meanwhile; every engine ends with the new version."""
        self.cluster.store.put(
            'op/version/fitting', {'model': 'fitting', 'version': 2}
        )
        statuses = set()

        def loaded():
            status, _, body = self.cluster.ask()
            statuses.add((status, body.count(b'data:')))
            return all(engine.version == 2 for engine in self.models())

        self.cluster.wait_until(loaded)

        self.assertEqual(statuses, {(200, 6)})
        self.assertEqual([engine.faults for engine in self.models()], [[], []])

    def test_zone_that_is_out_gets_no_request(self) -> None:
        """Until it is taken back in."""
        self.cluster.store.put('op/evacuate/zone-a', {})
        relay = self.cluster.relays[0]
        self.cluster.wait_until(lambda: relay.core.view.zones_out)
        before = sum(self.models()[0].runs.values())
        for _ in range(5):
            self.assertEqual(self.cluster.ask()[0], 200)
        after = sum(self.models()[0].runs.values())
        self.cluster.store.remove('op/evacuate/zone-a')
        self.cluster.wait_until(lambda: not relay.core.view.zones_out)

        self.assertEqual(before, after)

    def test_revoked_key_is_refused(self) -> None:
        """As soon as the configuration without it is in force."""
        tenants = [{'name': 'garage', 'api_keys': ['key-2'], 'priority': 1}]
        self.cluster.publish(tenants=tenants)
        self.cluster.wait_until(lambda: self.cluster.ask()[0] == 401)
        self.cluster.publish()
        self.cluster.wait_until(lambda: self.cluster.ask()[0] == 200)

    def test_lost_history_loses_no_news(self) -> None:
        """The store forgets, then the configuration changes."""
        self.cluster.store.forget_history()
        version = self.cluster.publish()

        self.cluster.wait_until(
            lambda: all(
                relay.core.view.table.version == version
                for relay in self.cluster.relays
            )
        )

    def test_loaders_report_their_engines_to_the_relays(self) -> None:
        """Their word is fresher than the records."""
        book = self.cluster.relays[0].core.view.upstreams

        def reported():
            return all(
                book.by_id[engine.settings.engine_id].report is not None
                for engine in self.models()
            )

        self.cluster.wait_until(reported)

    def test_metrics_and_readiness_are_served(self) -> None:
        """Readiness turns with the relay's state."""
        address = self.cluster.relays[0].settings.ready_bind

        self.assertEqual(call(address, 'GET', '/-/readiness', {})[0], 200)

    def models(self):
        """Return the engines that serve the model."""
        return self.cluster.engines[::2]


class TestPlannedStop(unittest.TestCase):
    """A relay that stops cuts nothing."""

    def test_requests_are_served_until_callers_have_left(self) -> None:
        """It is named no more, answers, and then ends."""
        cluster = PlatformCluster()
        self.addCleanup(cluster.stop)
        cluster.start()
        relay = cluster.relays[0]
        relay.start_draining()

        status, headers, body = cluster.ask()
        ready = call(relay.settings.ready_bind, 'GET', '/-/readiness', {})
        named = cluster.resolve(1, 'north')
        cluster.wait_until(lambda: not relay.takes_requests())
        late = cluster.ask('/book/1', X_Request_Id='late')
        runs = [engine.runs['late'] for engine in cluster.engines]
        cluster.wait_until(relay.is_idle)

        self.assertEqual((late[0], sum(runs)), (503, 0))
        self.assertEqual(late[1]['Connection'], 'close')
        self.assertEqual((status, body.count(b'data:')), (200, 6))
        self.assertEqual(headers['Connection'], 'close')
        self.assertEqual(ready[0], 503)
        self.assertNotIn(relay.settings.caller_bind, named)
