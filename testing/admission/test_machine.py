"""Stateful test of admission: arrivals, ends, restarts and time passing."""

from typing import Any

from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from hypothesis.strategies import booleans, integers, sampled_from

from bramleylug.admission.admission import Admission, Refuse, Start
from bramleylug.admission.limiter import Limiter
from bramleylug.outcomes import Reason
from testing.builders import build_arrival, build_spec

MAX_HELD = 8
QUEUE_BYTES = 200


def _is_busy(machine: 'AdmissionMachine') -> bool:
    return bool(machine.running)


class AdmissionMachine(RuleBasedStateMachine):
    """Checks each decision against the limits of the upstream."""

    def __init__(self) -> None:
        super().__init__()
        self.spec = build_spec(
            concurrency=4,
            cold_concurrency=1,
            ramp_successes=6,
            queue_bytes=QUEUE_BYTES,
        )
        self.limiter = Limiter()
        self.limiter.observe_boot('boot-0')
        self.admission = Admission(self.limiter, MAX_HELD)
        self.now_s = 0.0
        self.boots = 0
        self.tokens = 0
        self.arrivals: dict[int, Any] = {}
        self.waiting: set[int] = set()
        self.running: dict[int, str] = {}

    def apply_decisions(self, decisions: list[Any]) -> None:
        """Apply decisions; each request is decided on exactly once."""
        for decision in decisions:
            self.waiting.remove(decision.token)
            match decision:
                case Start(token, permit):
                    self.running[token] = permit.boot_id
                    self.check_start(token)
                case Refuse(_, refusal):
                    retry_after_s = refusal.retry_after_s
                    assert (
                        refusal.reason != Reason.overloaded or retry_after_s > 0
                    )

    def check_start(self, token: int) -> None:
        """Check the requests that run beside the one just started."""
        boot = self.limiter.boot_id
        assert self.running[token] == boot
        on_boot = [
            token for token, boot_id in self.running.items() if boot_id == boot
        ]
        assert len(on_boot) <= self.limiter.limit(self.spec)
        exclusive = any(self.arrivals[started].exclusive for started in on_boot)
        assert not exclusive or len(on_boot) == 1

    @rule(
        workspace=sampled_from(('large', 'large', 'small')),
        priority=integers(0, 2),
        body_bytes=sampled_from((1, 30, 90, 250)),
        patience_s=sampled_from((0.1, 2.0, 30.0)),
        exclusive=sampled_from((False, False, False, True)),
    )
    def arrive(self, patience_s: float, **fields: Any) -> None:
        self.tokens += 1
        deadline_s = self.now_s + patience_s
        arrival = build_arrival(self.tokens, deadline_s=deadline_s, **fields)
        self.arrivals[self.tokens] = arrival
        self.waiting.add(self.tokens)
        self.apply_decisions(
            self.admission.arrive(arrival, self.spec, self.now_s)
        )

    @precondition(_is_busy)
    @rule(number=integers(0, MAX_HELD), success=booleans())
    def end(self, number: int, success: bool) -> None:
        token = sorted(self.running)[number % len(self.running)]
        self.running.pop(token)
        decisions = self.admission.end(
            token, self.spec, self.now_s, success=success
        )
        self.apply_decisions(decisions)

    @rule(seconds=sampled_from((0.05, 0.5, 5.0)))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds
        self.apply_decisions(self.admission.advance(self.spec, self.now_s))

    @rule()
    def restart(self) -> None:
        """Restart the upstream cold; requests of the earlier boot end later."""
        self.boots += 1
        self.limiter.observe_boot(f'boot-{self.boots}')
        assert self.limiter.limit(self.spec) == 1
        self.apply_decisions(self.admission.advance(self.spec, self.now_s))

    @rule(number=integers(1, 20))
    def cancel(self, number: int) -> None:
        """Cancel a request, which may have been decided on already."""
        decisions = self.admission.cancel(number)
        assert {decision.token for decision in decisions} <= {number}
        self.apply_decisions(decisions)

    @invariant()
    def held_is_bounded(self) -> None:
        """Held bytes and held requests stay within their bounds."""
        assert self.admission.bytes_held <= QUEUE_BYTES
        assert len(self.running) + len(self.waiting) <= MAX_HELD

    @invariant()
    def counters_match_the_model(self) -> None:
        """No request is lost and none counts twice."""
        assert self.admission.queue.size == len(self.waiting)
        assert set(self.admission.running) == set(self.running)
        assert (
            self.admission.held_by_workspace.total()
            == MAX_HELD - self.remaining()
        )
        held = {*self.running, *self.waiting}
        assert self.admission.bytes_held == sum(
            self.arrivals[token].body_bytes for token in held
        )

    def remaining(self) -> int:
        """Return how many more requests may be held."""
        return MAX_HELD - len(self.running) - len(self.waiting)


AdmissionMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestAdmissionMachine = AdmissionMachine.TestCase
