"""Stateful test of choice and retries over agents that fail in any way."""

import json
from typing import Any

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from testing.entry.models import (
    BEHAVIOURS,
    BOOKINGS,
    MODEL,
    ModelEntry,
    build_agent,
    build_services,
)

ZONES = ('zone-a', 'zone-a', 'zone-b', 'zone-c')
AGENTS = strategies.integers(min_value=0, max_value=len(ZONES) - 1)


class EntryMachine(RuleBasedStateMachine):
    """Requests through one entry, whose promises hold after each."""

    def __init__(self) -> None:
        super().__init__()
        self.entry = ModelEntry(ZONES)
        self.sent = 0
        self.zones_out: set[str] = set()
        self.retries = 0

    @rule(agent=AGENTS, behaviour=strategies.sampled_from(BEHAVIOURS))
    def change(self, agent: int, behaviour: str) -> None:
        """An agent starts to behave in another way."""
        self.entry.agents[f'agent-{agent}'].behaviour = behaviour

    @rule(zone=strategies.sampled_from(ZONES), out=strategies.booleans())
    def move_zone(self, zone: str, out: bool) -> None:
        """Operators take a zone out or back in."""
        self.zones_out.discard(zone)
        if out:
            self.zones_out.add(zone)
        self.entry.node.holder.document = build_services(
            zones=dict.fromkeys(self.zones_out, 'out')
        )

    @rule(agent=AGENTS, draining=strategies.booleans())
    def drain(self, agent: int, draining: bool) -> None:
        """An agent begins to leave, or a new one takes its place."""
        members = list(self.entry.node.members)
        members[agent] = build_agent(f'agent-{agent}', ZONES[agent])
        members[agent].draining = draining
        self.entry.node.members = tuple(members)

    @rule(seconds=strategies.floats(min_value=0, max_value=8))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.entry.now_s += seconds

    @rule(
        service=strategies.sampled_from((MODEL, BOOKINGS)),
        keyed=strategies.booleans(),
    )
    def send(self, service: str, keyed: bool) -> None:
        """A caller sends a request and checks what it got."""
        self.sent += 1
        request_id = f'request-{self.sent}'
        asked_before = self.asked()
        headers = {'Idempotency-Key': request_id} if keyed else {}
        resets = len(self.entry.port.transport.ended)
        answer = self.entry.send(service, request_id, headers)
        runs = self.entry.runs[request_id]
        self.retries += max(0, self.asked() - asked_before - 1)
        if keyed or service == BOOKINGS:
            assert runs <= 1, 'ran twice'
        if len(self.entry.port.transport.ended) > resets:
            return
        head, _, body = answer.partition(b'\r\n\r\n')
        if head.startswith(b'HTTP/1.1 200'):
            assert body == request_id.encode(), 'not its own whole answer'
            return
        error: dict[str, Any] = json.loads(body)
        assert error['run'] != 'not_run' or not runs, 'untrue not_run'
        assert b'Retry-After' in head

    def asked(self) -> int:
        """Return how many requests reached agents."""
        return sum(len(agent.asked) for agent in self.entry.agents.values())

    @invariant()
    def retries_stay_within_the_budget(self) -> None:
        """Three, and a fifth of the first tries."""
        assert self.retries <= 3 + 0.2 * self.sent

    @invariant()
    def only_members_that_take_work_are_chosen(self) -> None:
        """No zone that is out, no agent that leaves."""
        picker = self.entry.dispatcher.picker
        picker.observe(self.entry.dispatcher.view())
        chosen = {
            candidate.name
            for tier in picker.fleet.tiers(MODEL)
            for candidate in tier
        }
        for member in self.entry.node.members:
            if member.draining or member.zone in self.zones_out:
                assert member.name not in chosen

    @invariant()
    def nothing_is_left_running(self) -> None:
        """Every request that ended is counted as ended."""
        assert not self.entry.dispatcher.running
        assert not self.entry.dispatcher.picker.loads.in_flight


EntryMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestEntryMachine = EntryMachine.TestCase
