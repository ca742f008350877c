"""An engine as an object, with orders that arrive late."""

from bramleylug.agent.version_actions import EngineReport, OrderVersion

MIXED = 'mixed'


class EngineObject:
    """Loads whole versions, or comes back with whatever a test says.

    :ivar late: orders on their way that were given up on.
    """

    def __init__(self, *, honours_fencing: bool) -> None:
        self.honours_fencing = honours_fencing
        self.boots = 0
        self.digest = ''
        self.fencing = 0
        self.late = []

    @property
    def boot_id(self) -> str:
        """Identity of this start."""
        return f'boot-{self.boots}'

    def report(self) -> EngineReport:
        """Return what it holds."""
        return EngineReport(self.boot_id, self.digest, self.fencing)

    def restart(self, digest: str = '') -> None:
        """Come back under a new boot id."""
        self.boots += 1
        self.digest = digest

    def order(self, order: OrderVersion) -> bool:
        """Load a version unless the fencing number is old and honoured."""
        if self.honours_fencing and order.fencing < self.fencing:
            return False
        self.fencing = max(self.fencing, order.fencing)
        self.digest = order.digest
        return True
