"""Tests of how a relay applies the shares of workspaces."""

import unittest
from random import Random
from types import SimpleNamespace
from typing import Any

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.held_weights import HeldWeights
from bramleylug.cluster.route_table import Workspace
from bramleylug.relay.workspace_shares import SHARES_TTL_S, WorkspaceShares
from bramleylug.scheduling.figures import RequestSize
from bramleylug.scheduling.shares import Use
from bramleylug.scheduling.waiting import Limits, Waiting, WaitingLine
from bramleylug.store.mirror import Mirror
from testing.relay.builders import (
    MODEL,
    build_peer,
    build_settings,
    build_table,
    build_upstream_record,
)

TWO = {'key-1': Workspace('garage'), 'key-2': Workspace('depot')}
# The other relays say that one workspace takes most and another is short.
TOLD = {
    ('advisor', 'garage'): Use(50, 1000),
    ('advisor', 'depot'): Use(1, 50),
}


def build_context(workspace: str = 'garage') -> SimpleNamespace:
    """Return what the shares read of a request."""
    return SimpleNamespace(
        workspace_name=workspace,
        accepted=SimpleNamespace(service='advisor'),
        request=SimpleNamespace(size=RequestSize()),
    )


class TestWorkspaceShares(unittest.TestCase):
    """Requests far above a share are refused while the service is short."""

    def setUp(self) -> None:
        self.now_s = 100.0
        self.view = ClusterView(
            build_settings(),
            lambda: build_peer('relay-1'),
            Mirror(3.0),
            lambda: self.now_s,
        )
        self.view.mirror.confirm(100.0, 100.0)
        self.view.apply_route_table(build_table(workspaces=TWO))
        self.view.peers.uses.record('relay-2', TOLD, self.now_s)
        self.shares = WorkspaceShares(self.view, Random(1), lambda: self.now_s)

    def test_most_of_a_large_workspace_is_refused(self) -> None:
        self.assertGreaterEqual(self.refused('garage', is_short=True), 90)

    def test_none_of_a_small_one_is(self) -> None:
        self.assertEqual(self.refused('depot', is_short=True), 0)

    def test_none_is_with_free_slots(self) -> None:
        self.assertEqual(self.refused('garage', is_short=False), 0)

    def test_slot_that_has_just_become_free_is_for_others(self) -> None:
        self.refused('garage', is_short=True)
        self.now_s += 0.4
        self.assertGreaterEqual(self.refused('garage', is_short=False), 90)

    def test_none_is_soon_after_the_service_was_short(self) -> None:
        self.refused('garage', is_short=True)
        self.now_s += 0.6
        self.assertEqual(self.refused('garage', is_short=False), 0)

    def test_single_workspace_competes_with_none(self) -> None:
        one = {'key-1': TWO['key-1']}
        self.view.apply_route_table(build_table(workspaces=one))
        self.assertEqual(self.refused('garage', is_short=True), 0)

    def test_uses_are_told_while_the_service_is_short(self) -> None:
        self.shares.record_arrival(build_context())
        self.assertEqual(self.shares.told(), {})
        self.refused('garage', is_short=True)
        self.assertEqual(set(self.shares.told()), {('advisor', 'garage')})

    def test_view_is_kept_while_cut_off(self) -> None:
        for name in ('relay-2', 'relay-3'):
            self.view.peers.add(build_peer(name))
        self.now_s += 10.0
        self.shares.clean_up()
        self.assertGreaterEqual(self.refused('garage', is_short=True), 90)

    def refused(self, workspace: str, *, is_short: bool) -> int:
        """Return how many of 100 requests are refused."""
        context = build_context(workspace)
        return sum(
            self.shares.refuses(context, is_short=is_short) for _ in range(100)
        )


