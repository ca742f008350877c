"""Tests of how the turns of an event loop are measured."""

import unittest

from loguru import logger

from bramleylug.node.loop_turns import (
    LOG_INTERVAL_S,
    Turn,
    TurnRecord,
    TurnSelector,
)
from bramleylug.observability.metrics import LONG_TURNS


class TestTurnRecord(unittest.TestCase):
    """Long turns are counted; the longest ones are logged now and then."""

    def test_short_turn_is_not_counted(self) -> None:
        before = LONG_TURNS.get({}) if LONG_TURNS.get_all() else 0

        logged = TurnRecord().record(Turn(0.03, 0.03), 1.0)

        self.assertFalse(logged)
        after = LONG_TURNS.get({}) if LONG_TURNS.get_all() else 0
        self.assertEqual(after, before)

    def test_long_turn_is_counted(self) -> None:
        turns = TurnRecord()
        turns.record(Turn(0.04, 0.04), 1.0)
        before = LONG_TURNS.get({})

        logged = turns.record(Turn(0.1, 0.1), 1.0)

        self.assertFalse(logged)
        self.assertEqual(LONG_TURNS.get({}), before + 1)

    def test_logged_turns_keep_an_interval(self) -> None:
        """A starved process is not starved further by its log."""
        turns = TurnRecord()
        moments = (1.0, 1.3, LOG_INTERVAL_S, LOG_INTERVAL_S + 1.1)

        logged = [turns.record(Turn(0.3, 0.3), now_s) for now_s in moments]

        self.assertEqual(logged, [True, False, False, True])


class TestTurnSelector(unittest.TestCase):
    """Time and processor time between two waits are told apart."""

    def test_long_turn_is_logged_with_its_processor_time(self) -> None:
        lines: list[str] = []
        sink = logger.add(lines.append, format='{message}')
        self.addCleanup(logger.remove, sink)
        times = iter((0.0, 0.0, 1.5, 1.5))
        selector = TurnSelector(
            times.__next__,
            iter((0.0, 0.4, 0.4)).__next__,
            iter((0.0, 0.7, 0.7)).__next__,
        )
        self.addCleanup(selector.close)

        selector.select(0)
        selector.select(0)

        self.assertIn(
            'took 1.5 s, 0.4 s of it on the processor and 0.3 s on other',
            lines[0],
        )
