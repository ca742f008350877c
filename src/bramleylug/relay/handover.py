"""Decides whether a request may move to another upstream."""

import asyncio
from typing import final

from bramleylug.cluster.upstreams import Upstream
from bramleylug.observability.metrics import RETRIES, count
from bramleylug.outcomes import NotRun, Reason
from bramleylug.relay.dispatch_queue import DispatchQueue
from bramleylug.relay.request_checks import RequestChecks
from bramleylug.relay.request_context import RequestContext
from bramleylug.relay.retry_budget import SharedRetryBudget
from bramleylug.relay.silence import CALLER_PATIENCE_S, RECHECK_INTERVAL_S

# Reasons of refusals that may end while a caller waits.
TEMPORARY_REASONS = frozenset((Reason.store_unavailable, Reason.not_ready))


@final
class Handover:
    """Finds the next upstream of requests that another one has received."""

    def __init__(
        self,
        dispatch_queue: DispatchQueue,
        checks: RequestChecks,
        retry_budget: SharedRetryBudget,
    ) -> None:
        self.dispatch_queue = dispatch_queue
        self.checks = checks
        self.retry_budget = retry_budget

    def try_move(self, context: RequestContext) -> bool:
        """Choose an upstream that can take over from a silent one now.

        It has a free slot and the retry is counted. :meth:`next_upstream`
        returns it; nothing may suspend the request in between, or another
        one could take the slot.

        :returns: whether there is one.
        """
        if not (self._has_attempts(context) and self._is_allowed(context)):
            return False
        found = self.dispatch_queue.find_free(context)
        if found is None or not self._consume(context):
            return False
        context.moving_to = found
        return True

    async def next_upstream(
        self, context: RequestContext
    ) -> Upstream | NotRun | None:
        """Return the upstream of the next attempt.

        A stream that has started waits for one, as long as its caller stays.

        :returns: ``None`` if the request may not be sent again, or why no
            upstream takes it.
        """
        moving_to = context.moving_to
        context.moving_to = None
        if moving_to is not None:
            return moving_to
        if context.writer.started:
            return await self._wait(context)
        if self._acquire_retry(context):
            return await self.dispatch_queue.assign(context, first=False)
        return None

    async def _wait(self, context: RequestContext) -> Upstream | None:
        patience_s = max(CALLER_PATIENCE_S, context.route.patience_s)
        until_s = context.progress.last_s + patience_s
        while self._has_attempts(context):
            if self.dispatch_queue.clock() > until_s:
                return None
            if self._is_refused(context):
                return None
            if self._is_allowed(context):
                found = await self.dispatch_queue.assign(context, first=False)
                # The budget or the key may have run out in the queue.
                if isinstance(found, Upstream) and self._is_allowed(context):
                    self._consume(context)
                    return found
            await asyncio.sleep(RECHECK_INTERVAL_S)
        return None

    def _is_refused(self, context: RequestContext) -> bool:
        """Return whether waiting cannot make the request be sent."""
        refusal = context.renew(self.checks)
        return refusal is not None and refusal.reason not in TEMPORARY_REASONS

    def _acquire_retry(self, context: RequestContext) -> bool:
        if not context.tried:
            # No upstream received the request: another connection does not
            # count as a retry.
            return True
        return self._has_attempts(context) and self._consume(context)

    def _has_attempts(self, context: RequestContext) -> bool:
        return len(context.tried) < context.route.max_attempts

    def _is_allowed(self, context: RequestContext) -> bool:
        if context.renew(self.checks) is not None:
            return False
        return self.retry_budget.allows(context.accepted.service)

    def _consume(self, context: RequestContext) -> bool:
        service = context.accepted.service
        granted = self.retry_budget.consume(service)
        count(RETRIES, service=service, granted=str(granted).lower())
        return granted
