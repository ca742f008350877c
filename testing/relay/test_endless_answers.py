"""Tests of a relay process with engines that answer without end."""

import unittest

from testing.relay.endless_play import EndlessPlay

# Memory for requests and answers, and for control, in the stated target.
MEMORY_MB = 64 + 64
LENGTH_S = 3.0


class TestEndlessAnswers(unittest.TestCase):
    """One engine's bytes don't keep the relay from its other callers."""

    def test_endless_answers_starve_no_other_caller(self) -> None:
        """Guards against callers lost beside answers without end."""
        for form, size in (('event', 1), ('comments', 4), ('failure', 1)):
            with self.subTest(form, size=size):
                play = EndlessPlay(form, size, LENGTH_S)

                shown = play.run()

                self.assertEqual(shown.lost, 0, play.log[-2000:])
                # A host that stands still refuses some in any case.
                self.assertGreater(len(shown.took_ms), shown.refused)
                self.assertLess(shown.peak_mb, MEMORY_MB)
