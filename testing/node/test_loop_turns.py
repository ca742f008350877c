"""Tests of how the turns of an event loop are measured."""

import unittest
from selectors import EVENT_READ
from socket import socketpair

from loguru import logger

from bramleylug.node.loop_turns import (
    LOG_INTERVAL_S,
    LONG_TURN_S,
    LOOK_INTERVAL_S,
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

    def receive_after_a_look(self, selector: TurnSelector) -> None:
        """Have a socket receive a byte just after it was looked at."""
        self.addCleanup(selector.close)
        reader, writer = socketpair()
        self.addCleanup(reader.close)
        self.addCleanup(writer.close)
        selector.register(reader, EVENT_READ)
        selector.select(0)
        writer.send(b'x')

    def test_files_are_looked_at_rarely_while_callbacks_are_ready(self) -> None:
        """Each look without a wait is a call of the kernel (SHORT)."""
        now_s = [0.0]
        selector = TurnSelector(lambda: now_s[0])
        self.receive_after_a_look(selector)

        at_once = selector.select(0)
        now_s[0] += LOOK_INTERVAL_S
        later = selector.select(0)

        self.assertEqual((len(at_once), len(later)), (0, 1))

    def test_files_are_looked_at_once_the_loop_waits(self) -> None:
        selector = TurnSelector(float)
        self.receive_after_a_look(selector)

        self.assertEqual(len(selector.select(1.0)), 1)

    def test_turn_goes_on_until_files_are_looked_at(self) -> None:
        """What passes in between delays all connections."""
        now_s = [0.0]
        selector = TurnSelector(lambda: now_s[0])
        self.addCleanup(selector.close)
        selector.select(0)
        LONG_TURNS.inc({})
        before = LONG_TURNS.get({})
        now_s[0] = LOOK_INTERVAL_S / 2
        selector.select(0)
        now_s[0] = LONG_TURN_S
        selector.select(0)

        self.assertEqual(LONG_TURNS.get({}), before + 1)
