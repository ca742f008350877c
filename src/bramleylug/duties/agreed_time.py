"""A time of day that all relays count by, whatever their clocks do.

Every relay tells the holder its time of day; the median of what they tell is
the time of all. One that jumps, or is wrong, does not move it. Between two
answers of the holder, a relay goes by its steady clock.
"""

from collections.abc import Callable
from statistics import median
from typing import NamedTuple, final

SAMPLE_TTL_S = 5.0
# A holder's answer that took longer says too little about the time.
MAX_ROUND_TRIP_S = 0.5
HALF = 0.5


class OffsetSample(NamedTuple):
    """Time of day of a relay, less the steady clock of this process."""

    offset_s: float
    received_s: float


@final
class AgreedTime:
    """The agreed time of day.

    :param clock: seconds that also count while the host is suspended.
    :param wall_clock: Unix time of this host, in seconds.
    :ivar offset_s: the agreed time less the clock.
    :ivar samples: offsets by relay, as this process hears them if it is the
        holder.
    """

    def __init__(
        self, clock: Callable[[], float], wall_clock: Callable[[], float]
    ) -> None:
        self.clock = clock
        self.wall_clock = wall_clock
        self.offset_s = wall_clock() - clock()
        self.samples: dict[str, OffsetSample] = {}

    def now_s(self) -> float:
        """Return the agreed Unix time in seconds."""
        return self.clock() + self.offset_s

    def record(self, relay: str, wall_s: float, now_s: float) -> None:
        """Record the time of day of a relay, as it has just told it."""
        self.samples[relay] = OffsetSample(wall_s - now_s, now_s)

    def settle(self) -> None:
        """As the holder, agree on the median of what relays told lately."""
        now_s = self.clock()
        self.samples = {
            relay: sample
            for relay, sample in self.samples.items()
            if now_s - sample.received_s < SAMPLE_TTL_S
        }
        if self.samples:
            own_s = self.wall_clock() - now_s
            told_s = [sample.offset_s for sample in self.samples.values()]
            self.offset_s = median((own_s, *told_s))

    def adopt(self, agreed_s: float, sent_s: float) -> None:
        """Adopt the time that the holder answered with.

        :param sent_s: when the call was sent that it answers.
        """
        now_s = self.clock()
        round_trip_s = now_s - sent_s
        if 0 <= round_trip_s <= MAX_ROUND_TRIP_S:
            self.offset_s = agreed_s + round_trip_s * HALF - now_s
