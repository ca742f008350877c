"""Tests of whole answers against the records stand-in's faults."""

import time
import unittest
from typing import Any

from bramleylug.agent.upstream import Upstream
from bramleylug.fakes.control import changed_settings
from bramleylug.fakes.records import FakeRecords, RecordsSettings
from bramleylug.outcomes import Ran, Reason
from testing.builders import build_request


class TestFaults(unittest.TestCase):
    """Late, crossed, cut and doubled answers never pass as whole."""

    def book(self, timeout_s: float = 5, **faults: Any) -> list[Any]:
        """Book once at a records service with faults."""
        records = FakeRecords(RecordsSettings(**faults))
        records.start()
        self.addCleanup(records.stop)
        call = Upstream(records.web.address).call(time.monotonic() + timeout_s)
        return list(call.run(build_request()))

    def test_answer_is_whole(self) -> None:
        """Without a fault it passes."""
        self.assertEqual(self.book()[-1], Ran(200))

    def test_late_answer_ends_at_the_deadline(self) -> None:
        """Nobody waits beyond it."""
        parts = self.book(0.2, late_answers=1)

        self.assertEqual(parts[-1].reason, Reason.deadline)

    def test_crossed_answer_never_passes(self) -> None:
        """It names another request."""
        parts = self.book(crossed_answers=1)

        self.assertEqual(parts[-1].reason, Reason.upstream_failed)

    def test_cut_answer_is_visible(self) -> None:
        """Half of the bytes are no answer."""
        parts = self.book(cut_answers=1)

        self.assertEqual(parts[-1].reason, Reason.answer_cut)

    def test_doubled_answer_is_taken_once(self) -> None:
        """The second one has no reader."""
        parts = self.book(doubled_answers=1)

        self.assertEqual(parts[-1], Ran(200))


class TestControl(unittest.TestCase):
    """Faults are settings that change at run time."""

    def test_words_change_settings(self) -> None:
        """Those that are no settings are returned."""
        settings, words = changed_settings(
            RecordsSettings(), b'{"delay_s": 2, "crash": true}', also=('crash',)
        )

        self.assertEqual(settings.delay_s, 2)
        self.assertEqual(words, {'crash': True})

    def test_unknown_word_is_refused(self) -> None:
        """A fault misspelt would be no fault."""
        with self.assertRaisesRegex(ValueError, 'cut_answer'):
            changed_settings(RecordsSettings(), b'{"cut_answer": 1}')
