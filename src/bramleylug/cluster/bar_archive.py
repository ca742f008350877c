"""Keeps bars in the store, so that they outlast a restart of all relays."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import final

from bramleylug.cluster.crash_suspects import SharedSuspects
from bramleylug.cluster.suspect_messages import encode_bar
from bramleylug.observability.events import LogEvent, emit
from bramleylug.store.changes import StoreUnavailable, WatchableStore

# Every relay decides on a bar; the first one that writes it spares the others
# the call.
MAX_DELAY_S = 1.0
# The longest lease that the store grants.
MAX_LEASE_S = 600.0


@final
class BarArchive:
    """Writes the bars that the store does not hold.

    :param key_of: returns the store key of a fingerprint.
    :param wall_clock: Unix time in seconds.
    :ivar writing: whether a write has been scheduled.
    """

    def __init__(
        self,
        store: WatchableStore,
        suspects: SharedSuspects,
        key_of: Callable[[bytes], str],
        wall_clock: Callable[[], float],
        random: Random,
    ) -> None:
        self.store = store
        self.suspects = suspects
        self.key_of = key_of
        self.wall_clock = wall_clock
        self.random = random
        self.writing = False

    def has_pending(self) -> bool:
        """Return whether bars should be written that are not yet."""
        return not self.writing and bool(self.suspects.unstored_bars())

    async def write(self) -> None:
        """Write one pending bar after a random delay, unless another has.

        If that fails, it stays pending.
        """
        self.writing = True
        try:
            await asyncio.sleep(self.random.uniform(0, MAX_DELAY_S))
            await self._write_next()
        except StoreUnavailable as error:
            emit(LogEvent.bar_not_stored, error=str(error))
        finally:
            self.writing = False

    async def _write_next(self) -> None:
        pending = self.suspects.unstored_bars()
        if not pending:
            return
        report = pending[0]
        lease = await self.store.grant_lease(min(MAX_LEASE_S, report.bar_s))
        await self.store.put(
            self.key_of(report.fingerprint),
            encode_bar(report, self.wall_clock()),
            lease.lease_id,
        )
        self.suspects.mark_stored(report.fingerprint, report.strikes)
