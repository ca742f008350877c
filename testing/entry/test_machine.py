"""Stateful test of routing and retries over agents with any failure."""

import json
from typing import Any

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from loguru import logger

from testing.entry.models import (
    BEHAVIOURS,
    BOOKINGS,
    MODEL,
    ModelEntry,
    build_agent,
    build_services,
)

ZONES = ('zone-a', 'zone-a', 'zone-b', 'zone-c')
# Behaviours that lead to a retry are drawn more often.
RETRIED_BEHAVIOURS = ('refuse', 'lose', 'refuse', 'crash', 'unreachable') * 2
AGENTS = strategies.integers(min_value=0, max_value=len(ZONES) - 1)


class EntryMachine(RuleBasedStateMachine):
    """Sends requests through one entry and checks its guarantees."""

    def __init__(self) -> None:
        super().__init__()
        self.entry = ModelEntry(ZONES)
        self.sent = 0
        self.zones_out: set[str] = set()
        self.retries = 0
        logger.disable('bramleylug')

    def teardown(self) -> None:
        logger.enable('bramleylug')

    @rule(
        behaviours=strategies.lists(
            strategies.sampled_from(RETRIED_BEHAVIOURS + BEHAVIOURS),
            min_size=len(ZONES),
            max_size=len(ZONES),
        )
    )
    def change(self, behaviours: list[str]) -> None:
        """Change the behaviour of all agents."""
        for agent, behaviour in enumerate(behaviours):
            self.entry.agents[f'agent-{agent}'].behaviour = behaviour

    @rule(zone=strategies.sampled_from(ZONES), out=strategies.booleans())
    def move_zone(self, zone: str, out: bool) -> None:
        """Take a zone out of service or put it back."""
        self.zones_out.discard(zone)
        if out:
            self.zones_out.add(zone)
        self.entry.node.holder.document = build_services(
            zones=dict.fromkeys(self.zones_out, 'out')
        )

    @rule(agent=AGENTS, draining=strategies.booleans())
    def drain(self, agent: int, draining: bool) -> None:
        """Start draining an agent, or replace it by a new one."""
        members = list(self.entry.node.members)
        members[agent] = build_agent(f'agent-{agent}', ZONES[agent])
        members[agent].draining = draining
        self.entry.node.members = tuple(members)

    @rule(seconds=strategies.floats(min_value=0, max_value=8))
    def wait(self, seconds: float) -> None:
        self.entry.now_s += seconds

    @rule(
        kinds=strategies.lists(
            strategies.tuples(
                strategies.sampled_from((MODEL, BOOKINGS)),
                strategies.booleans(),
            ),
            min_size=1,
            max_size=6,
        )
    )
    def send(self, kinds: list[tuple[str, bool]]) -> None:
        """Send requests and check their answers."""
        for service, keyed in kinds:
            self.send_one(service, keyed=keyed)

    def send_one(self, service: str, *, keyed: bool) -> None:
        self.sent += 1
        request_id = f'request-{self.sent}'
        requests_before = self.count_requests()
        headers = {'Idempotency-Key': request_id} if keyed else {}
        resets = len(self.entry.port.transport.events)
        answer = self.entry.send(service, request_id, headers)
        runs = self.entry.runs[request_id]
        self.retries += max(0, self.count_requests() - requests_before - 1)
        if keyed or service == BOOKINGS:
            assert runs <= 1, 'ran twice'
        if len(self.entry.port.transport.events) > resets:
            return
        head, _, body = answer.partition(b'\r\n\r\n')
        if head.startswith(b'HTTP/1.1 200'):
            assert body == request_id.encode(), (
                'not the complete answer of this request'
            )
            return
        error: dict[str, Any] = json.loads(body)
        assert error['run'] != 'not_run' or not runs, (
            'reported as not run, but it ran'
        )
        assert b'Retry-After' in head

    def count_requests(self) -> int:
        """Return how many requests have reached agents."""
        return sum(len(agent.requests) for agent in self.entry.agents.values())

    @invariant()
    def retries_stay_within_the_budget(self) -> None:
        """Three retries, and one for every five first attempts."""
        assert self.retries <= 3 + 0.2 * self.sent

    @invariant()
    def only_usable_agents_are_candidates(self) -> None:
        """No agent that is draining or in a zone out of service."""
        picker = self.entry.dispatcher.picker
        picker.update(self.entry.dispatcher.snapshot())
        candidates = {
            candidate.name
            for tier in picker.fleet.tiers(MODEL)
            for candidate in tier
        }
        for member in self.entry.node.members:
            if member.draining or member.zone in self.zones_out:
                assert member.name not in candidates

    @invariant()
    def nothing_is_left_running(self) -> None:
        """Counters of running requests are zero between requests."""
        assert not self.entry.dispatcher.running
        assert not self.entry.dispatcher.picker.loads.in_flight


EntryMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
TestEntryMachine = EntryMachine.TestCase
