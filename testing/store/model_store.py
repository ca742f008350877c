"""A store on virtual time, and the way of a process to it."""

import asyncio

from bramleylug.store.changes import (
    Page,
    StoreChanges,
    StoreItem,
    StoreUnavailable,
)

LATENCY_S = 0.004
CALL_MARGIN_S = 0.6


class ModelStore:
    """A store that answers waits with the first change.

    :ivar written: changes with the time at which each was acknowledged.
    """

    def __init__(self) -> None:
        self.written: list[tuple[float, StoreItem]] = []
        self.news = asyncio.Event()
        self.write('first')

    def write(self, key: str, value: bytes = b'') -> None:
        item = StoreItem(key, value, len(self.written) + 1)
        now_s = asyncio.get_running_loop().time()
        self.written.append((now_s, item))
        self.news.set()
        self.news = asyncio.Event()

    def after(self, revision: int) -> tuple[StoreItem, ...]:
        return tuple(item for _, item in self.written[revision:])


class StoreLink:
    """One process's way to the store.

    :ivar is_cut: whether nothing gets through, without a reset.
    :ivar calls: times of the calls that wait for changes.
    :ivar listings: times of the other ones.
    """

    era = 0

    def __init__(self, store: ModelStore) -> None:
        self.store = store
        self.is_cut = False
        self.calls: list[float] = []
        self.listings: list[float] = []

    async def list_page(self, prefix: str, after: str) -> Page:
        self.listings.append(asyncio.get_running_loop().time())
        await self._pass(1.0)
        return Page(self.store.after(0), len(self.store.written), more=False)

    async def wait_for_changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> StoreChanges:
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        self.calls.append(sent_s)
        await self._pass(wait_s + CALL_MARGIN_S)
        try:
            async with asyncio.timeout(wait_s):
                while not self.store.after(after_revision):
                    await self.store.news.wait()
        except TimeoutError:
            pass
        await self._pass(wait_s + CALL_MARGIN_S - (loop.time() - sent_s))
        return StoreChanges(
            self.store.after(after_revision),
            len(self.store.written),
            loop.time() - sent_s,
        )

    async def _pass(self, timeout_s: float) -> None:
        """Go one way; a call that is cut off hangs until its time is over."""
        if self.is_cut:
            await asyncio.sleep(timeout_s)
            raise StoreUnavailable('no answer')
        await asyncio.sleep(LATENCY_S)
