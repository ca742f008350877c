"""Measures processor time and memory of this and other processes."""

import json
import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Self, final

from bramleylug.observability.process import PROC, resident_bytes

CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
# Fields 14 and 15 of proc(5) stat, as indices after the closing parenthesis of
# the command name, which can itself contain spaces.
UTIME_FIELD = 11
STIME_FIELD = 12
REFERENCE_LIST_LENGTH = 1000


@final
@dataclass(slots=True)
class ProcessorTimer:
    """Measures this process's processor time within a ``with`` block.

    :ivar used_s: processor seconds, user and system, of all threads.
    :ivar elapsed_s: elapsed real time.
    """

    used_s: float = 0.0
    elapsed_s: float = 0.0

    def __enter__(self) -> Self:
        self.used_s = -time.process_time()
        self.elapsed_s = -time.monotonic()
        return self

    def __exit__(self, *_error: object) -> None:
        self.used_s += time.process_time()
        self.elapsed_s += time.monotonic()

    @property
    def cores(self) -> float:
        """Average number of cores in use."""
        return self.used_s / self.elapsed_s if self.elapsed_s > 0 else 0.0


def min_processor_seconds(
    work: Callable[[], object], *, repeats: int = 1, batches: int = 5
) -> float:
    """Return the mean processor time of a call in the fastest batch.

    Measures the calling thread only. The minimum is closest to the cost of
    the call itself: other load on the machine can only add to it.
    """
    return min(_mean_seconds(work, repeats) for _ in range(batches))


def reference_work_seconds() -> float:
    """Return the processor time of a fixed calculation.

    Two runs are comparable only when it is about the same: a shared machine
    can take twice as long for the same work.
    """
    numbers = list(range(REFERENCE_LIST_LENGTH))
    return min_processor_seconds(
        lambda: json.dumps(numbers), repeats=100, batches=10
    )


def resident_bytes_per_object(build: Callable[[], object], count: int) -> float:
    """Return the resident memory of one of many equal objects.

    :param count: large enough that the allocator cannot take the memory
        from its free lists.
    """
    before = resident_bytes()
    objects = [build() for _ in range(count)]
    return (resident_bytes() - before) / len(objects)


def processor_seconds(pid: int) -> float:
    """Return the processor time used by another process so far."""
    stat = (PROC / str(pid) / 'stat').read_text()
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[UTIME_FIELD]) + int(fields[STIME_FIELD])
    return ticks / CLOCK_TICKS_PER_S


def _mean_seconds(work: Callable[[], object], repeats: int) -> float:
    started_s = time.thread_time()
    for _ in range(repeats):
        work()
    return (time.thread_time() - started_s) / repeats
