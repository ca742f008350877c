"""Tests of the share of the link that weights use."""

import unittest

from bramleylug.weights.governor import LinkGovernor


class TestLinkGovernor(unittest.TestCase):
    """Weights give way while live answers are late."""

    def setUp(self) -> None:
        """Know that live answers usually begin after 20 ms."""
        self.governor = LinkGovernor()
        self.now_s = 0.0
        self._live(0.02, 20, transferring=False)

    def test_whole_share_while_answers_come_as_usual(self) -> None:
        """Nothing is given up for nothing."""
        self._live(0.021, 20)

        self.assertEqual(self.governor.share, 1)

    def test_late_answers_halve_the_share_again_and_again(self) -> None:
        """Down to a sixteenth, so that the burst still ends."""
        self._live(0.05, 10)
        self.assertLess(self.governor.share, 1)
        self._live(0.05, 40)

        self.assertEqual(self.governor.share, 0.0625)

    def test_very_late_answers_pause_the_transfer(self) -> None:
        """Until they come as usual again."""
        self._live(0.2, 20)
        self.assertEqual(self.governor.share, 0)

        self._live(0.02, 40)
        self.assertGreater(self.governor.share, 0)

    def test_without_live_traffic_the_share_comes_back(self) -> None:
        """Old samples stop counting after a second."""
        self._live(0.2, 20)
        for _ in range(40):
            self.now_s += 0.3
            self.governor.decide(self.now_s)

        self.assertEqual(self.governor.share, 1)

    def _live(
        self, latency_s: float, count: int, *, transferring: bool = True
    ) -> None:
        for _ in range(count):
            self.now_s += 0.1
            self.governor.observe(
                latency_s, self.now_s, transferring=transferring
            )
            self.governor.decide(self.now_s)
