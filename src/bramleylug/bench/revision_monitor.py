"""Monitors the revision that each process of a fleet has in force."""

import re
import time
from http.client import HTTPConnection, HTTPException
from threading import Event, Thread
from typing import NamedTuple, final

from bramleylug.bench.processes import Child, Processes

SAMPLE_INTERVAL_S = 0.1
ANSWER_TIMEOUT_S = 1.0
REVISION_PATTERN = re.compile(
    r'^bramleylug_configuration_revision\{[^}]*\} (\d+)', re.MULTILINE
)


class Sample(NamedTuple):
    """Revision of one process at one time.

    :ivar pid: distinguishes a restarted process from its predecessor.
    """

    at_s: float
    process: str
    pid: int
    revision: int


@final
class RevisionMonitor:
    """Samples every daemon periodically until stopped.

    A process that does not answer (killed, paused, starting) gives no sample.

    :ivar regressions: samples with a lower revision than an earlier one of
        the same process.
    :ivar max_revision: the highest revision of any process.
    :ivar max_propagation_s: the longest time from the first appearance of a
        revision in any process until the last process that answers had it
        in force.
    """

    def __init__(self, fleet: Processes) -> None:
        self.fleet = fleet
        self.stopping = Event()
        self.regressions: list[Sample] = []
        self.max_revision = 0
        self.max_propagation_s = 0.0
        self.first_seen_s: dict[int, float] = {}
        self.last_samples: dict[int, Sample] = {}
        self.thread = Thread(target=self._sample_until_stopped, daemon=True)

    def start(self) -> None:
        self.thread.start()

    def stop(self) -> None:
        self.stopping.set()
        self.thread.join()

    def record(self, sample: Sample) -> None:
        """Compare a sample with the previous one of the same process."""
        previous = self.last_samples.get(sample.pid)
        self.last_samples[sample.pid] = sample
        self.max_revision = max(self.max_revision, sample.revision)
        self.first_seen_s.setdefault(sample.revision, sample.at_s)
        if previous is None:
            return
        if sample.revision < previous.revision:
            self.regressions.append(sample)
        elif sample.revision > previous.revision and _is_continuous(
            previous, sample
        ):
            self._record_propagation(previous, sample)

    def _record_propagation(self, previous: Sample, sample: Sample) -> None:
        """Record how long the process's previous revision was outdated.

        The time ends at this sample, so it includes the sampling interval.
        """
        first_s = self.first_seen_s.get(previous.revision + 1, sample.at_s)
        self.max_propagation_s = max(
            self.max_propagation_s, sample.at_s - first_s
        )

    def _sample_until_stopped(self) -> None:
        while not self.stopping.wait(SAMPLE_INTERVAL_S):
            for child in tuple(self.fleet.children.values()):
                if 'grpc' in child.addresses and child.process.poll() is None:
                    self._sample(child)

    def _sample(self, child: Child) -> None:
        revision = read_revision(child.addresses['http'])
        if revision:
            now_s = time.monotonic()
            self.record(Sample(now_s, child.name, child.process.pid, revision))


def read_revision(address: str) -> int:
    """Return the revision a daemon has in force; 0 when it does not answer."""
    connection = HTTPConnection(address, timeout=ANSWER_TIMEOUT_S)
    try:
        connection.request('GET', '/metrics')
        text = connection.getresponse().read().decode()
    except (OSError, HTTPException):
        return 0
    finally:
        connection.close()
    found = REVISION_PATTERN.search(text)
    return int(found[1]) if found else 0


def _is_continuous(previous: Sample, sample: Sample) -> bool:
    """Return whether the process answered all the time between samples."""
    return sample.at_s - previous.at_s < 2 * ANSWER_TIMEOUT_S
