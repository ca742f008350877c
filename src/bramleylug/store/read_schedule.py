"""How long a process waits for changes of the store, from a single limit.

A change that the store acknowledged must be obeyed within the limit, also
while the process through which this one reads is cut off from the store. The
longest way of a change is a sum of waits:

=====================  ======================================================
:data:`ANSWER_LAG_S`   the last answer of the store was produced just before
                       the change, and arrives
``silence_s``          nothing is heard of the store
:data:`POLL_LAG_S`     the call of the reader is given up
:data:`CALL_S`         the store itself is asked for its revision, and other
                       readers for what is new, or the store
:data:`SEND_S`         what was decided just before reaches its upstream
=====================  ======================================================

While the store is heard of, that happens at least once in a wait and the pause
after it, so the wait follows from ``silence_s``. Of a limit that is longer than
the longest waits need, a share is left to the last one.
"""

from dataclasses import dataclass
from typing import final

ANSWER_LAG_S = 0.1
POLL_LAG_S = 0.05
CALL_S = 0.25
SEND_S = 0.15
# After some changes arrived, further ones are collected for this share of a
# wait before the next call.
PAUSE_SHARE = 0.25
# Processes that read through the same reader notice its silence at different
# moments of this time.
SPREAD_S = 0.1
# How much later than usual the store may be heard of before it counts as
# silence.
SLACK_S = 0.1
# What a limit leaves beyond the longest waits is shared between silence and the
# way to the upstream, which may lead over a link that many requests share.
SILENCE_SHARE = 0.5
# Shorter waits would call the store more often than it bears. Limits that
# need them are not kept while a reader is silent.
MIN_WAIT_S = 0.2


@final
@dataclass(frozen=True, slots=True)
class ReadSchedule:
    """Waits of one process.

    :ivar limit_s: time from the acknowledgement of a change within which
        nothing may reach an upstream against it.
    :ivar max_wait_s: longest wait of a watch, however long the limit is.
    :ivar turn: place among the processes that read through the same reader,
        from 0 to 1.
    """

    limit_s: float
    max_wait_s: float
    turn: float = 0

    @property
    def silence_s(self) -> float:
        """Time without hearing of the store after which it is called."""
        return self._longest_silence_s() - SPREAD_S * self.turn

    @property
    def wait_s(self) -> float:
        """Time that the store may hold a watch until something changes."""
        heard_s = self._longest_silence_s() - SPREAD_S - SLACK_S
        return min(self.max_wait_s, heard_s / (1 + PAUSE_SHARE))

    @property
    def pause_s(self) -> float:
        """Time in which further changes are collected before a watch."""
        return self.wait_s * PAUSE_SHARE

    def _longest_silence_s(self) -> float:
        other_s = ANSWER_LAG_S + POLL_LAG_S + CALL_S + SEND_S
        allowed_s = self.limit_s - other_s
        needed_s = _silence_for(self.max_wait_s)
        if allowed_s > needed_s:
            return needed_s + (allowed_s - needed_s) * SILENCE_SHARE
        return max(_silence_for(MIN_WAIT_S), allowed_s)


def _silence_for(wait_s: float) -> float:
    """Return the silence that allows a wait and the pause after it."""
    return wait_s * (1 + PAUSE_SHARE) + SPREAD_S + SLACK_S
