"""Processor time and memory of this process and of others."""

import json
import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Self, final

from bramleylug.observability.process import PROC, resident_bytes

CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
# Fields 14 and 15 of proc(5) stat, counted after the command's bracket.
UTIME_FIELD = 11
STIME_FIELD = 12
REFERENCE_LIST_LENGTH = 1000


@final
@dataclass(slots=True)
class ProcessorTimer:
    """Processor time that this process uses within a ``with`` block.

    :ivar used_s: processor seconds, user and system, of all threads.
    :ivar elapsed_s: seconds on the clock.
    """

    used_s: float = 0.0
    elapsed_s: float = 0.0

    def __enter__(self) -> Self:
        """Start to count."""
        self.used_s = -time.process_time()
        self.elapsed_s = -time.monotonic()
        return self

    def __exit__(self, *_error: object) -> None:
        """Stop to count."""
        self.used_s += time.process_time()
        self.elapsed_s += time.monotonic()

    @property
    def cores(self) -> float:
        """Cores in use on average."""
        return self.used_s / self.elapsed_s if self.elapsed_s > 0 else 0.0


def min_processor_seconds(
    work: Callable[[], object], *, repeats: int = 1, batches: int = 5
) -> float:
    """Return the least mean processor time of some work over the batches.

    Counts the calling thread only. The least is nearest to the cost of the
    work itself: others on the machine only ever add to it.
    """
    return min(_mean_seconds(work, repeats) for _ in range(batches))


def reference_work_seconds() -> float:
    """Return the processor time of a fixed piece of work.

    Two runs compare only where it is about the same: a shared machine can
    take twice as long for the same work.
    """
    numbers = list(range(REFERENCE_LIST_LENGTH))
    return min_processor_seconds(
        lambda: json.dumps(numbers), repeats=100, batches=10
    )


def resident_bytes_per_object(build: Callable[[], object], count: int) -> float:
    """Return the resident memory that one of many equal objects takes.

    :param count: enough that their memory is not found in free lists.
    """
    before = resident_bytes()
    kept = [build() for _ in range(count)]
    return (resident_bytes() - before) / len(kept)


def processor_seconds(pid: int) -> float:
    """Return the processor time that another process has used."""
    stat = (PROC / str(pid) / 'stat').read_text()
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[UTIME_FIELD]) + int(fields[STIME_FIELD])
    return ticks / CLOCK_TICKS_PER_S


def _mean_seconds(work: Callable[[], object], repeats: int) -> float:
    started_s = time.thread_time()
    for _ in range(repeats):
        work()
    return (time.thread_time() - started_s) / repeats
