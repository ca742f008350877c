"""Counts the connections of a port against its limits."""

from collections.abc import Callable
from typing import TYPE_CHECKING, final

from bramleylug.web.descriptors import (
    DescriptorLease,
    DescriptorShare,
    DescriptorUse,
)

if TYPE_CHECKING:
    from bramleylug.web.connection import Connection


@final
class ConnectionAdmission:
    """Admits or rejects the connections of a port.

    :param share: descriptors that its connections may take.
    :ivar admitted: connections within all limits.
    :ivar rejected: open connections beyond a limit, the oldest first.
    """

    def __init__(self, share: DescriptorShare) -> None:
        self.share = share
        self.admitted: dict[Connection, DescriptorLease] = {}
        self.rejected: dict[Connection, DescriptorLease] = {}

    def admit(self, connection: 'Connection', limit: int) -> bool:
        """Return whether a connection is within all limits.

        :param limit: most connections of this port.
        """
        if len(self.admitted) >= limit:
            return False
        lease = self.share.take()
        if lease is None:
            return False
        self.admitted[connection] = lease
        return True

    def hold_rejected(
        self, connection: 'Connection', drop: Callable[['Connection'], None]
    ) -> bool:
        """Return whether a rejected connection may stay open for a response.

        The oldest rejected one makes room for it: it has had its response.

        :param drop: closes a connection, and releases it here.
        """
        budget = self.share.budget
        lease = budget.take(DescriptorUse.rejected)
        if lease is None and self.rejected:
            drop(next(iter(self.rejected)))
            lease = budget.take(DescriptorUse.rejected)
        if lease is None:
            return False
        self.rejected[connection] = lease
        return True

    def release(self, connection: 'Connection') -> None:
        """Give back the descriptor of a closed connection, if it has one."""
        for leases in (self.admitted, self.rejected):
            lease = leases.pop(connection, None)
            if lease is not None:
                lease.release()
