"""Selection of an upstream for each request, with a queue when all are busy."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count as numbers
from typing import final

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.upstreams import Upstream
from bramleylug.observability.metrics import (
    PERMITS,
    WAIT_SECONDS,
    count,
)
from bramleylug.outcomes import NotRun, Reason
from bramleylug.relay.request_checks import RequestChecks
from bramleylug.relay.request_context import RequestContext
from bramleylug.relay.service_queue import ServiceQueue
from bramleylug.scheduling.placing import (
    AtCapacity,
    NoneEligible,
    Requirements,
    Selected,
    Selection,
    UpstreamSelector,
)
from bramleylug.relay.workspace_shares import WorkspaceShares
from bramleylug.scheduling.demand import DemandMeter
from bramleylug.scheduling.refusing import ReturnTimes
from bramleylug.scheduling.waiting import Refuse, Wait, Waiting

# Waiting requests are retried at this interval even if no request of this
# relay ends: heartbeats of other processes also change the free slots.
RETRY_INTERVAL_S = 0.05
# Callers retry once and wait at most a third of their time for it: 2 s of the
# 6 s for a stream. An engine that lost its weights needs 4 s or more, so an
# earlier retry would fail.
NONE_ELIGIBLE_RETRY_S = 2.0
# Permits that one request asks for while it waits.
MAX_ASKS = 6


@final
@dataclass(slots=True)
class Waiter:
    """A request that waits for an upstream.

    :ivar requirements: those that it waits with.
    :ivar woken: set when it may be sent, or must not be sent as it waits.
    :ivar asks: permits that it has asked for.
    """

    context: RequestContext
    requirements: Requirements
    woken: asyncio.Event = field(default_factory=asyncio.Event)
    asks: int = 0

    def must_move(self, checks: RequestChecks) -> bool:
        """Return whether a new configuration handles it in another way."""
        if self.context.renew(checks) is not None:
            return True
        return self.context.requirements() != self.requirements


@final
class DispatchQueue:
    """Assigns requests to upstreams; queues them while none has a free slot.

    :ivar queues: waiting requests by service.
    :ivar waiters: waiting requests, by token.
    :ivar has_waiting: set while requests wait.
    :ivar checked_version: configuration that they were checked against.
    :ivar demand: counts the waiting requests by service and urgency.
    :ivar shares: shares of workspaces at services that are short.
    """

    def __init__(
        self,
        view: ClusterView,
        selector: UpstreamSelector,
        checks: RequestChecks,
        clock: Callable[[], float],
    ) -> None:
        self.view = view
        self.checks = checks
        self.checked_version = 0
        self.selector = selector
        self.clock = clock
        self.queues: dict[str, ServiceQueue] = {}
        self.waiters: dict[int, Waiter] = {}
        self.tokens = numbers()
        self.has_waiting = asyncio.Event()
        self.demand = DemandMeter()
        self.shares = WorkspaceShares(view, selector.random, clock)
        view.on_change = self.apply_change
        view.permits.on_granted = self.wake_waiting
        view.permits.on_deferred = self.ask_further

    async def assign(
        self, context: RequestContext, *, first: bool
    ) -> Upstream | NotRun:
        """Return an upstream for a request, waiting for a free slot if needed.

        :param first: whether this is the first attempt; a retry does not
            queue behind new requests.
        """
        requirements = context.requirements()
        queue = self.queue_of(requirements.service)
        if first:
            context.returned = self.view.peers.returns.recognize(
                context.accepted.fingerprint, context.arrived_s
            )
        selection = self._select(requirements)
        if isinstance(selection, Selected) and first:
            selection = self._after_waiting(context, queue, selection)
        is_short = isinstance(selection, AtCapacity)
        if first and self.shares.refuses(context, is_short=is_short):
            return queue.refuse(context, self.clock())
        match selection:
            case Selected():
                return self._claim(context, selection)
            case NoneEligible(reason):
                return _none_eligible(reason)
        match queue.decide(context, selection, self.clock()):
            case Refuse(closed_until_s):
                return queue.refuse(context, self.clock(), closed_until_s)
            case Wait(until_s):
                return await self._wait(context, queue, until_s)

    def queue_of(self, service: str) -> ServiceQueue:
        """Return the queue of a service."""
        queue = self.queues.get(service)
        if queue is None:
            returns = ReturnTimes(self.view.peers.returns)
            queue = ServiceQueue(service, self.view, self.demand, returns)
            queue.line.weigh = partial(self.shares.weight, service)
            self.queues[service] = queue
        return queue

    def find_free(self, context: RequestContext) -> Upstream | None:
        """Return an upstream that has a free slot now."""
        selection = self._select(context.requirements())
        if isinstance(selection, Selected):
            if self._is_worth_moving(context, selection):
                return self._claim(context, selection)
        return None

    def queue_move(
        self, service: str, since_s: float, take_slot: Callable[[], bool]
    ) -> Callable[[], None]:
        """Let a request at a silent upstream wait for a slot of another one.

        It may get one at once.

        :param since_s: since when it waits for the silent one.
        :param take_slot: called when slots are free; returns whether the
            request has taken one.
        :returns: what ends the wait.
        """
        queue = self.queue_of(service)
        remove = queue.moves.push(since_s, take_slot)
        self.has_waiting.set()
        self._wake(queue)
        return remove

    def record_completion(self, service: str) -> None:
        """Record that a request left an upstream; wake waiting requests."""
        queue = self.queue_of(service)
        queue.record_ended(self.clock())
        self._wake(queue)

    def apply_change(self) -> None:
        """Apply changes of the view to the waiting requests."""
        table = self.view.table
        version = 0 if table is None else table.version
        if version != self.checked_version:
            self.checked_version = version
            for waiter in self.waiters.values():
                if waiter.must_move(self.checks):
                    waiter.woken.set()
        self.wake_waiting()

    def wake_waiting(self) -> None:
        """Wake the waiting requests of all services for free slots."""
        for queue in self.queues.values():
            self._wake(queue)

    def ask_further(self, upstream: Upstream) -> None:
        """Ask for permits of others, as one will come later."""
        service = upstream.record.service
        for waiter in self.waiters.values():
            if waiter.requirements.service != service:
                continue
            if waiter.asks >= MAX_ASKS or waiter.woken.is_set():
                continue
            selection = self._look(waiter.requirements)
            if isinstance(selection, AtCapacity):
                waiter.asks += self.view.permits.ask_some(
                    selection.without_permit
                )
            return

    async def run(self) -> None:
        """Wake waiting requests at a fixed interval, until cancelled."""
        while True:
            await self.has_waiting.wait()
            await asyncio.sleep(RETRY_INTERVAL_S)
            self.wake_waiting()
            if all(queue.is_empty for queue in self.queues.values()):
                self.has_waiting.clear()

    async def _wait(
        self,
        context: RequestContext,
        queue: ServiceQueue,
        until_s: float,
    ) -> Upstream | NotRun:
        began_s = self.clock()
        waiting = Waiting(
            next(self.tokens),
            context.workspace_name,
            context.level.urgency,
            queue.limits(context, began_s),
            context.returned,
        )
        with self.demand.of(context.level).count_waiting():
            selection = await self._wait_for_room(
                waiting, context, queue, until_s
            )
        waited_s = self.clock() - began_s
        context.waited_s += waited_s
        WAIT_SECONDS.observe({'service': queue.service}, waited_s)
        match selection:
            case Selected():
                return self._claim(context, selection)
            case NoneEligible(reason):
                return _none_eligible(reason)
            case NotRun() as refusal:
                return refusal
            case None:
                return await self.assign(context, first=False)
        return queue.refuse(context, self.clock())

    async def _wait_for_room(
        self,
        waiting: Waiting,
        context: RequestContext,
        queue: ServiceQueue,
        until_s: float,
    ) -> Selection | NotRun | None:
        """Return what is selected for a request that waits.

        :returns: that there is no room, if it is not to wait any longer, or
            what else :meth:`_select_again` returns.
        """
        requirements = context.requirements()
        while True:
            waiter = Waiter(context, requirements)
            woken = await self._wait_in_queue(waiting, queue, waiter, until_s)
            selection = self._select_again(context, requirements)
            if not woken:
                selection = queue.leave_reserve(
                    waiting.urgency, selection, self.clock()
                )
            if not isinstance(selection, AtCapacity):
                return selection
            if woken:
                continue
            decision = queue.decide(context, selection, self.clock())
            if isinstance(decision, Refuse):
                return selection
            until_s = decision.until_s

    def _select_again(
        self, context: RequestContext, requirements: Requirements
    ) -> Selection | NotRun | None:
        """Select an upstream for a request that has waited.

        :returns: ``None`` if a new configuration requires another upstream.
        """
        refusal = context.renew(self.checks)
        if refusal is not None:
            return refusal
        if context.requirements() != requirements:
            return None
        return self._select(requirements)

    async def _wait_in_queue(
        self,
        waiting: Waiting,
        queue: ServiceQueue,
        waiter: Waiter,
        until_s: float,
    ) -> bool:
        """Wait until woken; return ``False`` if the time has run out."""
        woken = waiter.woken
        self.waiters[waiting.token] = waiter
        self.has_waiting.set()
        queue.push(waiting)
        try:
            async with asyncio.timeout(until_s - self.clock()):
                await woken.wait()
        except TimeoutError:
            return woken.is_set()
        finally:
            self.waiters.pop(waiting.token, None)
            queue.drop(waiting)
        return True

    def _after_waiting(
        self, context: RequestContext, queue: ServiceQueue, selection: Selection
    ) -> Selection:
        """Return what is left for a new request: those that wait go first.

        So does the reserve of more urgent requests. Requests that wait to
        leave a silent upstream may be unable to use any slot, so these are
        offered to them once.
        """
        now_s = self.clock()
        urgency = context.level.urgency
        if queue.line.precedes(urgency, queue.rank) or not queue.admits(
            urgency, now_s
        ):
            return AtCapacity(0)
        if not queue.moves.size:
            return selection
        if self._wake(queue):
            return self._select(context.requirements())
        return AtCapacity(0)

    def _wake(self, queue: ServiceQueue) -> int:
        """Wake as many waiting requests as may use free slots.

        :returns: how many slots are left.
        """
        if queue.is_empty:
            return 0
        now_s = self.clock()
        free = queue.free_slots(now_s)
        if queue.moves.size:
            free -= queue.moves.offer(free)
        while free > 0:
            waiting = queue.pop(now_s)
            if waiting is None:
                break
            free -= 1
            waiter = self.waiters.get(waiting.token)
            if waiter is not None:
                waiter.woken.set()
        return max(0, free)

    def _select(self, requirements: Requirements) -> Selection:
        selection = self._look(requirements)
        if not isinstance(selection, NoneEligible):
            self.view.permits.ask_some(selection.without_permit)
        return selection

    def _look(self, requirements: Requirements) -> Selection:
        self.view.work.read()
        return self.selector.select(
            requirements, self.view.constraints(), self.clock()
        )

    def _is_worth_moving(
        self, context: RequestContext, selection: Selected
    ) -> bool:
        """Return whether a request that waits elsewhere gains by a move.

        In a shortage it would wait at the next engine as well, and its work
        at the first one would be lost. A silent one is left in any case.
        """
        estimate = selection.estimate
        if estimate is None or not context.tried:
            return True
        current = self.view.upstreams.by_id.get(context.tried[-1])
        if current is None or current.responsiveness.silent:
            return True
        return estimate.first_s <= context.route.objective_s

    def _claim(self, context: RequestContext, selection: Selected) -> Upstream:
        """Count a request against the rates that its upstream takes.

        It is sent without suspending in between.
        """
        upstream = selection.upstream
        context.estimate = selection.estimate
        if upstream.limited:
            count(PERMITS, event='used')
        upstream.consume(self.clock())
        self.queue_of(upstream.record.service).record_sent(context, upstream)
        return upstream


def _none_eligible(reason: str) -> NotRun:
    return NotRun(Reason.no_upstream, reason, NONE_ELIGIBLE_RETRY_S)
