"""Dispatches requests of callers to agents, with retries."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, final

from bramleylug.claims.keys import shard_affinity
from bramleylug.entry.answers import AnswerWriter
from bramleylug.entry.attempts import MS_PER_S, Attempt
from bramleylug.entry.channels import ChannelPool
from bramleylug.entry.requests import build_request, service_of
from bramleylug.entry.reservations import Reservation
from bramleylug.entry.tickets import TicketHandler, find_issuer
from bramleylug.node.node import Node
from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import REFUSALS, REQUESTS, RUNNING, count
from bramleylug.outcomes import NotRun, Outcome, Ran, Reason, Unknown, run_name
from bramleylug.routing.fleet import Candidate, EntryLocation
from bramleylug.routing.picker import ClusterSnapshot, PickArgs, Picker
from bramleylug.routing.retries import (
    RetryBudget,
    combine_outcomes,
    is_safe_to_retry,
)
from bramleylug.settings.daemons import EntrySettings
from bramleylug.web.exchange import Exchange
from bramleylug.web.serving import serve_to_end
from bramleylug.wire.requests_pb2 import Request

MAX_ATTEMPTS = 3
CHANNEL_CLEANUP_INTERVAL_S = 2.0
WINDOW_DIVISOR = 32
WRITE_BUFFER_DIVISOR = 32


@final
class Dispatcher:
    """Serves requests on the event loop that owns the channels to agents.

    :param clock: returns monotonic seconds.
    :ivar running: requests that have not ended.
    """

    def __init__(
        self,
        settings: EntrySettings,
        node: Node,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.node = node
        location = EntryLocation(settings.name, settings.zone, settings.region)
        self.picker = Picker(location, Random(settings.name))
        self.retry_budget = RetryBudget(settings.retry_share)
        self.channels = ChannelPool(
            node.keyring, settings.caller_bytes // WINDOW_DIVISOR
        )
        self.tickets = TicketHandler(self.picker, self.channels, self.snapshot)
        self.running = 0

    async def serve_ticket(self, exchange: Exchange) -> None:
        """Serve a request for a ticket."""
        self.running += 1
        try:
            await self.tickets.serve(exchange)
        finally:
            self.running -= 1

    async def serve(self, exchange: Exchange, reservation: Reservation) -> None:
        """Serve a request; an exception is answered as an internal error."""
        self._count_running(1)
        writer = AnswerWriter(
            exchange, self.settings.caller_bytes // WRITE_BUFFER_DIVISOR
        )
        try:
            outcome = await self._run(exchange, writer)
        except Exception as error:  # noqa: BLE001
            outcome = Unknown(Reason.internal, repr(error))
        finally:
            # Also when the task is cancelled.
            self._count_running(-1)
            reservation.release()
        self._record_outcome(outcome, exchange)
        writer.conclude(outcome)

    async def close_stale_channels(self) -> None:
        """Close channels to departed agents, periodically."""
        while True:
            await asyncio.sleep(CHANNEL_CLEANUP_INTERVAL_S)
            self.picker.update(self.snapshot())
            await self.channels.close_others(self.picker.fleet.addresses())

    def snapshot(self) -> ClusterSnapshot:
        node = self.node
        return ClusterSnapshot(node.members, node.holder.document, self.clock())

    async def _run(self, exchange: Exchange, writer: AnswerWriter) -> Outcome:
        request = build_request(exchange)
        if isinstance(request, NotRun):
            return request
        issuer = find_issuer(request.idempotency_key, self.node.members)
        if isinstance(issuer, Unknown):
            return issuer
        if issuer is None:
            return await self._attempt_agents(request, writer)
        request.deadline_ms = int(self._deadline_s(request) * MS_PER_S)
        return await self._attempt_agent(issuer, request, writer)

    async def _attempt_agents(
        self, request: Request, writer: AnswerWriter
    ) -> Outcome:
        deadline_s = self.clock() + self._deadline_s(request)
        pick_args = PickArgs(
            request.service, affinity_key(request), request.workspace
        )
        attempted: list[str] = []
        self.retry_budget.record_first_attempt()
        outcome: Outcome | None = None
        while len(attempted) < MAX_ATTEMPTS:
            remaining_s = deadline_s - self.clock()
            if remaining_s <= 0:
                return outcome or _deadline_passed()
            selected = self.picker.pick(pick_args, self.snapshot(), attempted)
            if isinstance(selected, NotRun):
                return outcome or selected
            attempted.append(selected.candidate.name)
            request.deadline_ms = max(1, int(remaining_s * MS_PER_S))
            latest = await self._attempt_agent(
                selected.candidate, request, writer
            )
            outcome = combine_outcomes(outcome, latest)
            request.crashes += int(latest.reason is Reason.upstream_crashed)
            if not self._may_retry(outcome, request, writer):
                return outcome
        return outcome or _deadline_passed()

    def _may_retry(
        self, outcome: Outcome, request: Request, writer: AnswerWriter
    ) -> bool:
        if writer.started or writer.caller_disconnected:
            return False
        spec = self.node.holder.document.services.get(request.service)
        return (
            is_safe_to_retry(outcome, request, spec)
            and self.retry_budget.try_consume()
        )

    async def _attempt_agent(
        self, candidate: Candidate, request: Request, writer: AnswerWriter
    ) -> Outcome:
        request.configuration_revision = self.node.holder.document.revision
        attempt = Attempt(request, writer)
        channel = self.channels.get(candidate.address)
        channel.active_calls += 1
        self.picker.loads.record_start(candidate.name)
        try:
            outcome = await attempt.run(channel)
        finally:
            channel.active_calls -= 1
            self.picker.loads.record_end(candidate.name)
        self._record_load(candidate.name, attempt, outcome)
        return outcome

    def _record_load(
        self, name: str, attempt: Attempt, outcome: Outcome
    ) -> None:
        now_s = self.clock()
        loads = self.picker.loads
        workspace = attempt.request.workspace
        if attempt.load is not None:
            loads.record_report(
                name,
                attempt.load.running + attempt.load.queued,
                attempt.load.limit,
                now_s,
            )
        match outcome:
            case NotRun(Reason.connection_failed):
                loads.record_unreachable(name, now_s)
            case NotRun(retry_after_s=retry_after_s):
                loads.record_refusal(name, retry_after_s, now_s, workspace)
            case Unknown(Reason.connection_failed):
                loads.record_unreachable(name, now_s)
            case Ran(complete=True):
                loads.record_success(name, workspace)

    def _deadline_s(self, request: Request) -> float:
        if request.deadline_ms:
            return request.deadline_ms / MS_PER_S
        return self.settings.deadline

    def _count_running(self, change: int) -> None:
        self.running += change
        RUNNING.set({'instance': self.settings.name}, self.running)

    def _record_outcome(self, outcome: Outcome, exchange: Exchange) -> None:
        service = service_of(exchange.path)
        known = service in self.node.holder.document.services
        count(
            REQUESTS,
            service=service if known else '',
            outcome=run_name(outcome),
        )
        match outcome:
            case Ran(complete=True):
                return
            case NotRun(reason, message):
                count(REFUSALS, reason=str(reason))
                event = LogEvent.request_refused
            case _ if exchange.closed:
                event = LogEvent.caller_disconnected
                message = 'too slow' if exchange.stalled else 'gone'
            case _:
                event = LogEvent.request_broken
                message = outcome.message
        emit(
            event,
            request_id=exchange.request_id,
            reason=str(outcome.reason),
            message=message,
        )


def affinity_key(request: Request) -> str:
    """Return the affinity key of a request; empty for none.

    Requests with the same key share a prefix cache, or the shard that their
    idempotency keys are claimed in.
    """
    if not request.prefix_key:
        return shard_affinity(request) if request.idempotency_key else ''
    return f'{request.workspace}/{request.prefix_key}'


def _deadline_passed() -> NotRun:
    return NotRun(Reason.deadline, 'deadline passed before the first attempt')


@final
class DispatchLoop:
    """Event loop of the dispatcher, to be run on a thread of its own."""

    def __init__(self, build_dispatcher: Callable[[], Dispatcher]) -> None:
        self.loop = asyncio.new_event_loop()
        self.dispatcher = build_dispatcher()
        self.tasks: set[asyncio.Task[None]] = set()

    def run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.tasks.add(
            self.loop.create_task(self.dispatcher.close_stale_channels())
        )
        self.loop.run_forever()
        self.loop.run_until_complete(self._cancel_tasks())

    def submit(self, exchange: Exchange, reservation: Reservation) -> None:
        """Serve a request; may be called from any thread."""
        self._serve(
            exchange, lambda: self.dispatcher.serve(exchange, reservation)
        )

    def submit_ticket(self, exchange: Exchange) -> None:
        """Serve a request for a ticket; may be called from any thread."""
        self._serve(exchange, lambda: self.dispatcher.serve_ticket(exchange))

    def stop(self) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)

    def _serve(
        self,
        exchange: Exchange,
        work: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        """Run a coroutine that answers an exchange; thread-safe."""
        self.loop.call_soon_threadsafe(
            lambda: self._spawn(serve_to_end(exchange, work))
        )

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _cancel_tasks(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
