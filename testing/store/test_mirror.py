"""Tests of what is known of the store."""

import unittest

from bramleylug.store.changes import Removal, StoreItem
from bramleylug.store.mirror import RETURN_GRACE_S, Mirror

AWAY_S = 3.0


def item(revision: int, key: str = 'engine', lease_id: int = 7) -> StoreItem:
    """Return an item that ends with a lease."""
    return StoreItem(key, b'value', revision, lease_id)


class TestOrder(unittest.TestCase):
    """Changes apply once, in the order of their revisions."""

    def setUp(self) -> None:
        """Hold one item."""
        self.mirror = Mirror(AWAY_S)
        self.mirror.confirm(0, 0)
        self.mirror.apply([item(5)], 5, 0)

    def test_older_change_is_no_news(self) -> None:
        """A page that was read late brings nothing back."""
        self.assertEqual(self.mirror.apply([item(4)], 4, 1), [])
        self.assertEqual(self.mirror.items['engine'].revision, 5)
        self.assertEqual(self.mirror.revision, 5)

    def test_removal_is_news_once(self) -> None:
        """A key that is not there cannot be removed again."""
        gone = Removal('engine', 6)

        self.assertEqual(self.mirror.apply([gone], 6, 1), [gone])
        self.assertEqual(self.mirror.apply([gone], 6, 1), [])

    def test_item_missing_after_reading_anew_is_removed(self) -> None:
        """Changes that fell out of the history are found by comparing."""
        news = self.mirror.replace([item(8, 'other')], 9, 1)

        self.assertEqual(news, [item(8, 'other'), Removal('engine', 9)])

    def test_item_written_after_the_removal_is_kept(self) -> None:
        """What was read anew does not hide what changed since."""
        self.mirror.replace([], 9, 1)

        self.assertEqual(self.mirror.apply([item(10)], 10, 1), [item(10)])


class TestReturn(unittest.TestCase):
    """Leased items that lapsed while the store was away may come back."""

    def setUp(self) -> None:
        """Lose an item as the store returns after ten seconds."""
        self.mirror = Mirror(AWAY_S)
        self.mirror.confirm(0, 0)
        self.mirror.apply([item(5), item(5, 'config', 0)], 5, 0)
        self.assertTrue(self.mirror.confirm(10, 10))

    def test_removal_is_held_back(self) -> None:
        """The engine is used until it had time to write again."""
        self.assertEqual(self.mirror.apply([Removal('engine', 6)], 6, 10), [])
        self.assertIn('engine', self.mirror.items)
        self.assertEqual(
            self.mirror.apply_due_removals(10 + RETURN_GRACE_S - 0.1), []
        )

    def test_item_still_missing_is_gone(self) -> None:
        """It is gone once the time to write again is over."""
        self.mirror.apply([Removal('engine', 6)], 6, 10)

        gone = self.mirror.apply_due_removals(10 + RETURN_GRACE_S)

        self.assertEqual(gone, [Removal('engine', 6)])
        self.assertNotIn('engine', self.mirror.items)

    def test_item_that_came_back_stays(self) -> None:
        """Its owner wrote it again."""
        self.mirror.apply([Removal('engine', 6)], 6, 10)
        self.mirror.apply([item(7)], 7, 11)

        self.assertEqual(self.mirror.apply_due_removals(20), [])
        self.assertEqual(self.mirror.items['engine'].revision, 7)

    def test_item_without_lease_is_removed_at_once(self) -> None:
        """Nobody writes a removed configuration again."""
        gone = Removal('config', 6)

        self.assertEqual(self.mirror.apply([gone], 6, 10), [gone])

    def test_removal_long_after_the_return_is_carried_out(self) -> None:
        """A store in good order is believed at once."""
        gone = Removal('engine', 6)
        self.mirror.confirm(13, 13)

        self.assertEqual(self.mirror.apply([gone], 6, 13), [gone])


class TestAge(unittest.TestCase):
    """Knowledge is as old as the read that confirmed it."""

    def test_age_counts_from_sending(self) -> None:
        """A wait that goes on for long confirms nothing meanwhile."""
        mirror = Mirror(AWAY_S)
        mirror.confirm(1.0, 2.0)

        self.assertEqual(mirror.age_s(3.0), 2.0)

    def test_news_were_written_after_the_read_before(self) -> None:
        """However long they were on their way."""
        mirror = Mirror(AWAY_S)
        mirror.confirm(1.0, 2.0)
        mirror.confirm(2.0, 2.9)

        self.assertEqual(mirror.changes_written_after_s, 1.0)

    def test_wait_ends_with_the_first_change(self) -> None:
        """It would have been answered at once if that had been there."""
        mirror = Mirror(AWAY_S)
        mirror.confirm(1.0, 2.0, 1.0)
        mirror.confirm(2.0, 3.0, 0.75)

        self.assertEqual(mirror.changes_written_after_s, 2.5)

    def test_change_between_two_waits_came_after_the_answer_before(
        self,
    ) -> None:
        """The second is answered at once."""
        mirror = Mirror(AWAY_S)
        mirror.confirm(1.0, 2.0, 1.0)
        mirror.confirm(2.0, 2.1, 0.01)

        self.assertEqual(mirror.changes_written_after_s, 1.75)

    def test_late_answer_does_not_make_knowledge_older(self) -> None:
        """The freshest confirmation counts."""
        mirror = Mirror(AWAY_S)
        mirror.confirm(5.0, 5.1)
        mirror.confirm(4.0, 5.2)

        self.assertEqual(mirror.age_s(6.0), 1.0)
