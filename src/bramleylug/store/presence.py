"""Registers this process in the store under leased keys."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple, final

from bramleylug.observability.events import LogEvent, emit
from bramleylug.store.changes import (
    Lease,
    LeaseEnded,
    StoreUnavailable,
    WatchableStore,
)

# The key of a process that died disappears within this time.
LEASE_S = 3.0
# A lease outlasts two lost renewals.
RENEWALS_PER_LEASE = 3
RETRY_S = 0.4


def _ignore() -> None:
    """Do nothing."""


def _at_once() -> float:
    """Return a time for those who need none."""
    return 0


class HeldLease(NamedTuple):
    """The lease of a process, as far as it knows.

    :ivar era: era of the store that granted it.
    :ivar ends_s: before this time it has not ended, by the clock of the
        process: its duration counts from a call that was sent, not answered.
    """

    lease_id: int
    era: int
    ends_s: float


class FixedItem(NamedTuple):
    """A key whose value never changes."""

    key: str
    value: bytes


@final
class Presence:
    """Keeps leased keys written and their lease renewed.

    :param describe: returns the value of the key; it is written again when it
        differs from what was written last.
    :param lease_s: duration of the lease.
    :param fixed_item: is written under the same lease.
    :param on_registered: called when everything has been written.
    :param before_first: is awaited before anything is written for the first
        time, again if it raises :class:`StoreUnavailable`.
    :ivar clock: seconds that also count while the host is suspended.
    :ivar held: the lease, for what else is bound to it; ``None`` while there
        is none.
    """

    def __init__(
        self,
        store: WatchableStore,
        key: str,
        describe: Callable[[], bytes],
        lease_s: float = LEASE_S,
        fixed_item: FixedItem | None = None,
        on_registered: Callable[[], None] = _ignore,
        before_first: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self.before_first = before_first
        self.clock: Callable[[], float] = _at_once
        self.held: HeldLease | None = None
        self.lease_s = lease_s
        self.fixed_item = fixed_item
        self.on_registered = on_registered
        self.store = store
        self.key = key
        self.describe = describe
        self.lease: Lease | None = None
        self.lease_era = 0
        self.written: bytes | None = None
        self.changed = asyncio.Event()
        self.withdrawn = False

    def announce(self) -> None:
        """Write the value now instead of with the next renewal."""
        self.changed.set()

    async def run(self) -> None:
        """Keep the key until withdrawn or cancelled."""
        while not self.withdrawn:
            pause_s = self.lease_s / RENEWALS_PER_LEASE
            try:
                await self._step()
            except LeaseEnded:
                if self.withdrawn:
                    return
                emit(LogEvent.lease_ended, key=self.key)
                self.lease = None
                self.held = None
                continue
            except StoreUnavailable:
                # The watcher of the same store logs the outage.
                pause_s = RETRY_S
            await self._sleep(pause_s)

    async def withdraw(self) -> None:
        """Revoke the lease, which removes the key, and end :meth:`run`."""
        self.withdrawn = True
        self.held = None
        await self._end_lease()

    async def _end_lease(self) -> None:
        if self.lease is None or self.lease_era != self.store.era:
            return
        try:
            await self.store.end_lease(self.lease.lease_id)
        except (StoreUnavailable, LeaseEnded) as error:
            emit(
                LogEvent.registration_not_removed,
                key=self.key,
                error=str(error),
            )

    async def _step(self) -> None:
        sent_s = self.clock()
        if self.lease is not None and self.lease_era == self.store.era:
            await self.store.keep_lease(self.lease.lease_id)
        if self.lease is None or self.lease_era != self.store.era:
            # The renewal may be the first call that a new era answers.
            self.held = None
            sent_s = self.clock()
            self.lease = await self.store.grant_lease(self.lease_s)
            self.lease_era = self.store.era
            self.written = None
        if self.withdrawn:
            # Withdrawn while the lease was being granted.
            await self._end_lease()
            return
        if self.before_first is not None:
            await self.before_first()
            self.before_first = None
        self.held = HeldLease(
            self.lease.lease_id, self.lease_era, sent_s + self.lease.ttl_s
        )
        await self._write(self.lease.lease_id)
        self.on_registered()

    async def _write(self, lease_id: int) -> None:
        """Write what has changed since the lease was granted."""
        if self.written is None and self.fixed_item is not None:
            await self.store.put(*self.fixed_item, lease_id)
        value = self.describe()
        if value != self.written:
            await self.store.put(self.key, value, lease_id)
            self.written = value

    async def _sleep(self, pause_s: float) -> None:
        try:
            await asyncio.wait_for(self.changed.wait(), pause_s)
        except TimeoutError:
            return
        self.changed.clear()
