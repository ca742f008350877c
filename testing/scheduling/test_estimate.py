"""Tests of the estimate against passes that are written out."""

import unittest

from bramleylug.scheduling.estimate import EngineLoad, EngineModel
from bramleylug.scheduling.figures import EngineFigures, RequestSize

# Ten steps of 10 ms a pass and 10,000 prompt tokens a second.
FIGURES = EngineFigures(
    step_s=0.01,
    sequence_s=0.001,
    context_token_s=0.0,
    read_per_s=10000,
    pair_s=0.0,
    step_tokens=2048,
    steps=10,
    usual_prompt=1000,
    usual_answer=100,
    memory_tokens=0,
)
MODEL = EngineModel(FIGURES)
SIZE = RequestSize(500, 200, 50)


class TestEstimate(unittest.TestCase):
    """Load: one request more at an engine with a known load."""

    def test_idle_engine_reads_and_makes_an_event(self) -> None:
        """Reads for 50 ms; ten steps take 100 ms."""
        estimate = MODEL.estimate(SIZE, EngineLoad(8, 0))

        self.assertAlmostEqual(estimate.first_s, 0.15)

    def test_answer_takes_one_pass_for_each_ten_tokens(self) -> None:
        """Four more passes of 110 ms, in each of which a tenth of a prompt
        of 100 ms is read."""
        estimate = MODEL.estimate(SIZE, EngineLoad(8, 0))

        self.assertAlmostEqual(estimate.run_s, 0.15 + 4 * 0.12)

    def test_request_waits_for_half_a_pass_of_a_busy_engine(self) -> None:
        """A pass of four takes 140 ms and reads for 40 ms."""
        estimate = MODEL.estimate(SIZE, EngineLoad(8, 4))

        self.assertAlmostEqual(estimate.first_s, 0.09 + 0.18 + 0.05)

    def test_prompt_delays_those_that_run(self) -> None:
        estimate = MODEL.estimate(RequestSize(3000, 10), EngineLoad(8, 4))

        self.assertAlmostEqual(estimate.pause_s, 0.18 + 0.3)

    def test_unread_prompts_come_first(self) -> None:
        """Two prompts of 1,000 tokens together are read in 200 ms."""
        free = MODEL.estimate(SIZE, EngineLoad(8, 4))
        taken = MODEL.estimate(SIZE, EngineLoad(8, 4, 2, 2000))

        self.assertAlmostEqual(taken.first_s - free.first_s, 0.2)
        self.assertAlmostEqual(taken.pause_s - free.pause_s, 0.2)

    def test_slow_engine_takes_longer_for_everything(self) -> None:
        usual = MODEL.estimate(SIZE, EngineLoad(8, 4, 1, 500))
        slow = MODEL.estimate(SIZE, EngineLoad(8, 4, 1, 500, 2.5))

        for nominal, taken in zip(usual, slow, strict=True):
            self.assertAlmostEqual(taken, 2.5 * nominal)

    def test_full_engine_frees_slots_first(self) -> None:
        """Eight requests of ten passes of 260 ms; two have to end."""
        full = MODEL.estimate(SIZE, EngineLoad(8, 9))

        self.assertAlmostEqual(
            full.first_s, 2 * 10 * 0.26 / 8 + 0.13 + 0.26 + 0.05
        )

    def test_pairs_make_long_prompts_dearer(self) -> None:
        """1,000 tokens have half a million pairs."""
        model = EngineModel(FIGURES._replace(pair_s=1e-7))

        self.assertAlmostEqual(model.read_s(1000), 0.1 + 0.05)

    def test_unknown_sizes_are_the_usual_ones(self) -> None:
        unknown = MODEL.estimate(RequestSize(), EngineLoad(8, 0))
        usual = MODEL.estimate(RequestSize(1000, 100), EngineLoad(8, 0))

        self.assertEqual(unknown, usual)

    def test_hint_counts_up_to_the_most_tokens(self) -> None:
        """It is often far off."""
        hinted = MODEL.estimate(RequestSize(500, 40, 4000), EngineLoad(8, 0))
        limited = MODEL.estimate(RequestSize(500, 40), EngineLoad(8, 0))

        self.assertEqual(hinted, limited)
