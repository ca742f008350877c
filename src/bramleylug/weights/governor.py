"""Reduces the rate of weight transfers while live requests are slow."""

from collections import deque
from typing import NamedTuple, final

# Only answers of this period are considered.
WINDOW_S = 1.0
DECIDE_INTERVAL_S = 0.25
BASELINE_WEIGHT = 0.05
# Slowdowns of live answers: above the first the share is halved, above the
# second transfers pause.
SLOWDOWN_LIMIT = 1.5
PAUSE_SLOWDOWN = 4.0
# Added to the baseline, so that a few milliseconds more are no slowdown.
SLACK_S = 0.005
LATE_QUANTILE = 0.9
MIN_SAMPLES = 5
MIN_SHARE = 0.0625
SHARE_STEP = 0.0625
SAMPLES_LIMIT = 512


class Sample(NamedTuple):
    """Time to the first byte of one answer to a live request."""

    at_s: float
    latency_s: float


@final
class LinkGovernor:
    """Controls the share of the link's rate that weights may use.

    Halves the share while live answers are late, pauses transfers while
    they are very late, and raises the share step by step otherwise
    (additive increase and multiplicative decrease, Chiu and Jain, 1989).
    Time spent waiting for admission does not count: a cold engine makes
    requests wait although the link is idle.

    :ivar share: from 0, paused, to 1.
    :ivar baseline_s: usual time to the first byte while no transfer runs.
    """

    def __init__(self) -> None:
        self.share = 1.0
        self.baseline_s: float | None = None
        self.samples: deque[Sample] = deque(maxlen=SAMPLES_LIMIT)
        self.decided_s = float('-inf')

    def observe(
        self, latency_s: float, now_s: float, *, transferring: bool
    ) -> None:
        """Record a live answer's time to its first byte."""
        self.samples.append(Sample(now_s, latency_s))
        if self.baseline_s is None:
            self.baseline_s = latency_s
        elif not transferring or latency_s < self.baseline_s:
            self.baseline_s += BASELINE_WEIGHT * (latency_s - self.baseline_s)

    def decide(self, now_s: float) -> float:
        """Adapt the share, a few times a second, and return it."""
        if now_s - self.decided_s < DECIDE_INTERVAL_S:
            return self.share
        self.decided_s = now_s
        slowdown = self._slowdown(now_s)
        if slowdown > PAUSE_SLOWDOWN:
            self.share = 0.0
        elif slowdown > SLOWDOWN_LIMIT:
            self.share = max(MIN_SHARE, self.share / 2)
        else:
            self.share = min(1.0, self.share + SHARE_STEP)
        return self.share

    def _slowdown(self, now_s: float) -> float:
        """Return the ratio of late answers' time to the first byte to usual.

        Late is the 90th percentile of the last second; usual is the
        baseline. The ratio is 0 when there are too few answers.
        """
        recent = sorted(
            sample.latency_s
            for sample in tuple(self.samples)
            if now_s - sample.at_s <= WINDOW_S
        )
        if len(recent) < MIN_SAMPLES or self.baseline_s is None:
            return 0.0
        late_s = recent[int(LATE_QUANTILE * (len(recent) - 1))]
        return late_s / (self.baseline_s + SLACK_S)
