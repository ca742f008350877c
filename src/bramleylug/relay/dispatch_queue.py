"""Finding room at an upstream, or waiting for it."""

import asyncio
from collections.abc import Callable
from itertools import count as numbers
from typing import final

from bramleylug.admission.queue import Arrival
from bramleylug.observability.metrics import WAIT_SECONDS, WAITING
from bramleylug.outcomes import NotRun, Reason
from bramleylug.relay.cluster_view import ClusterView
from bramleylug.relay.job import Job
from bramleylug.relay.upstream_selection import (
    AtCapacity,
    NoneEligible,
    Requirements,
    Selected,
    Selection,
    UpstreamSelector,
)
from bramleylug.relay.upstreams import Upstream
from bramleylug.relay.wait_queue import Refuse, Wait, WaitQueue

# Without a completion here, waiting requests look again after this time:
# upstreams change by what others tell.
RELOOK_S = 0.05
# Callers try once more, and wait a third of their time for it at most: two
# seconds of the six for a stream. An engine that lost its weights needs four
# or more, so that any earlier try is wasted.
NOWHERE_RETRY_S = 2.0


@final
class DispatchQueue:
    """Brings jobs and upstreams with room together.

    :ivar rooms: waiting requests by service.
    :ivar waiters: wakes one waiting request each, by its token.
    """

    def __init__(
        self,
        view: ClusterView,
        placer: UpstreamSelector,
        clock: Callable[[], float],
    ) -> None:
        self.view = view
        self.placer = placer
        self.clock = clock
        self.rooms: dict[str, WaitQueue] = {}
        self.waiters: dict[int, asyncio.Event] = {}
        self.tokens = numbers()
        view.on_change = self.look_again

    async def find_place(self, job: Job, *, first: bool) -> Upstream | NotRun:
        """Return an upstream for a job, once one has room.

        :param first: whether nothing was tried yet; a retry does not queue
            behind new requests.
        """
        demand = job.demand()
        room = self.rooms.setdefault(demand.service, WaitQueue())
        placement = self._place(demand)
        if isinstance(placement, Selected) and room.size and first:
            # Those that wait go first; this one may still find room.
            placement = AtCapacity(0)
        match placement:
            case Selected(upstream):
                return upstream
            case NoneEligible(reason):
                return _nowhere(reason)
        now_s = self.clock()
        verdict = room.judge(job.route.objective_s, job.until_s - now_s, now_s)
        match verdict:
            case Refuse(retry_after_s):
                return _no_room(retry_after_s)
            case Wait(until_s):
                return await self._wait(job, demand, room, until_s)

    def note_freed(self, service: str) -> None:
        """Note that a request left an upstream of a service."""
        room = self.rooms.get(service)
        if room is None:
            return
        room.note_completion(self.clock())
        if room.size:
            self._wake(service, room)

    def look_again(self) -> None:
        """Wake waiting requests that may find room now."""
        for service, room in self.rooms.items():
            if room.size:
                self._wake(service, room)

    async def keep_looking(self) -> None:
        """Look again while upstreams change, until cancelled."""
        while True:
            await asyncio.sleep(RELOOK_S)
            self.look_again()

    async def _wait(
        self, job: Job, demand: Requirements, room: WaitQueue, until_s: float
    ) -> Upstream | NotRun:
        began_s = self.clock()
        arrival = Arrival(
            next(self.tokens),
            job.workspace_name,
            -job.accepted.urgency,
            len(job.request.body),
            until_s,
        )
        placement: Selection = AtCapacity(0)
        while isinstance(placement, AtCapacity):
            if not await self._queue(arrival, room, until_s):
                break
            placement = self._place(demand)
        waited_s = self.clock() - began_s
        job.waited_s += waited_s
        WAIT_SECONDS.observe({'service': demand.service}, waited_s)
        match placement:
            case Selected(upstream):
                return upstream
            case NoneEligible(reason):
                return _nowhere(reason)
        return _no_room(room.return_s(self.clock()))

    async def _queue(
        self, arrival: Arrival, room: WaitQueue, until_s: float
    ) -> bool:
        """Wait for a turn; return whether it came in time."""
        woken = asyncio.Event()
        self.waiters[arrival.token] = woken
        room.push(arrival)
        try:
            async with asyncio.timeout(until_s - self.clock()):
                await woken.wait()
        except TimeoutError:
            return woken.is_set()
        finally:
            self.waiters.pop(arrival.token, None)
            if not woken.is_set():
                room.drop(arrival)
        return True

    def _wake(self, service: str, room: WaitQueue) -> None:
        """Wake as many waiting requests as there are free slots."""
        now_s = self.clock()
        WAITING.set({'service': service}, room.size)
        free = sum(
            max(0, int(upstream.free(now_s)))
            for upstream in self.view.upstreams.of_service(service)
            if now_s >= upstream.avoid_until_s
        )
        for _ in range(min(free, room.size)):
            woken = self.waiters.get(room.queue.pop().token)
            if woken is not None:
                woken.set()

    def _place(self, demand: Requirements) -> Selection:
        return self.placer.place(demand, self.view.constraints(), self.clock())


def _nowhere(reason: str) -> NotRun:
    return NotRun(Reason.no_upstream, reason, NOWHERE_RETRY_S)


def _no_room(retry_after_s: float) -> NotRun:
    return NotRun(
        Reason.overloaded, 'no upstream has room in time', retry_after_s
    )
