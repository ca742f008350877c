"""Tests of the choice of an upstream, at the load of one service."""

import unittest
from collections import Counter
from random import Random

from bramleylug.relay.upstream_selection import (
    AtCapacity,
    NoneEligible,
    Selected,
    UpstreamSelector,
)
from bramleylug.relay.upstreams import (
    ColdStart,
    HeldWeights,
    UpstreamRegistry,
    UpstreamReport,
)
from testing.relay.builders import (
    MODEL,
    build_constraints,
    build_demand,
    build_record,
)


class TestPlacer(unittest.TestCase):
    """Requests go where there is room and whole weights."""

    def setUp(self) -> None:
        """Have two engines in the zone and one elsewhere."""
        self.book = UpstreamRegistry()
        self.near = self.book.register(build_record('near'))
        self.also_near = self.book.register(build_record('also-near'))
        self.far = self.book.register(build_record('far', zone='zone-b'))
        self.placer = UpstreamSelector(self.book, 'zone-a', 'north', Random(1))

    def place(self, now_s=0.0, **fields):
        """Place a request under some constraints."""
        return self.placer.place(
            build_demand(), build_constraints(**fields), now_s
        )

    def chosen(self, times=200, **fields):
        """Return how often each upstream was chosen."""
        placed = [self.place(**fields) for _ in range(times)]
        return Counter(one.upstream.record.upstream_id for one in placed)

    def test_near_ones_get_most(self) -> None:
        """Bytes between regions are saved where there is room."""
        chosen = self.chosen()

        self.assertLess(chosen['far'], 40)
        self.assertGreater(min(chosen['near'], chosen['also-near']), 60)

    def test_full_upstream_gets_nothing(self) -> None:
        """Own requests and those of other entries both take slots."""
        self.near.running = 2
        self.near.others['relay-2'] = (2, 0.0)

        self.assertNotIn('near', self.chosen())

    def test_old_news_of_others_is_forgotten(self) -> None:
        """An entry that is silent for long has nothing running."""
        self.near.others['relay-2'] = (4, 0.0)

        self.assertIsInstance(self.place(now_s=10.0), Selected)
        self.assertEqual(self.near.load(10.0), 0)

    def test_all_full_is_told_apart_from_nowhere(self) -> None:
        """A request may wait for what is full."""
        for upstream in self.book.by_id.values():
            upstream.running = 4

        self.assertEqual(self.place(), AtCapacity(12))

    def test_zone_that_is_out_gets_nothing(self) -> None:
        """The engines of a zone that was taken out get no new work."""
        self.assertEqual(set(self.chosen(zones_out={'zone-a'})), {'far'})

    def test_outdated_weights_serve_nothing(self) -> None:
        """Where all are outdated the request is refused at once."""
        placement = self.place(min_versions={MODEL: 2})

        self.assertEqual(placement, NoneEligible('holds outdated weights'))

    def test_report_of_the_loader_is_fresher_than_the_record(self) -> None:
        """An engine that took new weights serves before its record says so."""
        weights = {MODEL: HeldWeights(2, whole=True)}
        self.far.report = UpstreamReport(1000, 0, 0, weights, False, 0.0)

        self.assertEqual(set(self.chosen(min_versions={MODEL: 2})), {'far'})

    def test_report_of_an_earlier_incarnation_counts_nothing(self) -> None:
        """A restarted engine holds no layers, whatever was told before."""
        weights = {MODEL: HeldWeights(2, whole=True)}
        self.far.report = UpstreamReport(999, 0, 0, weights, False, 0.0)

        placement = self.place(min_versions={MODEL: 2})

        self.assertIsInstance(placement, NoneEligible)

    def test_closing_engine_gets_nothing(self) -> None:
        """Its loader is about to load other weights."""
        weights = {MODEL: HeldWeights(1, whole=True)}
        self.near.report = UpstreamReport(1000, 0, 0, weights, True, 0.0)

        self.assertNotIn('near', self.chosen())

    def test_outdated_engines_come_last(self) -> None:
        """Once a version is named, what runs on older ones is cut soon."""
        weights = {MODEL: HeldWeights(2, whole=True)}
        self.far.report = UpstreamReport(1000, 0, 0, weights, False, 0.0)

        chosen = self.chosen(newest_versions={MODEL: 2})

        self.assertGreater(chosen['far'], 150)

    def test_partly_loaded_engine_serves_nothing(self) -> None:
        """Every layer has to be there."""
        weights = {MODEL: HeldWeights(1, whole=False)}
        self.book.register(build_record('near', weights=weights))

        self.assertNotIn('near', self.chosen())

    def test_region_bound_holds(self) -> None:
        """A request that may not leave its region is not sent elsewhere."""
        demand = build_demand(regions=frozenset(('west',)))

        placement = self.placer.place(demand, build_constraints(), 0.0)

        self.assertEqual(placement, NoneEligible('outside the allowed regions'))

    def test_tried_upstream_is_not_tried_again(self) -> None:
        """A retry goes elsewhere."""
        demand = build_demand(tried=('near', 'also-near'))

        placement = self.placer.place(demand, build_constraints(), 0.0)

        self.assertIs(placement.upstream, self.far)

    def test_restart_with_the_same_id_starts_clean(self) -> None:
        """What was known of the incarnation before does not count."""
        self.near.avoid_until_s = 100.0

        again = self.book.register(build_record('near', started_ms=2000))

        self.assertLess(again.avoid_until_s, 0)
        self.assertIsNone(again.report)


