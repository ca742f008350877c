"""JSON log lines on standard output, limited so that they never block."""

import json
import sys
import time
from collections import deque
from collections.abc import Callable
from threading import Condition, Thread
from typing import TYPE_CHECKING, TextIO, final

from bramleylug.observability.metrics import LOG_LINES_DROPPED, count

if TYPE_CHECKING:
    from loguru import Message

# Token bucket: sustained rate, and lines that may be written in a burst.
LINES_PER_S = 200.0
BURST_LINES = 400.0
# Lines in memory while the reader of standard output is slow.
MAX_WAITING_LINES = 2000
# Levels that the rate does not limit.
UNLIMITED_LEVELS = frozenset(('ERROR', 'CRITICAL'))


@final
class BoundedLog:
    """Writes each record as one flat JSON object, in a thread of its own.

    Lines above the rate, and lines for which the buffer has no space, are
    dropped and counted.
    """

    def __init__(
        self,
        stream: TextIO | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.stream = stream or sys.stdout
        self.clock = clock
        self.tokens = BURST_LINES
        self.refilled_s = clock()
        self.lines: deque[str] = deque()
        self.lines_added = Condition()
        self.dropped = 0

    def start(self) -> None:
        """Start the thread that writes."""
        Thread(target=self._run, name='log', daemon=True).start()

    def write(self, message: 'Message') -> None:
        """Queue a record of loguru, or drop it; never blocks on output."""
        record = message.record
        if not self._is_within_limits(record['level'].name):
            self.dropped += 1
            count(LOG_LINES_DROPPED)
            return
        fields = dict(record['extra'])
        line = {
            'time': record['time'].isoformat(timespec='milliseconds'),
            'level': record['level'].name,
            'text': record['message'],
            **fields,
        }
        with self.lines_added:
            self.lines.append(json.dumps(line, default=str))
            self.lines_added.notify()

    def drain(self) -> None:
        """Write all queued lines."""
        while self.lines:
            self.stream.write(f'{self.lines.popleft()}\n')
        self.stream.flush()

    def _is_within_limits(self, level: str) -> bool:
        now_s = self.clock()
        refill = (now_s - self.refilled_s) * LINES_PER_S
        self.refilled_s = now_s
        self.tokens = min(BURST_LINES, self.tokens + refill)
        if len(self.lines) >= MAX_WAITING_LINES:
            return False
        if level in UNLIMITED_LEVELS:
            return True
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _run(self) -> None:
        while True:
            with self.lines_added:
                while not self.lines:
                    self.lines_added.wait()
            self.drain()