class TestCapacityAfterOutage(unittest.TestCase):
    """Nothing was taken for 6 s, and the workspaces want 15 slots."""

    def setUp(self) -> None:
        self.now_s = 100.0
        self.view = ClusterView(
            build_settings(),
            lambda: build_peer('relay-1'),
            Mirror(3.0),
            lambda: self.now_s,
        )
        self.view.mirror.confirm(100.0, 100.0)
        self.view.apply_route_table(build_table(workspaces=TWO))
        self.shares = WorkspaceShares(self.view, Random(1), lambda: self.now_s)
        for step in range(120):
            self.now_s += 0.1
            self.arrive('garage', is_sent=step < 60)
            if step % 2:
                self.arrive('depot', is_sent=step < 60 and step % 10 == 1)

    def test_none_is_refused_while_slots_are_free(self) -> None:
        self.register(slots=10)
        self.assertEqual(self.refused('garage'), 0)
        self.assertEqual(self.refused('depot'), 0)

    def test_shares_act_again_as_slots_fill(self) -> None:
        self.register(slots=10)
        for workspace in ('garage', 'garage', 'garage', 'garage', 'depot') * 3:
            self.shares.record_sent(build_context(workspace))
        for upstream in self.view.upstreams.by_id.values():
            upstream.running = upstream.record.slots
        self.now_s += SHARES_TTL_S
        # It wants 10, and 1.25 of its half of those that are taken are 4.
        self.assertGreaterEqual(self.refused('garage'), 50)
        self.assertEqual(self.refused('depot'), 0)

    def test_slots_that_may_not_be_used_do_not_count(self) -> None:
        self.view.versions.add_target(MODEL, 2, float('-inf'))
        self.view.zones_out.add('zone-b')
        newest = {MODEL: HeldWeights(2, whole=True)}
        for name, fields in {
            'outdated': {'weights': {MODEL: HeldWeights(1, whole=True)}},
            'incomplete': {'weights': {MODEL: HeldWeights(2, whole=False)}},
            'draining': {'weights': newest, 'draining': True},
            'zone out': {'weights': newest, 'zone': 'zone-b'},
            'cold': {'weights': newest, 'cold_until_s': float('inf')},
            'of another service': {'weights': newest, 'service': 'bookings'},
        }.items():
            with self.subTest(name):
                self.view.upstreams.by_id.clear()
                self.register(slots=10, **fields)
                self.now_s += SHARES_TTL_S
                self.assertGreaterEqual(self.refused('garage'), 80)
        self.register(slots=10, weights=newest)
        self.now_s += SHARES_TTL_S
        self.assertEqual(self.refused('garage'), 0)

    def test_relay_that_is_cut_off_knows_of_no_free_slots(self) -> None:
        for name in ('relay-2', 'relay-3'):
            self.view.peers.add(build_peer(name))
        self.register(slots=10)
        self.assertGreaterEqual(self.refused('garage'), 80)

    def register(self, **fields: Any) -> None:
        for name in ('engine-1', 'engine-2'):
            self.view.register_upstream(build_upstream_record(name, **fields))

    def arrive(self, workspace: str, *, is_sent: bool) -> None:
        context = build_context(workspace)
        self.shares.record_arrival(context)
        if is_sent:
            self.shares.record_sent(context)

    def refused(self, workspace: str) -> int:
        """Return how many of 100 requests are refused."""
        context = build_context(workspace)
        return sum(
            self.shares.refuses(context, is_short=True) for _ in range(100)
        )


class TestOrder(unittest.TestCase):
    """A workspace of more weight is chosen more often."""

    def test_weights_are_kept(self) -> None:
        line = WaitingLine()
        line.weigh = {'garage': 0.25, 'depot': 1.0}.__getitem__
        for token in range(40):
            for place, workspace in enumerate(('garage', 'depot')):
                limits = Limits(in_time_s=1.0, whole_s=2.0)
                line.push(Waiting(2 * token + place, workspace, 0, limits))
        chosen = [
            line.pop(0.0, lambda _: True, lambda _: (False, 0)).workspace
            for _ in range(20)
        ]
        self.assertEqual(chosen.count('depot'), 16)
