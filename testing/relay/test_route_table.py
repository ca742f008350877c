"""Tests of routes and who may be served where."""

import unittest
from random import Random

from bramleylug.relay.route_table import (
    RetryPolicy,
    ServiceShare,
    Workspace,
    allowed_regions,
)
from testing.relay.builders import build_route, build_table


class TestRoutes(unittest.TestCase):
    """The longest prefix of a host's routes wins."""

    def setUp(self) -> None:
        """Have one route below another."""
        self.table = build_table(
            build_route(name='short', path_prefix='/a/'),
            build_route(name='long', path_prefix='/a/b/'),
            build_route(name='other', host='other.example', path_prefix='/'),
        )

    def test_longest_prefix_wins(self) -> None:
        """The order in the configuration does not matter."""
        route = self.table.find_route('advisor.example', '/a/b/c')

        self.assertEqual(route.name, 'long')

    def test_host_names_ignore_case(self) -> None:
        """Host names are compared as RFC 9110 says."""
        route = self.table.find_route('Advisor.Example', '/a/c')

        self.assertEqual(route.name, 'short')

    def test_prefix_of_another_host_does_not_match(self) -> None:
        """Every host has routes of its own."""
        self.assertIsNone(self.table.find_route('advisor.example', '/b/'))

    def test_shares_are_kept(self) -> None:
        """A tenth of the requests goes to the new service."""
        route = build_route(
            shares=(ServiceShare('old', 90), ServiceShare('new', 10))
        )
        random = Random(1)

        chosen = [route.choose_service(random) for _ in range(1000)]

        self.assertAlmostEqual(chosen.count('new'), 100, delta=30)

    def test_cutting_needs_resumable_routes(self) -> None:
        """One route that cannot resume makes its service wait."""
        once = build_route(name='once', retry_policy=RetryPolicy.never)

        self.assertTrue(build_table().all_resumable('advisor'))
        self.assertFalse(
            build_table(build_route(), once).all_resumable('advisor')
        )


class TestRegions(unittest.TestCase):
    """Route and workspace both bind."""

    def test_nothing_bound_is_anywhere(self) -> None:
        """No bound is not the same as no region."""
        self.assertIsNone(allowed_regions(build_route(), Workspace('a')))

    def test_both_bind(self) -> None:
        """What both allow is left."""
        route = build_route(regions=frozenset(('north', 'south')))
        workspace = Workspace('a', regions=frozenset(('south', 'west')))

        self.assertEqual(
            allowed_regions(route, workspace), frozenset(('south',))
        )

    def test_contradiction_allows_nothing(self) -> None:
        """Two bounds without a common region leave none."""
        route = build_route(regions=frozenset(('north',)))
        workspace = Workspace('a', regions=frozenset(('south',)))

        self.assertEqual(allowed_regions(route, workspace), frozenset())
