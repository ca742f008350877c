"""Stateful test: the gate is never open for weights that are not verified."""

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
from testing.agent.simulated_engine import MIXED, SimulatedEngine

VERSIONS = ('1', '2', '3')
ORDER_FATES = ('taken', 'late', 'lost')
versions = strategies.sampled_from(VERSIONS)


class VersionMachine(RuleBasedStateMachine):
    """Policy, gate and simulated engine under faults, in virtual time."""

    @initialize(
        honours_fencing=strategies.booleans(),
        starts_serving=strategies.booleans(),
    )
    def begin(self, honours_fencing: bool, starts_serving: bool) -> None:
        """Start with a cold engine, or serve version 1 while 2 is staged."""
        self.engine = SimulatedEngine(honours_fencing=honours_fencing)
        self.policy = VersionPolicy()
        self.gate = WeightsGate('zone-a', 'seat-fitting')
        self.now_s = 0.0
        self.revision = 1
        self.wanted = VersionKey('seat', '1')
        self.running = 0
        self.lease = None
        self.lease_wanted = False
        self.fetched_report = None
        self.report_is_current = False
        if starts_serving:
            self.publish('1', staged=True)
            self.advance(0.1, 'taken', store_up=True, times=2)
            self.publish('2', staged=True)

    @rule(to=versions, staged=strategies.booleans())
    def publish(self, to: str, staged: bool) -> None:
        """Publish a revision that names another version, or the same."""
        self.wanted = VersionKey('seat', to)
        self.revision += 1
        if staged:
            self.policy.record_verified(self.wanted, f'd{to}')

    @rule(
        reported_digest=strategies.sampled_from(('', 'd1', 'd2', MIXED)),
        lease_expires=strategies.booleans(),
        evicted_version=versions,
    )
    def inject_fault(
        self, reported_digest: str, lease_expires: bool, evicted_version: str
    ) -> None:
        """Restart the engine, cold or with any weights, or expire the lease.

        A version that is neither wanted nor in use is evicted first.
        """
        key = VersionKey('seat', evicted_version)
        in_use = {self.engine.digest, self.policy.last_open_digest}
        if f'd{evicted_version}' not in in_use and key != self.wanted:
            self.policy.record_evicted(key)
        if lease_expires:
            self.lease = None
            return
        self.engine.restart(reported_digest)
        self.running = 0
        self.report_is_current = False

    @precondition(lambda machine: machine.engine.delayed_orders)
    @rule()
    def deliver_late(self) -> None:
        """Deliver an order that timed out; it takes effect after all."""
        self.engine.order(self.engine.delayed_orders.pop(0))
        self.report_is_current = False

    @rule(
        elapsed_s=strategies.sampled_from((0.1, 0.1, 3, 40)),
        order_fate=strategies.sampled_from(ORDER_FATES),
        store_up=strategies.booleans(),
        times=strategies.integers(1, 4),
    )
    def advance(
        self,
        elapsed_s: float,
        order_fate: str,
        *,
        store_up: bool,
        times: int = 1,
    ) -> None:
        """Let time pass, fetch a report and decide, several times."""
        for _ in range(times):
            self.now_s += elapsed_s
            if self.lease_wanted and store_up:
                self.lease = SwapLease(1, self.now_s + 20, self.now_s)
            self.fetch_report()
            self.step(order_fate)

    @rule()
    def fetch_report(self) -> None:
        """Fetch a report, which may be outdated when it is acted on."""
        self.fetched_report = (self.engine.report(), self.gate.contradictions)
        self.report_is_current = True

    @precondition(lambda machine: machine.fetched_report is not None)
    @rule(order_fate=strategies.sampled_from(ORDER_FATES))
    def step(self, order_fate: str) -> None:
        """Let the policy decide on the fetched report, and act on it."""
        report, contradictions = self.fetched_report
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
            self._execute(action, contradictions, order_fate, swapping=swapping)
        if self.report_is_current and self.gate.is_open:
            assert self.gate.boot_id == self.engine.boot_id
            assert self.gate.open_digest == self.engine.digest
            assert self.engine.digest in self.policy.verified
        if self.gate.contradictions != contradictions and not was_open:
            assert not self.gate.is_open
        if was_open and not self.gate.is_open and swapping:
            raise AssertionError('closed and ordered in one step')
        self.fetched_report = None

    @rule()
    def request(self) -> None:
        """Run a request that is answered at once."""
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
        """Start a long request."""
        if self.gate.is_open and self.engine.digest:
            self.running += 1

    @precondition(lambda machine: machine.running)
    @rule()
    def end_request(self) -> None:
        """End a long request."""
        self.running -= 1

    @invariant()
    def never_open_for_unverified(self) -> None:
        """An open gate never names unknown or mixed weights."""
        if getattr(self, 'gate', None) and self.gate.is_open:
            assert self.gate.open_digest not in {'', MIXED}

    def _execute(self, action, contradictions, order_fate, *, swapping) -> None:
        match action:
            case CloseGate():
                self.gate.close()
            case OpenGate(boot_id, digest):
                self.gate.open(boot_id, digest, contradictions)
            case AcquireLease():
                self.lease_wanted = True
            case ReleaseLease():
                self.lease_wanted = False
                self.lease = None
            case OrderVersion():
                self._order(action, order_fate, swapping=swapping)

    def _order(self, order, order_fate, *, swapping) -> None:
        assert not self.running
        assert order.digest in self.policy.verified
        if swapping:
            assert self.lease is not None
            assert self.lease.until_s > self.now_s
        assert not self.gate.is_open
        accepted = False
        if order_fate == 'taken':
            accepted = self.engine.order(order)
        elif order_fate == 'late':
            self.engine.delayed_orders.append(order)
        self.report_is_current = False
        self.policy.record_order_end(self.now_s, accepted=accepted)


TestVersionMachine = VersionMachine.TestCase
TestVersionMachine.settings = settings(
    max_examples=250, stateful_step_count=30, derandomize=True, deadline=None
)
