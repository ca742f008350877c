"""Tests of the order in which requests leave silent upstreams."""

import unittest
from functools import partial

from bramleylug.scheduling.move_queue import MoveQueue


class TestMoveQueue(unittest.TestCase):
    """Free slots are offered to the request that has waited longest."""

    def setUp(self) -> None:
        """Three requests wait, the last one has waited longest."""
        self.queue = MoveQueue()
        self.moved: list[str] = []
        self.unable: set[str] = set()
        self.removals = {
            name: self.queue.push(since_s, partial(self.take_slot, name))
            for name, since_s in (
                ('third', 3.0),
                ('second', 2.0),
                ('first', 1.0),
            )
        }

    def take_slot(self, name):
        if name in self.unable:
            return False
        self.moved.append(name)
        return True

    def test_first_request_gets_the_slot(self) -> None:
        taken = self.queue.offer(1)

        self.assertEqual((taken, self.moved), (1, ['first']))
        self.assertEqual(self.queue.size, 2)

    def test_slots_that_nobody_needs_are_left(self) -> None:
        self.assertEqual(self.queue.offer(5), 3)
        self.assertEqual(self.queue.offer(5), 0)

    def test_request_that_cannot_use_a_slot_moves_to_the_end(self) -> None:
        """It does not keep the others from moving."""
        self.unable.add('first')

        taken = [self.queue.offer(1) for _ in range(3)]

        self.assertEqual(taken, [0, 1, 1])
        self.assertEqual(self.moved, ['second', 'third'])
        self.assertEqual(self.queue.size, 1)

    def test_request_that_was_answered_takes_none(self) -> None:
        self.removals['first']()

        self.queue.offer(1)

        self.assertEqual(self.moved, ['second'])

    def test_request_that_moves_may_end_another_wait(self) -> None:
        """Its old connection is closed at that moment."""
        queue = MoveQueue()
        removals = []
        queue.push(1.0, lambda: removals[0]() is None)
        removals.append(queue.push(2.0, lambda: True))

        self.assertEqual(queue.offer(2), 1)
        self.assertEqual(queue.size, 0)
