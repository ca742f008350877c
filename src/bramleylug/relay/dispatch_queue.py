"""Selection of an upstream for each request, with a queue when all are busy."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count as numbers
from typing import final

from bramleylug.admission.queue import Arrival
from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.upstreams import Upstream
from bramleylug.observability.metrics import (
    PERMITS,
    PLACED,
    WAIT_SECONDS,
    WAITING,
    count,
)
from bramleylug.outcomes import NotRun, Reason
from bramleylug.relay.move_queue import MoveQueue
from bramleylug.relay.request_checks import RequestChecks
from bramleylug.relay.request_context import RequestContext
from bramleylug.scheduling.placing import (
    AtCapacity,
    NoneEligible,
    Requirements,
    Selected,
    Selection,
    UpstreamSelector,
    closed_until_s,
    responsive,
    sendable_at_once,
)
from bramleylug.relay.wait_queue import Refuse, Wait, WaitQueue
from bramleylug.relay.workspace_shares import WorkspaceShares
from bramleylug.scheduling.demand import DemandMeter

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
    :ivar queued: whether it has its place in the queue.
    :ivar asks: permits that it has asked for.
    """

    context: RequestContext
    requirements: Requirements
    woken: asyncio.Event = field(default_factory=asyncio.Event)
    queued: bool = True
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
    :ivar moves: by service, requests that wait to leave a silent upstream.
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
        self.queues: dict[str, WaitQueue] = {}
        self.moves: dict[str, MoveQueue] = {}
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
        queue = self.queues.setdefault(requirements.service, WaitQueue())
        selection = self._select(requirements)
        if isinstance(selection, Selected) and first:
            selection = self._after_waiting(requirements, queue, selection)
        is_short = isinstance(selection, AtCapacity)
        if first and self.shares.refuses(context, is_short=is_short):
            return _overloaded(queue.retry_after_s(self.clock()))
        match selection:
            case Selected():
                return self._claim(context, selection)
            case NoneEligible(reason):
                return _none_eligible(reason)
        now_s = self.clock()
        decision = queue.decide(
            context.route.objective_s,
            context.until_s - now_s,
            now_s,
            selection.closed_until_s,
            awaits_permit=bool(selection.without_permit),
        )
        match decision:
            case Refuse(retry_after_s):
                return _overloaded(retry_after_s)
            case Wait(until_s):
                return await self._wait(context, requirements, queue, until_s)

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
        moves = self.moves.setdefault(service, MoveQueue())
        remove = moves.push(since_s, take_slot)
        self.has_waiting.set()
        self._wake(service, self.queues.setdefault(service, WaitQueue()))
        return remove

    def record_completion(self, service: str) -> None:
        """Record that a request left an upstream; wake waiting requests."""
        queue = self.queues.get(service)
        if queue is None:
            return
        queue.record_completion(self.clock())
        self._wake(service, queue)

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
        for service, queue in self.queues.items():
            self._wake(service, queue)

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
            if not (self.waiters or any(map(self._moving, self.moves))):
                self.has_waiting.clear()

    async def _wait(
        self,
        context: RequestContext,
        requirements: Requirements,
        queue: WaitQueue,
        until_s: float,
    ) -> Upstream | NotRun:
        began_s = self.clock()
        queue.queue.weigh = partial(self.shares.weight, requirements.service)
        arrival = Arrival(
            next(self.tokens),
            context.workspace_name,
            -context.accepted.urgency,
            len(context.request.body),
            until_s,
        )
        selection: Selection | NotRun | None = AtCapacity(0)
        with self.demand.of(context.level).count_waiting():
            while isinstance(selection, AtCapacity):
                waiter = Waiter(context, requirements)
                if not await self._wait_in_queue(arrival, queue, waiter):
                    break
                selection = self._select_again(context, requirements)
        waited_s = self.clock() - began_s
        context.waited_s += waited_s
        WAIT_SECONDS.observe({'service': requirements.service}, waited_s)
        match selection:
            case Selected():
                return self._claim(context, selection)
            case NoneEligible(reason):
                return _none_eligible(reason)
            case NotRun() as refusal:
                return refusal
            case None:
                return await self.assign(context, first=False)
        return _overloaded(queue.retry_after_s(self.clock()))

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
        self, arrival: Arrival, queue: WaitQueue, waiter: Waiter
    ) -> bool:
        """Wait until woken; return ``False`` if the time has run out."""
        woken = waiter.woken
        self.waiters[arrival.token] = waiter
        self.has_waiting.set()
        queue.push(arrival)
        try:
            async with asyncio.timeout(arrival.deadline_s - self.clock()):
                await woken.wait()
        except TimeoutError:
            return woken.is_set()
        finally:
            self.waiters.pop(arrival.token, None)
            if waiter.queued:
                queue.drop(arrival)
        return True

    def _after_waiting(
        self, requirements: Requirements, queue: WaitQueue, selection: Selection
    ) -> Selection:
        """Return what is left for a new request: those that wait go first.

        Requests that wait to leave a silent upstream may be unable to use any
        slot, so these are offered to them once.
        """
        service = requirements.service
        if queue.size:
            return AtCapacity(0)
        if not self._moving(service):
            return selection
        if self._wake(service, queue):
            return self._select(requirements)
        return AtCapacity(0)

    def _wake(self, service: str, queue: WaitQueue) -> int:
        """Wake as many waiting requests as there are free slots.

        :returns: how many slots are left.
        """
        if not (queue.size or self._moving(service)):
            return 0
        now_s = self.clock()
        relays = self.view.peers.relay_count()
        WAITING.set({'service': service}, queue.size)
        free = sum(
            sendable_at_once(upstream, relays, now_s)
            for upstream in responsive(
                list(self.view.upstreams.of_service(service)), now_s
            )
            if now_s >= closed_until_s(upstream, now_s)
        )
        if self._moving(service):
            free -= self.moves[service].offer(free)
        woken = max(0, min(free, queue.size))
        for _ in range(woken):
            waiter = self.waiters.get(queue.queue.pop().token)
            if waiter is not None:
                waiter.queued = False
                waiter.woken.set()
        return max(0, free - woken)

    def _moving(self, service: str) -> int:
        """Return how many requests wait to leave a silent upstream."""
        moves = self.moves.get(service)
        return 0 if moves is None else moves.size

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
        if selection.estimate is not None:
            is_first = upstream.record.upstream_id in self.view.work.preferred
            count(
                PLACED,
                service=upstream.record.service,
                place='first' if is_first else 'other',
            )
        if upstream.limited:
            count(PERMITS, event='used')
        upstream.consume(self.clock())
        return upstream


def _none_eligible(reason: str) -> NotRun:
    return NotRun(Reason.no_upstream, reason, NONE_ELIGIBLE_RETRY_S)


def _overloaded(retry_after_s: float) -> NotRun:
    return NotRun(
        Reason.overloaded,
        'no upstream has a free slot in time',
        retry_after_s,
    )
