"""Tests of the load generators and what they record."""

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
    """Results are counted whole and by bucket."""

    def test_goodput_counts_answered_calls_only(self) -> None:
        """Refused calls are no goodput."""
        recorder = Recorder(bucket_s=0.5)
        for result in ('answered', 'answered', 'refused'):
            recorder.add(result, 0.7, 0.01)

        self.assertEqual(recorder.goodput(), [(0.5, 4.0)])

    def test_percentile_is_of_answered_calls(self) -> None:
        """A failed call does not move the latency."""
        recorder = Recorder()
        recorder.add('answered', 0.1, 0.01)
        recorder.add('failed', 0.1, 30.0)

        self.assertAlmostEqual(recorder.percentile_s(100), 0.01, places=4)

    def test_share_without_calls_is_zero(self) -> None:
        """No division by zero calls."""
        self.assertEqual(Recorder().share('failed'), 0.0)


class TestArrivals(unittest.TestCase):
    """Arrivals are repeatable."""

    def test_same_seed_gives_same_arrivals(self) -> None:
        """Two runs with one seed ask at the same times."""
        self.assertEqual(arrival_times(50, 2, 7), arrival_times(50, 2, 7))

    def test_arrivals_rise_within_the_duration(self) -> None:
        """They are in order and none is late."""
        arrivals = arrival_times(100, 2, 1)

        self.assertEqual(arrivals, sorted(arrivals))
        self.assertLess(arrivals[-1], 2)


class TestClassify(unittest.TestCase):
    """Answers fall into three classes."""

    def test_refusal_needs_the_not_run_header(self) -> None:
        """An error of unknown outcome is a failure."""
        self.assertEqual(classify(503, 'not_run'), 'refused')
        self.assertEqual(classify(502, 'unknown'), 'failed')
        self.assertEqual(classify(200, ''), 'answered')


class TestLoops(unittest.TestCase):
    """Both loops record every call once."""

    def test_open_loop_sends_every_arrival(self) -> None:
        """One call an arrival, each with its own number."""
        numbers: list[int] = []

        def send(number: int) -> Answer:
            numbers.append(number)
            return Answer('answered', 200)

        recorder = run_open_loop(send, [0.0, 0.0, 0.0], workers=2)

        self.assertEqual(sorted(numbers), [0, 1, 2])
        self.assertEqual(recorder.counts['answered'], 3)

    def test_closed_loop_numbers_calls_apart(self) -> None:
        """No two callers use one number, and each call is counted."""
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
