"""Tests of how long a process waits for a reader that lags behind."""

import unittest

from bramleylug.store.reader_patience import (
    CROWDED_S,
    RECOVERY_S,
    ReaderPatience,
)


class TestReaderPatience(unittest.TestCase):
    """Short where the store answers, long where its answers are delayed."""

    def setUp(self) -> None:
        self.now_s = 100.0
        self.patience = ReaderPatience(lambda: self.now_s)
        self.short_s = sum(self.patience.waits_s)

    def test_store_that_answers_at_once_is_read_soon(self) -> None:
        self.patience.record_answer(CROWDED_S / 2)

        self.assertEqual(sum(self.patience.waits_s), self.short_s)

    def test_late_answer_of_a_small_call_lengthens_the_wait(self) -> None:
        self.patience.record_answer(CROWDED_S * 2)

        self.assertGreater(sum(self.patience.waits_s), 10 * self.short_s)

    def test_wait_is_long_for_a_while_after_an_outage(self) -> None:
        """The first answers after it are quick, and hold nothing new."""
        self.patience.record_failure()
        self.patience.record_answer(CROWDED_S / 2)
        self.assertGreater(sum(self.patience.waits_s), 10 * self.short_s)

        self.now_s += RECOVERY_S

        self.assertEqual(sum(self.patience.waits_s), self.short_s)

    def test_first_answer_after_an_outage_is_told_once(self) -> None:
        self.patience.record_failure()
        self.patience.record_failure()

        self.assertTrue(self.patience.take_return())
        self.assertFalse(self.patience.take_return())
