"""Simulation of load on a wait queue, in virtual time."""

from random import Random

from bramleylug.admission.queue import Arrival
from bramleylug.relay.wait_queue import Wait, WaitQueue

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
        self.wait_queue = WaitQueue()
        self.running: list[float] = []
        self.queue: list[tuple[float, float]] = []
        self.waits: list[float] = []
        self.refusals: list[float] = []

    def run(self, arrivals_per_s: float, length_s: float) -> None:
        for number in range(int(length_s * arrivals_per_s)):
            now_s = number / arrivals_per_s
            for end_s in sorted(end for end in self.running if end <= now_s):
                self._complete(end_s)
            self._arrive(number, now_s)

    def _complete(self, end_s: float) -> None:
        self.running.remove(end_s)
        self.wait_queue.record_completion(end_s)
        while self.queue:
            began_s, until_s = self.queue.pop(0)
            self.wait_queue.queue.pop()
            if until_s >= end_s:
                self._serve(end_s, end_s - began_s)
                return
            self.refusals.append(until_s - began_s)

    def _arrive(self, number: int, now_s: float) -> None:
        if len(self.running) < self.slots and not self.queue:
            self._serve(now_s, 0)
            return
        decision = self.wait_queue.decide(OBJECTIVE_S, TIMEOUT_S, now_s)
        if isinstance(decision, Wait):
            self.queue.append((now_s, decision.until_s))
            self.wait_queue.push(
                Arrival(number, 'garage', 0, 0, decision.until_s)
            )
        else:
            self.refusals.append(0)

    def _serve(self, now_s: float, waited_s: float) -> None:
        self.waits.append(waited_s)
        self.running.append(now_s + self.hold_s * self.random.uniform(0.5, 1.5))
