"""Simulated engine without a network, with delayed orders and restarts."""

from bramleylug.agent.version_actions import EngineReport, OrderVersion

MIXED = 'mixed'


class SimulatedEngine:
    """Loads complete versions, and restarts with any weights a test names.

    :param honours_fencing: whether it refuses orders with a lower fencing
        number than an earlier one.
    :ivar delayed_orders: orders that timed out and may still arrive.
    """

    def __init__(self, *, honours_fencing: bool) -> None:
        self.honours_fencing = honours_fencing
        self.boots = 0
        self.digest = ''
        self.fencing = 0
        self.delayed_orders = []

    @property
    def boot_id(self) -> str:
        """Boot id since the last restart."""
        return f'boot-{self.boots}'

    def report(self) -> EngineReport:
        """Return what the engine has loaded."""
        return EngineReport(self.boot_id, self.digest, self.fencing)

    def restart(self, digest: str = '') -> None:
        """Restart with a new boot id, cold or with the given weights."""
        self.boots += 1
        self.digest = digest

    def order(self, order: OrderVersion) -> bool:
        """Load a version.

        :returns: whether the order was accepted.
        """
        if self.honours_fencing and order.fencing < self.fencing:
            return False
        self.fencing = max(self.fencing, order.fencing)
        self.digest = order.digest
        return True
