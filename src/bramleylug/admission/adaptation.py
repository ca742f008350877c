"""Adaptive reduction of the concurrency limit of an overloaded upstream."""

from typing import final

from bramleylug.configuration.document import ServiceSpec

CRASH_DECREASE_FACTOR = 0.5
SLOW_DECREASE_FACTOR = 0.8
MIN_FACTOR = 0.05
RECOVERY_PER_SUCCESS = 0.005
EWMA_WEIGHT = 0.1
BASELINE_GROWTH_PER_SAMPLE = 1.002
MAX_LATENCY_RATIO = 4.0
MIN_LATENCY_MARGIN_S = 0.4
MIN_DECREASE_INTERVAL_S = 1.0


@final
class Adaptation:
    """Share of the declared concurrency that an upstream can sustain.

    Additive increase, multiplicative decrease (Chiu and Jain, 1989): the
    share is halved when the upstream crashes with requests running, and
    reduced by a fifth at most once a second while the smoothed time to the
    first byte is far above its baseline. Each success raises it slightly.

    :ivar factor: share of the declared concurrency, at most 1.
    :ivar baseline_s: lowest recent time to the first byte; it rises slowly,
        so that a lasting change of latency becomes the new baseline.
    :ivar recent_s: smoothed time to the first byte.
    """

    def __init__(self) -> None:
        self.factor = 1.0
        self.baseline_s = 0.0
        self.recent_s = 0.0
        self.next_decrease_s = 0.0

    def max_concurrency(self, spec: ServiceSpec) -> int:
        """Return the limit that holds even for a fully warmed-up upstream."""
        return max(spec.cold_concurrency, int(spec.concurrency * self.factor))

    def record_crash(self) -> None:
        """Halve the share after a crash with requests running."""
        self.factor = max(MIN_FACTOR, self.factor * CRASH_DECREASE_FACTOR)

    def record_success(self) -> None:
        """Raise the share after a complete answer."""
        self.factor = min(1.0, self.factor + RECOVERY_PER_SUCCESS)

    def observe_first_byte(self, took_s: float, now_s: float) -> bool:
        """Update the latency estimate with one time to the first byte.

        :returns: whether the share was reduced.
        """
        if not self.baseline_s:
            self.baseline_s = took_s
            self.recent_s = took_s
        self.baseline_s = min(
            self.baseline_s * BASELINE_GROWTH_PER_SAMPLE, took_s
        )
        self.recent_s += EWMA_WEIGHT * (took_s - self.recent_s)
        bound_s = max(
            self.baseline_s * MAX_LATENCY_RATIO,
            self.baseline_s + MIN_LATENCY_MARGIN_S,
        )
        if self.recent_s <= bound_s or now_s < self.next_decrease_s:
            return False
        self.next_decrease_s = now_s + MIN_DECREASE_INTERVAL_S
        self.factor = max(MIN_FACTOR, self.factor * SLOW_DECREASE_FACTOR)
        return True