class TestHerding(unittest.TestCase):
    """Entries with the same old news do not all choose the same upstream."""

    def test_burst_of_many_entries_spreads(self) -> None:
        """Six entries send eight each before any hears of the others."""
        arrivals: Counter[str] = Counter()
        for seed in range(6):
            book = UpstreamRegistry()
            for index in range(8):
                book.register(build_record(f'engine-{index}', slots=16))
            idle = book.by_id['engine-0']
            for upstream in book.by_id.values():
                if upstream is not idle:
                    upstream.others['relay-9'] = (8, 0.0)
            placer = UpstreamSelector(book, 'zone-a', 'north', Random(seed))
            for _ in range(8):
                placed = placer.place(build_demand(), build_constraints(), 0.0)
                placed.upstream.running += 1
                arrivals[placed.upstream.record.upstream_id] += 1

        self.assertLess(arrivals['engine-0'], 24)


class TestPrompts(unittest.TestCase):
    """Prompts that wait to be read at an engine delay one another."""

    def test_engine_with_prompts_to_read_comes_later(self) -> None:
        """Two running streams weigh less than one prompt and a stream."""
        book = UpstreamRegistry()
        reading = book.register(build_record('reading', slots=16))
        writing = book.register(build_record('writing', slots=16))
        reading.running = 4
        reading.starting = 4
        writing.running = 6
        placer = UpstreamSelector(book, 'zone-a', 'north', Random(1))

        chosen = Counter(
            placer.place(
                build_demand(), build_constraints(), 0.0
            ).upstream.record.upstream_id
            for _ in range(200)
        )

        self.assertGreater(chosen['writing'], 140)

    def test_favoured_engine_comes_first_until_it_is_full(self) -> None:
        """Then the others take what is left."""
        book = UpstreamRegistry()
        own = book.register(build_record('own'))
        book.register(build_record('other'))
        placer = UpstreamSelector(book, 'zone-a', 'north', Random(1))
        constraints = build_constraints(preferred={'own'})

        chosen = Counter(
            placer.place(
                build_demand(), constraints, 0.0
            ).upstream.record.upstream_id
            for _ in range(200)
        )
        own.running = 4
        spilled = placer.place(build_demand(), constraints, 0.0)

        self.assertGreater(chosen['own'], 120)
        self.assertEqual(spilled.upstream.record.upstream_id, 'other')


class TestColdStart(unittest.TestCase):
    """A cold upstream gets no more than it bears."""

    def test_rate_and_burst_are_bounded(self) -> None:
        """In two seconds at 4 a second with a burst of 2: ten at most."""
        cold = ColdStart(per_s=4, burst=2, tokens=1, filled_s=0.0)
        taken = sum(cold.take(step / 100) for step in range(200))

        self.assertLessEqual(taken, 10)
        self.assertGreaterEqual(taken, 8)

    def test_cold_upstream_is_not_ready_without_a_token(self) -> None:
        """It is full, not gone: requests may wait for it."""
        book = UpstreamRegistry()
        upstream = book.register(build_record(cold_until_s=5.0))
        upstream.cold = ColdStart(per_s=1, burst=1, tokens=0, filled_s=0.0)
        placer = UpstreamSelector(book, 'zone-a', 'north', Random(1))

        first = placer.place(build_demand(), build_constraints(), 0.0)
        later = placer.place(build_demand(), build_constraints(), 1.0)

        self.assertIsInstance(first, AtCapacity)
        self.assertIsInstance(later, Selected)
