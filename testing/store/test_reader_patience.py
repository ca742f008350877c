"""Tests of how long a process waits for a reader that lags behind."""

import unittest

from bramleylug.store.reader_patience import CROWDED_S, ReaderPatience


class TestReaderPatience(unittest.TestCase):
    """Short where the store answers, long where its answers are delayed."""

    def setUp(self) -> None:
        self.patience = ReaderPatience()
        self.short_s = sum(self.patience.waits_s)

    def test_store_that_answers_at_once_is_read_soon(self) -> None:
        self.patience.record_answer(CROWDED_S / 2)

        self.assertEqual(sum(self.patience.waits_s), self.short_s)

    def test_late_answer_of_a_small_call_lengthens_the_wait(self) -> None:
        self.patience.record_answer(CROWDED_S * 2)

        self.assertGreater(sum(self.patience.waits_s), 10 * self.short_s)

    def test_outage_lengthens_the_wait_until_there_are_news(self) -> None:
        """The first answers after it are quick."""
        self.patience.record_failure()
        self.patience.record_answer(CROWDED_S / 2)
        self.assertGreater(sum(self.patience.waits_s), 10 * self.short_s)

        self.patience.record_news()

        self.assertEqual(sum(self.patience.waits_s), self.short_s)
