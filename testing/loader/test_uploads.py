"""Tests of handing chunks out below live answers."""

import unittest

from bramleylug.loader.uploads import Pacer, upload_rate_limit
from testing.relay.builders import build_engine_state, build_loader_settings


class TestChunkRate(unittest.TestCase):
    """Chunks leave room for live answers, where there are any."""

    def rate(self, engine, least_version=0):
        """Return the rate on a link of 1000 bytes a second."""
        settings = build_loader_settings(link_rate=1000.0, upload_share=0.5)
        return upload_rate_limit(settings, engine, least_version)

    def test_serving_engine_keeps_its_share(self) -> None:
        """Its answers take the same link."""
        self.assertEqual(self.rate(build_engine_state(version=1)), 500.0)

    def test_engine_that_serves_nothing_leaves_the_link(self) -> None:
        """It is down, empty, or its weights are too old."""
        empty = build_engine_state(version=0, complete=False)
        outdated = build_engine_state(version=1)

        self.assertEqual(self.rate(None), 1000.0)
        self.assertEqual(self.rate(empty), 1000.0)
        self.assertEqual(self.rate(outdated, least_version=2), 1000.0)


class TestPacer(unittest.TestCase):
    """Bytes are spread evenly, for all uploads together."""

    def test_rate_holds_over_all_uploads(self) -> None:
        """A hundred pieces of 1000 bytes take a second at 100 kB/s."""
        pacer = Pacer(lambda: 100_000, float)

        delays = [pacer.delay_s(1000) for _ in range(101)]

        self.assertEqual(delays[0], 0)
        self.assertAlmostEqual(delays[-1], 1.0)

    def test_idle_time_is_not_saved_up(self) -> None:
        """After a pause there is no burst."""
        now = [0.0]
        pacer = Pacer(lambda: 100_000, lambda: now[0])
        pacer.delay_s(1000)
        now[0] = 10.0

        delays = [pacer.delay_s(1000) for _ in range(3)]

        self.assertAlmostEqual(delays[2], 0.02)

    def test_rate_follows_the_engine(self) -> None:
        """When the engine stops serving, the link is free for chunks."""
        rate = [50_000.0]
        pacer = Pacer(lambda: rate[0], float)
        pacer.delay_s(1000)
        rate[0] = 100_000.0
        pacer.delay_s(1000)

        self.assertAlmostEqual(pacer.delay_s(1000), 0.03)
