"""Stateful test: at most one run per key, whatever the store does."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from hypothesis.strategies import integers, sampled_from

from bramleylug.claims.actions import (
    Instant,
    ReadShard,
    Replay,
    Run,
    Settle,
    WriteShard,
)
from bramleylug.claims.ledger import ShardLedger
from bramleylug.outcomes import NotRun
from bramleylug.store.store import (
    Conflict,
    StoredValue,
    Swapped,
    Unavailable,
    Uncertain,
)
from bramleylug.wire.claims_pb2 import CLAIM_STATE_RAN, CLAIM_STATE_UNKNOWN
from testing.builders import build_claim_request

AGENTS = 3
EPOCH_S = 1_000_000
KEYS = (b'key-1', b'key-1', b'key-2')


@dataclass
class Agent:
    """One agent incarnation with its pending store call and its claims.

    :ivar call: store call that has not been answered.
    :ivar may_run: tokens of claimed requests that have not been sent.
    :ivar running: tokens of requests that were sent.
    """

    ledger: ShardLedger
    call: Any = None
    may_run: list[int] = field(default_factory=list)
    running: list[int] = field(default_factory=list)


class AtMostOnceMachine(RuleBasedStateMachine):
    """Agents claim two keys through a store that loses and delays answers.

    A paused agent is one whose rules are not drawn for a while.
    """

    @initialize()
    def start(self) -> None:
        """Start three agents and an empty store."""
        self.now_s = 0.0
        self.value = StoredValue(b'', 0)
        self.late: list[WriteShard] = []
        self.incarnations = Counter()
        self.agents = [self.build_agent(number) for number in range(AGENTS)]
        self.tokens = 0
        self.keys: dict[int, bytes] = {}
        self.runs: Counter[bytes] = Counter()
        self.ran_tokens: set[int] = set()
        self.settled: dict[int, Any] = {}

    def build_agent(self, number: int) -> Agent:
        self.incarnations[number] += 1
        name = f'agent-{number}/{self.incarnations[number]}'
        return Agent(ShardLedger(name))

    @property
    def now(self) -> Instant:
        return Instant(self.now_s, EPOCH_S + self.now_s)

    def pick(
        self, number: int, matches: Callable[[Agent], Any]
    ) -> Agent | None:
        """Return one of the agents that match, or ``None``."""
        found = [agent for agent in self.agents if matches(agent)]
        return found[number % len(found)] if found else None

    def act(self, agent: Agent, actions: list[Any]) -> None:
        """Apply the actions of an agent's ledger."""
        for action in actions:
            match action:
                case WriteShard() | ReadShard():
                    assert agent.call is None, 'one call at a time'
                    agent.call = action
                case Run(token):
                    agent.may_run.append(token)
                case Settle(token, outcome):
                    assert token not in self.settled, 'answered twice'
                    self.settled[token] = outcome

    @rule(number=integers(0, AGENTS - 1), key=sampled_from(KEYS))
    def request_claim(self, number: int, key: bytes) -> None:
        """Send a request or its resend to any agent."""
        agent = self.agents[number]
        self.tokens += 1
        self.keys[self.tokens] = key
        claim_request = build_claim_request(
            self.tokens, key, wait_until_s=self.now_s + 2
        )
        self.act(agent, agent.ledger.request_claim(claim_request, self.now))

    @rule(seconds=sampled_from((0.01, 0.3, 1.0, 3.0)))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds

    @rule(number=integers(0, AGENTS - 1))
    def advance(self, number: int) -> None:
        agent = self.agents[number]
        self.act(agent, agent.ledger.advance(self.now))

    def swap(self, write: WriteShard) -> Any:
        """Apply a write to the store."""
        if write.expected_version != self.value.version:
            return Conflict(self.value)
        self.value = StoredValue(write.content, self.value.version + 1)
        return Swapped(self.value.version)

    @rule(
        number=integers(0, AGENTS - 1),
        fault=sampled_from(('none', 'none', 'lost', 'refused', 'late')),
    )
    def answer(self, number: int, fault: str) -> None:
        """Answer an agent's call, lose the answer, refuse or delay the call."""
        agent = self.pick(number, lambda agent: agent.call is not None)
        if agent is None:
            return
        call = agent.call
        agent.call = None
        ledger = agent.ledger
        outcome: Any = Unavailable('refused')
        if isinstance(call, ReadShard):
            if fault == 'none':
                outcome = self.value
            self.act(agent, ledger.handle_read(outcome, self.now))
            return
        if fault == 'none':
            outcome = self.swap(call)
        elif fault == 'lost':
            self.swap(call)
            outcome = Uncertain('lost')
        elif fault == 'late':
            self.late.append(call)
            outcome = Uncertain('lost')
        self.act(agent, ledger.handle_write(outcome, self.now))

    @rule()
    def apply_late_write(self) -> None:
        """Apply a delayed write to the store."""
        if self.late:
            self.swap(self.late.pop())

    @rule(number=integers(0, AGENTS - 1))
    def send(self, number: int) -> None:
        """Send a claimed request, possibly long after it was claimed."""
        agent = self.pick(number, lambda agent: agent.may_run)
        if agent is not None:
            token = agent.may_run.pop()
            self.runs[self.keys[token]] += 1
            self.ran_tokens.add(token)
            agent.running.append(token)

    @rule(
        number=integers(0, AGENTS - 1),
        state=sampled_from((CLAIM_STATE_RAN, CLAIM_STATE_UNKNOWN)),
    )
    def finish(self, number: int, state: int) -> None:
        """End a run with or without a known result."""
        agent = self.pick(number, lambda agent: agent.running)
        if agent is not None:
            token = agent.running.pop()
            key = self.keys[token]
            answer = key if state == CLAIM_STATE_RAN else b''
            self.act(agent, agent.ledger.finish(key, state, answer, self.now))

    @rule(number=integers(0, AGENTS - 1))
    def release(self, number: int) -> None:
        """Release a claim because the upstream is unreachable."""
        agent = self.pick(number, lambda agent: agent.may_run)
        if agent is not None:
            token = agent.may_run.pop()
            self.settled[token] = NotRun('connection_failed')
            actions = agent.ledger.release(self.keys[token], self.now)
            self.act(agent, actions)

    @rule(number=integers(0, AGENTS - 1))
    def replace(self, number: int) -> None:
        """Replace an agent by a new incarnation; its write may still apply."""
        call = self.agents[number].call
        if isinstance(call, WriteShard):
            self.late.append(call)
        self.agents[number] = self.build_agent(number)

    @invariant()
    def no_key_runs_twice(self) -> None:
        """Each key runs at most once across all agents."""
        assert all(runs <= 1 for runs in getattr(self, 'runs', {}).values())

    @invariant()
    def refused_attempts_did_not_run(self) -> None:
        """An attempt that was answered as not run has not run."""
        for token, outcome in getattr(self, 'settled', {}).items():
            if isinstance(outcome, NotRun):
                assert token not in self.ran_tokens

    @invariant()
    def replayed_answers_belong_to_their_key(self) -> None:
        """A resend gets the answer of its own key."""
        for token, outcome in getattr(self, 'settled', {}).items():
            if isinstance(outcome, Replay):
                assert outcome.answer == self.keys[token]


TestAtMostOnce = AtMostOnceMachine.TestCase
TestAtMostOnce.settings = settings(max_examples=300, stateful_step_count=50)
