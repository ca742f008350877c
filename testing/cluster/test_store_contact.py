"""Tests of how an outage of the store is told from reading it late."""

import unittest

from bramleylug.cluster.store_contact import StoreContact

MAX_SILENCE_S = 2.6


class TestStoreContact(unittest.TestCase):
    """The store answers as long as any process hears of it."""

    def setUp(self) -> None:
        self.contact = StoreContact(MAX_SILENCE_S)

    def hear(self, *times_s: float) -> None:
        for at_s in times_s:
            self.contact.record_heard(at_s)

    def test_nothing_is_known_without_heartbeats(self) -> None:
        """An answer that arrives now may be the first after an outage."""
        self.assertEqual(self.contact.since_s(50.0), 50.0)

    def test_process_that_reads_late_finds_no_outage(self) -> None:
        """Guards against older weights that serve too long (VERSION)."""
        self.hear(10.0, 12.0, 14.0, 16.0, 18.0)

        self.assertEqual(self.contact.since_s(20.0), 10.0)

    def test_silence_of_all_is_an_outage(self) -> None:
        """Guards against limits that count from before it (SHORT)."""
        self.hear(8.0, 10.0, 18.0, 19.0)

        self.assertEqual(self.contact.since_s(21.0), 18.0)

    def test_first_process_with_an_answer_knows_no_earlier_one(self) -> None:
        self.hear(8.0, 10.0)

        self.assertEqual(self.contact.since_s(18.0), 18.0)
        self.assertEqual(self.contact.since_s(12.0), 8.0)

    def test_earlier_answer_that_is_told_later_changes_nothing(self) -> None:
        """A process that is cut off goes on to tell its last answer."""
        self.hear(10.0, 18.0, 10.0, 10.0, 19.0)

        self.assertEqual(self.contact.since_s(20.0), 18.0)
