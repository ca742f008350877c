"""Whether the store answers a process through which others read it.

A process that lacks news asks the readers of its zone for them. One that does
not have them either finds out, by a small call, whether the store answers it,
and says so: one that the store answers is worth waiting for, since it reads
the news once for all, and the others leave the link to it.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from enum import Enum
from typing import final

from bramleylug.store.changes import Position, StoreUnavailable

# Least time between two calls on behalf of others. One that was sent while the
# store was away may hang for longer.
SEEK_S = 0.1
# A later state does not put an answer in doubt that is so recent.
RECENT_S = 0.5


class Reach(Enum):
    """What is known of the calls of a process to the store."""

    unknown = 'unknown'
    answered = 'answered'
    failed = 'failed'


@final
class StoreReach:
    """Finds out whether the store answers this process.

    :param probe: asks the store for its state, by a small call.
    :param clock: seconds that also count while the host is suspended.
    :ivar newest: latest state that the store told this process itself.
    :ivar answered_s: when it did so last.
    :ivar reading: number of reads of news from the store that are running.
    :ivar following: waits for the news of other readers that are running.
    :ivar on_hopeless: called when this process may not get the news.
    :ivar sought_s: when the last small call on behalf of others was sent.
    :ivar probing: such calls that are running.
    :ivar waits: waits for news that end when the store tells of a new state.
    """

    def __init__(
        self,
        probe: Callable[[], Awaitable[Position]],
        clock: Callable[[], float],
    ) -> None:
        self.probe = probe
        self.clock = clock
        self.newest = Position(0, 0)
        self.answered_s = float('-inf')
        self.state = Reach.unknown
        self.reading = 0
        self.following = 0
        self.on_hopeless: Callable[[], None] = _ignore
        self.sought_s = float('-inf')
        self.probing: set[asyncio.Task[None]] = set()
        self.waits: set[asyncio.Timeout] = set()

    def record_answer(self, newest: Position) -> None:
        """Record that the store answered, and the state that it was in."""
        self.state = Reach.answered
        self.answered_s = self.clock()
        self.newest = max(self.newest, newest)

    def record_failure(self, sent_s: float) -> None:
        """Record that the store did not answer a call.

        :param sent_s: when it was sent; a later call may have been answered.
        """
        if sent_s < self.answered_s:
            return
        self.state = Reach.failed
        self.on_hopeless()

    @property
    def told(self) -> Reach:
        """What others are told.

        Processes that disagree on their order may wait for each other.
        """
        return Reach.unknown if self.following else self.state

    def is_hopeless(self) -> bool:
        """Return whether others had better ask another reader."""
        return bool(self.following) or self.state is Reach.failed

    def seek(self, wanted: Position) -> None:
        """Find out whether the store answers, as others know a later state.

        :param wanted: a state that the store is in.
        """
        if self.reading or self.clock() < self.sought_s + SEEK_S:
            # A small call would wait behind what is being read.
            return
        if self.state is Reach.answered and self.newest >= wanted:
            return
        if (
            self.state is Reach.failed
            or self.clock() > self.answered_s + RECENT_S
        ):
            self.state = Reach.unknown
        self.sought_s = self.clock()
        probing = asyncio.create_task(self._probe())
        self.probing.add(probing)
        probing.add_done_callback(self.probing.discard)

    @contextmanager
    def reading_after(self, revision: int) -> Iterator[None]:
        """Mark a read, which brings news if the store told of later ones.

        The store answers meanwhile, or the read fails within its time limit.
        """
        brings_news = self.newest.revision > revision
        self.reading += brings_news
        try:
            yield
        finally:
            self.reading -= brings_news

    @contextmanager
    def following_reader(self) -> Iterator[None]:
        """Mark the time in which another reader is waited for."""
        self.following += 1
        self.on_hopeless()
        try:
            yield
        finally:
            self.following -= 1

    @asynccontextmanager
    async def until_new_state(self) -> AsyncIterator[None]:
        """Limit a wait to the time until the store tells of a new state.

        :raises TimeoutError: when it does.
        """
        async with asyncio.timeout(None) as wait:
            self.waits.add(wait)
            try:
                yield
            finally:
                self.waits.discard(wait)

    async def _probe(self) -> None:
        try:
            await self.probe()
        except StoreUnavailable:
            return
        now_s = asyncio.get_running_loop().time()
        for wait in self.waits:
            if not wait.expired():
                wait.reschedule(now_s)


def _ignore() -> None:
    """Do nothing."""
