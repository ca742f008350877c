"""Store that returns scripted answers."""

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
    """Answers waits from a list; when it is used up, a wait never ends.

    :ivar waits: answers, or exceptions, of the next waits.
    :ivar pages: answers of the next listings.
    :ivar calls: the calls received, in order.
    """

    def __init__(self, *waits: Any, pages: Any = ()) -> None:
        self.waits = list(waits)
        self.pages = list(pages)
        self.calls: list[tuple[Any, ...]] = []
        self.done = asyncio.Event()
        self.leases = 0
        self.era = 0
        self.ended: set[int] = set()

    async def list_page(self, prefix: str, after: str) -> Page:
        self.calls.append(('list', after))
        return self._next(self.pages)

    async def wait_for_changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> StoreChanges | HistoryLost:
        self.calls.append(('wait', after_revision))
        if not self.waits:
            self.done.set()
            await asyncio.Event().wait()
        return self._next(self.waits)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Return a lease; they are numbered from one."""
        self.leases += 1
        self.calls.append(('grant', self.leases))
        return Lease(self.leases, ttl_s)

    async def keep_lease(self, lease_id: int) -> None:
        self.calls.append(('keep', lease_id))
        if lease_id in self.ended:
            raise LeaseEnded('no such lease')

    async def end_lease(self, lease_id: int) -> None:
        self.calls.append(('end', lease_id))

    async def put(self, key: str, value: bytes, lease_id: int) -> None:
        self.calls.append(('put', key, value, lease_id))

    def _next(self, answers: list[Any]) -> Any:
        answer = answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def unanswered() -> StoreUnavailable:
    """Return the error of a call that the store did not answer."""
    return StoreUnavailable('silent', uncertain=True)
