"""Tests of which upstreams a relay favours."""

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from bramleylug.relay.subsetting import preferred_subset


class TestFavoured(unittest.TestCase):
    """Relays spread over upstreams by design."""

    @given(st.integers(1, 40), st.integers(1, 40))
    def test_every_upstream_is_favoured_about_as_often(
        self, relay_count, upstream_count
    ) -> None:
        """And every relay favours at least one."""
        relays = [f'relay-{number}' for number in range(relay_count)]
        upstreams = [f'engine-{number}' for number in range(upstream_count)]
        shares = [
            preferred_subset(relay, relays, upstreams) for relay in relays
        ]
        counts = Counter(name for share in shares for name in share)

        self.assertTrue(all(shares))
        self.assertEqual(set(counts), set(upstreams))
        self.assertLessEqual(max(counts.values()) - min(counts.values()), 1)

    def test_relay_that_is_not_listed_favours_none(self) -> None:
        """It leaves, or has not announced itself yet."""
        self.assertEqual(
            preferred_subset('own', ['other'], ['engine']), frozenset()
        )
