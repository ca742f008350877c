"""Tests of the schedule of heartbeats with held chunks."""

import unittest

from bramleylug.cluster.peers import Role
from bramleylug.loader.holdings_schedule import (
    HOLDINGS_INTERVAL_S,
    HoldingsSchedule,
)
from bramleylug.wire.beats_pb2 import TransferState
from testing.relay.builders import MODEL, build_peer


class TestHoldingsSchedule(unittest.TestCase):
    """Every loader learns the last change; without changes none is sent."""

    def test_last_change_reaches_loaders_of_remote_regions(self) -> None:
        """They are due less often, so heartbeats go on after the change."""
        peers = [
            build_peer(f'far-{index}', role=Role.loader, region='south')
            for index in range(40)
        ]
        schedule = HoldingsSchedule('north')
        schedule.due([TransferState(model=MODEL, version=1)], peers, 0.0)
        changed = [TransferState(model=MODEL, version=2)]

        due = [
            peer.name
            for step in range(1, 20)
            for peer in schedule.due(changed, peers, step * HOLDINGS_INTERVAL_S)
        ]

        self.assertEqual(set(due), {peer.name for peer in peers})

    def test_loader_that_joins_or_restarts_is_due(self) -> None:
        """However long ago the holdings changed."""
        states = [TransferState(model=MODEL, version=1)]
        schedule = HoldingsSchedule('north')
        schedule.due(states, [], 0.0)

        for boot, now_s in ((1, 10.0), (2, 20.0)):
            joined = build_peer('joined', boot=boot)
            self.assertEqual(schedule.due(states, [joined], now_s), [joined])

    def test_nobody_is_due_while_nothing_changes(self) -> None:
        """Heartbeats would cost bandwidth between regions."""
        schedule = HoldingsSchedule('north')
        states = [TransferState(model=MODEL, version=1)]
        schedule.due(states, [build_peer()], 0.0)

        self.assertEqual(schedule.due(states, [build_peer()], 10.0), [])
