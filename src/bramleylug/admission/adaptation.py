"""Lowering the limit of an upstream that bears less than declared."""

from typing import final

from bramleylug.configuration.document import ServiceSpec

CRASH_FACTOR = 0.5
SLOW_FACTOR = 0.8
LEAST_FACTOR = 0.05
RECOVERY_PER_SUCCESS = 0.005
SMOOTHING = 0.1
BASELINE_RISE = 1.002
SLOW_RATIO = 4.0
SLOW_MARGIN_S = 0.4
CUT_INTERVAL_S = 1.0


@final
class Adaptation:
    """Share of the declared concurrency that an upstream proved to bear.

    It falls by half when the upstream died with requests running, and by a
    fifth a second while the time to the first byte is far above what it
    used to be; each success gives a little back (additive increase,
    multiplicative decrease; Chiu and Jain, 1989).

    :ivar factor: share of the declared concurrency, at most 1.
    """

    def __init__(self) -> None:
        self.factor = 1.0
        self.baseline_s = 0.0
        self.recent_s = 0.0
        self.next_cut_s = 0.0

    def ceiling(self, spec: ServiceSpec) -> int:
        """Return the most requests to give at once, however warm it is."""
        return max(spec.cold_concurrency, int(spec.concurrency * self.factor))

    def crashed(self) -> None:
        """Note that the upstream died with requests running."""
        self.factor = max(LEAST_FACTOR, self.factor * CRASH_FACTOR)

    def succeeded(self) -> None:
        """Note a whole answer."""
        self.factor = min(1.0, self.factor + RECOVERY_PER_SUCCESS)

    def observe_first_byte(self, took_s: float, now_s: float) -> bool:
        """Take in the time to a first byte.

        :returns: whether the limit was lowered.
        """
        if not self.baseline_s:
            self.baseline_s = took_s
            self.recent_s = took_s
        self.baseline_s = min(self.baseline_s * BASELINE_RISE, took_s)
        self.recent_s += SMOOTHING * (took_s - self.recent_s)
        bound_s = max(
            self.baseline_s * SLOW_RATIO, self.baseline_s + SLOW_MARGIN_S
        )
        if self.recent_s <= bound_s or now_s < self.next_cut_s:
            return False
        self.next_cut_s = now_s + CUT_INTERVAL_S
        self.factor = max(LEAST_FACTOR, self.factor * SLOW_FACTOR)
        return True
