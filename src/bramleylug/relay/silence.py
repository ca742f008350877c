"""Waits for an upstream that is silent, alone or beside a second attempt."""

import asyncio
import math
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar, final

from bramleylug.relay.upstream_watch import UpstreamWatch
from bramleylug.web.client_connection import ClientConnection

ResultT = TypeVar('ResultT')
Read = Callable[[], Coroutine[Any, Any, ResultT]]
QueueMove = Callable[[float, Callable[[], bool]], Callable[[], None]]
# While an upstream is silent, or none can continue a stream, another one is
# looked for at this interval.
RECHECK_INTERVAL_S = 0.2
# Whether an upstream is silent is checked at this interval.
CHECK_INTERVAL_S = 0.1
# A caller abandons a stream after 2 s or more without an event, as its route
# states. One that is cut off before may still resume it by itself.
CALLER_PATIENCE_S = 2.0


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
    :ivar prefer_other_s: until when another upstream that has the request is
        preferred, though this one has gone on: it may be silent again.
    :ivar quiet_limit_s: how long a request should wait at most without
        anything received from its upstream; infinite if that says nothing.
    :ivar check_s: when that is checked.
    :ivar had_input: whether unread bytes were found when another upstream was
        to be looked for. If they made no event by the next time, more of them
        are no sign of one.
    """

    since_s: float
    look_s: float = math.inf
    end_s: float = math.inf
    prefer_other_s: float = -math.inf
    quiet_limit_s: float = math.inf
    check_s: float = math.inf
    had_input: bool = False

    @property
    def may_move(self) -> bool:
        """Whether another upstream may be looked for."""
        return self.look_s < math.inf

    def left_s(self, now_s: float) -> float | None:
        """Return the time until the next check; ``None`` for no limit."""
        next_s = min(self.look_s, self.check_s, self.end_s)
        return None if next_s == math.inf else max(0.0, next_s - now_s)

    def put_off(self, now_s: float) -> None:
        """Put off the checks that are due unless the attempt must end.

        :raises UpstreamSilent: when it must.
        """
        if now_s >= self.end_s:
            raise self.error(now_s)
        if now_s >= self.look_s:
            self.look_s = now_s + RECHECK_INTERVAL_S
        if now_s >= self.check_s:
            self.check_s = now_s + CHECK_INTERVAL_S

    def extend(self, for_s: float) -> None:
        """Leave out a time in which nothing was read."""
        self.since_s += for_s
        self.look_s += for_s
        self.prefer_other_s += for_s
        self.check_s += for_s

    def error(self, now_s: float) -> UpstreamSilent:
        """Return the error that ends the attempt."""
        return UpstreamSilent(
            f'upstream sent nothing for {now_s - self.since_s:.1f} s'
        )


@final
class HedgedReader:
    """Reads from an upstream, however long it is silent.

    :ivar connection: the connection that is read; ``None`` before there is one.
    :ivar hedge: asked while the upstream is silent; returns a second attempt
        if another upstream can be tried. The first attempt ends when the
        answer of the second one begins. ``None`` for no second attempts.
    :ivar watch: observes the upstream; ``None`` before the request was sent.
    :ivar queue_move: lets the request wait for a slot of another upstream,
        given since when it waits and what takes the slot; returns what ends
        the wait.
    :ivar leave_queue: ends that wait; ``None`` while there is none.
    :ivar offered: the second attempt that has taken such a slot.
    :ivar timeout: limits the current wait for the upstream.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.connection: ClientConnection | None = None
        self.hedge: Callable[[], Hedge | None] | None = None
        self.watch: UpstreamWatch | None = None
        self.queue_move: QueueMove | None = None
        self.leave_queue: Callable[[], None] | None = None
        self.offered: Hedge | None = None
        self.timeout: asyncio.Timeout | None = None

    @property
    def opened(self) -> ClientConnection:
        """The connection that is read.

        :raises RuntimeError: when there is none.
        """
        if self.connection is None:
            raise RuntimeError('the attempt has not begun')
        return self.connection

    async def read(self, read: Read[ResultT], silence: Silence) -> ResultT:
        """Read from the upstream, however long it takes unless it must end.

        :raises UpstreamSilent: when the answer of another upstream has begun,
            or that of this one has not started in time.
        """
        try:
            return await self._read(read, silence)
        finally:
            self._stop_looking()

    async def _read(self, read: Read[ResultT], silence: Silence) -> ResultT:
        while True:
            self.timeout = asyncio.timeout(silence.left_s(self.clock()))
            try:
                async with self.timeout:
                    return await read()
            except TimeoutError:
                hedge = self._look(silence)
            if hedge is not None:
                if await self._is_overtaken(hedge, silence):
                    raise silence.error(self.clock())
                silence.put_off(self.clock())

    def _look(self, silence: Silence) -> Hedge | None:
        """Return a second attempt if it is time for one.

        :raises UpstreamSilent: when the attempt must end.
        """
        now_s = self.clock()
        is_silent = self._is_upstream_silent(silence)
        is_due = now_s >= silence.look_s or (is_silent and silence.may_move)
        silence.put_off(now_s)
        if is_due and is_silent:
            self._wait_for_slot(silence.since_s)
        else:
            self._leave_queue()
        hedge = self.offered
        self.offered = None
        if hedge is None and is_due and not is_silent:
            return self._look_elsewhere(silence)
        return hedge

    def _look_elsewhere(self, silence: Silence) -> Hedge | None:
        if self.hedge is None:
            return None
        if self.opened.has_input and not silence.had_input:
            # A process that stood still finds timer and answer at once.
            silence.had_input = True
            return None
        return self.hedge()

    def _wait_for_slot(self, since_s: float) -> None:
        if self.offered is not None or self.leave_queue is not None:
            return
        if self.queue_move is not None:
            leave_queue = self.queue_move(since_s, self._take_slot)
            if self.offered is None:
                self.leave_queue = leave_queue
        if self.offered is None and self.watch is not None:
            self.watch.record_wait()

    def _take_slot(self) -> bool:
        """Take a free slot of another upstream; return whether it has."""
        hedge = None if self.hedge is None else self.hedge()
        if hedge is None:
            return False
        self.offered = hedge
        self.leave_queue = None
        if self.timeout is not None and not self.timeout.expired():
            self.timeout.reschedule(asyncio.get_running_loop().time())
        return True

    def _stop_looking(self) -> None:
        """Give up the place in the queue, or the slot it has led to."""
        self._leave_queue()
        if self.offered is not None:
            self.offered.discard()
            self.offered = None

    def _leave_queue(self) -> None:
        if self.leave_queue is not None:
            self.leave_queue()
            self.leave_queue = None

    def _is_upstream_silent(self, silence: Silence) -> bool:
        return self.watch is not None and self.watch.is_silent(
            silence.since_s, silence.quiet_limit_s
        )

    async def _is_overtaken(self, hedge: Hedge, silence: Silence) -> bool:
        """Return whether a second attempt takes over.

        Nothing is read from the first upstream before that is decided.
        """
        preparing = asyncio.create_task(hedge.prepare())
        answering = asyncio.create_task(self.opened.wait_for_input())
        overtaken = False
        try:
            await self._wait_for_second(preparing, answering, silence)
            overtaken = preparing.done() and preparing.result()
        finally:
            if not overtaken:
                hedge.discard()
            await _cancel(preparing, answering)
        return overtaken

    async def _wait_for_second(
        self,
        preparing: asyncio.Task[bool],
        answering: asyncio.Task[None],
        silence: Silence,
    ) -> None:
        """Wait until a second attempt has begun or failed, or is too late.

        It is too late when the first upstream has answered and the second one
        is no longer preferred. One that has ended without a byte is not
        returned to.
        """
        while not preparing.done():
            answered = (
                answering.done()
                and self.opened.has_input
                and not silence.had_input
            )
            latest_s = silence.prefer_other_s if answered else silence.end_s
            left_s = latest_s - self.clock()
            if left_s <= 0:
                return
            await asyncio.wait(
                {preparing} if answering.done() else {preparing, answering},
                timeout=None if left_s == math.inf else left_s,
                return_when=asyncio.FIRST_COMPLETED,
            )


async def _cancel(*tasks: asyncio.Task[Any]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
