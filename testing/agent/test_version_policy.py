"""Tests of the life of versions on one engine."""

import unittest

from bramleylug.agent.swap_leases import SwapLease
from bramleylug.agent.version_actions import (
    AcquireLease,
    CloseGate,
    ConfirmLease,
    DrainUnfinished,
    EngineReport,
    Observation,
    OpenGate,
    OrderAdapter,
    OrderVersion,
    ReleaseLease,
    UnexpectedWeights,
)
from bramleylug.agent.version_policy import VersionPolicy, next_fencing
from bramleylug.weights.manifest import VersionKey

FIRST = VersionKey('seat', '1')
SECOND = VersionKey('seat', '2')


def look(wanted=SECOND, digest='d1', *, boot='boot', revision=2, **seen):
    """Return what a step is decided on."""
    report = EngineReport(boot, digest, adapters=seen.pop('loaded', {}))
    return Observation(wanted=wanted, revision=revision, report=report, **seen)


class TestLoading(unittest.TestCase):
    """A cold engine, and one that went back."""

    def setUp(self) -> None:
        """Hold both versions."""
        self.policy = VersionPolicy()
        self.policy.record_verified(FIRST, 'd1')
        self.policy.record_verified(SECOND, 'd2')

    def test_cold_engine_is_ordered_without_a_turn(self) -> None:
        """Nothing is served that a turn would have to protect."""
        actions = self.policy.step(look(digest=''), 0)

        self.assertEqual(
            actions, [CloseGate(), OrderVersion(SECOND, 'd2', 2 << 16)]
        )

    def test_gate_opens_for_what_the_engine_reports(self) -> None:
        """The wanted version opens it."""
        actions = self.policy.step(look(digest='d2'), 0)

        self.assertEqual(actions, [OpenGate('boot', 'd2')])

    def test_unknown_weights_stay_closed(self) -> None:
        """A digest this host never verified is not served."""
        actions = self.policy.step(look(digest='mixed'), 0)

        self.assertEqual(actions[0], CloseGate())

    def test_engine_that_went_back_is_closed_and_ordered_anew(self) -> None:
        """A late order of the first version took effect."""
        self.policy.step(look(digest='d2'), 0)

        actions = self.policy.step(look(digest='d1'), 1)

        self.assertEqual(
            actions,
            [
                CloseGate(),
                UnexpectedWeights('d1'),
                OrderVersion(SECOND, 'd2', 2 << 16),
            ],
        )

    def test_engine_without_an_answer_is_closed(self) -> None:
        """No report, no requests."""
        seen = Observation(wanted=SECOND, revision=2, report=None)

        self.assertEqual(self.policy.step(seen, 0), [CloseGate()])

    def test_surplus_host_takes_no_requests(self) -> None:
        """Enough others serve."""
        actions = self.policy.step(look(digest='d2', is_surplus=True), 0)

        self.assertEqual(actions, [CloseGate()])

    def test_fencing_rises_within_a_revision_and_with_it(self) -> None:
        """An order of an older revision is always lower."""
        self.assertEqual(next_fencing(3, 0), 3 << 16)
        self.assertEqual(next_fencing(3, (3 << 16) + 4), (3 << 16) + 5)
        self.assertLess(next_fencing(2, (3 << 16) + 4), 3 << 16)


