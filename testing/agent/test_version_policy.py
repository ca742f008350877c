"""Tests of the version policy."""

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


def observe(
    wanted=SECOND, digest='d1', *, boot='boot', revision=2, **observation
):
    """Return an observation; by default the engine serves ``d1``."""
    report = EngineReport(boot, digest, adapters=observation.pop('loaded', {}))
    return Observation(
        wanted=wanted, revision=revision, report=report, **observation
    )


class TestLoading(unittest.TestCase):
    """An engine that is cold or reports unexpected weights is loaded."""

    def setUp(self) -> None:
        """Commit both versions on this host."""
        self.policy = VersionPolicy()
        self.policy.record_verified(FIRST, 'd1')
        self.policy.record_verified(SECOND, 'd2')

    def test_cold_engine_is_ordered_without_a_lease(self) -> None:
        """It serves nothing that would become unavailable."""
        actions = self.policy.step(observe(digest=''), 0)

        self.assertEqual(
            actions, [CloseGate(), OrderVersion(SECOND, 'd2', 2 << 16)]
        )

    def test_gate_opens_when_the_wanted_version_is_reported(self) -> None:
        """It opens for the boot id and digest of the report."""
        actions = self.policy.step(observe(digest='d2'), 0)

        self.assertEqual(actions, [OpenGate('boot', 'd2')])

    def test_gate_stays_closed_for_unknown_weights(self) -> None:
        """This host never verified the reported digest."""
        actions = self.policy.step(observe(digest='mixed'), 0)

        self.assertEqual(actions[0], CloseGate())

    def test_engine_with_unexpected_weights_is_closed_and_reloaded(
        self,
    ) -> None:
        """A delayed order of the first version took effect."""
        self.policy.step(observe(digest='d2'), 0)

        actions = self.policy.step(observe(digest='d1'), 1)

        self.assertEqual(
            actions,
            [
                CloseGate(),
                UnexpectedWeights('d1'),
                OrderVersion(SECOND, 'd2', 2 << 16),
            ],
        )

    def test_gate_closes_when_the_engine_does_not_answer(self) -> None:
        """Without a report its weights are unknown."""
        observation = Observation(wanted=SECOND, revision=2, report=None)

        self.assertEqual(self.policy.step(observation, 0), [CloseGate()])

    def test_surplus_host_admits_no_requests(self) -> None:
        """Enough other hosts serve."""
        actions = self.policy.step(observe(digest='d2', is_surplus=True), 0)

        self.assertEqual(actions, [CloseGate()])

    def test_fencing_number_rises_with_orders_and_revisions(self) -> None:
        """An order of an older revision has a lower number."""
        self.assertEqual(next_fencing(3, 0), 3 << 16)
        self.assertEqual(next_fencing(3, (3 << 16) + 4), (3 << 16) + 5)
        self.assertLess(next_fencing(2, (3 << 16) + 4), 3 << 16)


