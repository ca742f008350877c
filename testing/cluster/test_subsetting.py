"""Tests of the subset of upstreams that each relay prefers."""

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from bramleylug.cluster.subsetting import preferred_subset


class TestPreferredSubset(unittest.TestCase):
    """Relays are distributed evenly over upstreams."""

    @given(st.integers(1, 40), st.integers(1, 40))
    def test_upstreams_are_preferred_equally_often(
        self, relay_count, upstream_count
    ) -> None:
        """Every relay prefers at least one upstream."""
        relays = [f'relay-{number}' for number in range(relay_count)]
        upstreams = [f'engine-{number}' for number in range(upstream_count)]
        shares = [
            preferred_subset(relay, relays, upstreams) for relay in relays
        ]
        counts = Counter(name for share in shares for name in share)

        self.assertTrue(all(shares))
        self.assertEqual(set(counts), set(upstreams))
        self.assertLessEqual(max(counts.values()) - min(counts.values()), 1)

    def test_unlisted_relay_prefers_none(self) -> None:
        """It is draining, or has not registered itself yet."""
        self.assertEqual(
            preferred_subset('own', ['other'], ['engine']), frozenset()
        )
