"""Tests of the selection of an upstream for a request."""

import unittest
from collections import Counter
from random import Random
from unittest.mock import patch

from bramleylug.cluster.cold_start import ColdStart
from bramleylug.cluster.upstreams import (
    HeldWeights,
    Upstream,
    UpstreamRegistry,
    UpstreamReport,
)
from bramleylug.scheduling.placing import (
    AtCapacity,
    NoneEligible,
    Selected,
    UpstreamSelector,
    sendable_at_once,
)
from bramleylug.scheduling.estimate import EngineModel
from testing.relay.builders import (
    MODEL,
    build_constraints,
    build_requirements,
    build_upstream_record,
)
from testing.scheduling.engine_fleet import FIGURES


ENGINE = EngineModel(FIGURES)


class TestUpstreamSelector(unittest.TestCase):
    """Requests go to upstreams with free slots and complete weights."""

    def setUp(self) -> None:
        """Register two engines in the zone and one in another region."""
        self.registry = UpstreamRegistry()
        self.near = self.registry.register(build_upstream_record('near'))
        self.also_near = self.registry.register(
            build_upstream_record('also-near')
        )
        self.far = self.registry.register(
            build_upstream_record('far', zone='zone-b')
        )
        self.selector = UpstreamSelector(
            self.registry, 'zone-a', 'north', Random(1)
        )

    def select(self, now_s=0.0, **fields):
        """Select an upstream under the given constraints."""
        return self.selector.select(
            build_requirements(), build_constraints(**fields), now_s
        )

    def chosen(self, times=200, **fields):
        """Return how often each upstream is selected."""
        selections = [self.select(**fields) for _ in range(times)]
        return Counter(one.upstream.record.upstream_id for one in selections)

    def test_upstreams_of_the_own_region_get_most_requests(self) -> None:
        """Traffic between regions is avoided while there are free slots."""
        chosen = self.chosen()

        self.assertLess(chosen['far'], 40)
        self.assertGreater(min(chosen['near'], chosen['also-near']), 60)

    def test_full_upstream_gets_nothing(self) -> None:
        """Requests of this relay and of others both use slots."""
        self.near.running = 2
        self.near.reported_running['relay-2'] = (2, 0.0)

        self.assertNotIn('near', self.chosen())

    def test_expired_counts_of_other_relays_are_ignored(self) -> None:
        """A relay without recent heartbeats has no running requests."""
        self.near.reported_running['relay-2'] = (4, 0.0)

        self.assertIsInstance(self.select(now_s=10.0), Selected)
        self.assertEqual(self.near.load(10.0), 0)

    def test_at_capacity_differs_from_none_eligible(self) -> None:
        """A request may wait for upstreams that are full."""
        for upstream in self.registry.by_id.values():
            upstream.running = 4

        self.assertEqual(self.select(), AtCapacity(12))

    def test_zone_that_is_out_gets_nothing(self) -> None:
        """Engines of a zone that is taken out get no new requests."""
        self.assertEqual(set(self.chosen(zones_out={'zone-a'})), {'far'})

    def test_outdated_weights_are_not_eligible(self) -> None:
        """If all are outdated, the request does not wait."""
        selection = self.select(min_versions={MODEL: 2})

        self.assertEqual(selection, NoneEligible('holds outdated weights'))

    def test_report_of_the_loader_replaces_the_record(self) -> None:
        """The report of newly loaded weights arrives before the record."""
        weights = {MODEL: HeldWeights(2, whole=True)}
        self.far.report = UpstreamReport(1000, 0, 0, weights, False, 0.0)

        self.assertEqual(set(self.chosen(min_versions={MODEL: 2})), {'far'})

    def test_report_of_an_earlier_incarnation_is_ignored(self) -> None:
        """A restarted engine holds no layers."""
        weights = {MODEL: HeldWeights(2, whole=True)}
        self.far.report = UpstreamReport(999, 0, 0, weights, False, 0.0)

        selection = self.select(min_versions={MODEL: 2})

        self.assertIsInstance(selection, NoneEligible)

    def test_closing_engine_gets_nothing(self) -> None:
        """Its loader is about to load other weights."""
        weights = {MODEL: HeldWeights(1, whole=True)}
        self.near.report = UpstreamReport(1000, 0, 0, weights, True, 0.0)

        self.assertNotIn('near', self.chosen())

    def test_engines_with_newest_weights_are_preferred(self) -> None:
        """Requests on older versions will be cut off by the update."""
        weights = {MODEL: HeldWeights(2, whole=True)}
        self.far.report = UpstreamReport(1000, 0, 0, weights, False, 0.0)

        chosen = self.chosen(newest_versions={MODEL: 2})

        self.assertGreater(chosen['far'], 150)

    def test_partly_loaded_engine_gets_nothing(self) -> None:
        """All layers must be loaded."""
        weights = {MODEL: HeldWeights(1, whole=False)}
        self.registry.register(build_upstream_record('near', weights=weights))

        self.assertNotIn('near', self.chosen())

    def test_silent_engine_gets_nothing(self) -> None:
        """It may have more free slots than the others."""
        self.near.running = 1
        self.near.responsiveness.record_silence(-2.0)

        self.assertNotIn('near', self.chosen())

    def test_request_waits_rather_than_go_to_a_silent_engine(self) -> None:
        """All others are full."""
        self.near.running = 1
        self.near.responsiveness.record_silence(-2.0)
        self.also_near.running = 4
        self.far.running = 4

        self.assertEqual(self.select(), AtCapacity(8))

    def test_engines_are_selected_as_usual_if_all_are_silent(self) -> None:
        """This process is cut off, or stood still itself."""
        for upstream in (self.near, self.also_near, self.far):
            upstream.running = 1
            upstream.responsiveness.record_silence(-2.0)

        self.assertEqual(set(self.chosen()), {'near', 'also-near'})

    def test_region_restriction_holds(self) -> None:
        """A request is not sent outside its allowed regions."""
        requirements = build_requirements(regions=frozenset(('west',)))

        selection = self.selector.select(requirements, build_constraints(), 0.0)

        self.assertEqual(selection, NoneEligible('outside the allowed regions'))

    def test_retry_goes_to_another_upstream(self) -> None:
        """Upstreams that had the request before are excluded."""
        requirements = build_requirements(tried=('near', 'also-near'))

        selection = self.selector.select(requirements, build_constraints(), 0.0)

        self.assertIs(selection.upstream, self.far)

    def test_restarted_upstream_is_not_avoided(self) -> None:
        """State of the previous incarnation is dropped."""
        self.near.avoid_until_s = 100.0

        again = self.registry.register(
            build_upstream_record('near', started_ms=2000)
        )

        self.assertLess(again.avoid_until_s, 0)
        self.assertIsNone(again.report)


