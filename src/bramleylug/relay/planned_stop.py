"""Ends requests before a planned stop ends the process."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf
from typing import final

from bramleylug.cluster.route_table import RetryPolicy
from bramleylug.relay.request_context import RequestContext

# A duration counts for one to two of these.
WINDOW_S = 60.0


@final
class RecentDurations:
    """The longest duration of the requests of each route in recent time.

    :param clock: seconds that also count while the host is suspended.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.began_s = clock()
        self.current: dict[str, float] = {}
        self.previous: dict[str, float] = {}

    def record(self, route: str, duration_s: float) -> None:
        """Record how long a request took that was answered whole."""
        self._turn()
        self.current[route] = max(duration_s, self.current.get(route, 0))

    def longest_s(self, route: str) -> float:
        """Return the longest one; 0 if there was none."""
        self._turn()
        return max(self.current.get(route, 0), self.previous.get(route, 0))

    def _turn(self) -> None:
        passed_s = self.clock() - self.began_s
        if passed_s < WINDOW_S:
            return
        self.previous = self.current if passed_s < 2 * WINDOW_S else {}
        self.current = {}
        self.began_s = self.clock()


@final
class PlannedStop:
    """Decides which requests a relay takes, and for how long, as it stops.

    One that may not be repeated is only taken if its time limit ends before
    the process does. Another one is taken unless requests of its route have
    lasted longer than what is left: it could go on elsewhere. Of those that
    were taken before the stop began, one that still waits for an upstream is
    refused by the same rule, as another relay has more time for it. What still
    runs at the end is answered as unknown.

    :param clock: seconds that also count while the host is suspended.
    :ivar ends_s: when the last request ends; infinite before a stop.
    :ivar limits: time limits of the running requests.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.durations = RecentDurations(clock)
        self.ends_s = inf
        self.limits: dict[asyncio.Timeout, RequestContext] = {}

    def leaves_time_for(self, context: RequestContext) -> bool:
        """Return whether a request that begins now has time to end."""
        if context.until_s <= self.ends_s:
            return True
        if context.route.retry_policy is RetryPolicy.never:
            return False
        longest_s = self.durations.longest_s(context.route.name)
        return self.clock() + longest_s <= self.ends_s

    @contextmanager
    def watch(
        self, context: RequestContext, limit: asyncio.Timeout
    ) -> Iterator[None]:
        """Have a stop shorten the time limit of a request.

        :param limit: its time limit, which has been entered.
        """
        self.limits[limit] = context
        self._shorten(context, limit)
        try:
            yield
        finally:
            self.limits.pop(limit)

    def begin(self, ends_s: float) -> None:
        """Shorten the time limits of running requests; runs on their loop."""
        self.ends_s = ends_s
        for limit, context in self.limits.items():
            self._shorten(context, limit)

    def _shorten(self, context: RequestContext, limit: asyncio.Timeout) -> None:
        if context.until_s <= self.ends_s or limit.expired():
            return
        context.stopped = True
        waits = not (context.tried or context.writer.started)
        left_s = self.ends_s - self.clock()
        if waits and not self.leaves_time_for(context):
            left_s = 0
        limit.reschedule(asyncio.get_running_loop().time() + max(0, left_s))
