"""Which loads are taken for sound, without an engine."""

import unittest

from bramleylug.loader.engine import LoadOrder
from bramleylug.loader.policy import EngineState
from bramleylug.loader.weights_audit import WeightsAudit
from testing.loader.staged_engine import build_chunk_store


def build_state(
    started_ms: int = 1000, accepted_orders: int = 0, *, busy: bool = False
) -> EngineState:
    return EngineState(
        started_ms,
        0,
        complete=False,
        busy=busy,
        accepted_orders=accepted_orders,
    )


class TestUnansweredOrders(unittest.TestCase):
    """An order whose answer was lost may be accepted at any time."""

    def test_chunk_mended_after_an_unseen_restart_of_the_engine(self) -> None:
        """The report that shows the restart is older than the acceptance."""
        manifest = build_chunk_store().manifest
        audit = WeightsAudit()
        audit.observe(build_state())
        audit.record_order(manifest, LoadOrder(0, interrupt=False))
        audit.record_lost_answer()
        audit.observe(build_state(2000))
        audit.record_write(5)
        audit.record_order(manifest, LoadOrder(0, interrupt=False))
        loading = build_state(2000, 1, busy=True)
        audit.observe(loading)

        suspect = audit.record_read_back(loading, 1, corrupt=())

        self.assertEqual(suspect, {5})

    def test_report_from_before_an_accepted_order(self) -> None:
        """The next try would mend a chunk that has just been loaded."""
        audit = WeightsAudit()
        audit.observe(build_state())
        audit.record_order(
            build_chunk_store().manifest, LoadOrder(0, interrupt=False)
        )
        audit.record_begun(0)

        self.assertTrue(audit.is_outdated(build_state()))
        self.assertFalse(audit.is_outdated(build_state(1000, 1, busy=True)))
        self.assertFalse(audit.is_outdated(build_state(2000)))
