"""Tests of what relays tell each other of the engines that they share."""

import unittest
from collections import Counter
from functools import partial

from hypothesis import given
from hypothesis import strategies as st

from bramleylug.cluster.subsetting import shared_subset
from bramleylug.cluster.upstreams import UpstreamRegistry
from bramleylug.cluster.work_exchange import WorkExchange
from bramleylug.scheduling.estimate import EngineModel
from bramleylug.scheduling.placing import engine_load
from testing.relay.builders import build_upstream_record
from testing.scheduling.engine_fleet import FIGURES

RELAYS = ['relay-1', 'relay-2', 'relay-3']
MODELS = {'advisor': EngineModel(FIGURES)}


class TestSharedSubset(unittest.TestCase):
    """Each engine has some relays that send there first."""

    @given(st.integers(1, 300), st.integers(1, 100))
    def test_each_engine_is_shared_by_few_relays(
        self, relay_count: int, engine_count: int
    ) -> None:
        engines = [f'engine-{number}' for number in range(engine_count)]
        shares = [
            shared_subset(number, relay_count, engines)
            for number in range(relay_count)
        ]
        counts = Counter(name for share in shares for name in share)

        self.assertEqual(set(counts), set(engines))
        self.assertLessEqual(
            max(counts.values()), max(13, 2 * relay_count / engine_count + 2)
        )

    @given(st.integers(1, 300), st.integers(2, 100))
    def test_each_relay_has_a_choice(
        self, relay_count: int, engine_count: int
    ) -> None:
        engines = [f'engine-{number}' for number in range(engine_count)]

        for number in range(relay_count):
            share = shared_subset(number, relay_count, engines)
            self.assertGreaterEqual(len(set(share)), 2)


class TestWorkExchange(unittest.TestCase):
    """Each request is told to the relays that share its engine."""

    def setUp(self) -> None:
        self.now_s = 0.0
        self.registries = {name: UpstreamRegistry() for name in RELAYS}
        self.exchanges = {
            name: WorkExchange(registry, self.read_clock)
            for name, registry in self.registries.items()
        }
        for name, exchange in self.exchanges.items():
            self.registries[name].register(build_upstream_record())
            exchange.share(name, RELAYS, {'advisor': ['engine-1']}, MODELS)
            exchange.send = partial(self.deliver, name)

    def read_clock(self) -> float:
        return self.now_s

    def deliver(self, sender: str, names, message) -> None:
        """Let other relays receive a message."""
        for name in names:
            self.exchanges[name].receive(sender, message)

    def send(self, relay: str, tokens: int) -> None:
        """Let a relay send a prompt."""
        upstream = self.registries[relay].by_id['engine-1']
        upstream.running += 1
        upstream.work.record_sent(1, tokens, self.now_s, None)
        self.exchanges[relay].announce(upstream)

    def load(self, relay: str):
        """Return the engine's load as a relay knows it."""
        upstream = self.registries[relay].by_id['engine-1']
        free_slots = upstream.free_slots(self.now_s)
        return engine_load(MODELS['advisor'], upstream, free_slots, self.now_s)

    def test_prompts_of_others_are_known_at_once(self) -> None:
        self.send('relay-1', 800)
        self.send('relay-2', 300)

        load = self.load('relay-3')
        self.assertEqual(
            (load.requests, load.unread, load.unread_tokens), (2, 2, 1100)
        )

    def test_prompt_that_was_read_is_told(self) -> None:
        self.send('relay-1', 800)
        upstream = self.registries['relay-1'].by_id['engine-1']
        upstream.work.record_started(1)
        self.exchanges['relay-1'].announce(upstream)

        load = self.load('relay-3')
        self.assertEqual((load.requests, load.unread), (1, 0))

    def test_news_of_a_relay_that_is_gone_expires(self) -> None:
        """Its end is never told."""
        self.send('relay-1', 800)
        self.now_s = 2.0

        load = self.load('relay-3')
        self.assertEqual((load.requests, load.unread), (0, 0))

    def test_heartbeat_without_an_engine_ends_its_count(self) -> None:
        self.send('relay-1', 800)
        self.registries['relay-3'].record_counts('relay-1', {}, self.now_s)

        self.assertEqual(self.load('relay-3').requests, 0)

    def test_pace_that_the_streams_of_others_show(self) -> None:
        upstream = self.registries['relay-1'].by_id['engine-1']
        for number in range(4):
            upstream.work.passes.record(number / 5, (number + 1) / 5)
        self.now_s = 0.8
        self.send('relay-1', 800)

        self.assertGreater(self.load('relay-3').pace, 4)

    def test_datagrams_are_limited(self) -> None:
        """A relay with very many requests leaves room for other traffic."""
        sent = 0

        def count_sent(names, message) -> None:
            nonlocal sent
            sent += len(names)

        exchange = self.exchanges['relay-1']
        exchange.send = count_sent
        for number in range(2000):
            self.now_s = number / 200
            self.send('relay-1', 800)

        self.assertLessEqual(sent * 80, 10 * 8000)

    def test_service_without_figures_has_one_preferred_upstream(self) -> None:
        """Nothing is told of it."""
        exchange = self.exchanges['relay-1']
        exchange.share(
            'relay-1', RELAYS, {'bookings': ['host-1', 'host-2']}, MODELS
        )

        self.assertEqual(len(exchange.preferred), 1)
        self.assertNotIn('host-1', exchange.sharers)