class TestSwap(unittest.TestCase):
    """A serving engine gets another version."""

    def setUp(self) -> None:
        """Serve the first version and want the second."""
        self.policy = VersionPolicy()
        self.policy.record_verified(FIRST, 'd1')
        self.policy.step(look(FIRST), 0)
        self.policy.record_verified(SECOND, 'd2')

    def test_waits_for_its_turn_while_it_serves(self) -> None:
        """Without a turn the gate stays open."""
        self.assertEqual(
            self.policy.step(look(), 1),
            [OpenGate('boot', 'd1'), AcquireLease()],
        )

    def test_closes_confirms_drains_and_orders(self) -> None:
        """The order goes out once nothing runs and the turn is confirmed."""
        lease = SwapLease(1, until_s=20, confirmed_s=1)
        confirmed = SwapLease(1, until_s=22, confirmed_s=3)

        self.assertEqual(
            self.policy.step(look(lease=lease, running=1), 2),
            [CloseGate(), ConfirmLease()],
        )
        self.assertEqual(
            self.policy.step(look(lease=lease), 2.5),
            [CloseGate(), ConfirmLease()],
        )
        self.assertEqual(
            self.policy.step(look(lease=confirmed, running=1), 3),
            [CloseGate()],
        )
        self.assertEqual(
            self.policy.step(look(lease=confirmed), 3.1),
            [CloseGate(), OrderVersion(SECOND, 'd2', 2 << 16)],
        )

    def test_opens_after_the_swap_and_gives_the_turn_back(self) -> None:
        """The engine reports the second version."""
        self._start_swap()

        self.assertEqual(
            self.policy.step(look(digest='d2'), 4),
            [OpenGate('boot', 'd2'), ReleaseLease()],
        )

    def test_lapsed_lease_opens_the_old_version_again(self) -> None:
        """Its holder was paused between taking the turn and closing."""
        lease = SwapLease(1, until_s=20, confirmed_s=1)
        self.policy.step(look(lease=lease), 2)

        self.assertEqual(
            self.policy.step(look(lease=lease), 60),
            [OpenGate('boot', 'd1'), ReleaseLease()],
        )

    def test_lease_lapsed_before_closing_keeps_the_gate_open(self) -> None:
        """A turn that is past its end does not count."""
        lease = SwapLease(1, until_s=20, confirmed_s=1)

        self.assertEqual(
            self.policy.step(look(lease=lease), 21),
            [OpenGate('boot', 'd1'), AcquireLease()],
        )

    def test_unfinished_drain_reopens_instead_of_cutting(self) -> None:
        """It is tried again later."""
        self.policy.step(look(lease=SwapLease(1, 20, 1), running=1), 2)

        actions = self.policy.step(
            look(lease=SwapLease(1, 60, 31), running=1), 32.5
        )

        self.assertEqual(
            actions,
            [OpenGate('boot', 'd1'), ReleaseLease(), DrainUnfinished(1)],
        )
        self.assertEqual(self.policy.step(look(), 33), [OpenGate('boot', 'd1')])

    def test_refused_order_reopens_the_old_version(self) -> None:
        """The engine still reports it."""
        self._start_swap(accepted=False)

        self.assertEqual(
            self.policy.step(look(), 4),
            [OpenGate('boot', 'd1'), ReleaseLease()],
        )

    def test_rollback_to_a_held_version_needs_no_transfer(self) -> None:
        """The first version is wanted again after the swap."""
        self._start_swap()
        self.policy.step(look(digest='d2'), 4)

        self.policy.step(look(FIRST, 'd2', lease=SwapLease(1, 30, 4)), 5)
        actions = self.policy.step(
            look(FIRST, 'd2', revision=3, lease=SwapLease(1, 30, 5)), 5.1
        )

        self.assertEqual(
            actions, [CloseGate(), OrderVersion(FIRST, 'd1', 3 << 16)]
        )

    def test_version_not_yet_staged_changes_nothing(self) -> None:
        """The old version serves until the new one is verified."""
        self.policy.record_evicted(SECOND)

        self.assertEqual(self.policy.step(look(), 1), [OpenGate('boot', 'd1')])

    def _start_swap(self, *, accepted: bool = True) -> None:
        self.policy.step(look(lease=SwapLease(1, 20, 1)), 2)
        self.policy.step(look(lease=SwapLease(1, 22, 2)), 2.1)
        self.policy.record_order_end(3, accepted=accepted)


class TestAdapters(unittest.TestCase):
    """Adapters come and go while the engine serves."""

    def setUp(self) -> None:
        """Serve the first version."""
        self.policy = VersionPolicy()
        self.policy.record_verified(FIRST, 'd1')

    def test_verified_adapter_is_loaded(self) -> None:
        """The gate stays open."""
        seen = look(FIRST, adapters={'lora@1': 'x'})

        self.assertEqual(
            self.policy.step(seen, 0),
            [
                OpenGate('boot', 'd1'),
                OrderAdapter('lora@1', load=True, fencing=2 << 16),
            ],
        )

    def test_adapter_no_longer_configured_is_dropped(self) -> None:
        """One order at a time."""
        seen = look(FIRST, loaded={'lora@1': 'x', 'lora@2': 'y'})

        actions = self.policy.step(seen, 0)

        self.assertEqual(
            actions[1:], [OrderAdapter('lora@1', load=False, fencing=2 << 16)]
        )
