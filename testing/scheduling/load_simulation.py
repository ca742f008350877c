"""Simulation of load on the queue of one relay, in virtual time."""

from random import Random

from bramleylug.scheduling.levels import Prospect
from bramleylug.scheduling.waiting import (
    CompletionRate,
    UpstreamTimes,
    Wait,
    decide,
)

OBJECTIVE_S = 0.4
TIMEOUT_S = 6.0


class LoadSimulation:
    """Requests that arrive at a constant rate and share a number of slots.

    Each request holds a slot for 0.5 to 1.5 times ``hold_s``.

    :ivar waits: how long each served request waited.
    :ivar refusals: how long each refused request had waited.
    """

    def __init__(self, *, slots: int, hold_s: float) -> None:
        self.slots = slots
        self.hold_s = hold_s
        self.random = Random(1)
        self.completions = CompletionRate()
        self.running: list[float] = []
        self.queue: list[tuple[float, float]] = []
        self.waits: list[float] = []
        self.refusals: list[float] = []
        self.arrivals_per_s = 0.0

    def run(self, arrivals_per_s: float, length_s: float) -> None:
        self.arrivals_per_s = arrivals_per_s
        for number in range(int(length_s * arrivals_per_s)):
            now_s = number / arrivals_per_s
            for end_s in sorted(end for end in self.running if end <= now_s):
                self._complete(end_s)
            self._arrive(now_s)

    def _complete(self, end_s: float) -> None:
        self.running.remove(end_s)
        self.completions.record(end_s)
        while self.queue:
            began_s, until_s = self.queue.pop(0)
            if until_s >= end_s:
                self._serve(end_s, end_s - began_s)
                return
            self.refusals.append(until_s - began_s)

    def _arrive(self, now_s: float) -> None:
        if len(self.running) < self.slots and not self.queue:
            self._serve(now_s, 0)
            return
        per_s = self.completions.per_s(now_s)
        prospect = Prospect(len(self.queue), per_s, per_s - self.arrivals_per_s)
        limits = UpstreamTimes().limits(now_s, OBJECTIVE_S, now_s + TIMEOUT_S)
        decision = decide(limits, prospect if per_s else None, now_s)
        if isinstance(decision, Wait):
            self.queue.append((now_s, decision.until_s))
        else:
            self.refusals.append(0)

    def _serve(self, now_s: float, waited_s: float) -> None:
        self.waits.append(waited_s)
        self.running.append(now_s + self.hold_s * self.random.uniform(0.5, 1.5))
