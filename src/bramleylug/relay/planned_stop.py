"""Ends requests before a planned stop ends the process."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf
from typing import final

from bramleylug.relay.request_context import RequestContext


@final
class PlannedStop:
    """Time limits of the running requests while the process stops.

    A request is only taken if its own time limit ends before the process
    does. Of those that were taken before the stop began, and may last longer,
    one that still waits for an upstream is refused at once, as another relay
    has more time for it; one that runs is given what is left.

    :param clock: seconds that also count while the host is suspended.
    :ivar ends_s: when the last request ends; infinite before a stop.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.ends_s = inf
        self.limits: dict[asyncio.Timeout, RequestContext] = {}

    def leaves_time_for(self, context: RequestContext) -> bool:
        """Return whether a request ends before the process does."""
        return context.until_s <= self.ends_s

    @contextmanager
    def watch(
        self, context: RequestContext, limit: asyncio.Timeout
    ) -> Iterator[None]:
        """Have a stop shorten the time limit of a request.

        :param limit: its time limit, which has been entered.
        """
        self.limits[limit] = context
        try:
            yield
        finally:
            self.limits.pop(limit)

    def begin(self, ends_s: float) -> None:
        """Shorten the time limits of running requests; runs on their loop."""
        self.ends_s = ends_s
        now_s = self.clock()
        loop_s = asyncio.get_running_loop().time()
        for limit, context in self.limits.items():
            if self.leaves_time_for(context) or limit.expired():
                continue
            context.stopped = True
            waits = not (context.tried or context.writer.started)
            left_s = 0 if waits else max(0.0, ends_s - now_s)
            limit.reschedule(loop_s + left_s)
