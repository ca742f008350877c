"""A service whose slots several relays share, each with an outdated view."""

from collections import Counter, deque
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from bramleylug.scheduling.demand import DemandMeter, Level, LevelLoad
from bramleylug.scheduling.levels import FleetLoad, LevelGate
from bramleylug.scheduling.refusing import Refused, ReturnTimes
from bramleylug.scheduling.waiting import (
    Limits,
    Wait,
    Waiting,
    WaitingLine,
    decide,
)

STEP_S = 0.01
VIEW_DELAY_S = 0.3
OBSERVE_STEPS = 5
HOLD_S = 1.5
OBJECTIVE_S = 0.4
DEADLINE_S = 6.0


@dataclass
class Arrivals:
    """Requests a second of one level."""

    urgency: int
    per_s: float


@dataclass
class SharingRelay:
    """One relay: its queue, its gate and what it has told last."""

    zone: int
    meter: DemandMeter = field(default_factory=DemandMeter)
    gate: LevelGate = field(default_factory=LevelGate)
    line: WaitingLine = field(default_factory=WaitingLine)
    returns: ReturnTimes = field(default_factory=ReturnTimes)
    told: deque = field(default_factory=deque)
    is_cut_off: bool = False

    def own(self, now_s):
        loads = self.meter.loads(now_s)
        return {level.urgency: load for level, load in loads.items()}

    def running(self):
        return sum(meter.running for meter in self.meter.meters.values())


