"""Requests, weights and configuration end to end, on fakes of the platform."""

import unittest
from unittest.mock import patch

from testing.platform.cluster import PlatformCluster, call, send_in_pieces


class TestEndToEnd(unittest.TestCase):
    """Relays and loaders act on what the operator writes to the store."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = PlatformCluster()
        cls.cluster.start()
        cls.addClassCleanup(cls.cluster.stop)

    def test_stream_is_complete_and_signed(self) -> None:
        """All six events arrive."""
        status, headers, body = self.cluster.request()

        self.assertEqual(status, 200)
        self.assertIn('X-Response-Signature', headers)
        self.assertEqual(body.count(b'data:'), 6)

    def test_unknown_key_and_unknown_route_are_refused(self) -> None:
        """With 401 and 404, while the configuration is confirmed."""
        self.assertEqual(
            self.cluster.request(Authorization='Bearer nobody')[0], 401
        )
        self.assertEqual(self.cluster.request('/nowhere/')[0], 404)

    def test_directory_names_the_relays_of_a_region(self) -> None:
        """A relay also answers for regions other than its own."""
        south = self.cluster.relays[1].settings.caller_bind

        self.assertEqual(self.cluster.resolve(0, 'south'), [south])

    def test_directory_answers_though_its_work_fails(self) -> None:
        """The exchange stayed open for ever."""
        relay = self.cluster.relays[0]
        with patch.object(
            type(relay.adapter), 'read_directory_query', side_effect=ValueError
        ):
            status, _, _ = call(
                relay.settings.directory_bind, 'GET', '/-/resolve', {}
            )

        self.assertEqual(status, 502)

    def test_readiness_and_directory_do_not_need_memory_of_callers(
        self,
    ) -> None:
        """A head that arrived in two pieces was refused."""
        relay = self.cluster.relays[0]
        held_bytes = relay.ledger.limit_bytes - relay.ledger.held_bytes
        self.assertTrue(relay.ledger.reserve(held_bytes))
        self.addCleanup(relay.ledger.release, held_bytes)
        settings = relay.settings
        for bind, path in (
            (settings.ready_bind, b'/-/readiness'),
            (settings.directory_bind, b'/-/resolve?name=advisor.example'),
        ):
            answer = send_in_pieces(bind, b'GET %s HTTP/1.1\r\n' % path)
            self.assertIn(b'200 OK', answer)

    def test_booking_on_a_public_route_runs_once(self) -> None:
        """A public route needs no key; no engine of the model runs it."""
        for number in range(5):
            name = f'booking-{number}'
            status, _, _ = self.cluster.request(
                '/book/1', X_Request_Id=name, X_Model='', Authorization=''
            )
            runs = [engine.runs[name] for engine in self.cluster.engines]

            self.assertEqual((status, sum(runs)), (200, 1))
            self.assertEqual(sum(runs[::2]), 0)

    def test_new_weights_are_loaded_by_every_engine(self) -> None:
        """No stream fails or is cut while the engines load them."""
        self.cluster.store.put(
            'op/version/fitting', {'model': 'fitting', 'version': 2}
        )
        statuses = set()

        def loaded():
            status, _, body = self.cluster.request()
            statuses.add((status, body.count(b'data:')))
            return all(engine.version == 2 for engine in self.model_engines())

        self.cluster.wait_until(loaded)

        self.assertEqual(statuses, {(200, 6)})
        self.assertEqual(
            [engine.violations for engine in self.model_engines()], [[], []]
        )

    def test_evacuated_zone_gets_no_requests(self) -> None:
        self.cluster.store.put('op/evacuate/zone-a', {})
        relay = self.cluster.relays[0]
        self.cluster.wait_until(lambda: relay.core.view.zones_out)
        before = sum(self.model_engines()[0].runs.values())
        for _ in range(5):
            self.assertEqual(self.cluster.request()[0], 200)
        after = sum(self.model_engines()[0].runs.values())
        self.cluster.store.remove('op/evacuate/zone-a')
        self.cluster.wait_until(lambda: not relay.core.view.zones_out)

        self.assertEqual(before, after)

    def test_revoked_key_is_refused(self) -> None:
        """It is accepted again once a configuration restores it."""
        tenants = [{'name': 'garage', 'api_keys': ['key-2'], 'priority': 1}]
        self.cluster.publish(tenants=tenants)
        self.cluster.wait_until(lambda: self.cluster.request()[0] == 401)
        self.cluster.publish()
        self.cluster.wait_until(lambda: self.cluster.request()[0] == 200)

    def test_change_after_the_store_lost_its_history_arrives(self) -> None:
        """The relays list the keys again and miss no configuration."""
        self.cluster.store.compact_history()
        version = self.cluster.publish()

        self.cluster.wait_until(
            lambda: all(
                relay.core.view.table.version == version
                for relay in self.cluster.relays
            )
        )

    def test_store_that_comes_back_from_an_older_copy(self) -> None:
        """Nothing that was taken away comes back; later changes arrive."""
        store = self.cluster.store
        relays = self.cluster.relays
        store.save_copy()
        tenants = [{'name': 'garage', 'api_keys': ['key-2'], 'priority': 1}]
        revoked = self.cluster.publish(tenants=tenants)
        self.cluster.wait_until(lambda: self._all_in_force(revoked))
        store.restore_copy()
        self.cluster.wait_until(
            lambda: all(
                relay.core.watchers[0].mirror.era == 2 for relay in relays
            )
        )

        statuses = {self.cluster.request(relay=one)[0] for one in (0, 1)}
        version = self.cluster.publish()

        self.assertEqual(statuses, {401})
        self.cluster.wait_until(lambda: self._all_in_force(version))
        self.cluster.wait_until(self.cluster.is_ready)
        self.assertEqual(self.cluster.request()[0], 200)

    def test_loaders_report_their_engines_to_the_relays(self) -> None:
        """Reports in heartbeats are fresher than the store's records."""
        upstreams = self.cluster.relays[0].core.view.upstreams

        def reported():
            return all(
                upstreams.by_id[engine.settings.engine_id].report is not None
                for engine in self.model_engines()
            )

        self.cluster.wait_until(reported)

    def test_readiness_is_served(self) -> None:
        address = self.cluster.relays[0].settings.ready_bind

        self.assertEqual(call(address, 'GET', '/-/readiness', {})[0], 200)

    def model_engines(self):
        """Return the engines that serve the model."""
        return self.cluster.engines[::2]

    def _all_in_force(self, version):
        return all(
            relay.core.view.table.version == version
            for relay in self.cluster.relays
        )


class TestPlannedStop(unittest.TestCase):
    """A draining relay cuts off no running request."""

    def test_draining_relay_serves_until_its_clients_have_left(self) -> None:
        """The directory omits it; late requests get 503 and do not run."""
        cluster = PlatformCluster()
        self.addCleanup(cluster.stop)
        cluster.start()
        relay = cluster.relays[0]
        relay.start_draining()

        status, headers, body = cluster.request()
        ready = call(relay.settings.ready_bind, 'GET', '/-/readiness', {})
        named = cluster.resolve(1, 'north')
        cluster.wait_until(lambda: not relay.accepts_requests())
        late = cluster.request('/book/1', X_Request_Id='late')
        runs = [engine.runs['late'] for engine in cluster.engines]
        cluster.wait_until(relay.is_idle)

        self.assertEqual((late[0], sum(runs)), (503, 0))
        self.assertEqual(late[1]['Connection'], 'close')
        self.assertEqual((status, body.count(b'data:')), (200, 6))
        self.assertEqual(headers['Connection'], 'close')
        self.assertEqual(ready[0], 503)
        self.assertNotIn(relay.settings.caller_bind, named)