class TestHerding(unittest.TestCase):
    """Relays with the same delayed data do not all select one upstream."""

    def test_burst_from_several_relays_is_spread(self) -> None:
        """Six relays send eight each before any heartbeat arrives."""
        arrivals: Counter[str] = Counter()
        for seed in range(6):
            registry = UpstreamRegistry()
            for index in range(8):
                registry.register(
                    build_upstream_record(f'engine-{index}', slots=16)
                )
            idle = registry.by_id['engine-0']
            for upstream in registry.by_id.values():
                if upstream is not idle:
                    upstream.reported_running['relay-9'] = (8, 0.0)
            selector = UpstreamSelector(
                registry, 'zone-a', 'north', Random(seed)
            )
            for _ in range(8):
                selection = selector.select(
                    build_requirements(), build_constraints(), 0.0
                )
                selection.upstream.running += 1
                arrivals[selection.upstream.record.upstream_id] += 1

        self.assertLess(arrivals['engine-0'], 24)


class TestPenalties(unittest.TestCase):
    """Unprocessed prompts and the preferred subset affect the choice."""

    def test_engine_with_unprocessed_prompts_is_selected_less(self) -> None:
        """A prompt to be processed counts more than a running stream."""
        registry = UpstreamRegistry()
        reading = registry.register(build_upstream_record('reading', slots=16))
        writing = registry.register(build_upstream_record('writing', slots=16))
        reading.running = 4
        reading.unstarted = 4
        writing.running = 6
        selector = UpstreamSelector(registry, 'zone-a', 'north', Random(1))

        chosen = Counter(
            selector.select(
                build_requirements(), build_constraints(), 0.0
            ).upstream.record.upstream_id
            for _ in range(200)
        )

        self.assertGreater(chosen['writing'], 140)

    def test_preferred_engine_is_selected_until_it_is_full(self) -> None:
        """Other engines get the remaining requests."""
        registry = UpstreamRegistry()
        own = registry.register(build_upstream_record('own'))
        registry.register(build_upstream_record('other'))
        selector = UpstreamSelector(registry, 'zone-a', 'north', Random(1))
        constraints = build_constraints(preferred={'own'})

        chosen = Counter(
            selector.select(
                build_requirements(), constraints, 0.0
            ).upstream.record.upstream_id
            for _ in range(200)
        )
        own.running = 4
        overflow = selector.select(build_requirements(), constraints, 0.0)

        self.assertGreater(chosen['own'], 120)
        self.assertEqual(overflow.upstream.record.upstream_id, 'other')


