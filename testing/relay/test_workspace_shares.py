"""Tests of how a relay applies the shares of workspaces."""

import unittest
from random import Random
from types import SimpleNamespace

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.route_table import Workspace
from bramleylug.relay.workspace_shares import WorkspaceShares
from bramleylug.scheduling.figures import RequestSize
from bramleylug.scheduling.shares import Use
from bramleylug.scheduling.waiting import Limits, Waiting, WaitingLine
from bramleylug.store.mirror import Mirror
from testing.relay.builders import build_peer, build_settings, build_table

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
