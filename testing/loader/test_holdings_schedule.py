"""Tests of telling other loaders what is held."""

import unittest

from bramleylug.loader.holdings_schedule import TELL_S, HoldingsSchedule
from bramleylug.relay.peers import Role
from bramleylug.wire.beats_pb2 import TransferState
from testing.relay.builders import MODEL, build_peer


class TestTelling(unittest.TestCase):
    """Every loader hears of the last chunk."""

    def test_far_loaders_hear_what_came_last(self) -> None:
        """Their round comes later than the change."""
        peers = [
            build_peer(f'far-{index}', role=Role.loader, region='south')
            for index in range(40)
        ]
        schedule = HoldingsSchedule('north')
        schedule.due([TransferState(model=MODEL, version=1)], peers, 0.0)
        whole = [TransferState(model=MODEL, version=2)]

        told = [
            peer.name
            for step in range(1, 20)
            for peer in schedule.due(whole, peers, step * TELL_S)
        ]

        self.assertEqual(set(told), {peer.name for peer in peers})

    def test_loader_that_joins_hears_what_is_held(self) -> None:
        """However long ago that came; a new start joins anew."""
        states = [TransferState(model=MODEL, version=1)]
        schedule = HoldingsSchedule('north')
        schedule.due(states, [], 0.0)

        for boot, now_s in ((1, 10.0), (2, 20.0)):
            joined = build_peer('joined', boot=boot)
            self.assertEqual(schedule.due(states, [joined], now_s), [joined])

    def test_nothing_is_told_while_nothing_changes(self) -> None:
        """It costs bytes between regions."""
        schedule = HoldingsSchedule('north')
        states = [TransferState(model=MODEL, version=1)]
        schedule.due(states, [build_peer()], 0.0)

        self.assertEqual(schedule.due(states, [build_peer()], 10.0), [])