class SharedService:
    """Requests of several levels, their slots and their relays.

    :ivar in_time, late, refused, asked: requests by urgency.
    :ivar overload: most requests beyond the slots at any moment.
    """

    def __init__(self, slots, relays, zones=3, *, ordered=True):
        self.slots = slots
        self.relays = [SharingRelay(number % zones) for number in range(relays)]
        self.ordered = ordered
        self.random = Random(1)
        self.tokens = count()
        self.now_s = 0.0
        self.running = []
        self.in_time = Counter()
        self.late = Counter()
        self.refused = Counter()
        self.asked = Counter()
        self.overload = 0
        self.refused_twice = Counter()
        self.returning = []
        self.returns_known = True

    def served_share(self, urgency):
        served = self.in_time[urgency] + self.late[urgency]
        return served / self.asked[urgency]

    def in_time_share(self, urgency):
        return self.in_time[urgency] / self.asked[urgency]

    def forget(self):
        """Count from now on."""
        for counts in (self.in_time, self.late, self.refused, self.asked):
            counts.clear()

    def run(self, length_s, arrivals):
        for step in range(round(length_s / STEP_S)):
            self.now_s += STEP_S
            self._end_requests()
            self._return_callers()
            if step % OBSERVE_STEPS == 0:
                for relay in self.relays:
                    self._tell(relay)
                for relay in self.relays:
                    self._serve_line(relay)
            for one in arrivals:
                self._arrive_in_step(one)

    def _tell(self, relay):
        relay.told.append((relay.own(self.now_s), relay.running()))
        if len(relay.told) * OBSERVE_STEPS * STEP_S > VIEW_DELAY_S:
            relay.told.popleft()

    def _arrive_in_step(self, arrivals):
        expected = arrivals.per_s * STEP_S + self.random.random()
        for _ in range(int(expected)):
            self._arrive(arrivals.urgency)

    def _end_requests(self):
        still = []
        for end_s, relay, urgency in self.running:
            if end_s > self.now_s:
                still.append((end_s, relay, urgency))
                continue
            relay.meter.of(Level('advisor', urgency)).running -= 1
            relay.gate.record_ended()
        self.running = still

    def _observe(self, relay):
        told, others_running, heard = {}, 0, 0
        for other in self.relays:
            if other is relay or relay.is_cut_off or other.is_cut_off:
                continue
            loads, running = other.told[0]
            heard += 1
            others_running += running
            for urgency, load in loads.items():
                told[urgency] = told.get(urgency, LevelLoad()).plus(load)
        own_running = relay.running()
        free = self.slots - others_running - own_running
        relay.gate.observe(
            FleetLoad(
                self.slots,
                free,
                own_running,
                relay.own(self.now_s),
                told,
                len(self.relays),
                heard,
            ),
            self.now_s,
        )

    def _admits(self, relay, urgency):
        if relay.gate.free < 1:
            return False
        return relay.gate.admits(urgency) if self.ordered else True

    def _rank(self, relay, urgency):
        return relay.gate.rank(urgency) if self.ordered else (False, 0)

    def _serve_line(self, relay):
        self._observe(relay)
        rank = partial(self._rank, relay)
        admits = partial(self._admits, relay)
        while waiting := relay.line.pop(self.now_s, admits, rank):
            self._leave_line(relay, waiting)
            self._send(relay, waiting.urgency, waiting.limits.in_time_s)
        for waiting in tuple(relay.line.entries.values()):
            if self.now_s > waiting.limits.in_time_s:
                relay.line.drop(waiting.token)
                self._leave_line(relay, waiting)
                self._refuse(relay, waiting.urgency, waiting.returned)

    def _leave_line(self, relay, waiting):
        relay.meter.of(Level('advisor', waiting.urgency)).waiting -= 1

    def _arrive(self, urgency, relay=None, *, back=False):
        known = back and relay is not None
        relay = relay or self.random.choice(self.relays)
        meter = relay.meter.of(Level('advisor', urgency))
        meter.asked.record(self.now_s)
        if not back:
            self.asked[urgency] += 1
        limits = Limits(self.now_s + OBJECTIVE_S / 2, self.now_s + DEADLINE_S)
        prospect = relay.gate.prospect(urgency, HOLD_S)
        if known:
            limits = limits._replace(in_time_s=self.now_s + DEADLINE_S / 2)
            prospect = prospect._replace(ahead=0)
        rank = partial(self._rank, relay)
        if not relay.line.precedes(urgency, rank):
            if self._admits(relay, urgency):
                self._send(relay, urgency, limits.in_time_s)
                return
        if isinstance(decide(limits, prospect, self.now_s), Wait):
            meter.waiting += 1
            relay.line.push(
                Waiting(next(self.tokens), 'garage', urgency, limits, back)
            )
        else:
            self._refuse(relay, urgency, back)

    def _refuse(self, relay, urgency, back):
        if back:
            self.refused_twice[urgency] += 1
            return
        self.refused[urgency] += 1
        prospect = relay.gate.prospect(urgency, HOLD_S)
        part = prospect._replace(
            ahead=prospect.ahead / len(self.relays),
            per_s=prospect.per_s / len(self.relays),
        )
        fingerprint = str(next(self.tokens)).encode()
        refused = Refused(fingerprint, urgency, DEADLINE_S)
        after_s = relay.returns.retry_after_s(refused, part, self.now_s)
        self.returning.append((self.now_s + after_s, urgency, relay))

    def _return_callers(self):
        due = [one for one in self.returning if one[0] <= self.now_s]
        self.returning = [one for one in self.returning if one not in due]
        for _, urgency, relay in due:
            self._arrive(
                urgency, relay if self.returns_known else None, back=True
            )

    def _send(self, relay, urgency, in_time_s):
        relay.meter.of(Level('advisor', urgency)).running += 1
        relay.gate.record_sent(urgency)
        # Beyond its slots, the service queues requests in their order.
        delay_s = 0.0
        beyond = len(self.running) + 1 - self.slots
        if beyond > 0:
            self.overload = max(self.overload, beyond)
            delay_s = (
                sorted(end_s for end_s, _, _ in self.running)[beyond - 1]
                - self.now_s
            )
        if self.now_s + delay_s <= in_time_s:
            self.in_time[urgency] += 1
        else:
            self.late[urgency] += 1
        end_s = self.now_s + delay_s + HOLD_S * self.random.uniform(0.5, 1.5)
        self.running.append((end_s, relay, urgency))