class TestOverflow(unittest.TestCase):
    """Load: the preferred engines of a relay are full; their speed is known."""

    def setUp(self) -> None:
        """Register an engine that is preferred and one that is not."""
        self.registry = UpstreamRegistry()
        self.first = self.registry.register(
            build_upstream_record('first', slots=12)
        )
        self.other = self.registry.register(
            build_upstream_record('other', slots=12)
        )
        self.selector = UpstreamSelector(
            self.registry, 'zone-a', 'north', Random(1)
        )

    def chosen(self, preferred=('first',)) -> Counter[str]:
        """Return how often each is chosen in ten seconds."""
        constraints = build_constraints(
            preferred=frozenset(preferred), engines={'advisor': ENGINE}
        )
        selections = [
            self.selector.select(build_requirements(), constraints, now_s)
            for now_s in range(10)
        ]
        return Counter(
            one.upstream.record.upstream_id
            for one in selections
            if isinstance(one, Selected)
        )

    def test_preferred_engine_gets_all_while_it_serves_in_time(self) -> None:
        self.first.running = 4

        self.assertEqual(self.chosen(), {'first': 10})

    def test_others_get_some_when_it_is_full(self) -> None:
        self.first.running = 12

        self.assertEqual(set(self.chosen()), {'other'})

    def test_last_slots_of_others_are_left_to_their_relays(self) -> None:
        self.first.running = 12
        self.other.running = 10
        self.assertEqual(self.chosen().total(), 0)

        self.other.running = 8
        self.assertGreater(self.chosen()['other'], 0)

    def test_engines_that_none_prefers_are_all_used(self) -> None:
        """A relay has no preferred one of the newest weights, say."""
        self.first.running = 11

        self.assertEqual(self.chosen(('gone',)).total(), 10)


class TestColdStart(unittest.TestCase):
    """A cold upstream gets a limited rate of requests."""

    def test_rate_and_burst_are_limited(self) -> None:
        """At 4 per second with a burst of 2: at most 10 in 2 s."""
        cold = ColdStart(per_s=4, burst=2, tokens=1, filled_s=0.0)
        consumed = sum(cold.consume(step / 100) for step in range(200))

        self.assertLessEqual(consumed, 10)
        self.assertGreaterEqual(consumed, 8)

    def test_cold_upstream_without_token_is_at_capacity(self) -> None:
        """Requests may wait for it."""
        registry = UpstreamRegistry()
        upstream = registry.register(build_upstream_record(cold_until_s=5.0))
        upstream.cold = ColdStart(per_s=1, burst=1, tokens=0, filled_s=0.0)
        selector = UpstreamSelector(registry, 'zone-a', 'north', Random(1))

        first = selector.select(build_requirements(), build_constraints(), 0.0)
        later = selector.select(build_requirements(), build_constraints(), 1.0)

        self.assertIsInstance(first, AtCapacity)
        self.assertIsInstance(later, Selected)


class TestSharedSlots(unittest.TestCase):
    """Relays that learned of free slots together each took all of them.

    Prompts of 24 requests reached an engine with 5 free slots within 0.1 s.
    """

    def setUp(self) -> None:
        """Register an engine with 16 slots."""
        self.upstream = UpstreamRegistry().register(
            build_upstream_record(slots=16)
        )

    def at_once(self, relays, **fields):
        for name, value in fields.items():
            setattr(self.upstream, name, value)
        return sendable_at_once(self.upstream, relays, 0.0)

    def test_each_relay_takes_its_share(self) -> None:
        self.assertEqual(self.at_once(6), 2)
        self.assertEqual(self.at_once(1), 16)

    def test_share_is_one_in_a_large_fleet(self) -> None:
        self.assertEqual(self.at_once(330), 1)

    def test_next_share_follows_when_the_prompts_were_read(self) -> None:
        self.assertEqual(self.at_once(6, running=2, unstarted=2), 0)
        self.assertEqual(self.at_once(6, running=2, unstarted=1), 1)
        self.assertEqual(self.at_once(6, running=2, unstarted=0), 2)

    def test_full_engine_gets_nothing(self) -> None:
        self.assertEqual(self.at_once(6, running=16), 0)

    def test_upstream_without_prompts_is_used_up(self) -> None:
        """Its requests run side by side."""
        self.upstream = UpstreamRegistry().register(
            build_upstream_record(slots=16, weights={})
        )

        self.assertEqual(self.at_once(6, running=4, unstarted=4), 12)


class TestCost(unittest.TestCase):
    """What a selection costs for each of many upstreams."""

    def test_requests_at_an_upstream_are_counted_once(self) -> None:
        """Each relay of a large fleet has told how many it has there."""
        registry = UpstreamRegistry()
        for number in range(20):
            registry.register(build_upstream_record(f'engine-{number}'))
        selector = UpstreamSelector(registry, 'zone-a', 'north', Random(1))

        with patch.object(
            Upstream, 'load', autospec=True, side_effect=Upstream.load
        ) as counted:
            selector.select(build_requirements(), build_constraints(), 0.0)
            self.assertEqual(counted.call_count, 20)
