"""Searches for a history that opens an engine to the wrong weights."""

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bramleylug.agent.swap_leases import SwapLease
from bramleylug.agent.version_actions import (
    AcquireLease,
    CloseGate,
    Observation,
    OpenGate,
    OrderVersion,
    ReleaseLease,
)
from bramleylug.agent.version_policy import Phase, VersionPolicy
from bramleylug.agent.weights_gate import WeightsGate
from bramleylug.weights.manifest import VersionKey
from testing.agent.engine_object import MIXED, EngineObject

VERSIONS = ('1', '2', '3')
FATES = ('taken', 'late', 'lost')
version = strategies.sampled_from(VERSIONS)


class VersionMachine(RuleBasedStateMachine):
    """Policy, gate and engine under faults, in virtual time."""

    @initialize(honours=strategies.booleans(), serving=strategies.booleans())
    def begin(self, honours: bool, serving: bool) -> None:
        """Start cold, or serving the first version with a second staged."""
        self.engine = EngineObject(honours_fencing=honours)
        self.policy = VersionPolicy()
        self.gate = WeightsGate('zone-a', 'seat-fitting')
        self.now_s = 0.0
        self.revision = 1
        self.wanted = VersionKey('seat', '1')
        self.running = 0
        self.lease = None
        self.asked = False
        self.seen = None
        self.fresh = False
        if serving:
            self.publish('1', staged=True)
            self.work(0.1, 'taken', store_up=True, times=2)
            self.publish('2', staged=True)

    @rule(to=version, staged=strategies.booleans())
    def publish(self, to: str, staged: bool) -> None:
        """Want another version, or the same again."""
        self.wanted = VersionKey('seat', to)
        self.revision += 1
        if staged:
            self.policy.record_verified(self.wanted, f'd{to}')

    @rule(
        back=strategies.sampled_from(('', 'd1', 'd2', MIXED)),
        lapse=strategies.booleans(),
        evicted=version,
    )
    def disturb(self, back: str, lapse: bool, evicted: str) -> None:
        """The engine restarts cold or otherwise, or the lease lapses."""
        key = VersionKey('seat', evicted)
        in_use = {self.engine.digest, self.policy.last_open_digest}
        if f'd{evicted}' not in in_use and key != self.wanted:
            self.policy.record_evicted(key)
        if lapse:
            self.lease = None
            return
        self.engine.restart(back)
        self.running = 0
        self.fresh = False

    @precondition(lambda machine: machine.engine.late)
    @rule()
    def deliver_late(self) -> None:
        """An order that was given up on takes effect after all."""
        self.engine.order(self.engine.late.pop(0))
        self.fresh = False

    @rule(
        passed_s=strategies.sampled_from((0.1, 0.1, 3, 40)),
        fate=strategies.sampled_from(FATES),
        store_up=strategies.booleans(),
        times=strategies.integers(1, 4),
    )
    def work(
        self, passed_s: float, fate: str, *, store_up: bool, times: int = 1
    ) -> None:
        """Let time pass, look and decide, several times."""
        for _ in range(times):
            self.now_s += passed_s
            if self.asked and store_up:
                self.lease = SwapLease(1, self.now_s + 20, self.now_s)
            self.look()
            self.step(fate)

    @rule()
    def look(self) -> None:
        """Fetch a report, which may be old when it is acted on."""
        self.seen = (self.engine.report(), self.gate.contradictions)
        self.fresh = True

    @precondition(lambda machine: machine.seen is not None)
    @rule(fate=strategies.sampled_from(FATES))
    def step(self, fate: str) -> None:
        """Decide on the report that was fetched."""
        report, contradictions = self.seen
        was_open = self.gate.is_open
        actions = self.policy.step(
            Observation(
                wanted=self.wanted,
                revision=self.revision,
                report=report,
                running=self.running,
                lease=self.lease,
            ),
            self.now_s,
        )
        swapping = self.policy.phase is Phase.loading
        for action in actions:
            self._act(action, contradictions, fate, swapping=swapping)
        if self.fresh and self.gate.is_open:
            assert self.gate.boot_id == self.engine.boot_id
            assert self.gate.open_digest == self.engine.digest
            assert self.engine.digest in self.policy.verified
        if self.gate.contradictions != contradictions and not was_open:
            assert not self.gate.is_open
        if was_open and not self.gate.is_open and swapping:
            raise AssertionError('closed and ordered in one step')
        self.seen = None

    @rule()
    def request(self) -> None:
        """A request is answered at once."""
        if not self.gate.is_open or not self.engine.digest:
            return
        matches = self.gate.observe_answer(
            self.engine.digest, self.engine.boot_id
        )
        if matches:
            assert self.engine.digest in self.policy.verified
        assert self.gate.is_open == matches

    @rule()
    def begin_request(self) -> None:
        """A long request starts."""
        if self.gate.is_open and self.engine.digest:
            self.running += 1

    @precondition(lambda machine: machine.running)
    @rule()
    def end_request(self) -> None:
        """A long request ends."""
        self.running -= 1

    @invariant()
    def never_open_for_unverified(self) -> None:
        """Whatever happened, the gate names a verified version."""
        if getattr(self, 'gate', None) and self.gate.is_open:
            assert self.gate.open_digest not in {'', MIXED}

    def _act(self, action, contradictions, fate, *, swapping) -> None:
        match action:
            case CloseGate():
                self.gate.close()
            case OpenGate(boot_id, digest):
                self.gate.open(boot_id, digest, contradictions)
            case AcquireLease():
                self.asked = True
            case ReleaseLease():
                self.asked = False
                self.lease = None
            case OrderVersion():
                self._order(action, fate, swapping=swapping)

    def _order(self, order, fate, *, swapping) -> None:
        assert not self.running
        assert order.digest in self.policy.verified
        if swapping:
            assert self.lease is not None
            assert self.lease.until_s > self.now_s
        assert not self.gate.is_open
        accepted = False
        if fate == 'taken':
            accepted = self.engine.order(order)
        elif fate == 'late':
            self.engine.late.append(order)
        self.fresh = False
        self.policy.record_order_end(self.now_s, accepted=accepted)


TestVersionMachine = VersionMachine.TestCase
TestVersionMachine.settings = settings(
    max_examples=250, stateful_step_count=30, derandomize=True, deadline=None
)
