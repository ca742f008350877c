"""Tests of how long a process waits for a reader that lags behind."""

import unittest

from bramleylug.store.reader_patience import (
    CROWDED_S,
    HOLD_S,
    READING_S,
    RECOVERY_S,
    ReaderPatience,
)
from bramleylug.store.store_reach import Reach


class TestReaderPatience(unittest.TestCase):
    """Short unless the reader gets the news, or its answers are delayed."""

    def setUp(self) -> None:
        self.now_s = 100.0
        self.patience = ReaderPatience(lambda: self.now_s)
        self.short_s = self.patience.contact_s

    def test_reader_that_the_store_answers_is_waited_for(self) -> None:
        """A second copy of the news would delay the first."""
        waited_s = 0.0
        while wait_s := self.patience.next_wait_s(Reach.answered, waited_s):
            waited_s += wait_s

        self.assertGreater(waited_s, 10 * self.short_s)

    def test_reader_that_stands_still_is_noticed(self) -> None:
        """It answers no call after that."""
        self.assertLessEqual(
            self.patience.next_wait_s(Reach.answered, 0), HOLD_S
        )

    def test_reader_that_never_gets_the_news_is_given_up(self) -> None:
        self.assertEqual(
            self.patience.next_wait_s(Reach.answered, READING_S), 0
        )

    def test_reader_that_may_not_get_the_news_is_given_up(self) -> None:
        """Also where the store was away a moment ago."""
        self.patience.record_failure()

        for reach in (Reach.failed, Reach.unknown):
            with self.subTest(reach=reach):
                self.assertEqual(self.patience.next_wait_s(reach, 0), 0)

    def test_store_that_answers_at_once_is_read_soon(self) -> None:
        self.patience.record_answer(CROWDED_S / 2)

        self.assertEqual(self.patience.contact_s, self.short_s)

    def test_late_answer_of_a_small_call_lengthens_the_wait(self) -> None:
        """Those of the reader may be as late."""
        self.patience.record_answer(CROWDED_S * 2)

        self.assertGreaterEqual(self.patience.contact_s, CROWDED_S)

    def test_wait_is_long_for_a_while_after_an_outage(self) -> None:
        """The first answers after it are quick, and hold nothing new."""
        self.patience.record_failure()
        self.patience.record_answer(CROWDED_S / 2)
        self.assertGreaterEqual(self.patience.contact_s, CROWDED_S)

        self.now_s += RECOVERY_S

        self.assertEqual(self.patience.contact_s, self.short_s)

    def test_first_answer_after_an_outage_is_told_once(self) -> None:
        self.patience.record_failure()
        self.patience.record_failure()

        self.assertTrue(self.patience.take_return())
        self.assertFalse(self.patience.take_return())
