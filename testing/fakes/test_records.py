"""Tests of how an upstream call classifies the fake records' faults."""

import time
import unittest
from typing import Any

from bramleylug.agent.upstream import Upstream
from bramleylug.fakes.control import apply_control
from bramleylug.fakes.records import FakeRecords, RecordsSettings
from bramleylug.outcomes import Ran, Reason
from testing.builders import build_request


class TestAnswerFaults(unittest.TestCase):
    """Late, crossed and cut answers fail; a doubled answer is read once."""

    def book(self, timeout_s: float = 5, **faults: Any) -> list[Any]:
        """Book once at a fake with faults; return the parts of the answer."""
        records = FakeRecords(RecordsSettings(**faults))
        records.start()
        self.addCleanup(records.stop)
        call = Upstream(records.web.address).call(time.monotonic() + timeout_s)
        return list(call.run(build_request()))

    def test_answer_without_fault_is_complete(self) -> None:
        self.assertEqual(self.book()[-1], Ran(200))

    def test_late_answer_fails_at_the_deadline(self) -> None:
        parts = self.book(0.2, late_answers=1)

        self.assertEqual(parts[-1].reason, Reason.deadline)

    def test_answer_with_another_request_id_fails(self) -> None:
        parts = self.book(crossed_answers=1)

        self.assertEqual(parts[-1].reason, Reason.upstream_failed)

    def test_answer_cut_after_half_the_body_fails(self) -> None:
        parts = self.book(cut_answers=1)

        self.assertEqual(parts[-1].reason, Reason.answer_cut)

    def test_duplicate_answer_is_ignored(self) -> None:
        parts = self.book(doubled_answers=1)

        self.assertEqual(parts[-1], Ran(200))


class TestControl(unittest.TestCase):
    """``/control`` changes settings at run time."""

    def test_settings_change_and_commands_are_returned(self) -> None:
        settings, commands = apply_control(
            RecordsSettings(),
            b'{"delay_s": 2, "crash": true}',
            commands=('crash',),
        )

        self.assertEqual(settings.delay_s, 2)
        self.assertEqual(commands, {'crash': True})

    def test_unknown_name_is_rejected(self) -> None:
        """A misspelt fault would otherwise be ignored silently."""
        with self.assertRaisesRegex(ValueError, 'cut_answer'):
            apply_control(RecordsSettings(), b'{"cut_answer": 1}')
