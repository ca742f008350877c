"""Waits for an upstream that is silent, alone or beside a second attempt."""

import asyncio
import math
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar, final

ResultT = TypeVar('ResultT')
Read = Callable[[], Coroutine[Any, Any, ResultT]]
# While an upstream is silent, or none can continue a stream, another one is
# looked for at this interval.
RECHECK_INTERVAL_S = 0.2


@final
class UpstreamSilent(Exception):
    """The upstream sent nothing, and the request moves or must not wait."""


class Hedge(Protocol):
    """A second attempt beside the one whose upstream is silent."""

    async def prepare(self) -> bool:
        """Return whether its answer has begun and can be forwarded."""

    def discard(self) -> None:
        """End it; the first attempt goes on."""


@final
@dataclass(slots=True)
class Silence:
    """Time during which an upstream sends no head and no complete event.

    :ivar since_s: when it began.
    :ivar look_s: when another upstream is looked for; infinite for never.
    :ivar end_s: when the attempt must end; infinite for never.
    """

    since_s: float
    look_s: float
    end_s: float

    @classmethod
    def begin(
        cls, now_s: float, timeout_s: float | None, end_s: float | None = None
    ) -> 'Silence':
        """Return a silence that begins now."""
        return cls(
            now_s,
            math.inf if timeout_s is None else now_s + timeout_s,
            math.inf if end_s is None else end_s,
        )

    def left_s(self, now_s: float) -> float | None:
        """Return the time until the next check; ``None`` for no limit."""
        next_s = min(self.look_s, self.end_s)
        return None if next_s == math.inf else max(0.0, next_s - now_s)

    def time_to_end_s(self, now_s: float) -> float | None:
        """Return the time until the attempt must end; ``None`` for never."""
        return None if self.end_s == math.inf else max(0.0, self.end_s - now_s)

    def put_off(self, now_s: float) -> None:
        """Put off the next check unless the attempt must end.

        :raises UpstreamSilent: when it must.
        """
        if now_s >= self.end_s:
            raise self.error(now_s)
        self.look_s = now_s + RECHECK_INTERVAL_S

    def error(self, now_s: float) -> UpstreamSilent:
        """Return the error that ends the attempt."""
        return UpstreamSilent(
            f'upstream sent nothing for {now_s - self.since_s:.1f} s'
        )


@final
class HedgedReader:
    """Reads from an upstream, however long it is silent.

    :ivar hedge: asked while the upstream is silent; returns a second attempt
        if another upstream can be tried. The first attempt ends when the
        answer of the second one begins. ``None`` for no second attempts.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.hedge: Callable[[], Hedge | None] | None = None

    async def read(self, read: Read[ResultT], silence: Silence) -> ResultT:
        """Read from the upstream, however long it takes unless it must end.

        :raises UpstreamSilent: when the answer of another upstream has begun,
            or that of this one has not started in time.
        """
        while True:
            try:
                async with asyncio.timeout(silence.left_s(self.clock())):
                    return await read()
            except TimeoutError:
                silence.put_off(self.clock())
            hedge = None if self.hedge is None else self.hedge()
            if hedge is None:
                continue
            reading = await self._race(read, hedge, silence)
            if not reading.cancelled():
                return reading.result()

    async def _race(
        self, read: Read[ResultT], hedge: Hedge, silence: Silence
    ) -> asyncio.Task[ResultT]:
        """Read while a second attempt waits for its answer to begin.

        The first answer wins (Dean and Barroso, *The Tail at Scale*, 2013).

        :returns: the reading; cancelled if the second attempt failed before.
        :raises UpstreamSilent: when the second attempt wins.
        """
        reading = asyncio.create_task(read())
        preparing = asyncio.create_task(hedge.prepare())
        moves = False
        try:
            await self._wait_for_first(reading, preparing, silence)
            moves = _is_ready(preparing) and not _has_result(reading)
        finally:
            if not moves:
                hedge.discard()
            await _cancel(reading, preparing)
        if moves:
            raise silence.error(self.clock())
        return reading

    async def _wait_for_first(
        self,
        reading: asyncio.Task[ResultT],
        preparing: asyncio.Task[bool],
        silence: Silence,
    ) -> None:
        """Wait for an answer, or until the first attempt goes on alone.

        If the first attempt fails, the second one is still waited for.
        """
        pending: set[asyncio.Task[Any]] = {reading, preparing}
        while not (_has_result(reading) or preparing.done()):
            done, pending = await asyncio.wait(
                pending,
                timeout=silence.time_to_end_s(self.clock()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                return


def _has_result(task: asyncio.Task[ResultT]) -> bool:
    return task.done() and task.exception() is None


def _is_ready(preparing: asyncio.Task[bool]) -> bool:
    return preparing.done() and preparing.result()


async def _cancel(*tasks: asyncio.Task[Any]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