class TestSwap(unittest.TestCase):
    """A serving engine is swapped to another version under a lease."""

    def setUp(self) -> None:
        """Serve the first version and commit the second."""
        self.policy = VersionPolicy()
        self.policy.record_verified(FIRST, 'd1')
        self.policy.step(observe(FIRST), 0)
        self.policy.record_verified(SECOND, 'd2')

    def test_engine_serves_while_waiting_for_a_lease(self) -> None:
        """Without a lease the gate stays open."""
        self.assertEqual(
            self.policy.step(observe(), 1),
            [OpenGate('boot', 'd1'), AcquireLease()],
        )

    def test_gate_closes_and_requests_end_before_the_order(self) -> None:
        """The order is sent once nothing runs and the lease is confirmed."""
        lease = SwapLease(1, until_s=20, confirmed_s=1)
        confirmed = SwapLease(1, until_s=22, confirmed_s=3)

        self.assertEqual(
            self.policy.step(observe(lease=lease, running=1), 2),
            [CloseGate(), ConfirmLease()],
        )
        self.assertEqual(
            self.policy.step(observe(lease=lease), 2.5),
            [CloseGate(), ConfirmLease()],
        )
        self.assertEqual(
            self.policy.step(observe(lease=confirmed, running=1), 3),
            [CloseGate()],
        )
        self.assertEqual(
            self.policy.step(observe(lease=confirmed), 3.1),
            [CloseGate(), OrderVersion(SECOND, 'd2', 2 << 16)],
        )

    def test_gate_opens_and_lease_is_released_after_the_swap(self) -> None:
        """The engine reports the second version."""
        self._start_swap()

        self.assertEqual(
            self.policy.step(observe(digest='d2'), 4),
            [OpenGate('boot', 'd2'), ReleaseLease()],
        )

    def test_expired_lease_reopens_the_old_version(self) -> None:
        """The host was paused between closing the gate and the order."""
        lease = SwapLease(1, until_s=20, confirmed_s=1)
        self.policy.step(observe(lease=lease), 2)

        self.assertEqual(
            self.policy.step(observe(lease=lease), 60),
            [OpenGate('boot', 'd1'), ReleaseLease()],
        )

    def test_lease_expired_before_closing_keeps_the_gate_open(self) -> None:
        """An expired lease does not count."""
        lease = SwapLease(1, until_s=20, confirmed_s=1)

        self.assertEqual(
            self.policy.step(observe(lease=lease), 21),
            [OpenGate('boot', 'd1'), AcquireLease()],
        )

    def test_unfinished_drain_reopens_without_cutting_requests(self) -> None:
        """The swap is attempted again later."""
        self.policy.step(observe(lease=SwapLease(1, 20, 1), running=1), 2)

        actions = self.policy.step(
            observe(lease=SwapLease(1, 60, 31), running=1), 32.5
        )

        self.assertEqual(
            actions,
            [OpenGate('boot', 'd1'), ReleaseLease(), DrainUnfinished(1)],
        )
        self.assertEqual(
            self.policy.step(observe(), 33), [OpenGate('boot', 'd1')]
        )

    def test_refused_order_reopens_the_old_version(self) -> None:
        """The engine still reports the old version."""
        self._start_swap(accepted=False)

        self.assertEqual(
            self.policy.step(observe(), 4),
            [OpenGate('boot', 'd1'), ReleaseLease()],
        )

    def test_rollback_to_a_committed_version_is_ordered_at_once(self) -> None:
        """The first version is wanted again after the swap."""
        self._start_swap()
        self.policy.step(observe(digest='d2'), 4)

        self.policy.step(observe(FIRST, 'd2', lease=SwapLease(1, 30, 4)), 5)
        actions = self.policy.step(
            observe(FIRST, 'd2', revision=3, lease=SwapLease(1, 30, 5)), 5.1
        )

        self.assertEqual(
            actions, [CloseGate(), OrderVersion(FIRST, 'd1', 3 << 16)]
        )

    def test_version_not_yet_staged_changes_nothing(self) -> None:
        """The old version serves until the wanted one is verified."""
        self.policy.record_evicted(SECOND)

        self.assertEqual(
            self.policy.step(observe(), 1), [OpenGate('boot', 'd1')]
        )

    def _start_swap(self, *, accepted: bool = True) -> None:
        self.policy.step(observe(lease=SwapLease(1, 20, 1)), 2)
        self.policy.step(observe(lease=SwapLease(1, 22, 2)), 2.1)
        self.policy.record_order_end(3, accepted=accepted)


class TestAdapters(unittest.TestCase):
    """Adapters are loaded and dropped while the engine serves."""

    def setUp(self) -> None:
        """Serve the first version."""
        self.policy = VersionPolicy()
        self.policy.record_verified(FIRST, 'd1')

    def test_verified_adapter_is_loaded(self) -> None:
        """The gate stays open."""
        observation = observe(FIRST, adapters={'lora@1': 'x'})

        self.assertEqual(
            self.policy.step(observation, 0),
            [
                OpenGate('boot', 'd1'),
                OrderAdapter('lora@1', load=True, fencing=2 << 16),
            ],
        )

    def test_adapter_no_longer_configured_is_dropped(self) -> None:
        """Adapters are ordered one at a time."""
        observation = observe(FIRST, loaded={'lora@1': 'x', 'lora@2': 'y'})

        actions = self.policy.step(observation, 0)

        self.assertEqual(
            actions[1:], [OrderAdapter('lora@1', load=False, fencing=2 << 16)]
        )
