"""Results and latencies of calls, in total and per time bucket."""

from collections import Counter
from threading import Lock
from typing import final

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1_000_000
MAX_LATENCY_US = 600 * MICROSECONDS
SIGNIFICANT_DIGITS = 3
ANSWERED = 'answered'


@final
class Recorder:
    """Counts results and records the latencies of answered calls.

    Thread-safe.

    :param bucket_s: length of one time bucket.
    :ivar counts: calls by result.
    :ivar buckets: calls by bucket number, then by result.
    """

    def __init__(self, bucket_s: float = 0.5) -> None:
        self.bucket_s = bucket_s
        self.counts: Counter[str] = Counter()
        self.buckets: dict[int, Counter[str]] = {}
        self.histogram = _new_histogram()
        self.bucket_histograms: dict[int, HdrHistogram] = {}
        self.lock = Lock()

    def add(self, result: str, at_s: float, latency_s: float) -> None:
        """Record a call that ended ``at_s`` seconds after the start.

        Longer latencies are recorded as :data:`MAX_LATENCY_US`.
        """
        bucket = int(at_s / self.bucket_s)
        latency_us = min(max(1, int(latency_s * MICROSECONDS)), MAX_LATENCY_US)
        with self.lock:
            self.counts[result] += 1
            self.buckets.setdefault(bucket, Counter())[result] += 1
            if result == ANSWERED:
                self.histogram.record_value(latency_us)
                self.bucket_histograms.setdefault(
                    bucket, _new_histogram()
                ).record_value(latency_us)

    @property
    def total(self) -> int:
        """Number of recorded calls."""
        return self.counts.total()

    def share(self, result: str) -> float:
        """Return the share of calls with a result; 0 when there are none."""
        return self.counts[result] / self.total if self.total else 0.0

    def percentile_s(self, percent: float) -> float:
        return _percentile_s(self.histogram, percent)

    def goodput(self) -> list[tuple[float, float]]:
        """Return points (second, answered calls per second)."""
        return [
            (bucket * self.bucket_s, counts[ANSWERED] / self.bucket_s)
            for bucket, counts in sorted(self.buckets.items())
        ]

    def latency(self, percent: float) -> list[tuple[float, float]]:
        """Return points (second, percentile of latency in seconds)."""
        return [
            (bucket * self.bucket_s, _percentile_s(histogram, percent))
            for bucket, histogram in sorted(self.bucket_histograms.items())
        ]


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def _percentile_s(histogram: HdrHistogram, percent: float) -> float:
    return float(histogram.get_value_at_percentile(percent)) / MICROSECONDS
