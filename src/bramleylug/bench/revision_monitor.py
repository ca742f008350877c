"""Watches which revision every process of a fleet says it has in force."""

import re
import time
from http.client import HTTPConnection, HTTPException
from threading import Event, Thread
from typing import NamedTuple, final

from bramleylug.bench.processes import Child, Processes

SAMPLE_S = 0.1
ANSWER_LIMIT_S = 1.0
REVISION_PATTERN = re.compile(
    r'^bramleylug_configuration_revision\{[^}]*\} (\d+)', re.MULTILINE
)


class Sample(NamedTuple):
    """One look at one process, told apart by its process id."""

    at_s: float
    process: str
    pid: int
    revision: int


@final
class RevisionMonitor:
    """Samples every daemon until stopped.

    A process that does not answer (killed, frozen, starting) is no sample.

    :ivar fallen: samples below an earlier one of the same process.
    :ivar highest: the highest revision seen anywhere.
    :ivar latest_s: the longest time from a revision's first appearance
        anywhere until the last answering process had it in force.
    """

    def __init__(self, fleet: Processes) -> None:
        self.fleet = fleet
        self.stopping = Event()
        self.fallen: list[Sample] = []
        self.highest = 0
        self.latest_s = 0.0
        self.first_seen_s: dict[int, float] = {}
        self.last: dict[int, Sample] = {}
        self.thread = Thread(target=self._keep_sampling, daemon=True)

    def start(self) -> None:
        """Start to sample."""
        self.thread.start()

    def stop(self) -> None:
        """End sampling."""
        self.stopping.set()
        self.thread.join()

    def take(self, sample: Sample) -> None:
        """Take in one sample."""
        former = self.last.get(sample.pid)
        self.last[sample.pid] = sample
        self.highest = max(self.highest, sample.revision)
        self.first_seen_s.setdefault(sample.revision, sample.at_s)
        if former is None:
            return
        if sample.revision < former.revision:
            self.fallen.append(sample)
        elif sample.revision > former.revision and _is_next(former, sample):
            self._time(former, sample)

    def _time(self, former: Sample, sample: Sample) -> None:
        """Note how long the process had gone without the next revision.

        The time is counted to this sample, so the pause between two samples
        is part of it.
        """
        first_s = self.first_seen_s.get(former.revision + 1, sample.at_s)
        self.latest_s = max(self.latest_s, sample.at_s - first_s)

    def _keep_sampling(self) -> None:
        while not self.stopping.wait(SAMPLE_S):
            for child in tuple(self.fleet.children.values()):
                if 'grpc' in child.addresses and child.process.poll() is None:
                    self._look(child)

    def _look(self, child: Child) -> None:
        revision = read_revision(child.addresses['http'])
        if revision:
            now_s = time.monotonic()
            self.take(Sample(now_s, child.name, child.process.pid, revision))


def read_revision(address: str) -> int:
    """Return the revision a daemon has in force; 0 without an answer."""
    connection = HTTPConnection(address, timeout=ANSWER_LIMIT_S)
    try:
        connection.request('GET', '/metrics')
        text = connection.getresponse().read().decode()
    except (OSError, HTTPException):
        return 0
    finally:
        connection.close()
    found = REVISION_PATTERN.search(text)
    return int(found[1]) if found else 0


def _is_next(former: Sample, sample: Sample) -> bool:
    """Tell whether the process answered all the while in between."""
    return sample.at_s - former.at_s < 2 * ANSWER_LIMIT_S
