"""Property test of interleaved publisher steps, as a state machine."""

import unittest
from itertools import count

from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from hypothesis.strategies import data, integers, sampled_from

from bramleylug.configuration.audit import read_trail
from bramleylug.configuration.publisher import (
    AcceptanceUnknown,
    Accepted,
    NotAccepted,
)
from testing.builders import build_change
from testing.configuration.model_store import (
    FAULTS,
    ModelStore,
    SteppedPublisher,
)

ZONES = ('north', 'south')
PUBLISHERS = 3


def _may_start(machine: 'PublicationMachine') -> bool:
    return len(machine.running) < PUBLISHERS


def _can_repeat(machine: 'PublicationMachine') -> bool:
    return bool(machine.ended) and _may_start(machine)


def _any_running(machine: 'PublicationMachine') -> bool:
    return bool(machine.running)


def _any_late(machine: 'PublicationMachine') -> bool:
    return bool(machine.store.late)


class PublicationMachine(RuleBasedStateMachine):
    """Publishers whose calls interleave, with faults and late writes."""

    def __init__(self) -> None:
        super().__init__()
        self.store = ModelStore()
        self.numbers = count(1)
        self.running: list[SteppedPublisher] = []
        self.ended: list[SteppedPublisher] = []
        self.begun: list[SteppedPublisher] = []
        self.checked = (0, 0)
        self.highest = 0

    @precondition(_may_start)
    @rule(zone=sampled_from(ZONES), state=sampled_from(('in', 'out')))
    def start(self, zone: str, state: str) -> None:
        """A publisher starts."""
        change = build_change(**{zone: state})
        self._add(
            SteppedPublisher(self.store, change, f'c{next(self.numbers)}')
        )

    @precondition(_can_repeat)
    @rule(choice=data())
    def repeat(self, choice: object) -> None:
        """An operator repeats a change with its id."""
        ended = choice.draw(sampled_from(self.ended))
        self._add(
            SteppedPublisher(
                self.store, ended.change, ended.change_id, repeated=True
            )
        )

    @precondition(_any_running)
    @rule(choice=integers(0, PUBLISHERS - 1), fault=sampled_from(FAULTS))
    def step(self, choice: int, fault: str) -> None:
        """One publisher makes one call, with or without a fault."""
        self.running[choice % len(self.running)].step(fault)
        self._collect_ended()

    @precondition(_any_running)
    @rule(choice=integers(0, PUBLISHERS - 1))
    def finish(self, choice: int) -> None:
        """One publisher runs to its end without further faults."""
        publisher = self.running[choice % len(self.running)]
        while not publisher.ended:
            publisher.step('none')
        self._collect_ended()

    @precondition(_any_running)
    @rule(choice=integers(0, PUBLISHERS - 1))
    def kill(self, choice: int) -> None:
        """A publisher is killed between two calls."""
        self.running.pop(choice % len(self.running)).kill()

    @precondition(_any_late)
    @rule(choice=integers(0, 7))
    def apply_late_write(self, choice: int) -> None:
        """A delayed write reaches the store."""
        late = self.store.late
        self.store.apply(*late.pop(choice % len(late)))

    @invariant()
    def revisions_never_go_down(self) -> None:
        revision = self.store.document().revision
        assert revision >= self.highest
        self.highest = revision

    @invariant()
    def reported_outcomes_are_true(self) -> None:
        """Checks the outcomes of all ended publishers.

        An accepted change is stored exactly once, one that was not accepted
        never takes effect, and unknown is reported only after an uncertain
        call.
        """
        self.store.faults = []
        state = (self.store.document().revision, len(self.ended))
        if state == self.checked:
            return
        self.checked = state
        trail = read_trail(self.store, last=0)
        assert not trail.missing
        ids = [entry['change_id'] for entry in trail.entries]
        assert len(ids) == len(set(ids))
        for publisher in self.ended:
            match publisher.outcome:
                case Accepted(revision, True):
                    assert ids[revision - 1] == publisher.change_id
                case NotAccepted():
                    assert self._stayed_out(publisher, ids)
                case AcceptanceUnknown():
                    assert publisher.uncertain

    def teardown(self) -> None:
        for publisher in self.running:
            publisher.kill()

    def _stayed_out(self, publisher: SteppedPublisher, ids: list[str]) -> bool:
        """Return whether a rejected change stayed out until it was repeated."""
        later = self.begun[self.begun.index(publisher) + 1 :]
        repeated = publisher.change_id in {run.change_id for run in later}
        return repeated or publisher.change_id not in ids

    def _add(self, publisher: SteppedPublisher) -> None:
        self.begun.append(publisher)
        self.running.append(publisher)
        self._collect_ended()

    def _collect_ended(self) -> None:
        self.ended.extend(run for run in self.running if run.ended)
        self.running = [run for run in self.running if not run.ended]


class TestPublicationSteps(unittest.TestCase):
    """The guarantees of publication as invariants."""

    def test_guarantees_hold_in_interleavings(self) -> None:
        """The state machine draws the interleavings and the faults."""
        machine = PublicationMachine.TestCase()
        machine.settings = settings(
            max_examples=80, stateful_step_count=40, derandomize=True
        )
        machine.runTest()
