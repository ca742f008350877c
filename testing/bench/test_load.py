"""Tests of the load generators and the recorder."""

import unittest

from bramleylug.bench.load import (
    Answer,
    ClosedLoop,
    arrival_times,
    classify,
    run_open_loop,
)
from bramleylug.bench.recorder import Recorder


class TestRecorder(unittest.TestCase):
    """Results are counted in total and per time bucket."""

    def test_goodput_counts_answered_calls_only(self) -> None:
        """Refused calls are not part of the goodput."""
        recorder = Recorder(bucket_s=0.5)
        for result in ('answered', 'answered', 'refused'):
            recorder.add(result, 0.7, 0.01)

        self.assertEqual(recorder.goodput(), [(0.5, 4.0)])

    def test_percentile_is_of_answered_calls(self) -> None:
        """Failed calls do not affect the latency."""
        recorder = Recorder()
        recorder.add('answered', 0.1, 0.01)
        recorder.add('failed', 0.1, 30.0)

        self.assertAlmostEqual(recorder.percentile_s(100), 0.01, places=4)

    def test_share_without_calls_is_zero(self) -> None:
        """An empty recorder does not divide by zero."""
        self.assertEqual(Recorder().share('failed'), 0.0)


class TestArrivals(unittest.TestCase):
    """Arrival times are reproducible."""

    def test_same_seed_gives_same_arrivals(self) -> None:
        """Runs with the same seed send at the same times."""
        self.assertEqual(arrival_times(50, 2, 7), arrival_times(50, 2, 7))

    def test_arrivals_are_sorted_and_within_the_duration(self) -> None:
        arrivals = arrival_times(100, 2, 1)

        self.assertEqual(arrivals, sorted(arrivals))
        self.assertLess(arrivals[-1], 2)


class TestClassify(unittest.TestCase):
    """Answers are answered, refused or failed."""

    def test_refusal_needs_the_not_run_header(self) -> None:
        """An error without ``not_run`` is a failure."""
        self.assertEqual(classify(503, 'not_run'), 'refused')
        self.assertEqual(classify(502, 'unknown'), 'failed')
        self.assertEqual(classify(200, ''), 'answered')


class TestLoops(unittest.TestCase):
    """Both load generators record every call once."""

    def test_open_loop_sends_every_arrival(self) -> None:
        """Each arrival is one call with its own number."""
        numbers: list[int] = []

        def send(number: int) -> Answer:
            numbers.append(number)
            return Answer('answered', 200)

        recorder = run_open_loop(send, [0.0, 0.0, 0.0], workers=2)

        self.assertEqual(sorted(numbers), [0, 1, 2])
        self.assertEqual(recorder.counts['answered'], 3)

    def test_closed_loop_numbers_are_unique(self) -> None:
        """No number is used twice, and each call is counted."""
        numbers: list[int] = []

        def answer(number: int) -> Answer:
            numbers.append(number)
            if len(numbers) >= 4:
                loop.stopping.set()
            return Answer('refused', 503)

        loop = ClosedLoop(answer, 2)
        loop.start()
        loop.stopping.wait()
        recorder = loop.stop()

        self.assertEqual(len(numbers), len(set(numbers)))
        self.assertEqual(recorder.counts['refused'], len(numbers))
