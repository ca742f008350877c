"""Stateful test of choice and retries over agents that fail in any way."""

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
# What makes a second try is drawn more often.
OFTEN = ('refuse', 'lose', 'refuse', 'crash', 'unreachable') * 2
AGENTS = strategies.integers(min_value=0, max_value=len(ZONES) - 1)


class EntryMachine(RuleBasedStateMachine):
    """Requests through one entry, whose promises hold after each."""

    def __init__(self) -> None:
        super().__init__()
        self.entry = ModelEntry(ZONES)
        self.sent = 0
        self.zones_out: set[str] = set()
        self.retries = 0
        logger.disable('bramleylug')

    def teardown(self) -> None:
        """Let log lines pass again."""
        logger.enable('bramleylug')

    @rule(
        behaviours=strategies.lists(
            strategies.sampled_from(OFTEN + BEHAVIOURS),
            min_size=len(ZONES),
            max_size=len(ZONES),
        )
    )
    def change(self, behaviours: list[str]) -> None:
        """Agents start to behave in other ways."""
        for agent, behaviour in enumerate(behaviours):
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
        """Callers send requests and check what they got."""
        for service, keyed in kinds:
            self.send_one(service, keyed=keyed)

    def send_one(self, service: str, *, keyed: bool) -> None:
        """Send one request and check its answer."""
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
        picker.update(self.entry.dispatcher.view())
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
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
TestEntryMachine = EntryMachine.TestCase
