"""Tests of the share of the link's rate that weights may use."""

import unittest

from bramleylug.weights.governor import LinkGovernor


class TestLinkGovernor(unittest.TestCase):
    """The share shrinks while live answers are late."""

    def setUp(self) -> None:
        """Record a usual time to the first byte of 20 ms."""
        self.governor = LinkGovernor()
        self.now_s = 0.0
        self._answer(0.02, 20, transferring=False)

    def test_full_share_while_answers_are_as_fast_as_usual(self) -> None:
        """A millisecond more is no slowdown."""
        self._answer(0.021, 20)

        self.assertEqual(self.governor.share, 1)

    def test_late_answers_halve_the_share_repeatedly(self) -> None:
        """Down to a sixteenth, so that the transfer still ends."""
        self._answer(0.05, 10)
        self.assertLess(self.governor.share, 1)
        self._answer(0.05, 40)

        self.assertEqual(self.governor.share, 0.0625)

    def test_very_late_answers_pause_the_transfer(self) -> None:
        """It continues once they are as fast as usual again."""
        self._answer(0.2, 20)
        self.assertEqual(self.governor.share, 0)

        self._answer(0.02, 40)
        self.assertGreater(self.governor.share, 0)

    def test_share_recovers_without_live_traffic(self) -> None:
        """Samples older than a second do not count."""
        self._answer(0.2, 20)
        for _ in range(40):
            self.now_s += 0.3
            self.governor.decide(self.now_s)

        self.assertEqual(self.governor.share, 1)

    def _answer(
        self, latency_s: float, count: int, *, transferring: bool = True
    ) -> None:
        for _ in range(count):
            self.now_s += 0.1
            self.governor.observe(
                latency_s, self.now_s, transferring=transferring
            )
            self.governor.decide(self.now_s)
