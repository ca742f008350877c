"""Tests of the rate of uploads."""

import unittest

from bramleylug.loader.uploads import (
    PIECE_BYTES,
    UNSHARED_PIECE_BYTES,
    Pacer,
    UploadLimit,
    upload_limit,
)
from testing.relay.builders import build_engine_state, build_loader_settings


class TestUploadLimit(unittest.TestCase):
    """Uploads leave bandwidth for an engine's answers."""

    def limit(self, engine, min_version=0):
        """Return the limit on a link of 1000 bytes/s."""
        settings = build_loader_settings(link_rate=1000.0, upload_share=0.5)
        return tuple(upload_limit(settings, engine, min_version))

    def test_serving_engine_keeps_its_share_of_the_link(self) -> None:
        self.assertEqual(
            self.limit(build_engine_state(version=1)), (500.0, PIECE_BYTES)
        )

    def test_uploads_use_the_whole_link_while_nothing_is_served(self) -> None:
        """The engine is down or empty, or its weights are outdated."""
        empty = build_engine_state(version=0, complete=False)
        outdated = build_engine_state(version=1)

        whole = 1000.0, UNSHARED_PIECE_BYTES
        self.assertEqual(self.limit(None), whole)
        self.assertEqual(self.limit(empty), whole)
        self.assertEqual(self.limit(outdated, min_version=2), whole)


class TestPacer(unittest.TestCase):
    """The bytes of all uploads together are spread evenly over time."""

    def test_rate_is_kept_over_all_uploads(self) -> None:
        """A hundred pieces of 1000 bytes take 1 s at 100 kB/s."""
        pacer = Pacer(lambda: UploadLimit(100_000), float)

        delays = [pacer.delay_s(1000) for _ in range(101)]

        self.assertEqual(delays[0], 0)
        self.assertAlmostEqual(delays[-1], 1.0)

    def test_idle_time_allows_no_burst(self) -> None:
        now = [0.0]
        pacer = Pacer(lambda: UploadLimit(100_000), lambda: now[0])
        pacer.delay_s(1000)
        now[0] = 10.0

        delays = [pacer.delay_s(1000) for _ in range(3)]

        self.assertAlmostEqual(delays[2], 0.02)

    def test_rate_follows_the_engine(self) -> None:
        """Once the engine stops serving, uploads may use the whole link."""
        rate = [50_000.0]
        pacer = Pacer(lambda: UploadLimit(rate[0]), float)
        pacer.delay_s(1000)
        rate[0] = 100_000.0
        pacer.delay_s(1000)

        self.assertAlmostEqual(pacer.delay_s(1000), 0.03)
