"""How fast an engine works, from its report and from its streams."""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple, final

# Passes that are compared: most of them read no prompt.
PASSES = 4
# Passes that ended longer ago say little: engines are slow for seconds.
RECENT_S = 0.5
# A slowness that nothing has shown since is believed half after this time.
HALF_LIFE_S = 1.0
# Bytes that arrive sooner after others belong to the same event.
SAME_EVENT_S = 0.01
# Two streams have events of the same pass within this part of its time.
SAME_PASS_SHARE = 0.5
# Nobody is believed to be slower than that; it would never be tried again.
MAX_PACE = 20.0


class Pass(NamedTuple):
    """One pass of an engine, as a stream of it shows.

    :ivar ended_s: when its event arrived.
    :ivar took_s: time since the previous event of the stream.
    """

    ended_s: float
    took_s: float


@final
@dataclass(slots=True)
class PassTimes:
    """Times of an engine's last passes, by the events of its streams.

    The time that a pass takes is that of its tokens and of the prompts which
    are read in it. The shortest of some passes tells the engine's pace,
    whatever others send there.
    """

    passes: deque[Pass] = field(default_factory=lambda: deque(maxlen=PASSES))

    def record(self, previous_s: float, now_s: float) -> None:
        """Record an event of a stream.

        :param previous_s: when the stream's previous event arrived.
        """
        took_s = now_s - previous_s
        if took_s < SAME_EVENT_S:
            return
        if self.passes:
            since_s = now_s - self.passes[-1].ended_s
            if since_s < SAME_PASS_SHARE * took_s:
                return
        self.passes.append(Pass(now_s, took_s))

    def shown(self, write_s: float, now_s: float) -> float | None:
        """Return the pace that recent passes show; ``None`` if too few.

        :param write_s: nominal time of a pass that reads nothing.
        """
        if len(self.passes) < PASSES or not self._is_recent(now_s):
            return None
        return _bounded(min(one.took_s for one in self.passes) / write_s)

    def pace(self, reported: float, write_s: float, now_s: float) -> float:
        """Return the pace that report and passes together make likely.

        A pass cannot be shorter than its tokens take: a report of a slower
        pace than the last one shows is wrong or outdated. A report of a
        faster one than all of them show is, too.

        :param reported: the pace that the engine reports.
        :param write_s: nominal time of a pass that reads nothing.
        """
        if not self.passes:
            return _bounded(reported)
        if self._is_recent(now_s):
            reported = min(reported, self.passes[-1].took_s / write_s)
        if len(self.passes) < PASSES:
            return _bounded(reported)
        shown = _bounded(min(one.took_s for one in self.passes) / write_s)
        age_s = now_s - self.passes[-1].ended_s
        believed = 1 + (shown - 1) * _remaining(age_s - RECENT_S)
        return _bounded(max(reported, believed))

    def _is_recent(self, now_s: float) -> bool:
        return now_s - self.passes[-1].ended_s < RECENT_S


def _remaining(for_s: float) -> float:
    """Return the part of an observation that is believed after a time."""
    return float(2 ** (-max(0.0, for_s) / HALF_LIFE_S))


def _bounded(pace: float) -> float:
    return min(MAX_PACE, max(1.0, pace))
