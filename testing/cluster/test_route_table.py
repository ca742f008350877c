"""Tests of routes and of the regions that may serve a request."""

import unittest
from random import Random

from bramleylug.cluster.route_table import (
    RetryPolicy,
    ServiceShare,
    Workspace,
    allowed_regions,
)
from bramleylug.scheduling.demand import urgency_rank
from testing.relay.builders import build_route, build_table


class TestRoutes(unittest.TestCase):
    """The route with the longest matching prefix is used."""

    def setUp(self) -> None:
        """Build a table with two nested prefixes."""
        self.table = build_table(
            build_route(name='short', path_prefix='/a/'),
            build_route(name='long', path_prefix='/a/b/'),
            build_route(name='other', host='other.example', path_prefix='/'),
        )

    def test_longest_prefix_wins(self) -> None:
        """The order in the configuration has no effect."""
        route = self.table.find_route('advisor.example', '/a/b/c')

        self.assertEqual(route.name, 'long')

    def test_host_names_ignore_case(self) -> None:
        """Host names are case-insensitive (RFC 9110)."""
        route = self.table.find_route('Advisor.Example', '/a/c')

        self.assertEqual(route.name, 'short')

    def test_prefix_of_another_host_does_not_match(self) -> None:
        """Routes are looked up by host name first."""
        self.assertIsNone(self.table.find_route('advisor.example', '/b/'))

    def test_requests_are_split_by_weight(self) -> None:
        """A tenth of the requests goes to the new service."""
        route = build_route(
            shares=(ServiceShare('old', 90), ServiceShare('new', 10))
        )
        random = Random(1)

        chosen = [route.choose_service(random) for _ in range(1000)]

        self.assertAlmostEqual(chosen.count('new'), 100, delta=30)

    def test_service_is_resumable_only_if_all_its_routes_are(self) -> None:
        """Running requests of the service must then be left to end."""
        once = build_route(name='once', retry_policy=RetryPolicy.never)

        self.assertTrue(build_table().all_resumable('advisor'))
        self.assertFalse(
            build_table(build_route(), once).all_resumable('advisor')
        )


class TestUrgencies(unittest.TestCase):
    """Ranks by urgency that requests of a service may have."""

    def ranks(self, *urgencies, **fields):
        table = build_table(
            *(
                build_route(urgency=urgency, path_prefix=f'/{urgency}/')
                for urgency in urgencies
            ),
            **fields,
        )
        return table.urgencies['advisor']

    def test_routes_of_one_urgency_have_one_rank(self) -> None:
        self.assertEqual(len(self.ranks(1)), 1)

    def test_workspaces_of_one_urgency_leave_those_of_the_routes(self) -> None:
        """Else no request would be more urgent than another one."""
        workspaces = {'key-1': Workspace('garage', 1)}

        self.assertEqual(len(self.ranks(0, 2, workspaces=workspaces)), 2)

    def test_urgency_of_a_workspace_goes_first(self) -> None:
        self.assertLess(urgency_rank(0, 2), urgency_rank(1, 0))
        self.assertLess(urgency_rank(1, 0), urgency_rank(1, 2))


class TestRegions(unittest.TestCase):
    """Restrictions of route and workspace are combined."""

    def test_no_restriction_allows_any_region(self) -> None:
        """No restriction differs from an empty set of regions."""
        self.assertIsNone(allowed_regions(build_route(), Workspace('a')))

    def test_restrictions_are_intersected(self) -> None:
        """Only regions that both allow are left."""
        route = build_route(regions=frozenset(('north', 'south')))
        workspace = Workspace('a', regions=frozenset(('south', 'west')))

        self.assertEqual(
            allowed_regions(route, workspace), frozenset(('south',))
        )

    def test_disjoint_restrictions_allow_no_region(self) -> None:
        """Restrictions without a common region leave none."""
        route = build_route(regions=frozenset(('north',)))
        workspace = Workspace('a', regions=frozenset(('south',)))

        self.assertEqual(allowed_regions(route, workspace), frozenset())


class TestPatience(unittest.TestCase):
    """How long callers wait for the next event of a stream."""

    def test_unknown_without_an_objective_for_pauses(self) -> None:
        self.assertEqual(build_route(objective_s=0.4).patience_s, 0)

    def test_longer_of_objectives_and_pauses(self) -> None:
        eager = build_route(objective_s=0.4, pause_objective_s=0.4)
        slow = build_route(objective_s=1.0, pause_objective_s=0.4)

        self.assertAlmostEqual(eager.patience_s, 3.2)
        self.assertAlmostEqual(slow.patience_s, 4.0)
