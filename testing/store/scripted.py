"""A store whose answers are written down beforehand."""

import asyncio
from typing import Any

from bramleylug.store.changes import (
    HistoryLost,
    Lease,
    LeaseEnded,
    Page,
    StoreChanges,
    StoreUnavailable,
)


class ScriptedStore:
    """Answers waits from a list; then it waits for good.

    :ivar waits: answers, or exceptions, of the waits to come.
    :ivar pages: answers of the listings to come.
    :ivar calls: what was asked, in order.
    """

    def __init__(self, *waits: Any, pages: Any = ()) -> None:
        self.waits = list(waits)
        self.pages = list(pages)
        self.calls: list[tuple[Any, ...]] = []
        self.done = asyncio.Event()
        self.leases = 0
        self.ended: set[int] = set()

    async def list_page(self, prefix: str, after: str) -> Page:
        """Return the next page."""
        self.calls.append(('list', after))
        return self._next(self.pages)

    async def wait_for_changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> StoreChanges | HistoryLost:
        """Return the next answer."""
        self.calls.append(('wait', after_revision))
        if not self.waits:
            self.done.set()
            await asyncio.Event().wait()
        return self._next(self.waits)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Return leases numbered from one."""
        self.leases += 1
        self.calls.append(('grant', self.leases))
        return Lease(self.leases, ttl_s)

    async def keep_lease(self, lease_id: int) -> None:
        """Renew unless the lease has ended."""
        self.calls.append(('keep', lease_id))
        if lease_id in self.ended:
            raise LeaseEnded('no such lease')

    async def end_lease(self, lease_id: int) -> None:
        """Note the end."""
        self.calls.append(('end', lease_id))

    async def put(self, key: str, value: bytes, lease_id: int) -> None:
        """Note the write."""
        self.calls.append(('put', key, value, lease_id))

    def _next(self, answers: list[Any]) -> Any:
        answer = answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def away() -> StoreUnavailable:
    """Return the error of a store that does not answer."""
    return StoreUnavailable('silent', uncertain=True)
